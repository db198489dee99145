//! The follower: receives log entries and snapshots from the leader and acknowledges them.

use crate::{
    log::Log,
    message::Body,
    replica::Replica,
    state::{Entry, ReplicaId, Snapshot},
};
use std::sync::Arc;

impl Replica {
    /// Handles the term of a leader's message: follows the sender unless its term is outdated.
    /// Returns whether the rest of the message may be processed.
    pub(crate) fn accept_leader(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        term: u64,
        round: u64,
    ) -> bool {
        if term < self.hard_state.term {
            // The reply carries the current term, so that the outdated leader steps down.
            let body = Body::AppendRejected {
                prev_index: 0,
                hint_index: 0,
                round: 0,
            };
            self.send_after_save(from, body);
            return false;
        }
        if term == 0 || (term == self.hard_state.term && self.leader_state.is_some()) {
            return false;
        }
        self.become_follower(now_us, term, Some(from));
        self.leader_last_heard_us = now_us;
        self.meet_leader();
        self.reset_election_timer(now_us);
        self.round = self.round.max(round);
        self.announce_leaving(from);
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
            self.send_after_save(from, body);
            return;
        }
        let last = prev_index + entries.len() as u64;
        let differs = |entry: &Entry| {
            entry.index > self.commit && self.log.term(entry.index) != Some(entry.term)
        };
        let first_new = entries.iter().position(differs).unwrap_or(entries.len());
        let mut new_entries = entries;
        new_entries.drain(..first_new);
        let waits_for_disk = !new_entries.is_empty();
        self.append_entries(new_entries);
        self.verified_index = self.verified_index.max(last);
        self.commit_to(commit.min(self.verified_index));
        // New entries are acknowledged once they are on disk, since an acknowledgement before that
        // would confirm nothing new. Other messages are acknowledged at once, even while the disk
        // is stuck.
        if waits_for_disk {
            self.is_ack_due = true;
            let body = Body::AppendReceived {
                index: self.verified_index,
            };
            self.send(from, self.hard_state.term, body);
        } else {
            self.acknowledge(from);
        }
    }

    pub(crate) fn on_install_snapshot(&mut self, from: ReplicaId, snapshot: Arc<Snapshot>) {
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
        self.verified_index = self.verified_index.max(index);
        self.acknowledge(from);
    }

    pub(crate) fn commit_to(&mut self, commit: u64) {
        if commit > self.commit {
            self.commit = commit;
            self.apply_committed();
        }
    }

    /// Compares the applied index with the commit index of the leader. Only an index in the leader's
    /// own term covers everything that earlier leaders committed.
    pub(crate) fn note_leader_commit(&mut self, now_us: u64, commit: u64) {
        let is_in_term = self.log.term(commit) == Some(self.hard_state.term);
        if is_in_term && self.applied >= commit {
            self.current_at_us = Some(now_us);
        }
    }

    /// Acknowledges the part of the log that equals the leader's log and is on disk.
    fn acknowledge(&mut self, leader: ReplicaId) {
        if !self.is_hard_state_saved() {
            self.is_ack_due = true;
            return;
        }
        self.is_ack_due = false;
        let matched = self.verified_index.min(self.persisted_index());
        self.acked_index = Some(matched);
        let body = Body::AppendAccepted {
            matched,
            round: self.round,
        };
        self.send_after_save(leader, body);
    }

    /// Acknowledges entries that have been written to disk since the last acknowledgement.
    pub(crate) fn acknowledge_persisted(&mut self) {
        let Some(leader) = self.leader.filter(|leader| *leader != self.id) else {
            return;
        };
        let matched = self.verified_index.min(self.persisted_index());
        let has_advanced = self.acked_index.is_some_and(|acked| acked < matched);
        if self.is_ack_due || has_advanced {
            self.acknowledge(leader);
        }
    }
}
