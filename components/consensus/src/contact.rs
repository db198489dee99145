//! Tells a leader until when no other replica can have been elected, for work that two leaders must
//! not do at the same time.

use crate::replica::Replica;
use std::collections::VecDeque;

/// Longest election timeouts after a request to take over, for which the other replica may still win.
const HANDOVER_TIMEOUTS: u64 = 2;

/// Start times of the last heartbeat rounds.
#[derive(Debug, Default)]
pub(crate) struct RoundTimes(VecDeque<(u64, u64)>);

impl RoundTimes {
    /// Adds a round and forgets those that started before `oldest_us`.
    pub(crate) fn record(&mut self, round: u64, now_us: u64, oldest_us: u64) {
        self.0.push_back((round, now_us));
        while self.0.front().is_some_and(|(_, at_us)| *at_us < oldest_us) {
            self.0.pop_front();
        }
    }

    fn started_us(&self, round: u64) -> Option<u64> {
        let index = self.0.binary_search_by_key(&round, |(round, _)| *round);
        Some(self.0[index.ok()?].1)
    }
}

impl Replica {
    /// Time until which no other replica leads, if this one does and has applied all changes of
    /// former leaders. Voters refuse to elect another one for the shortest election timeout after a
    /// heartbeat, which arrives at the earliest when its round starts. The time of the reply doesn't
    /// count: it may have waited in a frozen process.
    pub fn sole_leader_until_us(&self, now_us: u64) -> Option<u64> {
        let leader_state = self.leader_state.as_ref()?;
        let may_be_replaced =
            leader_state.transfer.is_some() || now_us < leader_state.handed_over_until_us;
        if may_be_replaced || !self.has_committed_in_term() {
            return None;
        }
        let voters = self.log.membership().voters.iter();
        let mut rounds: Vec<u64> = voters
            .map(|id| match *id == self.id {
                true => leader_state.round,
                false => leader_state.progress.get(id).map_or(0, |p| p.round),
            })
            .collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let confirmed = *rounds.get(self.log.membership().quorum() - 1)?;
        let started_us = leader_state.round_times.started_us(confirmed)?;
        Some(started_us + self.config.election_min_us)
    }

    /// If this replica leads: the term of the last log entry before its own ones. No replica was the
    /// only leader in a term between the two, since that takes a committed entry of its own.
    pub fn term_before_leading(&self) -> Option<u64> {
        Some(self.leader_state.as_ref()?.term_before)
    }

    /// Time for which voters elect no other replica after a heartbeat.
    pub fn shortest_election_timeout_us(&self) -> u64 {
        self.config.election_min_us
    }

    /// Records that another replica was asked to take over.
    pub(crate) fn record_handover(&mut self, now_us: u64) {
        let until_us = now_us + HANDOVER_TIMEOUTS * self.config.election_max_us;
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.handed_over_until_us = until_us;
        }
    }
}
