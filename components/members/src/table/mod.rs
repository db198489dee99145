//! Table of the members known to this node.

mod dead;
mod hash;
mod merge;
mod upstreams;

pub(crate) use self::{
    hash::{node_hash, record_hash, region_key, zone_key},
    merge::MergeResult,
};
use crate::{
    info::{MemberAction, MemberState, NodeInfo},
    wire::{Claim, Notice, RecordVersion},
};
use dead::DeadMember;
use model::Revision;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};
use upstreams::{UpstreamId, upstream_ids};

/// A live member.
#[derive(Debug)]
pub(crate) struct Member {
    /// The record as the member announced it.
    announced: Arc<NodeInfo>,
    /// The record without the upstreams that another member with a newer incarnation announces too.
    pub(crate) info: Arc<NodeInfo>,
    pub(crate) version: RecordVersion,
    pub(crate) zone_key: u32,
    pub(crate) region_key: u32,
    /// Position in the ring and among the candidates for gateways.
    pub(crate) node_hash: u64,
}

/// Digest of one availability zone.
#[derive(Debug, Default)]
pub(crate) struct Zone {
    /// XOR of the hashes of all records.
    pub(crate) hash: u32,
    pub(crate) records: BTreeSet<u32>,
}

/// All known members; the local one is among them.
#[derive(Debug, Default)]
pub(crate) struct Table {
    live: BTreeMap<SocketAddr, Member>,
    dead: BTreeMap<SocketAddr, DeadMember>,
    zones: BTreeMap<u32, Zone>,
    /// Live members by the hash of their record.
    by_hash: BTreeMap<u32, SocketAddr>,
    /// Live members by the upstreams that they announce.
    announcers: BTreeMap<UpstreamId, BTreeSet<SocketAddr>>,
    /// Whether the live members or their states changed since the derived lists were built.
    pub(crate) is_dirty: bool,
}

impl Table {
    pub(crate) fn get(&self, address: SocketAddr) -> Option<&Member> {
        self.live.get(&address)
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &Member> {
        self.live.values()
    }

    pub(crate) fn zones(&self) -> &BTreeMap<u32, Zone> {
        &self.zones
    }

    /// Number of live members.
    pub(crate) fn len(&self) -> usize {
        self.live.len()
    }

    /// The live member whose record has this hash.
    pub(crate) fn find(&self, record_hash: u32) -> Option<SocketAddr> {
        self.by_hash.get(&record_hash).copied()
    }

    /// Notices that all live members of a region failed.
    pub(crate) fn failure_notices(&self, region_key: u32) -> Vec<Notice> {
        self.live
            .values()
            .filter(|member| member.region_key == region_key)
            .map(|member| Notice {
                node: member.info.node,
                sequence: member.version.sequence,
                claim: Claim::Failed,
            })
            .collect()
    }

    /// Stores the configuration revision that a member's datagram carried, if it is newer.
    pub(crate) fn set_revision(&mut self, address: SocketAddr, revision: Revision) {
        let Some(member) = self.live.get_mut(&address) else {
            return;
        };
        if member.info.revision < revision {
            Arc::make_mut(&mut member.info).revision = revision;
            Arc::make_mut(&mut member.announced).revision = revision;
        }
    }

    /// Replaces the record of the local member, whatever the table holds.
    pub(crate) fn set_local(
        &mut self,
        info: NodeInfo,
        version: RecordVersion,
        actions: &mut Vec<MemberAction>,
    ) {
        let address = info.node.mesh;
        let (_, changed) = self.replace(info, version);
        self.push_changed(changed, address, actions);
    }

    /// Stores a member's record in place of an earlier one. Returns the earlier one and the members
    /// whose visible record changed.
    fn replace(
        &mut self,
        info: NodeInfo,
        version: RecordVersion,
    ) -> (Option<Member>, BTreeSet<SocketAddr>) {
        let address = info.node.mesh;
        self.dead.remove(&address);
        let previous = self.remove(address);
        let dropped = previous
            .as_ref()
            .map(|old| upstream_ids(&old.announced))
            .unwrap_or_default();
        let mut changed = self.insert(info, version);
        changed.extend(self.refresh_visible(&dropped));
        (previous, changed)
    }

    fn insert(&mut self, info: NodeInfo, version: RecordVersion) -> BTreeSet<SocketAddr> {
        let address = info.node.mesh;
        let key = zone_key(&info.region, &info.zone);
        let zone = self.zones.entry(key).or_default();
        let hash = record_hash(info.node, version.sequence);
        zone.hash ^= hash;
        zone.records.insert(hash);
        self.by_hash.insert(hash, address);
        let ids = upstream_ids(&info);
        for id in &ids {
            self.announcers
                .entry(id.clone())
                .or_default()
                .insert(address);
        }
        let announced = Arc::new(info);
        let member = Member {
            node_hash: node_hash(announced.node),
            region_key: region_key(&announced.region),
            info: Arc::clone(&announced),
            announced,
            version,
            zone_key: key,
        };
        self.live.insert(address, member);
        self.is_dirty = true;
        self.refresh_visible(&ids)
    }

    fn remove(&mut self, address: SocketAddr) -> Option<Member> {
        let member = self.live.remove(&address)?;
        if let Some(zone) = self.zones.get_mut(&member.zone_key) {
            let hash = record_hash(member.info.node, member.version.sequence);
            zone.hash ^= hash;
            zone.records.remove(&hash);
            self.by_hash.remove(&hash);
            if zone.records.is_empty() {
                self.zones.remove(&member.zone_key);
            }
        }
        for id in upstream_ids(&member.announced) {
            if let Some(announcers) = self.announcers.get_mut(&id) {
                announcers.remove(&address);
                if announcers.is_empty() {
                    self.announcers.remove(&id);
                }
            }
        }
        self.is_dirty = true;
        Some(member)
    }

    /// The record as the member announced it.
    pub(crate) fn announced(&self, address: SocketAddr) -> Option<(&NodeInfo, RecordVersion)> {
        self.live
            .get(&address)
            .map(|member| (member.announced.as_ref(), member.version))
    }
}

fn with_state(info: &NodeInfo, state: MemberState) -> Arc<NodeInfo> {
    Arc::new(NodeInfo {
        state,
        ..info.clone()
    })
}
