//! Updates that still have to be spread.

use std::{collections::BTreeMap, net::SocketAddr};

/// Updates that are transmitted in full. Each further one lowers the transmissions of those that
/// are not urgent, because the digests find what was missed: without this, a start of 200 members
/// at once kept each busy for 300 s with records that the others had long received.
const UNCROWDED: u32 = 16;
/// Age after which an update that isn't urgent is left to the digests.
const MAX_AGE_US: u64 = 5_000_000;
/// How often a gateway passes an update to each other region.
const REMOTE_ROUNDS: u32 = 2;

/// An update about one member; what it says is read from the table when it is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rumor {
    /// Whether the record itself is new, rather than the member's standing only.
    pub(crate) with_record: bool,
    /// Whether it withdraws the member or an upstream from new calls.
    is_urgent: bool,
    /// Whether gateways pass it to other regions.
    pub(crate) is_for_regions: bool,
    sent: u32,
    remote_rounds: u32,
    since_us: u64,
}

/// Updates by the address of the member that they are about.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    queue: BTreeMap<SocketAddr, Rumor>,
}

impl Rumors {
    /// Starts spreading an update; replaces an older one about the same member.
    pub(crate) fn add(
        &mut self,
        now_us: u64,
        subject: SocketAddr,
        with_record: bool,
        is_urgent: bool,
        is_for_regions: bool,
    ) {
        let previous = self.queue.get(&subject);
        let rumor = Rumor {
            with_record: with_record || previous.is_some_and(|old| old.with_record),
            is_urgent,
            is_for_regions: is_for_regions || previous.is_some_and(|old| old.is_for_regions),
            sent: 0,
            remote_rounds: 0,
            since_us: now_us,
        };
        self.queue.insert(subject, rumor);
    }

    pub(crate) fn expire(&mut self, now_us: u64) {
        self.queue
            .retain(|_, rumor| rumor.is_urgent || now_us < rumor.since_us + MAX_AGE_US);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(crate) fn has_urgent(&self) -> bool {
        self.queue.values().any(|rumor| rumor.is_urgent)
    }

    /// Subjects in the order in which they should be sent: urgent ones first, then least sent.
    /// Without `with_all` only the urgent ones.
    pub(crate) fn order(&self, is_remote: bool, with_all: bool) -> Vec<(SocketAddr, bool)> {
        let mut order: Vec<(bool, u32, SocketAddr, bool)> = self
            .queue
            .iter()
            .filter(|(_, rumor)| !is_remote || rumor.is_due_remotely())
            .filter(|(_, rumor)| with_all || rumor.is_urgent)
            .map(|(subject, rumor)| (!rumor.is_urgent, rumor.sent, *subject, rumor.with_record))
            .collect();
        order.sort_unstable();
        order
            .into_iter()
            .map(|(_, _, subject, with_record)| (subject, with_record))
            .collect()
    }

    /// Counts a transmission within the region; drops the update after `limit` of them, or
    /// earlier if many updates wait and it isn't urgent.
    pub(crate) fn sent(&mut self, subject: SocketAddr, limit: u32) {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let crowded_limit = (limit * UNCROWDED / waiting.max(UNCROWDED)).max(1);
        let Some(rumor) = self.queue.get_mut(&subject) else {
            return;
        };
        rumor.sent += 1;
        let limit = if rumor.is_urgent {
            limit
        } else {
            crowded_limit
        };
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
