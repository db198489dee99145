//! Recognises the start of an instance, and for how long it is cold then.

use crate::announce::Announcement;
use model::UpstreamName;

/// The last process of the local instance that announced itself.
#[derive(Debug, Default)]
pub(crate) struct InstanceStarts {
    last: Option<(Option<UpstreamName>, Option<u64>)>,
    /// Whether that instance has withdrawn.
    has_withdrawn: bool,
}

impl InstanceStarts {
    /// Records an announcement; returns whether it is the first one of a process that started after
    /// this node, which started at `node_started_ms` since the Unix epoch.
    ///
    /// An instance that has run for longer than the node only says itself whether it is cold.
    /// Otherwise a restart of all nodes would make every instance count as cold.
    pub(crate) fn record(&mut self, announcement: &Announcement, node_started_ms: u64) -> bool {
        let current = (announcement.name.clone(), announcement.started_ms);
        let is_new = match &self.last {
            None => current.1.is_some_and(|at_ms| at_ms > node_started_ms),
            Some(last) if *last != current => true,
            // Without a start time, only the withdrawal tells two processes apart.
            Some(_) => self.has_withdrawn && current.1.is_none(),
        };
        self.last = Some(current);
        self.has_withdrawn = false;
        is_new
    }

    /// Records the withdrawal of the instance.
    pub(crate) fn withdraw(&mut self) {
        self.has_withdrawn = true;
    }
}

#[cfg(test)]
#[path = "../tests/inside/instance_starts.rs"]
mod tests;
