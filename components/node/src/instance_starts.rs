//! Recognises the start of an instance, and whether it is cold then.
//!
//! Start times are times of day, which may go back between two starts, also between that of the node
//! and that of its instance. So they are compared for equality only, and a start that seems recent
//! has to be confirmed by the rest of the cold period, which doesn't depend on the time of day.

use crate::announce::Announcement;
use kernel::InstanceStart;
use model::UpstreamName;

/// Age of a process, by the time of day, up to which its start is recent.
const MAX_RECENT_AGE_MS: u64 = 250;

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

    /// Records an announcement that arrives at this time of day; returns what it says of the start
    /// of its process.
    ///
    /// The first instance that a node hears of soon after its own start may have run for long. It
    /// only says itself whether it is cold; otherwise a restart of all nodes would make every
    /// instance count as cold.
    pub(crate) fn record(
        &mut self,
        now_us: u64,
        unix_ms: u64,
        announcement: &Announcement,
    ) -> InstanceStart {
        let current = (announcement.name.clone(), announcement.started_ms);
        let start = match &self.last {
            None if now_us >= self.first_is_new_from_us => InstanceStart::Observed,
            None if is_recent(unix_ms, announcement) => InstanceStart::Recent,
            None => InstanceStart::Unknown,
            Some(last) if *last != current => InstanceStart::Observed,
            // Without a start time, only the withdrawal tells two processes apart.
            Some(_) if self.has_withdrawn && current.1.is_none() => InstanceStart::Observed,
            Some(_) => InstanceStart::Unknown,
        };
        self.last = Some(current);
        self.has_withdrawn = false;
        start
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

/// Whether the process says that it is cold and started just before this time of day.
fn is_recent(unix_ms: u64, announcement: &Announcement) -> bool {
    let age_ms = announcement
        .started_ms
        .and_then(|started_ms| unix_ms.checked_sub(started_ms));
    let is_young = age_ms.is_some_and(|age_ms| age_ms <= MAX_RECENT_AGE_MS);
    is_young && announcement.cold_ms.is_some_and(|cold_ms| cold_ms > 0)
}

#[cfg(test)]
#[path = "../tests/inside/instance_starts.rs"]
mod tests;
