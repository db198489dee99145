//! Messages between replicas.
//!
//! They are encoded with postcard, so the order and types of fields and variants are part of the
//! protocol; their names are not.

use crate::state::{Entry, Formation, Membership, ReplicaId, ReplicaNumber, Snapshot};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A message between two replicas. The network may lose, duplicate, delay or reorder it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Identity of the sender.
    pub from: ReplicaId,
    /// Disk id of the receiver; a replica with another disk id ignores the message. Absent if the
    /// sender only knows the replica number.
    pub to_disk_id: Option<u64>,
    /// Term of the sender, or the term that a pre-vote is for.
    pub term: u64,
    /// What the message says.
    pub body: Body,
}

/// Kinds of messages and their data.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Announces a replica that has no leader or is not a voter.
    Hello {
        /// Replica numbers that form the group according to the sender's settings.
        group: Vec<ReplicaNumber>,
        /// Formation that the sender accepted last.
        formation: Option<Formation>,
        /// Whether the sender has no log and knows of no formed group.
        empty: bool,
    },
    /// Reply to `Hello` in an open group: the voters, to which the sender of the `Hello` then
    /// announces itself as well.
    Voters(Membership),
    /// The coordinator, which is the configured replica with the lowest number, asks an empty
    /// replica to accept a formation.
    ProposeFormation(Formation),
    /// The sender has accepted the formation with this ballot and saved it.
    FormationAccepted {
        /// Ballot of the accepted formation.
        ballot: u64,
    },
    /// All members have accepted the formation, so the group may start.
    FormationComplete(Formation),
    /// Asks whether the receiver would grant a vote, without changing its state.
    PreVote {
        /// Last log index of the candidate.
        last_index: u64,
        /// Term of the entry at `last_index`.
        last_term: u64,
    },
    /// Reply to `PreVote`; the message's term is that of the replying replica.
    PreVoteReply {
        /// Term that the pre-vote was for.
        for_term: u64,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks the receiver to vote for the sender in the term of the message.
    Vote {
        /// Last log index of the candidate.
        last_index: u64,
        /// Term of the entry at `last_index`.
        last_term: u64,
        /// Whether the leader transferred its leadership to the candidate. If so, the receiver may
        /// vote although it has heard from the leader recently.
        transfer: bool,
    },
    /// Reply to `Vote`, sent after the vote is on disk.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Log entries, or a heartbeat if there are none.
    Append {
        /// Index of the entry before `entries`.
        prev_index: u64,
        /// Term of the entry at `prev_index`.
        prev_term: u64,
        /// Entries that follow `prev_index`, in order; empty in a heartbeat.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: u64,
        /// Heartbeat round; replies to it confirm pending reads.
        round: u64,
    },
    /// A snapshot for a replica whose next entry is no longer in the leader's log.
    InstallSnapshot {
        /// State of the leader up to the last log entry that the snapshot covers.
        snapshot: Arc<Snapshot>,
        /// Heartbeat round, as in `Append`.
        round: u64,
    },
    /// The follower's log equals the leader's log up to `matched`, and that part is on disk.
    AppendAccepted {
        /// Last index that is equal and on disk.
        matched: u64,
        /// Highest heartbeat round seen.
        round: u64,
    },
    /// The entry before the appended ones differs or is missing at the follower.
    AppendRejected {
        /// `prev_index` of the rejected message.
        prev_index: u64,
        /// Highest index at which the logs may still be equal; the leader continues from there.
        hint_index: u64,
        /// Highest heartbeat round seen.
        round: u64,
    },
    /// The leader transfers its leadership to the receiver, which starts an election at once.
    TimeoutNow,
    /// The follower's log equals the leader's log up to `index`, but that part is not on disk yet.
    /// It confirms nothing; the leader only stops waiting with further entries.
    AppendReceived {
        /// Last index that is equal.
        index: u64,
    },
    /// The sender, a voter of an open group, is about to stop and may be replaced now.
    Leaving,
}
