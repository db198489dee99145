//! Public types: records of members, actions for the caller, and errors.

use crate::Datagram;
use model::{AvailabilityZone, HostName, NodeId, Region, Revision, Upstream};
use snafu::Snafu;
use std::{net::SocketAddr, sync::Arc};

/// State of a member. Of two claims with equal incarnation and sequence, the greater state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe and has not refuted the suspicion yet; still counts as a member.
    Suspect,
    /// Did not refute a suspicion in time; may return by refuting it.
    Failed,
    /// Announced its leave; this incarnation doesn't return.
    Left,
}

impl MemberState {
    /// Whether the member is part of the group.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// Record of a member: a node, its location and the upstreams on its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeInfo {
    /// Identity of the node: its mesh address and incarnation.
    pub node: NodeId,
    /// Its availability zone; the local one is taken from `MemberConfig`.
    pub zone: AvailabilityZone,
    /// Its region; the local one is taken from `MemberConfig`.
    pub region: Region,
    /// Name of the host that the node runs on.
    pub host: HostName,
    /// Upstreams that the node owns. Their node, host and availability zone are the node's own.
    pub upstreams: Vec<Upstream>,
    /// Configuration revision in effect at the node when it last sent a datagram here; zero if it
    /// never did.
    pub revision: Revision,
    /// State in the group; that of the local node changes only by `Members::leave`.
    pub state: MemberState,
}

/// A datagram to send or an event to handle, returned to the caller of `Members`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a datagram.
    Send {
        /// Mesh address of the receiver.
        to: SocketAddr,
        /// Datagram of at most `MAX_DATAGRAM_BYTES` when encoded.
        datagram: Datagram,
    },
    /// A member joined the group or returned to it.
    Joined(Arc<NodeInfo>),
    /// A live member's upstreams or state changed, or another member took over one of its upstream
    /// names.
    Changed(Arc<NodeInfo>),
    /// A member left gracefully.
    Left(Arc<NodeInfo>),
    /// A member failed, or a newer incarnation replaced it.
    Failed(Arc<NodeInfo>),
    /// A peer holds a newer configuration than this node. Repeated until this node has it.
    NewerRevision {
        /// Mesh address of the peer, which can be asked for the configuration.
        peer: SocketAddr,
        /// The peer's revision.
        revision: Revision,
    },
    /// A newer incarnation uses the local mesh address; this process is no longer a member.
    Superseded {
        /// The newer incarnation.
        by: NodeId,
    },
}

/// A local record that can't be spread.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum MemberError {
    /// A rule doesn't fit a datagram beside the fixed fields of its upstream.
    #[snafu(display(
        "instance {name}: a rule takes {bytes} bytes, at most {allowed} fit a datagram; \
         shorten the rule's path prefix"
    ))]
    RuleTooLong {
        /// Name of the upstream that the rule belongs to.
        name: String,
        /// Size of the rule in bytes.
        bytes: usize,
        /// Largest size in bytes.
        allowed: usize,
    },
    /// The upstreams of one node need too many datagrams.
    #[snafu(display(
        "the announced instances take {parts} datagrams, at most {allowed} are allowed; \
         announce fewer instances or rules on one node"
    ))]
    RecordTooLong {
        /// Datagrams that the record needs.
        parts: usize,
        /// Most datagrams that a record may need.
        allowed: usize,
    },
}
