//! Lists derived from the member table: peers, ring order and gateways.

use crate::{
    info::MemberState,
    table::{Table, node_hash},
};
use model::NodeId;
use std::{collections::BTreeMap, net::SocketAddr};

/// Gateways of a region, the members that exchange digests and changed records with other regions.
/// There are three so that a failed or slow host doesn't delay a drain in other regions.
const GATEWAYS: usize = 3;

/// Members of another region.
#[derive(Debug, Default)]
pub(crate) struct RemoteRegion {
    pub(crate) gateways: Vec<SocketAddr>,
    pub(crate) members: Vec<SocketAddr>,
}

/// Derived lists; none contains the local member.
#[derive(Debug, Default)]
pub(crate) struct Views {
    /// Members of the own region.
    pub(crate) peers: Vec<SocketAddr>,
    /// Members of the own availability zone.
    pub(crate) zone_peers: Vec<SocketAddr>,
    /// Members of the own region that are not suspect, in ring order starting after the local one.
    pub(crate) successors: Vec<SocketAddr>,
    /// Other regions by key.
    pub(crate) remote: BTreeMap<u32, RemoteRegion>,
    /// Whether the local member is a gateway of its region.
    pub(crate) is_gateway: bool,
}

/// Chooses the `GATEWAYS` members with the lowest hashes.
fn choose_gateways(members: &mut [(u64, SocketAddr)]) -> Vec<SocketAddr> {
    if members.len() > GATEWAYS {
        members.select_nth_unstable(GATEWAYS);
    }
    members
        .iter()
        .take(GATEWAYS)
        .map(|(_, address)| *address)
        .collect()
}

pub(crate) fn build(table: &Table, local: NodeId, zone_key: u32, region_key: u32) -> Views {
    let mut views = Views::default();
    let mut ring = Vec::new();
    let mut own = vec![(node_hash(local), local.mesh)];
    let mut remote: BTreeMap<u32, Vec<(u64, SocketAddr)>> = BTreeMap::new();
    for member in table
        .live()
        .filter(|member| member.info.node.mesh != local.mesh)
    {
        let info = &member.info;
        let ranked = (member.node_hash, info.node.mesh);
        if member.region_key != region_key {
            remote.entry(member.region_key).or_default().push(ranked);
            continue;
        }
        own.push(ranked);
        views.peers.push(info.node.mesh);
        if member.zone_key == zone_key {
            views.zone_peers.push(info.node.mesh);
        }
        if info.state == MemberState::Alive {
            ring.push(ranked);
        }
    }
    ring.sort_unstable();
    let start = ring.partition_point(|ranked| *ranked < (node_hash(local), local.mesh));
    ring.rotate_left(start);
    views.successors = ring.into_iter().map(|(_, address)| address).collect();
    views.is_gateway = choose_gateways(&mut own).contains(&local.mesh);
    for (key, mut members) in remote {
        let gateways = choose_gateways(&mut members);
        let members = members.into_iter().map(|(_, address)| address).collect();
        views.remote.insert(key, RemoteRegion { gateways, members });
    }
    views
}
