//! Updates that still have to be spread.

use std::{collections::BTreeMap, net::SocketAddr};

/// How often a gateway passes an update to each other region.
const REMOTE_ROUNDS: u32 = 2;

/// An update about one member; what it says is read from the table when it is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rumor {
    /// Whether the record itself is new, rather than the member's standing only.
    pub(crate) with_record: bool,
    /// Whether gateways pass it to other regions.
    pub(crate) is_for_regions: bool,
    sent: u32,
    remote_rounds: u32,
}

/// Updates by the address of the member that they are about.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    queue: BTreeMap<SocketAddr, Rumor>,
}

impl Rumors {
    /// Starts spreading an update; replaces an older one about the same member.
    pub(crate) fn add(&mut self, subject: SocketAddr, with_record: bool, is_for_regions: bool) {
        let previous = self.queue.get(&subject);
        let rumor = Rumor {
            with_record: with_record || previous.is_some_and(|old| old.with_record),
            is_for_regions: is_for_regions || previous.is_some_and(|old| old.is_for_regions),
            sent: 0,
            remote_rounds: 0,
        };
        self.queue.insert(subject, rumor);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Subjects in the order in which they should be sent: standing first, then least sent.
    pub(crate) fn order(&self, is_remote: bool) -> Vec<(SocketAddr, bool)> {
        let mut order: Vec<(bool, u32, SocketAddr)> = self
            .queue
            .iter()
            .filter(|(_, rumor)| !is_remote || rumor.is_due_remotely())
            .map(|(subject, rumor)| (rumor.with_record, rumor.sent, *subject))
            .collect();
        order.sort_unstable();
        order
            .into_iter()
            .map(|(with_record, _, subject)| (subject, with_record))
            .collect()
    }

    /// Counts a transmission within the region; drops the update after `limit` of them.
    pub(crate) fn sent(&mut self, subject: SocketAddr, limit: u32) {
        let Some(rumor) = self.queue.get_mut(&subject) else {
            return;
        };
        rumor.sent += 1;
        if rumor.sent >= limit {
            self.queue.remove(&subject);
        }
    }

    pub(crate) fn has_remote(&self) -> bool {
        self.queue.values().any(Rumor::is_due_remotely)
    }

    /// Counts one round to all other regions.
    pub(crate) fn sent_remotely(&mut self, subjects: impl IntoIterator<Item = SocketAddr>) {
        for subject in subjects {
            if let Some(rumor) = self.queue.get_mut(&subject) {
                rumor.remote_rounds += 1;
            }
        }
    }
}

impl Rumor {
    fn is_due_remotely(&self) -> bool {
        self.is_for_regions && self.remote_rounds < REMOTE_ROUNDS
    }
}
