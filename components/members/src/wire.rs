//! Datagrams between members, encoded with `postcard`; the order of fields and variants is fixed.

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
    /// Sequence of the sender's own record; tells a receiver whether it lacks that record.
    pub(crate) sequence: u32,
    /// Configuration revision that the sender holds.
    pub(crate) revision: Revision,
    pub(crate) body: Body,
    pub(crate) notices: Vec<Notice>,
    pub(crate) records: Vec<Record>,
    /// Earlier versions spread crash reports in this list; it is sent empty and ignored.
    pub(crate) reports: Vec<FormerReport>,
}

/// Purpose of a datagram; records and notices travel with any of them.
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
    /// Answers a `PingRequest` if the target did not answer in time.
    Nack { nonce: u32 },
    /// Digests of all availability zones, as (zone key, hash). A receiver answers with a `Page` for
    /// zones whose digests differ.
    Summary { zones: Vec<(u32, u32)> },
    /// Answers a `Summary` whose digests are all equal to the sender's.
    Equal,
    /// Answers a `Summary` with members to ask instead, because the sender's budget is spent.
    Referral { peers: Vec<SocketAddr> },
    /// Hashes of all records of one availability zone above `after` and up to `last`.
    Page {
        zone: u32,
        locality: Locality,
        after: Option<u32>,
        last: Option<u32>,
        hashes: Vec<u32>,
    },
    /// Asks for the next page.
    NextPage { zone: u32, after: u32 },
    /// Answers a `Page` with the hashes of records that it lacked.
    Missing { hashes: Vec<u32> },
    /// Asks for the records with these hashes.
    Want { hashes: Vec<u32> },
    /// Carries records and notices that the receiver was found to lack.
    Repair,
}

/// Location of an availability zone relative to the receiver. A new node fetches the records of
/// nearer zones first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Locality {
    /// The receiver's availability zone.
    OwnZone,
    /// Another zone of the receiver's region.
    OwnRegion,
    /// Another region.
    Remote,
}

/// Version of a member's record within one incarnation: a base record and a change to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordVersion {
    /// Grows with each change and refutation.
    pub(crate) sequence: u32,
    /// Sequence at which the base record was announced; an alive notice refers to it.
    pub(crate) base_sequence: u32,
    /// Difference from the base record.
    pub(crate) change: Option<UpstreamChange>,
}

/// New state of one upstream, so that a drain needs a notice only and not a whole record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamChange {
    /// Index of the upstream in the base record.
    pub(crate) index: u8,
    pub(crate) state: UpstreamState,
    pub(crate) version: u64,
}

/// Whole record of a member, or one part of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) node: NodeId,
    pub(crate) version: RecordVersion,
    pub(crate) region: Region,
    pub(crate) zone: AvailabilityZone,
    pub(crate) host: HostName,
    pub(crate) part: u8,
    pub(crate) parts: u8,
    pub(crate) upstreams: Vec<UpstreamRecord>,
}

/// An upstream without the fields that are those of its node.
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

/// A claim about a member, without the member's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Notice {
    pub(crate) node: NodeId,
    pub(crate) sequence: u32,
    pub(crate) claim: Claim,
}

/// State of a member as of the notice's sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Claim {
    /// The member is alive with this change to its base record.
    Alive {
        base_sequence: u32,
        change: Option<UpstreamChange>,
    },
    /// The member did not answer a probe of `by`.
    Suspect { by: SocketAddr },
    /// The member did not refute a suspicion in time.
    Failed,
    /// The member left.
    Left,
}

/// Report of an earlier version, which members of that version still send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FormerReport {
    id: u64,
    ttl_ms: u32,
    bytes: Vec<u8>,
}
