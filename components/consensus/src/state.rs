//! State of a replica that is stored on disk: identity, vote, log entries and snapshots.

use registry::{Change, Op, Registry};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt, sync::Arc};

/// Number of a replica: its position in a fixed group, or a number derived from its address in an
/// open group.
pub type ReplicaNumber = u64;

/// Identity of a replica: its number and the disk that holds its votes and log.
///
/// Each new data directory gets a new disk id. A replica that lost its disk therefore never counts
/// as the identity that voted and acknowledged entries before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaId {
    /// Number of the replica in its group.
    pub number: ReplicaNumber,
    /// Random number drawn when the data directory was created.
    pub disk_id: u64,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.number, self.disk_id)
    }
}

/// The voters of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Identities that vote; at most one per replica number.
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

    /// Number of voters in a quorum, which is a majority.
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

/// Initial membership of a new group. Each member must accept it before the group starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Formation {
    /// Rank among proposed formations: a replica without a log replaces an accepted formation only
    /// by one with a higher ballot.
    pub ballot: u64,
    /// One identity for each configured replica number.
    pub members: Membership,
}

impl Formation {
    /// What a founder of an open group holds from its first start until it accepts a formation.
    pub(crate) fn before_first() -> Self {
        Formation {
            ballot: 0,
            members: Membership::default(),
        }
    }
}

/// Term, vote and formation. They are saved before any message that depends on them is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Identity voted for in this term.
    pub voted_for: Option<ReplicaId>,
    /// Formation that this replica accepted last.
    pub formation: Option<Formation>,
    /// Whether all members are known to have accepted the formation.
    pub formed: bool,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a new leader. Committing it also commits the entries of earlier terms.
    Empty,
    /// New membership; it applies as soon as it is in the log, even before it is committed.
    Membership(Membership),
    /// An operator's change.
    Change(Arc<Change>),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that proposed the entry.
    pub term: u64,
    /// What the entry changes.
    pub payload: Payload,
}

/// Approximate encoded size of an entry without its names and lists.
const ENTRY_BASE_BYTES: usize = 96;
/// Approximate encoded size of one route or service in a configuration.
const ROUTE_BYTES: usize = 80;
/// Largest encoded size of the address of a node.
const NODE_BYTES: usize = 20;

impl Entry {
    /// Approximate encoded size, for the limits on batches and on entries in flight.
    pub fn size_bytes(&self) -> usize {
        let variable = match &self.payload {
            Payload::Empty => 0,
            Payload::Membership(membership) => membership.voters.len() * 16,
            Payload::Change(change) => {
                let names: usize = change.in_use.iter().map(|n| n.as_str().len() + 1).sum();
                names + op_bytes(&change.op)
            }
        };
        ENTRY_BASE_BYTES + variable
    }
}

/// Approximate encoded size of a configuration or a list of nodes in bytes; 0 for other operations.
fn op_bytes(op: &Op) -> usize {
    match op {
        Op::Configure(configuration) => {
            let routes: usize = configuration.hosts.iter().map(|h| h.routes.len()).sum();
            ROUTE_BYTES * (routes + configuration.services.len())
        }
        Op::RecordQuotaHolders(update) => NODE_BYTES * (update.added.len() + update.removed.len()),
        _ => 0,
    }
}

/// State after applying the log up to an index; replaces the entries up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last applied entry.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership as of that entry.
    pub membership: Membership,
    /// Profiles, configuration and the results kept for resent changes.
    pub registry: Registry,
}

/// State that the store read from disk when it was opened.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// Disk id of the data directory.
    pub disk_id: u64,
    /// Last saved hard state.
    pub hard_state: HardState,
    /// Last saved snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry>,
}
