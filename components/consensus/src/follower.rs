//! Taking in the leader's log.

use crate::{
    log::Log,
    message::Body,
    replica::Replica,
    state::{Entry, ReplicaId, Snapshot},
};
use std::sync::Arc;

impl Replica {
    /// Whether a message from a leader is of the current term; adopts a higher one.
    pub(crate) fn accept_leader(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        term: u64,
        round: u64,
    ) -> bool {
        if term < self.hard.term {
            // Tells an outdated leader about the term, so that it steps down.
            let body = Body::AppendRejected {
                prev_index: 0,
                hint_index: 0,
                round: 0,
            };
            self.send_saved(from, body);
            return false;
        }
        if term == 0 || (term == self.hard.term && self.leading.is_some()) {
            return false;
        }
        self.become_follower(now_us, term, Some(from));
        self.leader_heard_us = now_us;
        self.has_met_leader = true;
        self.reset_election_timer(now_us);
        self.round = self.round.max(round);
        true
    }

    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        prev: (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
    ) {
        let (prev_index, prev_term) = prev;
        if prev_index > self.commit && self.log.term(prev_index) != Some(prev_term) {
            let hint = self.log.conflict_hint(prev_index).max(self.commit);
            let body = Body::AppendRejected {
                prev_index,
                hint_index: hint,
                round: self.round,
            };
            self.send_saved(from, body);
            return;
        }
        let last = prev_index + entries.len() as u64;
        let differs = |entry: &Entry| {
            entry.index > self.commit && self.log.term(entry.index) != Some(entry.term)
        };
        let first_new = entries.iter().position(differs).unwrap_or(entries.len());
        let mut fresh = entries;
        fresh.drain(..first_new);
        let waits_for_disk = !fresh.is_empty();
        self.append_entries(fresh);
        self.verified = self.verified.max(last);
        self.commit_to(commit.min(self.verified));
        // New entries are acknowledged once they are on disk; an acknowledgement before that would
        // carry no news. Messages without new entries are answered at once, also on a stuck disk.
        if waits_for_disk {
            self.ack_due = true;
        } else {
            self.acknowledge(from);
        }
    }

    pub(crate) fn on_install(&mut self, from: ReplicaId, snapshot: Arc<Snapshot>) {
        let index = snapshot.index;
        if index > self.commit {
            let has_entry = self.log.term(index) == Some(snapshot.term);
            if !has_entry {
                self.log = Log::new(index, snapshot.term, snapshot.membership.clone());
            }
            self.persist_snapshot(snapshot.clone(), !has_entry);
            self.registry = snapshot.registry.clone();
            self.snapshot = Some(snapshot);
            self.commit = index;
            self.applied_snapshot(index);
            if has_entry {
                self.log.compact_to(index);
            }
        }
        self.verified = self.verified.max(index);
        self.acknowledge(from);
    }

    pub(crate) fn commit_to(&mut self, commit: u64) {
        if commit > self.commit {
            self.commit = commit;
            self.apply_committed();
        }
    }

    /// Confirms what is equal to the leader's log and on disk.
    fn acknowledge(&mut self, leader: ReplicaId) {
        if !self.hard_state_is_saved() {
            self.ack_due = true;
            return;
        }
        self.ack_due = false;
        let matched = self.verified.min(self.persisted_index());
        self.acked = Some(matched);
        let body = Body::AppendAccepted {
            matched,
            round: self.round,
        };
        self.send_saved(leader, body);
    }

    /// After a write: confirms what has become durable since the last acknowledgement.
    pub(crate) fn acknowledge_persisted(&mut self) {
        let Some(leader) = self.leader.filter(|leader| *leader != self.id) else {
            return;
        };
        let matched = self.verified.min(self.persisted_index());
        let is_news = self.acked.is_some_and(|acked| acked < matched);
        if self.ack_due || is_news {
            self.acknowledge(leader);
        }
    }
}
