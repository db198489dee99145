//! Messages that spread profiles and collect what is in effect.

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

/// What a process asks about profiles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncRequest {
    /// Asks for what is newer than `have`; a control replica may hold the reply for `wait_ms`.
    Pull {
        /// Configuration in effect at the sender.
        have: Revision,
        /// Digest of that configuration.
        digest: u64,
        /// Longest wait for a newer configuration, in milliseconds.
        wait_ms: u32,
        /// State of the sender, if it is a node.
        report: Option<NodeReport>,
    },
    /// Asks a replica for the node reports that it has.
    Reports,
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
    /// The sender has the newest configuration that the replier knows.
    Unchanged {
        /// Configuration that the replier knows.
        revision: Revision,
    },
    /// What the sender lacks.
    Newer(Box<Delta>),
    /// The replier has no configuration yet.
    Empty,
    /// Reports of the nodes that pull from the replier.
    Reports(Vec<NodeReport>),
    /// Whether the node drains the named instance now.
    Drained(bool),
}
