//! Disk writes, messages and answers that the state machine puts out.

use crate::{
    io::{Output, Reply, Write},
    message::{Body, Message},
    replica::Replica,
    state::{Entry, ReplicaId, ReplicaNumber, Snapshot},
};
use errors::ErrorKind;
use std::sync::Arc;

/// Maximum number of messages that wait for the hard state to be on disk. Beyond it the oldest are
/// dropped, which the protocol handles like lost messages.
const MAX_HELD_MESSAGES: usize = 256;

impl Replica {
    // Persistence

    /// Requests a disk write and returns its sequence number.
    pub(crate) fn persist(&mut self, write: Write) -> u64 {
        self.last_sequence += 1;
        self.outputs.push(Output::Persist {
            sequence: self.last_sequence,
            write,
        });
        self.last_sequence
    }

    pub(crate) fn save_hard_state(&mut self) {
        self.hard_state_sequence = self.persist(Write::SaveHardState(self.hard_state.clone()));
        self.hard_state_write_began_us = self.input_us;
    }

    /// Appends entries to the log, after removing those at or after the first one's index, and
    /// requests their write.
    pub(crate) fn append_entries(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first().map(|entry| entry.index) else {
            return;
        };
        self.log.truncate_from(first);
        self.persisted_index = self.persisted_index.min(first - 1);
        for (_, last) in &mut self.unpersisted {
            *last = (*last).min(first - 1);
        }
        for entry in &entries {
            self.log.push(entry.clone());
        }
        let sequence = self.persist(Write::Append(entries));
        self.unpersisted
            .push_back((sequence, self.log.last_index()));
    }

    pub(crate) fn persist_snapshot(&mut self, snapshot: Arc<Snapshot>, discard_log: bool) {
        let index = snapshot.index;
        let sequence = self.persist(Write::SaveSnapshot {
            snapshot,
            discard_log,
        });
        if discard_log {
            self.persisted_index = self.persisted_index.min(self.commit);
            self.unpersisted.clear();
        }
        self.unpersisted.push_back((sequence, index));
    }

    /// Last index that is on disk.
    pub(crate) fn persisted_index(&self) -> u64 {
        self.persisted_index
    }

    /// Whether the current term, vote and formation are on disk.
    pub(crate) fn is_hard_state_saved(&self) -> bool {
        self.persisted_sequence >= self.hard_state_sequence
    }

    /// Measures the write, and delays the next election so that the present one can end first.
    fn on_hard_state_saved(&mut self, now_us: u64) {
        self.hard_state_write_us = now_us.saturating_sub(self.hard_state_write_began_us);
        let is_election = self.leader.is_none() && self.hard_state.voted_for.is_some();
        if is_election && self.election_due_us < now_us + self.election_writes_us() {
            self.reset_election_timer(now_us);
        }
    }

    pub(crate) fn on_persisted(&mut self, now_us: u64, confirmed_sequence: u64) {
        if confirmed_sequence <= self.persisted_sequence || confirmed_sequence > self.last_sequence
        {
            return;
        }
        let was_hard_state_saved = self.is_hard_state_saved();
        self.persisted_sequence = confirmed_sequence;
        if !was_hard_state_saved && self.is_hard_state_saved() {
            self.on_hard_state_saved(now_us);
        }
        while let Some((sequence, last)) = self.unpersisted.front().copied() {
            if sequence > confirmed_sequence {
                break;
            }
            self.unpersisted.pop_front();
            self.persisted_index = self.persisted_index.max(last);
        }
        while let Some((sequence, output)) = self.held_messages.pop_front() {
            if sequence > confirmed_sequence {
                self.held_messages.push_front((sequence, output));
                break;
            }
            self.outputs.push(output);
        }
        self.acknowledge_persisted();
        self.count_own_vote(now_us);
        self.advance_commit(now_us);
    }

    // Sending

    /// Sends a message at once.
    pub(crate) fn send(&mut self, to: ReplicaId, term: u64, body: Body) {
        let output = self.message_output(to.number, Some(to.disk_id), term, body);
        self.outputs.push(output);
    }

    /// Sends a message at once to whichever identity has this replica number.
    pub(crate) fn send_to_number(&mut self, to: ReplicaNumber, body: Body) {
        let output = self.message_output(to, None, self.hard_state.term, body);
        self.outputs.push(output);
    }

    /// Sends a message once the hard state is on disk. Otherwise a crash could undo a vote or term
    /// that another replica relies on already.
    pub(crate) fn send_after_save(&mut self, to: ReplicaId, body: Body) {
        let output = self.message_output(to.number, Some(to.disk_id), self.hard_state.term, body);
        if self.is_hard_state_saved() {
            self.outputs.push(output);
        } else {
            if self.held_messages.len() >= MAX_HELD_MESSAGES {
                self.held_messages.pop_front();
            }
            self.held_messages
                .push_back((self.hard_state_sequence, output));
        }
    }

    fn message_output(
        &self,
        to: ReplicaNumber,
        to_disk_id: Option<u64>,
        term: u64,
        body: Body,
    ) -> Output {
        let message = Message {
            from: self.id,
            to_disk_id,
            term,
            body,
        };
        Output::Send { to, message }
    }

    pub(crate) fn answer(&mut self, token: u64, reply: Reply) {
        self.outputs.push(Output::Answer { token, reply });
    }

    pub(crate) fn answer_read(&mut self, token: u64, result: Result<u64, Reply>) {
        self.outputs.push(Output::ReadReady { token, result });
    }

    pub(crate) fn refused_reply(&self, kind: ErrorKind) -> Reply {
        let leader = self.leader.filter(|leader| *leader != self.id);
        Reply::Refused {
            kind,
            leader: leader.map(|leader| leader.number),
        }
    }

    pub(crate) fn report_role_change(&mut self) {
        let current = (self.role, self.hard_state.term, self.leader);
        if current != self.reported_role {
            self.reported_role = current;
            self.outputs.push(Output::RoleChanged {
                role: self.role,
                term: self.hard_state.term,
                leader: self.leader.map(|leader| leader.number),
            });
        }
    }
}
