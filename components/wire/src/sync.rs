//! Messages to nodes, from peers and control replicas, and the report that nodes send with pulls.

use model::{
    AvailabilityZone, HostName, NodeId, ProfileName, Revision, ServiceName, UpstreamName,
    UpstreamState,
};
use registry::Delta;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// An instance as its node reports it to the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Name of the instance, unique in its service.
    pub name: UpstreamName,
    /// Service whose calls the instance answers.
    pub service: ServiceName,
    /// Life-cycle state.
    pub state: UpstreamState,
    /// Address on which it serves calls.
    pub address: SocketAddr,
    /// Profiles that its calls use.
    pub profiles: Vec<ProfileName>,
}

/// Report that a node sends to the control group with each pull.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Node that the report is about.
    pub node: NodeId,
    /// Name of the host that the node runs on.
    pub host: HostName,
    /// Availability zone of its host.
    pub availability_zone: AvailabilityZone,
    /// Revision of the configuration in effect there.
    pub revision: Revision,
    /// Age of this report in milliseconds: 0 from the node itself, set by a replica that passes the
    /// report on.
    pub age_ms: u64,
    /// Whether the node is stopping and about to leave.
    pub leaving: bool,
    /// The instance beside the node; `None` if none is announced.
    pub instance: Option<InstanceReport>,
}

/// Request to a node from a peer or a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncRequest {
    /// Asks for everything newer than `have`.
    Pull {
        /// Revision of the configuration in effect at the sender.
        have: Revision,
        /// Digest of the configuration at `have`.
        digest: u64,
    },
    /// Asks a node to drain its instance.
    Drain {
        /// Service of the instance, if the operator named one.
        service: Option<ServiceName>,
        /// Name of the instance to drain.
        instance: UpstreamName,
    },
    /// Asks a node for its use of the quotas of customers.
    QuotaUse,
}

/// Reply to a [`SyncRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// The requester's configuration is as new as this node's.
    Unchanged,
    /// The part of the configuration that the requester lacks.
    Newer(Box<Delta>),
    /// Whether the node drains the named instance now.
    Drained(bool),
    /// Use of quotas at this node.
    QuotaUse(Vec<CustomerQuotaUse>),
}

/// Use of the quota of one customer at a node since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerQuotaUse {
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Share of the node in thousandths of a call per second.
    pub share_milli_per_s: u64,
    /// Calls admitted, without those whose token was given back.
    pub admitted: u64,
    /// Calls refused because the customer was over its limit.
    pub over_limit: u64,
    /// Calls refused because the node had no share.
    pub unconfirmed: u64,
}
