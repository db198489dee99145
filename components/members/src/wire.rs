//! Datagrams between members and their encoded size.

use model::{
    AvailabilityZone, HostName, NodeId, ProfileName, ProfileRule, Region, Revision, ServiceName,
    UpstreamName, UpstreamState,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// Largest encoded datagram in bytes. The mesh adds its own header and authentication tag, and
/// the sum stays below the 1,200 bytes that a datagram may take.
pub const MAX_DATAGRAM_BYTES: usize = 1_100;
/// IP, UDP and mesh headers of one datagram in bytes, counted against the byte budget.
pub(crate) const OVERHEAD_BYTES: usize = 90;

/// One message between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Incarnation of the sender.
    pub(crate) incarnation: u64,
    /// Sequence of the sender's own record, so that a receiver notices that it misses it.
    pub(crate) sequence: u32,
    /// Configuration revision that the sender holds.
    pub(crate) revision: Revision,
    pub(crate) body: Body,
    pub(crate) notices: Vec<Notice>,
    pub(crate) records: Vec<Record>,
    pub(crate) extras: Vec<Extra>,
}

/// Purpose of a datagram; records, notices and reports travel with any of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Carries updates only.
    Gossip,
    /// Asks for an `Ack`.
    Ping { nonce: u32 },
    /// Answers a `Ping`, or reports an indirect probe's success.
    Ack { nonce: u32 },
    /// Asks the receiver to probe `target`.
    PingRequest { nonce: u32, target: SocketAddr },
    /// The receiver of a `PingRequest` got no answer from the target either.
    Nack { nonce: u32 },
    /// Digest of each availability zone, as (zone key, hash). Unequal ones are answered by `Page`.
    Summary { zones: Vec<(u32, u32)> },
    /// All digests of a `Summary` are equal to the sender's.
    Equal,
    /// Members to ask instead, because the sender has answered too many digests.
    Referral { peers: Vec<SocketAddr> },
    /// Hashes of the records of one availability zone, complete after `after` and up to `last`.
    Page {
        zone: u32,
        rank: Rank,
        after: Option<u32>,
        last: Option<u32>,
        hashes: Vec<u32>,
    },
    /// Asks for the page that follows.
    NextPage { zone: u32, after: u32 },
    /// Hashes of records that a `Page` of the receiver lacked.
    Missing { hashes: Vec<u32> },
    /// Asks for the records with these hashes.
    Want { hashes: Vec<u32> },
    /// Carries what the receiver lacked, as found by the messages above.
    Repair,
}

/// Order in which a new node fetches records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Rank {
    /// The receiver's availability zone.
    OwnZone,
    /// Another zone of the receiver's region.
    OwnRegion,
    /// Another region.
    Remote,
}

/// Version of a member's record within one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Stamp {
    /// Grows with each change and refutation.
    pub(crate) sequence: u32,
    /// Sequence of the base record, which a notice can refer to.
    pub(crate) base: u32,
    /// What differs from the base record.
    pub(crate) change: Option<UpstreamChange>,
}

/// New state of one upstream. A drain spreads as a notice with this instead of a whole record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamChange {
    /// Place of the upstream in the base record.
    pub(crate) index: u8,
    pub(crate) state: UpstreamState,
    pub(crate) version: u64,
}

/// Whole record of a member, or one part of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) node: NodeId,
    pub(crate) stamp: Stamp,
    pub(crate) region: Region,
    pub(crate) zone: AvailabilityZone,
    pub(crate) host: HostName,
    pub(crate) part: u8,
    pub(crate) parts: u8,
    pub(crate) upstreams: Vec<UpstreamRecord>,
}

/// An upstream without the fields that it shares with its node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamRecord {
    pub(crate) name: UpstreamName,
    pub(crate) service: ServiceName,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) state: UpstreamState,
    pub(crate) announced_ms: u64,
    pub(crate) default_profile: ProfileName,
    pub(crate) rules: Arc<[ProfileRule]>,
    pub(crate) version: u64,
}

/// Change of a member's standing without its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Notice {
    pub(crate) node: NodeId,
    pub(crate) sequence: u32,
    pub(crate) claim: Claim,
}

/// What a notice claims about the member at the notice's sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Claim {
    /// The member is alive with this change to its base record.
    Alive {
        base: u32,
        change: Option<UpstreamChange>,
    },
    /// The member missed the probe of `by`.
    Suspect { by: SocketAddr },
    /// The member did not refute a suspicion in time.
    Failed,
    /// The member left.
    Left,
}

/// A short report that spreads until its time to live ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Extra {
    pub(crate) id: u64,
    pub(crate) ttl_ms: u32,
    pub(crate) bytes: Vec<u8>,
}
