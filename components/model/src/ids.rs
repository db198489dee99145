//! Identifiers of processes, calls, attempts and revisions.

use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};

/// One run of a process of the system. After a restart at the same address it is a new node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeId {
    /// Address of the mesh port, TCP and UDP.
    pub mesh: SocketAddr,
    /// Start time of the process in microseconds since the Unix epoch.
    pub incarnation: u64,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.mesh, self.incarnation)
    }
}

/// Identifier of a call, unique over all entries and their restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId {
    /// Random number of the entry, drawn at its start.
    pub origin: u64,
    /// Counter of the calls of the entry.
    pub sequence: u64,
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.origin, self.sequence)
    }
}

/// Identifier of one attempt of a call at one owner. Each retry and hedge is a new attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Call that the attempt belongs to.
    pub call: CallId,
    /// Number of the attempt within the call, from 0.
    pub attempt: u16,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.call, self.attempt)
    }
}

/// Position of a configuration state in the replicated log; a node never goes back to a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Revision {
    /// Term of the leader that proposed the change.
    pub term: u64,
    /// Number of accepted changes up to this one.
    pub number: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}
