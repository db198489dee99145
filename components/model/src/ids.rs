//! Identifiers of processes, calls and configuration states.

use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};

/// One run of a process of the system; a restart at the same address is a new node.
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

/// A caller's call, unique over all entries and their restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId {
    /// Random number that the entry draws at its start.
    pub origin: u64,
    /// Counter within the entry.
    pub sequence: u64,
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.origin, self.sequence)
    }
}

/// One attempt of a call at one owner; retries and hedges have numbers of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The call that the attempt serves.
    pub call: CallId,
    /// Number of the attempt within the call, from 0.
    pub attempt: u16,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.call, self.attempt)
    }
}

/// Position of a configuration in the replicated log; a node never moves to a lower one.
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
