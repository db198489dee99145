//! Messages to control replicas.

use crate::sync::NodeReport;
use errors::ErrorKind;
use members::{Introduction, IntroductionReply};
use model::Revision;
use registry::{Change, Delta};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a process asks of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Asks for what is newer than `have`; the replica may hold the reply for `wait_ms`.
    Pull {
        /// Configuration in effect at the sender.
        have: Revision,
        /// Digest of that configuration.
        digest: u64,
        /// Longest wait for a newer configuration, in milliseconds.
        wait_ms: u32,
        /// State of the sender.
        report: Box<NodeReport>,
    },
    /// Asks a replica for the node reports that it has.
    Reports,
    /// Asks a replica for the mesh addresses of a few nodes, drawn at random.
    Contacts,
    /// Makes a starting node known to the others that start, and asks for their records.
    Introduce(Box<Introduction>),
    /// Asks a replica for the mesh addresses of all replicas.
    Replicas,
    /// Hands an operator's change to the leader.
    Propose(Box<Change>),
    /// Asks the leader for the newest configuration.
    Read,
}

/// Reply to a [`ControlRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The sender has the newest configuration that the group accepted.
    Unchanged,
    /// What the sender lacks.
    Newer(Box<Delta>),
    /// The replica has no leader at present, so it can't tell what is newest.
    NoLeader,
    /// Reports of the nodes that pull from the replica.
    Reports(Vec<NodeReport>),
    /// Mesh addresses of nodes that pull from the replica.
    Contacts(Vec<SocketAddr>),
    /// Records of other starting nodes.
    Introduced(IntroductionReply),
    /// Mesh addresses of the replicas, as far as the replier knows.
    Replicas(Vec<SocketAddr>),
    /// Result of a change: its revision, or the refusal with its detail.
    Proposed(Result<Revision, (ErrorKind, String)>),
    /// The newest configuration, whole, or the refusal with its detail.
    Configuration(Result<Box<Delta>, (ErrorKind, String)>),
}
