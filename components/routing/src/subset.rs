//! Subsets of bounded size of a service's upstreams, one per entry, by rendezvous hashing.

use model::{NodeId, ServiceName, UpstreamName};
use std::cmp::Reverse;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Share of a subset that is reserved for upstreams in other availability zones, as a divisor.
const OTHER_ZONES_DIVISOR: usize = 4;

/// The `size` upstreams with the highest rendezvous weight for this entry.
///
/// An upstream that leaves is replaced in the subsets that contained it; other subsets don't
/// change.
pub fn subset<'a>(
    service: &ServiceName,
    entry: &NodeId,
    upstreams: &'a [UpstreamName],
    size: usize,
) -> Vec<&'a UpstreamName> {
    let seed = entry_hash(service, entry);
    let mut weighted: Vec<(u64, &UpstreamName)> = upstreams
        .iter()
        .map(|name| (finalize(fnv(seed, name.as_str().as_bytes())), name))
        .collect();
    weighted.sort_unstable_by_key(|&(weight, name)| (Reverse(weight), name));
    weighted.truncate(size);
    weighted.into_iter().map(|(_, name)| name).collect()
}

/// As `subset`, but with upstreams in the entry's availability zone (`near`) first, so that calls
/// can stay in the zone. A share is reserved for upstreams in other zones (`far`), so that calls
/// can leave the zone when it is at capacity.
pub fn zone_first_subset<'a>(
    service: &ServiceName,
    entry: &NodeId,
    near: &'a [UpstreamName],
    far: &'a [UpstreamName],
    size: usize,
) -> Vec<&'a UpstreamName> {
    let far_size = (size / OTHER_ZONES_DIVISOR).min(far.len());
    let near_size = (size - far_size).min(near.len());
    let mut chosen = subset(service, entry, near, near_size);
    chosen.extend(subset(service, entry, far, size - near_size));
    chosen
}

fn entry_hash(service: &ServiceName, entry: &NodeId) -> u64 {
    let hash = fnv(FNV_OFFSET, service.as_str().as_bytes());
    let hash = fnv(hash, entry.mesh.to_string().as_bytes());
    fnv(hash, &entry.incarnation.to_le_bytes())
}

/// 64-bit FNV-1a hash.
fn fnv(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Finalizes a hash so that similar inputs differ in all bits. With FNV alone, the high bits of
/// names that differ in the last character are correlated.
fn finalize(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
