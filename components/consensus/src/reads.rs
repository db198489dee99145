//! Linearizable reads: a heartbeat round that starts after a read arrived confirms that this replica
//! still leads.

use crate::{progress::Progress, replica::Replica};
use errors::ErrorKind;

/// A read that waits until a quorum confirms a heartbeat round.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: u64,
    /// Round whose replies show that this replica still led after the read arrived.
    round: u64,
}

impl Replica {
    pub(crate) fn on_read_index(&mut self, now_us: u64, token: u64) {
        let Some(leader_state) = &mut self.leader_state else {
            let reply = self.refused_reply(ErrorKind::NotLeader);
            self.answer_read(token, Err(reply));
            return;
        };
        // A read needs a round that starts after it arrived. One round confirms all earlier reads.
        let is_round_running = !leader_state.reads.is_empty();
        let round = leader_state.round + 1;
        leader_state.reads.push_back(PendingRead { token, round });
        if !is_round_running {
            self.start_round(now_us);
        }
        self.complete_reads(now_us);
    }

    pub(crate) fn complete_reads(&mut self, now_us: u64) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if leader_state.reads.is_empty() || self.log.term(self.commit) != Some(self.hard_state.term)
        {
            return;
        }
        let membership = self.log.membership();
        let is_confirmed = |round: u64| {
            let voters = membership.voters.iter().filter(|id| {
                let has_reached = |p: &Progress| p.round >= round;
                **id == self.id || leader_state.progress.get(id).is_some_and(has_reached)
            });
            voters.count() >= membership.quorum()
        };
        let ready_count = leader_state
            .reads
            .iter()
            .take_while(|read| read.round <= leader_state.round && is_confirmed(read.round))
            .count();
        let tokens: Vec<u64> = leader_state
            .reads
            .drain(..ready_count)
            .map(|read| read.token)
            .collect();
        let waits_for_round = leader_state
            .reads
            .front()
            .is_some_and(|read| read.round > leader_state.round);
        for token in tokens {
            let index = self.applied;
            self.answer_read(token, Ok(index));
        }
        if waits_for_round {
            self.start_round(now_us);
        }
    }
}
