//! Messages between nodes about profiles and instances.

use model::{
    AvailabilityZone, HostName, NodeId, ProfileName, Revision, ServiceName, UpstreamName,
    UpstreamState,
};
use registry::Delta;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An instance as its node reports it to the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Name of the instance.
    pub name: UpstreamName,
    /// Service of the instance.
    pub service: ServiceName,
    /// Life cycle.
    pub state: UpstreamState,
    /// Address where it serves.
    pub address: SocketAddr,
    /// Profiles that its calls use.
    pub profiles: Vec<ProfileName>,
}

/// What a node tells the control group with each pull.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The node.
    pub node: NodeId,
    /// Its host.
    pub host: HostName,
    /// Availability zone of its host.
    pub availability_zone: AvailabilityZone,
    /// Configuration in effect there.
    pub revision: Revision,
    /// Age of this report in milliseconds, counted up by each process that passes it on.
    pub age_ms: u64,
    /// Whether the node is leaving.
    pub leaving: bool,
    /// The instance beside the node.
    pub instance: Option<InstanceReport>,
}

/// What a node is asked by a peer or by a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncRequest {
    /// Asks for what is newer than `have`.
    Pull {
        /// Configuration in effect at the sender.
        have: Revision,
        /// Digest of that configuration.
        digest: u64,
    },
    /// Asks a node to drain its instance.
    Drain {
        /// Service of the instance, if the operator named one.
        service: Option<ServiceName>,
        /// Name of the instance.
        instance: UpstreamName,
    },
}

/// Reply to a [`SyncRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// The sender's configuration is as new as the replier's.
    Unchanged,
    /// What the sender lacks.
    Newer(Box<Delta>),
    /// Whether the node drains the named instance now.
    Drained(bool),
}
