//! What a member tells about itself and what the protocol reports to its caller.

use crate::Datagram;
use model::{AvailabilityZone, HostName, NodeId, Region, Revision, Upstream};
use snafu::Snafu;
use std::{net::SocketAddr, sync::Arc};

/// Longest shared report in bytes.
pub const MAX_REPORT_BYTES: usize = 64;

/// Standing of a member. Of two records with equal incarnation and sequence, the greater one wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe and has not refuted the suspicion yet; still counts as a member.
    Suspect,
    /// Did not refute a suspicion in time; may return by refuting it.
    Failed,
    /// Left by itself; this incarnation doesn't return.
    Left,
}

impl MemberState {
    /// Whether the member is part of the group.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// A node and the upstreams beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeInfo {
    /// The node.
    pub node: NodeId,
    /// Its availability zone; the local one is taken from `MemberConfig`.
    pub zone: AvailabilityZone,
    /// Its region; the local one is taken from `MemberConfig`.
    pub region: Region,
    /// Its host.
    pub host: HostName,
    /// Upstreams beside it. Their node, host and availability zone are those of the node.
    pub upstreams: Vec<Upstream>,
    /// Revision in effect when the node last sent a datagram here; zero if it never did.
    pub revision: Revision,
    /// Standing in the group; the local one is taken from `leave`.
    pub state: MemberState,
}

/// What the caller of `Members` has to do or to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a datagram.
    Send {
        /// Mesh address of the receiver.
        to: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// A member appeared.
    Joined(Arc<NodeInfo>),
    /// A live member's upstreams or state changed, or another member took over an upstream name.
    Changed(Arc<NodeInfo>),
    /// A member left by itself.
    Left(Arc<NodeInfo>),
    /// A member was found failed, or a newer incarnation replaced it.
    Failed(Arc<NodeInfo>),
    /// A peer holds a newer configuration than this node. Repeated while that is so.
    NewerRevision {
        /// Mesh address of the peer, which can be asked for the configuration.
        peer: SocketAddr,
        /// The peer's revision.
        revision: Revision,
    },
    /// A report that another member shared.
    ReportReceived(Vec<u8>),
    /// A later incarnation holds the local mesh address; this process can't take part any more.
    Superseded {
        /// The later incarnation.
        by: NodeId,
    },
}

/// A local record or report that can't be spread.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum MemberError {
    /// A rule or the fixed fields of an upstream don't fit a datagram.
    #[snafu(display(
        "instance {name}: a rule takes {bytes} bytes, at most {allowed} fit a datagram; \
         shorten the rule's path prefix"
    ))]
    RuleTooLong {
        /// Name of the upstream.
        name: String,
        /// Size of the rule.
        bytes: usize,
        /// Largest size.
        allowed: usize,
    },
    /// The upstreams of one node need too many datagrams.
    #[snafu(display(
        "the announced instances take {parts} datagrams, at most {allowed} are allowed; \
         announce fewer instances or rules on one node"
    ))]
    RecordTooLong {
        /// Datagrams needed.
        parts: usize,
        /// Largest number.
        allowed: usize,
    },
    /// A shared report is longer than `MAX_REPORT_BYTES`.
    #[snafu(display(
        "a shared report takes {bytes} bytes, at most {MAX_REPORT_BYTES} are allowed"
    ))]
    ReportTooLong {
        /// Size of the report.
        bytes: usize,
    },
    /// Too many reports are being spread; the new one was dropped.
    #[snafu(display("too many shared reports are being spread; share this one later"))]
    TooManyReports,
}
