//! Messages between replicas.

use crate::state::{Entry, Formation, Membership, ReplicaId, ReplicaNumber, Snapshot};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One message; it may be lost, duplicated, delayed or reordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub from: ReplicaId,
    /// Disk id of the addressed identity; absent if the sender only knows the replica number.
    pub to_disk_id: Option<u64>,
    /// Term of the sender, or the term that a pre-vote is for.
    pub term: u64,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A replica that is not a voter of a working group announces itself.
    Hello {
        /// Replica numbers in its settings.
        group: Vec<ReplicaNumber>,
        /// Formation that it accepted.
        formation: Option<Formation>,
        /// Whether it has no log and knows of no formed group.
        empty: bool,
    },
    /// Tells a replica that is not a voter whom else to announce itself to.
    Voters(Membership),
    /// The first configured replica asks an empty one to accept a formation.
    ProposeFormation(Formation),
    /// The formation with this ballot is accepted and saved.
    FormationAccepted {
        /// Ballot of the accepted formation.
        ballot: u64,
    },
    /// All members have accepted the formation.
    FormationComplete(Formation),
    /// Asks whether a vote would be granted; changes nothing at the receiver.
    PreVote {
        /// Last log index of the candidate.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answer to `PreVote`; the message carries the responder's own term.
    PreVoteReply {
        /// Term that the pre-vote was for.
        for_term: u64,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Last log index of the candidate.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
        /// Whether the leader handed over, so that hearing from it is no reason to refuse.
        transfer: bool,
    },
    /// Answer to `Vote`, sent after the vote is on disk.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Log entries, or a heartbeat if there are none.
    Append {
        /// Index of the entry before `entries`.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: u64,
        /// Heartbeat round, for read index and quorum checks.
        round: u64,
    },
    /// A snapshot for a replica whose next entry is no longer in the log.
    InstallSnapshot {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// Heartbeat round.
        round: u64,
    },
    /// Everything up to `matched` equals the leader's log and is on disk.
    AppendAccepted {
        /// Last index that is equal and on disk.
        matched: u64,
        /// Highest heartbeat round seen.
        round: u64,
    },
    /// The entry before the appended ones differs or is absent.
    AppendRejected {
        /// `prev_index` of the rejected message.
        prev_index: u64,
        /// Highest index that may still be equal.
        hint_index: u64,
        /// Highest heartbeat round seen.
        round: u64,
    },
    /// The leader hands over; the receiver campaigns at once.
    TimeoutNow,
}
