//! Inputs and outputs of the replica state machine, which its driver exchanges with it.

use crate::{
    message::Message,
    state::{Entry, HardState, ReplicaNumber, Snapshot},
};
use errors::ErrorKind;
use registry::{Change, ChangeResult};
use std::sync::Arc;

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks the voters whether they would vote for it, without starting a term.
    PreCandidate,
    /// Asks for votes in a new term.
    Candidate,
    /// Replicates its log to the other replicas.
    Leader,
}

/// Events that the driver passes to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Due at the latest at [`crate::Replica::next_wake_us`].
    Tick,
    /// A message arrived from another replica.
    Message(Message),
    /// Proposes an operator's change; answered by [`Output::Answer`].
    Propose {
        /// Identifies the proposal in the answer.
        token: u64,
        /// The operator's change, with its change id.
        change: Change,
    },
    /// All writes up to `sequence` are on disk.
    Persisted {
        /// Sequence number of the last write on disk.
        sequence: u64,
    },
    /// Asks for an applied index that covers every change answered so far; answered by
    /// [`Output::ReadReady`].
    ReadIndex {
        /// Identifies the read in the answer.
        token: u64,
    },
    /// The disk is full (true) or has space again (false). A leader with a full disk transfers its
    /// leadership.
    StorageFull(bool),
    /// The process is about to stop: a leader transfers its leadership, and a voter of an open group
    /// hands its vote over to a replica that is ready to take its place, if there is one.
    Stop,
}

/// A write to the replica's files.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Appends entries to the log, after removing those at or after the index of the first one.
    Append(Vec<Entry>),
    /// Replaces the hard state.
    SaveHardState(HardState),
    /// Replaces the snapshot; log entries up to it are no longer needed.
    SaveSnapshot {
        /// Snapshot that replaces the one on disk.
        snapshot: Arc<Snapshot>,
        /// Whether the log entries after the snapshot are invalid and must be removed too.
        discard_log: bool,
    },
}

/// Result of a proposal or read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The change is committed and has this result, now or from an earlier proposal with the same
    /// change id.
    Committed(ChangeResult),
    /// The request was not processed, or its result is unknown (`NoQuorum`). Sending the change
    /// again with the same change id is safe.
    Refused {
        /// Why the request was refused.
        kind: ErrorKind,
        /// Leader to send the request to, if another replica is known to lead.
        leader: Option<ReplicaNumber>,
    },
}

/// Actions and notifications for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message; the protocol tolerates its loss.
    Send {
        /// Number of the receiving replica.
        to: ReplicaNumber,
        /// Message that the receiver handles as [`Input::Message`].
        message: Message,
    },
    /// Execute a write, in the order of the sequence numbers, and confirm it with
    /// [`Input::Persisted`]. Several writes may share one fsync and one confirmation.
    Persist {
        /// Sequence number, which grows by one with each write.
        sequence: u64,
        /// What to change on disk.
        write: Write,
    },
    /// The registry has applied an entry, or was replaced by a snapshot from the leader.
    RegistryChanged {
        /// Index of the last applied entry.
        index: u64,
    },
    /// Answer to [`Input::Propose`].
    Answer {
        /// Token from [`Input::Propose`].
        token: u64,
        /// Result of the proposal.
        reply: Reply,
    },
    /// Answer to [`Input::ReadIndex`].
    ReadReady {
        /// Token from [`Input::ReadIndex`].
        token: u64,
        /// Applied index of the registry, which is recent enough to read from; or a
        /// [`Reply::Refused`].
        result: Result<u64, Reply>,
    },
    /// The role, the term or the known leader has changed.
    RoleChanged {
        /// Role of this replica after the change.
        role: Role,
        /// Term of this replica after the change.
        term: u64,
        /// Leader of the term, if known.
        leader: Option<ReplicaNumber>,
    },
}
