//! Upper bounds of the encoded sizes in bytes under `postcard`, which this crate doesn't depend on.

use crate::wire::{Body, Datagram, Notice, Record, UpstreamRecord};
use model::ProfileRule;
use std::net::SocketAddr;

/// Largest encoded socket address: variant, IPv6 octets, port.
const MAX_ADDRESS_BYTES: usize = 20;

/// Largest encoded 32-bit number.
const MAX_U32_BYTES: usize = 5;
/// Largest encoded `RecordVersion`: two numbers and a change of up to 13 bytes.
const MAX_VERSION_BYTES: usize = 2 * MAX_U32_BYTES + 13;
/// Most hashes that fit one datagram beside its header and a notice.
pub(crate) const MAX_HASHES: usize = 190;

pub(crate) fn varint(value: u64) -> usize {
    let bits = 64 - value.max(1).leading_zeros() as usize;
    bits.div_ceil(7)
}

fn text(value: &str) -> usize {
    varint(value.len() as u64) + value.len()
}

fn address(value: SocketAddr) -> usize {
    let octets = if value.is_ipv4() { 4 } else { 16 };
    1 + octets + varint(value.port().into())
}

pub(crate) fn notice(value: &Notice) -> usize {
    // One byte for the variant of the claim; its longest content is the address in a suspicion.
    let node = address(value.node.mesh) + varint(value.node.incarnation);
    node + varint(value.sequence.into()) + 1 + MAX_ADDRESS_BYTES
}

pub(crate) fn rule(value: &ProfileRule) -> usize {
    1 + value.method.as_deref().map_or(0, text)
        + text(&value.path_prefix)
        + text(value.profile.as_str())
}

/// Size of an upstream without its rules; their count takes up to 3 bytes.
pub(crate) fn upstream_without_rules(value: &UpstreamRecord) -> usize {
    text(value.name.as_str())
        + text(value.service.as_str())
        + address(value.address)
        + varint(value.slots.into())
        + varint(value.connections.into())
        + 1
        + varint(value.announced_ms)
        + text(value.default_profile.as_str())
        + 3
        + varint(value.version)
}

/// Size of a record without its upstreams.
pub(crate) fn record_without_upstreams(value: &Record) -> usize {
    address(value.node.mesh)
        + varint(value.node.incarnation)
        + MAX_VERSION_BYTES
        + text(value.region.as_str())
        + text(value.zone.as_str())
        + text(value.host.as_str())
        + 2
        + 2
}

pub(crate) fn record(value: &Record) -> usize {
    let upstreams: usize = value
        .upstreams
        .iter()
        .map(|upstream| {
            upstream_without_rules(upstream) + upstream.rules.iter().map(rule).sum::<usize>()
        })
        .sum();
    record_without_upstreams(value) + upstreams
}

fn body(value: &Body) -> usize {
    1 + match value {
        Body::Gossip | Body::Equal | Body::Repair => 0,
        Body::Ping { nonce } | Body::Ack { nonce } | Body::Nack { nonce } => {
            varint((*nonce).into())
        }
        Body::PingRequest { nonce, target } => varint((*nonce).into()) + address(*target),
        Body::Summary { zones } => {
            let pairs = zones
                .iter()
                .map(|(key, hash)| varint((*key).into()) + varint((*hash).into()));
            2 + pairs.sum::<usize>()
        }
        Body::Referral { peers } => 1 + peers.iter().copied().map(address).sum::<usize>(),
        Body::Page { hashes, .. } => 1 + 5 * MAX_U32_BYTES + hashes.len() * MAX_U32_BYTES,
        Body::NextPage { .. } => 2 * MAX_U32_BYTES,
        Body::Missing { hashes } | Body::Want { hashes } => 2 + hashes.len() * MAX_U32_BYTES,
    }
}

/// Upper bound of the encoded size.
pub(crate) fn datagram(value: &Datagram) -> usize {
    let header = varint(value.incarnation)
        + varint(value.sequence.into())
        + varint(value.revision.term)
        + varint(value.revision.number);
    // Each of the three lists has a count of up to 2 bytes.
    header
        + body(&value.body)
        + 6
        + value.notices.iter().map(notice).sum::<usize>()
        + value.records.iter().map(record).sum::<usize>()
}
