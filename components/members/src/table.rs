//! Table of the members known to this node, and the rules that decide which of two claims about a
//! member is newer.

use crate::{
    info::{MemberAction, MemberState, NodeInfo},
    wire::{Claim, Notice, RecordVersion},
};
use model::{AvailabilityZone, NodeId, Region, Revision, ServiceName, UpstreamName};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

/// Time for which the record of a dead member is kept. It is longer than the hour for which regions
/// may be partitioned, so that records still held by a partitioned region can't revive the member.
const DEAD_RETENTION_US: u64 = 3 * 3_600 * 1_000_000;
/// Most records of dead members. 250 restarts a day and the failure of an availability zone leave
/// fewer than 300.
const MAX_DEAD: usize = 4_096;

/// Hash that is the same on all hosts: 64-bit FNV-1a followed by an avalanche step.
pub(crate) fn stable_hash(bytes: impl IntoIterator<Item = u8>) -> u64 {
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

/// A member that failed or left.
#[derive(Debug)]
struct DeadMember {
    incarnation: u64,
    sequence: u32,
    has_left: bool,
    since_us: u64,
    /// Last record of a failed member and its version, so that an alive notice is enough for the
    /// member to return.
    record: Option<(Arc<NodeInfo>, RecordVersion)>,
}

/// Digest of one availability zone.
#[derive(Debug, Default)]
pub(crate) struct Zone {
    /// XOR of the hashes of all records.
    pub(crate) hash: u32,
    pub(crate) records: BTreeSet<u32>,
}

/// Result of comparing a claim with the table or merging it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeResult {
    /// The claim was newer and changed the table.
    Newer,
    /// The table holds the same.
    Known,
    /// The table holds something newer.
    Stale,
    /// The claim is newer, but refers to a record that the table lacks.
    Missing,
}

type UpstreamId = (ServiceName, UpstreamName);

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

    /// Addresses of failed members, which may be alive beyond a partition.
    pub(crate) fn failed(&self) -> impl Iterator<Item = SocketAddr> {
        self.dead
            .iter()
            .filter(|(_, dead)| !dead.has_left)
            .map(|(address, _)| *address)
    }

    /// Number of live members.
    pub(crate) fn len(&self) -> usize {
        self.live.len()
    }

    /// The live member whose record has this hash.
    pub(crate) fn find(&self, record_hash: u32) -> Option<SocketAddr> {
        self.by_hash.get(&record_hash).copied()
    }

    /// Notice that a member failed or left, if this table holds it as dead.
    pub(crate) fn dead_notice(&self, address: SocketAddr) -> Option<Notice> {
        self.dead.get(&address).map(|dead| Notice {
            node: NodeId {
                mesh: address,
                incarnation: dead.incarnation,
            },
            sequence: dead.sequence,
            claim: if dead.has_left {
                Claim::Left
            } else {
                Claim::Failed
            },
        })
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

    /// Compares a record offered by a peer with this table; never returns `Newer`.
    pub(crate) fn compare(&self, node: NodeId, sequence: u32) -> MergeResult {
        let offered = (node.incarnation, sequence);
        if let Some(member) = self.live.get(&node.mesh) {
            let held = (member.info.node.incarnation, member.version.sequence);
            return match offered.cmp(&held) {
                std::cmp::Ordering::Greater => MergeResult::Missing,
                std::cmp::Ordering::Equal => MergeResult::Known,
                std::cmp::Ordering::Less => MergeResult::Stale,
            };
        }
        match self.dead.get(&node.mesh) {
            Some(dead) if !dead.is_superseded_by(offered.0, offered.1) => MergeResult::Stale,
            _ => MergeResult::Missing,
        }
    }

    /// Merges a member's whole record.
    pub(crate) fn merge_record(
        &mut self,
        info: NodeInfo,
        version: RecordVersion,
        actions: &mut Vec<MemberAction>,
    ) -> MergeResult {
        let comparison = self.compare(info.node, version.sequence);
        if comparison != MergeResult::Missing {
            return comparison;
        }
        self.dead.remove(&info.node.mesh);
        let previous = self.remove(info.node.mesh);
        let dropped = previous
            .as_ref()
            .map(|old| upstream_ids(&old.announced))
            .unwrap_or_default();
        let is_known = match previous {
            Some(member) if member.info.node.incarnation < info.node.incarnation => {
                actions.push(MemberAction::Failed(with_state(
                    &member.info,
                    MemberState::Failed,
                )));
                false
            }
            Some(_) => true,
            None => false,
        };
        let address = info.node.mesh;
        let mut changed = self.insert(info, version);
        changed.extend(self.refresh_visible(&dropped));
        let visible = self.live[&address].info.clone();
        actions.push(if is_known {
            MemberAction::Changed(visible)
        } else {
            MemberAction::Joined(visible)
        });
        self.push_changed(changed, address, actions);
        MergeResult::Newer
    }

    /// Merges a notice that a member is alive with the given change to its base record.
    pub(crate) fn merge_alive(
        &mut self,
        node: NodeId,
        version: RecordVersion,
        actions: &mut Vec<MemberAction>,
    ) -> MergeResult {
        let comparison = self.compare(node, version.sequence);
        if comparison != MergeResult::Missing {
            return comparison;
        }
        let held = match (self.live.get(&node.mesh), self.dead.get(&node.mesh)) {
            (Some(member), _) => Some((&member.announced, member.version)),
            (None, Some(dead)) => dead.record.as_ref().map(|(info, held)| (info, *held)),
            (None, None) => None,
        };
        let Some((announced, _)) = held
            .filter(|(info, held_version)| info.node == node && may_follow(held_version, &version))
        else {
            return MergeResult::Missing;
        };
        let mut info = NodeInfo::clone(announced);
        info.state = MemberState::Alive;
        if let Some(change) = version.change {
            let Some(upstream) = info.upstreams.get_mut(usize::from(change.index)) else {
                return MergeResult::Missing;
            };
            upstream.state = change.state;
            upstream.version = change.version;
        }
        self.merge_record(info, version, actions)
    }

    /// Marks a live member as suspect; false if it already is, or isn't live.
    pub(crate) fn suspect(&mut self, address: SocketAddr, actions: &mut Vec<MemberAction>) -> bool {
        let Some(member) = self.live.get_mut(&address) else {
            return false;
        };
        if member.info.state == MemberState::Suspect {
            return false;
        }
        member.announced = with_state(&member.announced, MemberState::Suspect);
        member.info = with_state(&member.info, MemberState::Suspect);
        actions.push(MemberAction::Changed(Arc::clone(&member.info)));
        self.is_dirty = true;
        true
    }

    /// Merges a notice that a member failed or left.
    pub(crate) fn merge_dead(
        &mut self,
        now_us: u64,
        notice: &Notice,
        actions: &mut Vec<MemberAction>,
    ) -> MergeResult {
        let address = notice.node.mesh;
        let claim = DeadMember {
            incarnation: notice.node.incarnation,
            sequence: notice.sequence,
            has_left: notice.claim == Claim::Left,
            since_us: now_us,
            record: None,
        };
        if let Some(member) = self.live.get(&address) {
            if claim.is_superseded_by(member.info.node.incarnation, member.version.sequence) {
                return MergeResult::Stale;
            }
            self.mark_dead(address, claim, actions);
            return MergeResult::Newer;
        }
        let held = self.dead.get(&address);
        if held.is_some_and(|held| held.precedence() >= claim.precedence()) {
            return MergeResult::Known;
        }
        let is_first = held.is_none();
        self.dead.insert(address, claim);
        self.trim_dead();
        // A member that this table never held needs no further spreading.
        if is_first {
            MergeResult::Known
        } else {
            MergeResult::Newer
        }
    }

    /// Moves a live member to the dead ones.
    fn mark_dead(
        &mut self,
        address: SocketAddr,
        mut dead: DeadMember,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(member) = self.remove(address) else {
            return;
        };
        let has_left = dead.has_left;
        if !has_left && dead.incarnation == member.info.node.incarnation {
            dead.record = Some((Arc::clone(&member.announced), member.version));
        }
        self.dead.insert(address, dead);
        self.trim_dead();
        actions.push(if has_left {
            MemberAction::Left(with_state(&member.info, MemberState::Left))
        } else {
            MemberAction::Failed(with_state(&member.info, MemberState::Failed))
        });
        let ids = upstream_ids(&member.announced);
        let changed = self.refresh_visible(&ids);
        self.push_changed(changed, address, actions);
    }

    fn trim_dead(&mut self) {
        while self.dead.len() > MAX_DEAD {
            let oldest = self.dead.iter().min_by_key(|(_, dead)| dead.since_us);
            let Some(address) = oldest.map(|(address, _)| *address) else {
                return;
            };
            self.dead.remove(&address);
        }
    }

    /// Removes the records of dead members whose retention has ended.
    pub(crate) fn expire_dead(&mut self, now_us: u64) {
        self.dead
            .retain(|_, dead| now_us.saturating_sub(dead.since_us) < DEAD_RETENTION_US);
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
        self.dead.remove(&address);
        let ids = self.remove(address).map(|old| upstream_ids(&old.announced));
        let mut changed = self.insert(info, version);
        changed.extend(self.refresh_visible(&ids.unwrap_or_default()));
        self.push_changed(changed, address, actions);
    }

    /// Removes the local member when it leaves.
    pub(crate) fn leave_local(&mut self, now_us: u64, notice: &Notice) {
        let dead = DeadMember {
            incarnation: notice.node.incarnation,
            sequence: notice.sequence,
            has_left: true,
            since_us: now_us,
            record: None,
        };
        self.mark_dead(notice.node.mesh, dead, &mut Vec::new());
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

    /// Whether another live member with a newer incarnation announces the same upstream.
    fn is_superseded(&self, address: SocketAddr, id: &UpstreamId) -> bool {
        let Some(announcers) = self
            .announcers
            .get(id)
            .filter(|announcers| announcers.len() > 1)
        else {
            return false;
        };
        let precedence = |announcer: SocketAddr| {
            let member = &self.live[&announcer];
            (member.info.node.incarnation, announcer)
        };
        announcers
            .iter()
            .any(|announcer| precedence(*announcer) > precedence(address))
    }

    /// Recomputes the visible records of all members that announce one of the upstreams. Returns
    /// the members whose visible record changed.
    fn refresh_visible(&mut self, ids: &[UpstreamId]) -> BTreeSet<SocketAddr> {
        let announcers: BTreeSet<SocketAddr> = ids
            .iter()
            .filter_map(|id| self.announcers.get(id))
            .flatten()
            .copied()
            .collect();
        let mut changed = BTreeSet::new();
        for announcer in announcers {
            let announced = &self.live[&announcer].announced;
            let has_superseded = |info: &NodeInfo| {
                upstream_ids(info)
                    .iter()
                    .any(|id| self.is_superseded(announcer, id))
            };
            let visible = if has_superseded(announced) {
                let mut info = NodeInfo::clone(announced);
                info.upstreams.retain(|upstream| {
                    !self.is_superseded(
                        announcer,
                        &(upstream.service.clone(), upstream.name.clone()),
                    )
                });
                Arc::new(info)
            } else {
                Arc::clone(announced)
            };
            if let Some(member) = self.live.get_mut(&announcer)
                && member.info != visible
            {
                member.info = visible;
                changed.insert(announcer);
            }
        }
        changed
    }

    fn push_changed(
        &self,
        changed: BTreeSet<SocketAddr>,
        except: SocketAddr,
        actions: &mut Vec<MemberAction>,
    ) {
        let others = changed.into_iter().filter(|address| *address != except);
        for member in others.filter_map(|address| self.live.get(&address)) {
            actions.push(MemberAction::Changed(Arc::clone(&member.info)));
        }
    }

    /// The record as the member announced it.
    pub(crate) fn announced(&self, address: SocketAddr) -> Option<(&NodeInfo, RecordVersion)> {
        self.live
            .get(&address)
            .map(|member| (member.announced.as_ref(), member.version))
    }
}

impl DeadMember {
    /// Whether a record with this incarnation and sequence shows that the member is alive again.
    fn is_superseded_by(&self, incarnation: u64, sequence: u32) -> bool {
        incarnation > self.incarnation
            || (incarnation == self.incarnation && !self.has_left && sequence > self.sequence)
    }

    fn precedence(&self) -> (u64, bool, u32) {
        (self.incarnation, self.has_left, self.sequence)
    }
}

/// Whether a notice with version `next` describes a record completely, together with the record
/// that is held. The held record is the base with one change, so that change must be replaced.
fn may_follow(held: &RecordVersion, next: &RecordVersion) -> bool {
    let changed_index = |version: &RecordVersion| version.change.map(|change| change.index);
    let is_replaced = changed_index(held).is_none() || changed_index(held) == changed_index(next);
    held.base_sequence == next.base_sequence && is_replaced
}

fn with_state(info: &NodeInfo, state: MemberState) -> Arc<NodeInfo> {
    Arc::new(NodeInfo {
        state,
        ..info.clone()
    })
}

fn upstream_ids(info: &NodeInfo) -> Vec<UpstreamId> {
    info.upstreams
        .iter()
        .map(|upstream| (upstream.service.clone(), upstream.name.clone()))
        .collect()
}
