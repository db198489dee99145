//! Transfer of the leadership when the leader stops or its disk is full.

use crate::{message::Body, replica::Replica, state::ReplicaId};
use std::collections::BTreeSet;

/// A leadership transfer in progress.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// Time at which the transfer is cancelled if no other replica has become leader.
    deadline_us: u64,
    /// The replicas that were asked to start an election. They are asked one after the other, since
    /// several elections at once would split the votes.
    asked: BTreeSet<ReplicaId>,
    /// Time from which on the next replica may be asked, because the last one has not become leader;
    /// its disk may be stuck.
    next_us: u64,
}

impl Replica {
    pub(crate) fn on_storage_full(&mut self, now_us: u64, full: bool) {
        self.is_storage_full = full;
        if full {
            self.transfer_leadership(now_us);
        }
    }

    /// Transfers leadership to a voter that was heard recently and has the whole log; refuses
    /// proposals meanwhile.
    pub(crate) fn transfer_leadership(&mut self, now_us: u64) {
        let deadline_us = now_us + self.config.election_max_us;
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.transfer = Some(Transfer {
                deadline_us,
                asked: BTreeSet::new(),
                next_us: now_us,
            });
        }
        self.ask_next_leader(now_us);
    }

    fn ask_next_leader(&mut self, now_us: u64) {
        for id in self.replication_targets() {
            if self.continue_transfer(now_us, id) {
                return;
            }
        }
    }

    /// Asks `to` to start an election if a transfer is in progress, no other replica was asked just
    /// now, and `to` can win it.
    pub(crate) fn continue_transfer(&mut self, now_us: u64, to: ReplicaId) -> bool {
        if !self.can_lead(now_us, to) {
            return false;
        }
        let next_us = now_us + self.config.election_min_us / 2;
        let leader_state = self.leader_state.as_mut();
        let Some(transfer) = leader_state.and_then(|state| state.transfer.as_mut()) else {
            return false;
        };
        if now_us < transfer.next_us || !transfer.asked.insert(to) {
            return false;
        }
        transfer.next_us = next_us;
        self.record_handover(now_us);
        self.send_after_save(to, Body::TimeoutNow);
        true
    }

    /// Whether a replica is a voter, was heard recently and has the whole log.
    fn can_lead(&self, now_us: u64, id: ReplicaId) -> bool {
        let progress = self.leader_state.as_ref().and_then(|s| s.progress.get(&id));
        self.log.membership().contains(id)
            && progress.is_some_and(|p| {
                p.matched == self.log.last_index()
                    && now_us.saturating_sub(p.last_heard_us) < self.config.election_min_us
            })
    }

    /// Asks the next replica, or cancels a transfer that has taken too long.
    pub(crate) fn tick_transfer(&mut self, now_us: u64) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let Some(transfer) = &leader_state.transfer else {
            return;
        };
        if now_us >= transfer.deadline_us {
            leader_state.transfer = None;
        } else if now_us >= transfer.next_us {
            self.ask_next_leader(now_us);
        }
    }
}
