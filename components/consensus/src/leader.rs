//! The leader: proposals, replication and commits.

use crate::{
    contact::RoundTimes,
    io::{Reply, Role},
    message::Body,
    progress::Progress,
    reads::PendingRead,
    replica::Replica,
    state::{Entry, Payload, ReplicaId},
    transfer::Transfer,
};
use errors::ErrorKind;
use model::Revision;
use registry::{Change, ChangeResult};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

/// State that a replica has only while it is the leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Voters other than the leader, and learners.
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) heartbeat_due_us: u64,
    /// Time of the next membership check. Separate from the heartbeat, which each read postpones.
    pub(crate) membership_check_due_us: u64,
    /// The leadership transfer in progress.
    pub(crate) transfer: Option<Transfer>,
    /// Number of the last heartbeat round.
    pub(crate) round: u64,
    pub(crate) round_times: RoundTimes,
    /// Term of the last log entry before those of this leader.
    pub(crate) term_before: u64,
    /// Time until which a replica that was asked to take over may do so.
    pub(crate) handed_over_until_us: u64,
    /// Index and token of each uncommitted proposal, in log order.
    proposals: VecDeque<(u64, u64)>,
    pub(crate) reads: VecDeque<PendingRead>,
}

impl Replica {
    pub(crate) fn become_leader(&mut self, now_us: u64) {
        let next = self.log.last_index() + 1;
        let voters = self.log.membership().voters.iter().copied();
        let others = voters.filter(|id| *id != self.id);
        let progress = others.map(|id| (id, Progress::new(now_us, next))).collect();
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.meet_leader();
        self.leader_state = Some(LeaderState {
            progress,
            heartbeat_due_us: now_us + self.config.heartbeat_us,
            membership_check_due_us: now_us + self.config.heartbeat_us,
            transfer: None,
            round: 0,
            round_times: RoundTimes::default(),
            term_before: self.log.last_term(),
            handed_over_until_us: 0,
            proposals: VecDeque::new(),
            reads: VecDeque::new(),
        });
        // The first log entry of a group is its membership, so that learners get it with the log.
        let payload = if self.log.last_index() == 0 {
            Payload::Membership(self.log.membership().clone())
        } else {
            Payload::Empty
        };
        self.append_as_leader(payload);
        self.replicate(now_us);
        self.advance_commit(now_us);
    }

    /// Stops leading and answers all pending proposals and reads. The proposals are answered with
    /// `NoQuorum`, because a later leader may still commit them.
    pub(crate) fn drop_leadership(&mut self) {
        let Some(leader_state) = self.leader_state.take() else {
            return;
        };
        for (_, token) in leader_state.proposals {
            let reply = self.refused_reply(ErrorKind::NoQuorum);
            self.answer(token, reply);
        }
        for read in leader_state.reads {
            let reply = self.refused_reply(ErrorKind::NotLeader);
            self.answer_read(read.token, Err(reply));
        }
    }

    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = Entry {
            index,
            term: self.hard_state.term,
            payload,
        };
        self.append_entries(vec![entry]);
        index
    }

    pub(crate) fn on_propose(&mut self, now_us: u64, token: u64, change: Change) {
        // Kept answers belong to committed entries, so they are valid on any replica.
        if let Some(result) = self.registry.kept_answer(&change) {
            self.answer(token, Reply::Committed(result));
            return;
        }
        let refused = match &self.leader_state {
            None => Some(ErrorKind::NotLeader),
            Some(_) if self.is_storage_full => Some(ErrorKind::StorageFull),
            Some(_) if self.is_growing() => Some(ErrorKind::NoQuorum),
            Some(leader_state) if leader_state.transfer.is_some() => Some(ErrorKind::NotLeader),
            Some(leader_state) if leader_state.proposals.len() >= self.config.max_uncommitted => {
                Some(ErrorKind::Busy)
            }
            Some(_) => None,
        };
        if let Some(kind) = refused {
            let reply = self.refused_reply(kind);
            self.answer(token, reply);
            return;
        }
        let index = self.append_as_leader(Payload::Change(Arc::new(change)));
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.proposals.push_back((index, token));
        }
        self.replicate(now_us);
        self.advance_commit(now_us);
    }

    /// Whether an open group has not reached its size for the first time. A change accepted before
    /// that could be lost with fewer disks than the group is meant to survive.
    fn is_growing(&self) -> bool {
        let Some(open) = self.config.open else {
            return false;
        };
        let is_unchanged = self.registry.revision() == Revision::default();
        is_unchanged && self.committed_membership().voters.len() < open.voters
    }

    pub(crate) fn answer_proposal(&mut self, index: u64, result: ChangeResult) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if leader_state
            .proposals
            .front()
            .is_some_and(|(at, _)| *at == index)
            && let Some((_, token)) = leader_state.proposals.pop_front()
        {
            self.answer(token, Reply::Committed(result));
        }
    }

    // Replication

    /// Sends new entries to every replica whose in-flight limits allow it.
    pub(crate) fn replicate(&mut self, now_us: u64) {
        for id in self.replication_targets() {
            self.send_entries(now_us, id);
        }
    }

    pub(crate) fn replication_targets(&self) -> Vec<ReplicaId> {
        let leader_state = self.leader_state.as_ref();
        leader_state.map_or_else(Vec::new, |state| state.progress.keys().copied().collect())
    }

    /// Sends entries or a snapshot to one replica within its in-flight limits; true if anything was
    /// sent.
    fn send_entries(&mut self, now_us: u64, id: ReplicaId) -> bool {
        let mut sent = false;
        while let Some(body) = self.next_batch(now_us, id) {
            self.send_after_save(id, body);
            sent = true;
        }
        sent
    }

    /// The next entries or snapshot for a replica; `None` if there is nothing to send now.
    fn next_batch(&mut self, now_us: u64, id: ReplicaId) -> Option<Body> {
        let leader_state = self.leader_state.as_mut()?;
        let round = leader_state.round;
        let progress = leader_state.progress.get_mut(&id)?;
        if progress.pending_snapshot.is_some() {
            return None;
        }
        if progress.next <= self.log.base_index() {
            let snapshot = self.snapshot.clone()?;
            progress.record_snapshot_sent(now_us, snapshot.index);
            return Some(Body::InstallSnapshot { snapshot, round });
        }
        let (entries, bytes) = self.log.slice(progress.next, self.config.max_batch_bytes);
        let last = entries.last()?.index;
        if !progress.can_send(bytes, self.config.max_in_flight_bytes) {
            return None;
        }
        let prev_index = progress.next - 1;
        progress.record_sent(now_us, last, bytes);
        Some(Body::Append {
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or(0),
            entries,
            commit: self.commit,
            round,
        })
    }

    /// Starts a heartbeat round.
    pub(crate) fn start_round(&mut self, now_us: u64) {
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.round += 1;
            let oldest_us = now_us.saturating_sub(self.config.election_min_us);
            let round = leader_state.round;
            leader_state.round_times.record(round, now_us, oldest_us);
            leader_state.heartbeat_due_us = now_us + self.config.heartbeat_us;
        }
        for id in self.replication_targets() {
            self.send_heartbeat(now_us, id);
        }
    }

    /// Sends pending entries, or an empty append message if there are none.
    fn send_heartbeat(&mut self, now_us: u64, id: ReplicaId) {
        let resend_us = self.config.resend_us;
        if let Some(progress) = self.progress_mut(id) {
            progress.restart_if_stalled(now_us, resend_us);
        }
        if self.send_entries(now_us, id) {
            return;
        }
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let round = leader_state.round;
        let next = leader_state.progress.get(&id).map_or(1, |p| p.next);
        // While a snapshot is in flight, the previous entry may be missing from the log. Index 0 is
        // equal in all logs.
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
        self.send_after_save(id, body);
    }

    pub(crate) fn progress_mut(&mut self, id: ReplicaId) -> Option<&mut Progress> {
        self.leader_state.as_mut()?.progress.get_mut(&id)
    }

    /// Handles the term and round of a follower's reply: steps down if the term is higher. Returns
    /// whether the rest of the reply may be processed.
    pub(crate) fn accept_follower(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        term: u64,
        round: u64,
    ) -> bool {
        if term > self.hard_state.term {
            self.become_follower(now_us, term, None);
            return false;
        }
        if term < self.hard_state.term {
            return false;
        }
        let Some(progress) = self.progress_mut(from) else {
            return false;
        };
        progress.last_heard_us = now_us;
        progress.round = progress.round.max(round);
        self.complete_reads(now_us);
        true
    }

    pub(crate) fn on_append_accepted(&mut self, now_us: u64, from: ReplicaId, matched: u64) {
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        let has_advanced = progress.record_accepted(now_us, matched);
        if has_advanced {
            self.advance_commit(now_us);
            self.consider_learner(now_us, from, matched);
        }
        self.send_entries(now_us, from);
        self.continue_transfer(now_us, from);
    }

    /// Continues with further entries although the follower's disk has not written the last ones.
    /// The follower applies what is committed before its own write.
    pub(crate) fn on_append_received(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        term: u64,
        index: u64,
    ) {
        if term != self.hard_state.term {
            return;
        }
        if let Some(progress) = self.progress_mut(from) {
            progress.record_received(now_us, index);
            self.send_entries(now_us, from);
        }
    }

    pub(crate) fn on_append_rejected(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        prev_index: u64,
        hint_index: u64,
    ) {
        if let Some(progress) = self.progress_mut(from) {
            progress.record_rejected(prev_index, hint_index);
        }
        self.send_entries(now_us, from);
    }

    // Commit

    /// Commits what a quorum has on disk. Entries of earlier terms are committed only together with
    /// an entry of the current term, because a later leader could still replace them otherwise.
    pub(crate) fn advance_commit(&mut self, now_us: u64) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let membership = self.log.membership();
        let own = self.persisted_index();
        let matched = membership.voters.iter().map(|id| {
            if *id == self.id {
                own
            } else {
                leader_state.progress.get(id).map_or(0, |p| p.matched)
            }
        });
        let mut matched: Vec<u64> = matched.collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(quorum_index) = matched.get(membership.quorum() - 1).copied() else {
            return;
        };
        if quorum_index > self.commit && self.log.term(quorum_index) == Some(self.hard_state.term) {
            self.commit_to(quorum_index);
            self.complete_reads(now_us);
            self.maintain_membership(now_us);
        }
    }

    /// Whether an entry of the current term is committed.
    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.log.term(self.commit) == Some(self.hard_state.term)
    }

    // Time

    pub(crate) fn tick_leader(&mut self, now_us: u64) {
        if !self.hears_from_quorum(now_us) {
            let term = self.hard_state.term;
            self.become_follower(now_us, term, None);
            return;
        }
        self.tick_transfer(now_us);
        let is_due = |at_us: Option<u64>| at_us.is_some_and(|at_us| now_us >= at_us);
        if is_due(
            self.leader_state
                .as_ref()
                .map(|leader_state| leader_state.membership_check_due_us),
        ) {
            self.drop_silent_learners(now_us);
            self.maintain_membership(now_us);
            if let Some(leader_state) = &mut self.leader_state {
                leader_state.membership_check_due_us = now_us + self.config.heartbeat_us;
            }
        }
        if is_due(
            self.leader_state
                .as_ref()
                .map(|leader_state| leader_state.heartbeat_due_us),
        ) {
            self.start_round(now_us);
        }
    }

    /// Whether a quorum has sent a message within the longest election timeout.
    fn hears_from_quorum(&self, now_us: u64) -> bool {
        let Some(leader_state) = &self.leader_state else {
            return false;
        };
        let window_us = self.config.election_max_us;
        let membership = self.log.membership();
        let heard = membership.voters.iter().filter(|id| {
            let is_recent = |p: &Progress| now_us.saturating_sub(p.last_heard_us) < window_us;
            **id == self.id || leader_state.progress.get(id).is_some_and(is_recent)
        });
        heard.count() >= membership.quorum()
    }
}
