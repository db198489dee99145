//! What a replica keeps on disk.

use registry::{Change, Op, Registry};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt, sync::Arc};

/// Number of a replica: its position in a fixed group, or a number made from its address in an open
/// one.
pub type ReplicaNumber = u64;

/// A replica together with the disk that holds its promises.
///
/// An empty data directory has a new disk id, so a replica that lost its disk is never taken for
/// the one that voted and acknowledged before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaId {
    /// Position in the configured group.
    pub number: ReplicaNumber,
    /// Random number drawn when the data directory was made.
    pub disk_id: u64,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.number, self.disk_id)
    }
}

/// The identities that vote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Voters; at most one identity per replica number.
    pub voters: BTreeSet<ReplicaId>,
}

impl Membership {
    /// Whether this identity votes.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.voters.contains(&id)
    }

    /// The voter with this replica number.
    pub fn by_number(&self, number: ReplicaNumber) -> Option<ReplicaId> {
        self.voters.iter().copied().find(|id| id.number == number)
    }

    /// Number of voters that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub(crate) fn with(&self, id: ReplicaId) -> Self {
        let mut changed = self.clone();
        changed.voters.insert(id);
        changed
    }

    pub(crate) fn without(&self, id: ReplicaId) -> Self {
        let mut changed = self.clone();
        changed.voters.remove(&id);
        changed
    }
}

/// First membership of a new group, accepted by each of its members before the group starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Formation {
    /// A replica without a log moves only to a higher ballot.
    pub ballot: u64,
    /// One identity for each configured replica.
    pub members: Membership,
}

/// State that is saved before any message that depends on it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Identity voted for in this term.
    pub voted_for: Option<ReplicaId>,
    /// Formation that this identity accepted last.
    pub formation: Option<Formation>,
    /// Whether all members are known to have accepted the formation.
    pub formed: bool,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader, so that it can commit entries of earlier terms.
    Empty,
    /// New membership, in force from the moment it is in the log.
    Membership(Membership),
    /// An operator's change.
    Change(Arc<Change>),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position, from 1.
    pub index: u64,
    /// Term of the leader that made it.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

/// Approximate encoded size of an entry without its names and lists, in bytes.
const ENTRY_BASE_BYTES: usize = 96;
/// Approximate encoded size of one route or service of a configuration, in bytes.
const ROUTE_BYTES: usize = 80;

impl Entry {
    /// Approximate encoded size in bytes, for batch and flow limits.
    pub fn size_bytes(&self) -> usize {
        let variable = match &self.payload {
            Payload::Empty => 0,
            Payload::Membership(membership) => membership.voters.len() * 16,
            Payload::Change(change) => {
                let names: usize = change.in_use.iter().map(|n| n.as_str().len() + 1).sum();
                names + configuration_bytes(&change.op)
            }
        };
        ENTRY_BASE_BYTES + variable
    }
}

/// Approximate encoded size of a configuration in bytes; 0 for other operations.
fn configuration_bytes(op: &Op) -> usize {
    let Op::Configure(configuration) = op else {
        return 0;
    };
    let routes: usize = configuration.hosts.iter().map(|h| h.routes.len()).sum();
    ROUTE_BYTES * (routes + configuration.services.len())
}

/// State after applying the log up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last applied entry.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership at that entry.
    pub membership: Membership,
    /// Profiles and kept answers.
    pub registry: Registry,
}

/// What the store found on disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// Random number of this data directory.
    pub disk_id: u64,
    /// Last saved hard state.
    pub hard_state: HardState,
    /// Last saved snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry>,
}
