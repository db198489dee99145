//! Messages of nodes and control replicas to control replicas.

use crate::sync::NodeReport;
use errors::ErrorKind;
use members::{Introduction, IntroductionReply};
use model::Revision;
use quota::{QuotaAnswer, QuotaReport};
use registry::{Change, Delta};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Request to a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Asks for everything newer than `have`; the replica may hold the reply for `wait_ms`.
    Pull {
        /// Revision of the configuration in effect at the sender.
        have: Revision,
        /// Digest of the configuration at `have`.
        digest: u64,
        /// Longest wait for a newer configuration, in milliseconds.
        wait_ms: u32,
        /// State of the sender.
        report: Box<NodeReport>,
    },
    /// Asks for the node reports that the replica has.
    Reports,
    /// Asks for the mesh addresses of a few random nodes.
    Contacts,
    /// Introduces a starting node to the other starting nodes, and asks for their records.
    Introduce(Box<Introduction>),
    /// Asks for the mesh addresses of all replicas.
    Replicas,
    /// Submits an operator's change to the leader.
    Propose(Box<Change>),
    /// Asks the leader for the newest configuration.
    Read,
    /// Reports a node's demand for quotas of customers to the leader.
    Quota(QuotaReport),
    /// Asks for the group's revision, read by a quorum round that begins after this request has
    /// arrived. Any replica answers it with `Confirmed`, or with `NoLeader` after a while.
    Confirm {
        /// Revision of the configuration in effect at the sender. Replicas don't use it: the sender
        /// compares. It stays for the sake of processes with other versions.
        have: Revision,
    },
    /// Asks the leader for the group's revision, read by such a round; answered with `Revision`.
    ReadRevision,
    /// Asks for the ages of the nodes' proofs that the replica gave.
    ProofAges,
    /// Tells the leader that this process of a node ends and uses no quota any more. Answered with
    /// `Unchanged`; a replica that doesn't lead ignores it.
    LeaveQuotas,
}

/// Reply to a [`ControlRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The requester has the newest configuration that the group accepted.
    Unchanged,
    /// The part of the configuration that the requester lacks.
    Newer(Box<Delta>),
    /// The replica has no leader at present or is behind it, so it does not know what is newest.
    NoLeader,
    /// Reports of the nodes that pull from the replica.
    Reports(Vec<NodeReport>),
    /// Mesh addresses of nodes that pull from the replica.
    Contacts(Vec<SocketAddr>),
    /// Records of other starting nodes.
    Introduced(IntroductionReply),
    /// Mesh addresses of the replicas that this replica knows.
    Replicas(Vec<SocketAddr>),
    /// Result of a change: its revision, or the reason for the refusal with a detail.
    Proposed(Result<Revision, (ErrorKind, String)>),
    /// The complete newest configuration, or the reason for the refusal with a detail.
    Configuration(Result<Box<Delta>, (ErrorKind, String)>),
    /// As `NoLeader`; the replica has a configuration that the requester lacks, which may not be
    /// the newest.
    Unconfirmed(Box<Delta>),
    /// Answer to a report about quotas.
    Quota(QuotaAnswer),
    /// The group's revision at some moment after the request had arrived.
    Confirmed {
        /// Newest accepted revision.
        revision: Revision,
    },
    /// The same from the leader; `None` if it could not be read.
    Revision(Option<Revision>),
    /// Mesh addresses of nodes and the ages of their proofs in milliseconds.
    ProofAges(Vec<(SocketAddr, u64)>),
}
