//! The leader: proposals, replication, commit, reads and stepping down.

use crate::{
    message::Body,
    progress::Progress,
    replica::{Replica, Reply, Role},
    state::{Entry, Payload, ReplicaId},
};
use errors::ErrorKind;
use model::Revision;
use registry::{Change, ChangeResult};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

#[derive(Debug)]
struct Read {
    token: u64,
    round: u64,
}

/// State of a leader; dropped with the role.
#[derive(Debug)]
pub(crate) struct Leading {
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) heartbeat_due_us: u64,
    /// Time of the next look at the membership. Not the heartbeat's: reads put that one off.
    pub(crate) upkeep_due_us: u64,
    pub(crate) handing_over_until_us: Option<u64>,
    round: u64,
    proposals: VecDeque<(u64, u64)>,
    reads: VecDeque<Read>,
}

impl Replica {
    pub(crate) fn become_leader(&mut self, now_us: u64) {
        let next = self.log.last_index() + 1;
        let voters = self.log.membership().voters.iter().copied();
        let others = voters.filter(|id| *id != self.id);
        let progress = others.map(|id| (id, Progress::new(now_us, next))).collect();
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.has_met_leader = true;
        self.leading = Some(Leading {
            progress,
            heartbeat_due_us: now_us + self.config.heartbeat_us,
            upkeep_due_us: now_us + self.config.heartbeat_us,
            handing_over_until_us: None,
            round: 0,
            proposals: VecDeque::new(),
            reads: VecDeque::new(),
        });
        // The first log entry of a group is its membership, so that the log carries it.
        let payload = if self.log.last_index() == 0 {
            Payload::Membership(self.log.membership().clone())
        } else {
            Payload::Empty
        };
        self.append_as_leader(payload);
        self.replicate(now_us);
        self.advance_commit(now_us);
    }

    /// Answers everything that waits: a later leader may still commit it.
    pub(crate) fn drop_leadership(&mut self) {
        let Some(leading) = self.leading.take() else {
            return;
        };
        for (_, token) in leading.proposals {
            let reply = self.refusal(ErrorKind::NoQuorum);
            self.answer(token, reply);
        }
        for read in leading.reads {
            let reply = self.refusal(ErrorKind::NotLeader);
            self.read_ready(read.token, Err(reply));
        }
    }

    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = Entry {
            index,
            term: self.hard.term,
            payload,
        };
        self.append_entries(vec![entry]);
        index
    }

    pub(crate) fn on_propose(&mut self, now_us: u64, token: u64, change: Change) {
        // Kept answers are of committed entries, so they hold whoever leads now.
        if let Some(applied) = self.registry.kept_answer(&change) {
            self.answer(token, Reply::Committed(applied));
            return;
        }
        let refused = match &self.leading {
            None => Some(ErrorKind::NotLeader),
            Some(_) if self.storage_full => Some(ErrorKind::StorageFull),
            Some(_) if self.is_growing() => Some(ErrorKind::NoQuorum),
            Some(leading) if leading.handing_over_until_us.is_some() => Some(ErrorKind::NotLeader),
            Some(leading) if leading.proposals.len() >= self.config.max_uncommitted => {
                Some(ErrorKind::Busy)
            }
            Some(_) => None,
        };
        if let Some(kind) = refused {
            let reply = self.refusal(kind);
            self.answer(token, reply);
            return;
        }
        let index = self.append_as_leader(Payload::Change(Arc::new(change)));
        if let Some(leading) = &mut self.leading {
            leading.proposals.push_back((index, token));
        }
        self.replicate(now_us);
        self.advance_commit(now_us);
    }

    /// Whether an open group has never had all its voters. A change that it accepted before could
    /// be lost with fewer disks than the group is meant to survive.
    fn is_growing(&self) -> bool {
        let Some(open) = self.config.open else {
            return false;
        };
        let is_fresh = self.registry.revision() == Revision::default();
        is_fresh && self.committed_membership().voters.len() < open.voters
    }

    pub(crate) fn answer_applied(&mut self, index: u64, applied: ChangeResult) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if leading
            .proposals
            .front()
            .is_some_and(|(at, _)| *at == index)
            && let Some((_, token)) = leading.proposals.pop_front()
        {
            self.answer(token, Reply::Committed(applied));
        }
    }

    // Replication

    /// Sends new entries to every replica that has room for them.
    pub(crate) fn replicate(&mut self, now_us: u64) {
        for id in self.peers() {
            self.send_entries(now_us, id);
        }
    }

    fn peers(&self) -> Vec<ReplicaId> {
        let leading = self.leading.as_ref();
        leading.map_or_else(Vec::new, |l| l.progress.keys().copied().collect())
    }

    /// Sends entries or a snapshot to one replica within its limits; true if anything was sent.
    fn send_entries(&mut self, now_us: u64, id: ReplicaId) -> bool {
        let mut sent = false;
        while let Some(body) = self.next_batch(now_us, id) {
            self.send_saved(id, body);
            sent = true;
        }
        sent
    }

    fn next_batch(&mut self, now_us: u64, id: ReplicaId) -> Option<Body> {
        let leading = self.leading.as_mut()?;
        let round = leading.round;
        let progress = leading.progress.get_mut(&id)?;
        if progress.snapshot.is_some() {
            return None;
        }
        if progress.next <= self.log.base_index() {
            let snapshot = self.snapshot.clone()?;
            progress.sent_snapshot(now_us, snapshot.index);
            return Some(Body::InstallSnapshot { snapshot, round });
        }
        let (entries, bytes) = self.log.slice(progress.next, self.config.max_batch_bytes);
        let last = entries.last()?.index;
        if !progress.has_room(bytes, self.config.max_in_flight_bytes) {
            return None;
        }
        let prev_index = progress.next - 1;
        progress.sent(now_us, last, bytes);
        Some(Body::Append {
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or(0),
            entries,
            commit: self.commit,
            round,
        })
    }

    fn start_round(&mut self, now_us: u64) {
        if let Some(leading) = &mut self.leading {
            leading.round += 1;
            leading.heartbeat_due_us = now_us + self.config.heartbeat_us;
        }
        for id in self.peers() {
            self.beat(now_us, id);
        }
    }

    fn beat(&mut self, now_us: u64, id: ReplicaId) {
        let resend_us = self.config.resend_us;
        if let Some(progress) = self.progress_mut(id) {
            progress.resend_after(now_us, resend_us);
        }
        if self.send_entries(now_us, id) {
            return;
        }
        let Some(leading) = &self.leading else {
            return;
        };
        let round = leading.round;
        let next = leading.progress.get(&id).map_or(1, |p| p.next);
        // Index 0 is equal in all logs; it serves while a snapshot is in flight.
        let (prev_index, prev_term) = match self.log.term(next - 1) {
            Some(term) => (next - 1, term),
            None => (0, 0),
        };
        let body = Body::Append {
            prev_index,
            prev_term,
            entries: Vec::new(),
            commit: self.commit,
            round,
        };
        self.send_saved(id, body);
    }

    pub(crate) fn progress_mut(&mut self, id: ReplicaId) -> Option<&mut Progress> {
        self.leading.as_mut()?.progress.get_mut(&id)
    }

    /// Whether a reply belongs to this leadership; steps down if its term is higher.
    pub(crate) fn accept_follower(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        term: u64,
        round: u64,
    ) -> bool {
        if term > self.hard.term {
            self.become_follower(now_us, term, None);
            return false;
        }
        if term < self.hard.term {
            return false;
        }
        let Some(progress) = self.progress_mut(from) else {
            return false;
        };
        progress.heard_us = now_us;
        progress.round = progress.round.max(round);
        self.finish_reads(now_us);
        true
    }

    pub(crate) fn on_append_accepted(&mut self, now_us: u64, from: ReplicaId, matched: u64) {
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        let is_news = progress.accepted(now_us, matched);
        if is_news {
            self.advance_commit(now_us);
        }
        self.send_entries(now_us, from);
        self.continue_hand_over(from);
    }

    pub(crate) fn on_append_rejected(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        prev_index: u64,
        hint_index: u64,
    ) {
        if let Some(progress) = self.progress_mut(from) {
            progress.rejected(prev_index, hint_index);
        }
        self.send_entries(now_us, from);
    }

    // Commit

    /// Commits what a quorum has on disk; earlier terms only together with an own entry.
    pub(crate) fn advance_commit(&mut self, now_us: u64) {
        let Some(leading) = &self.leading else {
            return;
        };
        let membership = self.log.membership();
        let own = self.persisted_index();
        let matched = membership.voters.iter().map(|id| {
            if *id == self.id {
                own
            } else {
                leading.progress.get(id).map_or(0, |p| p.matched)
            }
        });
        let mut matched: Vec<u64> = matched.collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(quorum_index) = matched.get(membership.quorum() - 1).copied() else {
            return;
        };
        if quorum_index > self.commit && self.log.term(quorum_index) == Some(self.hard.term) {
            self.commit_to(quorum_index);
            self.finish_reads(now_us);
            self.maintain_membership(now_us);
        }
    }

    /// Whether an entry of the own term is committed.
    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.log.term(self.commit) == Some(self.hard.term)
    }

    // Time

    pub(crate) fn tick_leader(&mut self, now_us: u64) {
        if !self.hears_quorum(now_us) {
            let term = self.hard.term;
            self.become_follower(now_us, term, None);
            return;
        }
        self.cancel_late_hand_over(now_us);
        let due = |at_us: Option<u64>| at_us.is_some_and(|at_us| now_us >= at_us);
        if due(self.leading.as_ref().map(|leading| leading.upkeep_due_us)) {
            self.drop_silent_learners(now_us);
            self.maintain_membership(now_us);
            if let Some(leading) = &mut self.leading {
                leading.upkeep_due_us = now_us + self.config.heartbeat_us;
            }
        }
        if due(self
            .leading
            .as_ref()
            .map(|leading| leading.heartbeat_due_us))
        {
            self.start_round(now_us);
        }
    }

    fn hears_quorum(&self, now_us: u64) -> bool {
        let Some(leading) = &self.leading else {
            return false;
        };
        let window_us = self.config.election_max_us;
        let membership = self.log.membership();
        let heard = membership.voters.iter().filter(|id| {
            let recent = |p: &Progress| now_us.saturating_sub(p.heard_us) < window_us;
            **id == self.id || leading.progress.get(id).is_some_and(recent)
        });
        heard.count() >= membership.quorum()
    }

    // Reads

    pub(crate) fn on_read_index(&mut self, now_us: u64, token: u64) {
        let Some(leading) = &mut self.leading else {
            let reply = self.refusal(ErrorKind::NotLeader);
            self.read_ready(token, Err(reply));
            return;
        };
        // A read needs a round that starts after it; one round serves all reads before it.
        let round_runs = !leading.reads.is_empty();
        let round = leading.round + 1;
        leading.reads.push_back(Read { token, round });
        if !round_runs {
            self.start_round(now_us);
        }
        self.finish_reads(now_us);
    }

    fn finish_reads(&mut self, now_us: u64) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if leading.reads.is_empty() || self.log.term(self.commit) != Some(self.hard.term) {
            return;
        }
        let membership = self.log.membership();
        let confirmed = |round: u64| {
            let voters = membership.voters.iter().filter(|id| {
                let reached = |p: &Progress| p.round >= round;
                **id == self.id || leading.progress.get(id).is_some_and(reached)
            });
            voters.count() >= membership.quorum()
        };
        let ready = leading
            .reads
            .iter()
            .take_while(|read| read.round <= leading.round && confirmed(read.round))
            .count();
        let tokens: Vec<u64> = leading
            .reads
            .drain(..ready)
            .map(|read| read.token)
            .collect();
        let waits_for_round = leading
            .reads
            .front()
            .is_some_and(|read| read.round > leading.round);
        for token in tokens {
            let index = self.applied;
            self.read_ready(token, Ok(index));
        }
        if waits_for_round {
            self.start_round(now_us);
        }
    }

    // Handing over

    pub(crate) fn on_storage_full(&mut self, now_us: u64, full: bool) {
        self.storage_full = full;
        if full {
            self.hand_over(now_us);
        }
    }

    /// Hands over to the first voter that has the whole log; refuses proposals meanwhile.
    pub(crate) fn hand_over(&mut self, now_us: u64) {
        let until_us = now_us + self.config.election_max_us;
        if let Some(leading) = &mut self.leading {
            leading.handing_over_until_us = Some(until_us);
        }
        for id in self.peers() {
            if self.continue_hand_over(id) {
                return;
            }
        }
    }

    fn continue_hand_over(&mut self, to: ReplicaId) -> bool {
        let last = self.log.last_index();
        let is_voter = self.log.membership().contains(to);
        let Some(leading) = &self.leading else {
            return false;
        };
        let complete = leading.progress.get(&to).is_some_and(|p| p.matched == last);
        if leading.handing_over_until_us.is_none() || !is_voter || !complete {
            return false;
        }
        self.send_saved(to, Body::TimeoutNow);
        true
    }

    fn cancel_late_hand_over(&mut self, now_us: u64) {
        if let Some(leading) = &mut self.leading
            && leading
                .handing_over_until_us
                .is_some_and(|until| now_us >= until)
        {
            leading.handing_over_until_us = None;
        }
    }
}
