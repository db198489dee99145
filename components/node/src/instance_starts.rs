//! Recognises the start of an instance, and whether it is cold then.
//!
//! Start times are compared for equality only. They are times of day, which may go back between two
//! starts, also between that of the node and that of its instance.

use crate::announce::Announcement;
use model::UpstreamName;

/// The last process of the local instance that announced itself.
#[derive(Debug)]
pub(crate) struct InstanceStarts {
    /// Time from which on an instance that is heard of for the first time must have started after
    /// this node: one that runs reports within its lease.
    first_is_new_from_us: u64,
    last: Option<(Option<UpstreamName>, Option<u64>)>,
    /// Name and start of the instance of the last report that was applied.
    last_reported: Option<(UpstreamName, u64)>,
    /// Whether the last announced instance has withdrawn.
    has_withdrawn: bool,
}

impl InstanceStarts {
    /// No instance is known yet to a node that starts now.
    pub(crate) fn new(now_us: u64, lease_us: u64) -> Self {
        InstanceStarts {
            first_is_new_from_us: now_us.saturating_add(lease_us),
            last: None,
            last_reported: None,
            has_withdrawn: false,
        }
    }

    /// Records an announcement; returns whether it is the first one of a process that started after
    /// this node.
    ///
    /// The first instance that a node hears of soon after its own start may have run for long. It
    /// only says itself whether it is cold; otherwise a restart of all nodes would make every
    /// instance count as cold.
    pub(crate) fn record(&mut self, now_us: u64, announcement: &Announcement) -> bool {
        let current = (announcement.name.clone(), announcement.started_ms);
        let is_new = match &self.last {
            None => now_us >= self.first_is_new_from_us,
            Some(last) if *last != current => true,
            // Without a start time, only the withdrawal tells two processes apart.
            Some(_) => self.has_withdrawn && current.1.is_none(),
        };
        self.last = Some(current);
        self.has_withdrawn = false;
        is_new
    }

    /// Records a report that was applied; returns whether its instance has started anew under its
    /// name. Late reports of an earlier start are not applied.
    pub(crate) fn record_report(&mut self, name: &UpstreamName, started_ms: u64) -> bool {
        let last = self.last_reported.replace((name.clone(), started_ms));
        last.is_some_and(|(last, last_ms)| last == *name && last_ms != started_ms)
    }

    /// Records the withdrawal of the instance.
    pub(crate) fn withdraw(&mut self) {
        self.has_withdrawn = true;
    }
}

#[cfg(test)]
#[path = "../tests/inside/instance_starts.rs"]
mod tests;
