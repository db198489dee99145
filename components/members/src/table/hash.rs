//! Hashes of nodes, records, zones and regions that are the same on all hosts.

use model::{AvailabilityZone, NodeId, Region};
use std::net::SocketAddr;

/// Hash that is the same on all hosts: 64-bit FNV-1a followed by an avalanche step.
fn stable_hash(bytes: impl IntoIterator<Item = u8>) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in bytes {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

fn address_bytes(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address {
        SocketAddr::V4(v4) => v4.ip().octets().to_vec(),
        SocketAddr::V6(v6) => v6.ip().octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

pub(crate) fn node_hash(node: NodeId) -> u64 {
    stable_hash(
        address_bytes(node.mesh)
            .into_iter()
            .chain(node.incarnation.to_be_bytes()),
    )
}

/// Hash that identifies one version of a record in digests.
pub(crate) fn record_hash(node: NodeId, sequence: u32) -> u32 {
    (node_hash(node) ^ stable_hash(sequence.to_be_bytes())) as u32
}

/// Hash of a region's name, used as its key.
pub(crate) fn region_key(region: &Region) -> u32 {
    stable_hash(region.as_str().bytes()) as u32
}

/// Hash used as the key of an availability zone. It covers the region, since two regions may have
/// zones of the same name.
pub(crate) fn zone_key(region: &Region, zone: &AvailabilityZone) -> u32 {
    let region = region.as_str().bytes();
    stable_hash(region.chain([0]).chain(zone.as_str().bytes())) as u32
}
