//! Bounded subsets of a service's upstreams, one per entry.

use model::{NodeId, ServiceName, UpstreamName};
use std::cmp::Reverse;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Part of a subset that is kept for other availability zones, as a divisor.
const FAR_DIVISOR: usize = 4;

/// The `size` members with the highest rendezvous weight for this entry.
///
/// A member that leaves is replaced in the subsets that held it and changes no other subset.
pub fn subset<'a>(
    service: &ServiceName,
    entry: &NodeId,
    members: &'a [UpstreamName],
    size: usize,
) -> Vec<&'a UpstreamName> {
    let seed = entry_hash(service, entry);
    let mut weighted: Vec<(u64, &UpstreamName)> = members
        .iter()
        .map(|name| (mix(fnv(seed, name.as_str().as_bytes())), name))
        .collect();
    weighted.sort_unstable_by_key(|&(weight, name)| (Reverse(weight), name));
    weighted.truncate(size);
    weighted.into_iter().map(|(_, name)| name).collect()
}

/// As `subset`, with members in the entry's availability zone first: calls can then stay in the
/// zone, and the places kept for others let them leave it when it is full.
pub fn zone_first_subset<'a>(
    service: &ServiceName,
    entry: &NodeId,
    near: &'a [UpstreamName],
    far: &'a [UpstreamName],
    size: usize,
) -> Vec<&'a UpstreamName> {
    let far_places = (size / FAR_DIVISOR).min(far.len());
    let near_places = (size - far_places).min(near.len());
    let mut chosen = subset(service, entry, near, near_places);
    chosen.extend(subset(service, entry, far, size - near_places));
    chosen
}

fn entry_hash(service: &ServiceName, entry: &NodeId) -> u64 {
    let hash = fnv(FNV_OFFSET, service.as_str().as_bytes());
    let hash = fnv(hash, entry.mesh.to_string().as_bytes());
    fnv(hash, &entry.incarnation.to_le_bytes())
}

fn fnv(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Spreads similar inputs over all bits; FNV alone leaves names that differ in the last
/// character with correlated high bits.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
