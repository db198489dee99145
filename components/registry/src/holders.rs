//! The nodes that may hold shares of quotas, as the coordinator at the leader records them for its
//! successor.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt, net::SocketAddr};

/// The record at one log index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaHolders {
    /// Term of the leader that changed the record last. A leader of a later term that has not changed
    /// it may have lent shares without a record, as older builds do.
    pub term: u64,
    /// Whether no other node can hold anything from a leader before that.
    pub is_complete: bool,
    /// Mesh addresses of the nodes.
    pub nodes: BTreeSet<SocketAddr>,
}

/// A change of the record, proposed by the leader of `term`. In the log entries of another term it
/// has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderUpdate {
    /// Term of the leader.
    pub term: u64,
    /// Whether no other node can hold anything from a leader before that.
    pub is_complete: bool,
    /// Nodes to be added.
    pub added: Vec<SocketAddr>,
    /// Nodes to be removed.
    pub removed: Vec<SocketAddr>,
}

impl QuotaHolders {
    pub(crate) fn update(&mut self, update: &HolderUpdate) {
        self.term = update.term;
        self.is_complete = update.is_complete;
        for node in &update.removed {
            self.nodes.remove(node);
        }
        self.nodes.extend(&update.added);
    }
}

impl fmt::Display for HolderUpdate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (added, removed) = (self.added.len(), self.removed.len());
        write!(f, "{added} more and {removed} fewer holders of quotas")
    }
}
