//! Messages between nodes and the coordinator. Customers are numbered as in [`CustomerList`]; shares
//! and demands are in units of an eighth of a call per second.
//!
//! [`CustomerList`]: crate::CustomerList

use crate::list::ListDigest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Report of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Digest of the list that numbers the customers.
    pub list: ListDigest,
    /// Epoch of the coordinator that the node's shares are from; 0 if it has had none.
    pub epoch: u64,
    /// Rises with each report of the node.
    pub sequence: u64,
    /// Whether the entries name all shares that the node holds. Otherwise it has applied the answer
    /// to its last report, and customers without an entry are unchanged.
    pub is_full: bool,
    /// Demand by customer.
    pub demands: Vec<QuotaDemand>,
}

/// What a node reports about one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaDemand {
    /// Number of the customer.
    pub customer: u32,
    /// Share that the node holds; it may have given up a part of it.
    pub share: u32,
    /// Recent demand.
    pub demand: u32,
    /// Calls that wait for a token.
    pub waiting: u32,
    /// Unused tokens that the node gives back, in eighths.
    pub returned: u32,
}

/// Answer to a [`QuotaReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaAnswer {
    /// The lease is renewed.
    Granted(QuotaGrants),
    /// The coordinator doesn't know what the node holds; a full report is needed.
    ReportAll {
        /// Epoch of the coordinator.
        epoch: u64,
    },
    /// The coordinator numbers the customers differently; one of the two has a newer configuration.
    OtherCustomers,
    /// This replica is not the coordinator.
    NotCoordinator {
        /// Mesh address of the coordinator, if known.
        coordinator: Option<SocketAddr>,
    },
    /// A later report or a later start of the node is known.
    Outdated,
}

/// Renews the lease of a node's shares and changes some of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrants {
    /// Epoch of the coordinator.
    pub epoch: u64,
    /// Whether the coordinator has started lately or shares that its predecessor granted may still be
    /// in use, so that a lack of tokens doesn't mean that the customer is over its limit.
    pub is_settling: bool,
    /// Customers with changes.
    pub grants: Vec<QuotaGrant>,
}

/// What a node is granted for one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Number of the customer.
    pub customer: u32,
    /// Share from now on.
    pub share: u32,
    /// Tokens for the waiting calls; what they don't use counts towards the share.
    pub tokens: u32,
    /// Time for which the node does not ask again, if some of its calls got no token.
    pub pause_ms: u32,
}
