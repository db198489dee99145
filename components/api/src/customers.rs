//! JSON bodies about customers.

use model::HostName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Response to `GET /v1/customers`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerList {
    /// Version of the configuration; 0 without one.
    pub version: u64,
    /// The customers; `None` if callers need no key.
    pub customers: Option<Vec<CustomerEntry>>,
    /// The live nodes.
    pub nodes: Vec<NodeProof>,
}

/// One customer. Keys are never sent, only their number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerEntry {
    /// Its name.
    pub name: String,
    /// Number of its keys.
    pub keys: usize,
    /// Rank of its calls, if it has one.
    pub rank: Option<u32>,
    /// Calls per second over all nodes, if they are limited.
    pub rate_per_s: Option<f64>,
    /// Calls beyond the rate that may come at once.
    pub burst: Option<f64>,
}

/// When a node was last confirmed for strict revocation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeProof {
    /// Its mesh address.
    pub node: SocketAddr,
    /// Name of the host that it runs on.
    pub host: HostName,
    /// Age of its last proof, as the replicas that answer know it; `None` if none of them gave it one
    /// in the last minute.
    pub proof_age_ms: Option<u64>,
}
