//! Queue of the updates that are being spread by gossip.

use std::{collections::BTreeMap, net::SocketAddr};

/// Most queued updates at which each is transmitted up to the full limit. With more of them, those
/// that are not urgent are transmitted fewer times, since digests find what was missed. Without
/// this, when 200 members started at once, each sent records for 300 s that the others already had.
const FULL_LIMIT_RUMORS: u32 = 16;
/// Age after which an update that isn't urgent is dropped and left to the digests.
const MAX_AGE_US: u64 = 5_000_000;
/// Times that a gateway sends an update to each other region.
const REMOTE_ROUNDS: u32 = 2;

/// An update about one member. Its content is read from the table when it is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rumor {
    /// Whether the record is sent, rather than a notice of the member's state.
    pub(crate) with_record: bool,
    /// Whether it takes the member or an upstream out of routing.
    is_urgent: bool,
    /// Whether gateways send it to other regions.
    pub(crate) is_for_other_regions: bool,
    send_count: u32,
    remote_rounds: u32,
    added_us: u64,
}

/// Queued updates by the address of the member that they are about.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    queue: BTreeMap<SocketAddr, Rumor>,
}

impl Rumors {
    /// Queues an update; it replaces an older one about the same member.
    pub(crate) fn add(
        &mut self,
        now_us: u64,
        subject: SocketAddr,
        with_record: bool,
        is_urgent: bool,
        is_for_other_regions: bool,
    ) {
        let previous = self.queue.get(&subject);
        let rumor = Rumor {
            with_record: with_record || previous.is_some_and(|old| old.with_record),
            is_urgent,
            is_for_other_regions: is_for_other_regions
                || previous.is_some_and(|old| old.is_for_other_regions),
            send_count: 0,
            remote_rounds: 0,
            added_us: now_us,
        };
        self.queue.insert(subject, rumor);
    }

    pub(crate) fn expire(&mut self, now_us: u64) {
        self.queue
            .retain(|_, rumor| rumor.is_urgent || now_us < rumor.added_us + MAX_AGE_US);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(crate) fn has_urgent(&self) -> bool {
        self.queue.values().any(|rumor| rumor.is_urgent)
    }

    /// Subjects in send order, urgent ones first and then by fewest transmissions, each with its
    /// `with_record`. Only urgent ones unless `with_all`.
    pub(crate) fn in_send_order(&self, is_remote: bool, with_all: bool) -> Vec<(SocketAddr, bool)> {
        let mut order: Vec<(bool, u32, SocketAddr, bool)> = self
            .queue
            .iter()
            .filter(|(_, rumor)| !is_remote || rumor.is_due_remotely())
            .filter(|(_, rumor)| with_all || rumor.is_urgent)
            .map(|(subject, rumor)| {
                (
                    !rumor.is_urgent,
                    rumor.send_count,
                    *subject,
                    rumor.with_record,
                )
            })
            .collect();
        order.sort_unstable();
        order
            .into_iter()
            .map(|(_, _, subject, with_record)| (subject, with_record))
            .collect()
    }

    /// Counts a transmission within the region. Drops the update after `limit` of them, or after
    /// fewer if it isn't urgent and many updates are queued.
    pub(crate) fn count_send(&mut self, subject: SocketAddr, limit: u32) {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let crowded_limit = (limit * FULL_LIMIT_RUMORS / waiting.max(FULL_LIMIT_RUMORS)).max(1);
        let Some(rumor) = self.queue.get_mut(&subject) else {
            return;
        };
        rumor.send_count += 1;
        let limit = if rumor.is_urgent {
            limit
        } else {
            crowded_limit
        };
        if rumor.send_count >= limit {
            self.queue.remove(&subject);
        }
    }

    pub(crate) fn has_remote(&self) -> bool {
        self.queue.values().any(Rumor::is_due_remotely)
    }

    /// Counts a transmission to all other regions.
    pub(crate) fn count_remote_round(&mut self, subjects: impl IntoIterator<Item = SocketAddr>) {
        for subject in subjects {
            if let Some(rumor) = self.queue.get_mut(&subject) {
                rumor.remote_rounds += 1;
            }
        }
    }
}

impl Rumor {
    fn is_due_remotely(&self) -> bool {
        self.is_for_other_regions && self.remote_rounds < REMOTE_ROUNDS
    }
}
