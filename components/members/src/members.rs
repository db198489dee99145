//! State of one member and its entry points.

use crate::{
    budget::Budget,
    config::MemberConfig,
    info::{MemberAction, MemberError, MemberState, NodeInfo},
    parts::{self, Assembly},
    probes::Probes,
    rumors::Rumors,
    shared_reports::Extras,
    sync::Sync,
    table::{Merge, Table, record_hash, region_key, zone_key},
    views::{self, Views},
    wire::{Body, Claim, Datagram, Notice, Record, Stamp, UpstreamChange},
};
use model::{NodeId, Revision};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{net::SocketAddr, sync::Arc};

/// Time between two calls of `Members::tick`, in milliseconds.
pub const TICK_MS: u32 = 50;
/// Most contacts that are remembered.
const MAX_CONTACTS: usize = 128;
/// A tick that comes this much later than the one before shows that the local host was slow.
const LATE_TICK_US: u64 = 500_000;
/// Time between two gossip rounds while there is something to spread. Five rounds reach 270
/// members, so that a drain is known in its region within one second.
const ROUND_US: u64 = 150_000;
/// Rounds in which a newly held configuration revision is told without other updates.
const REVISION_ROUNDS: u8 = 2;
/// Time between two reports of the same newer revision, in case fetching it failed.
const REVISION_REPEAT_US: u64 = 500_000;
/// Time between two rebuilds of derived lists, for each member.
const VIEW_PAUSE_US: u64 = 200;
/// Time between two searches for expired dead records.
const EXPIRY_US: u64 = 60_000_000;

/// Gossip membership of one node.
#[derive(Debug)]
pub struct Members {
    pub(crate) config: MemberConfig,
    pub(crate) local: NodeInfo,
    pub(crate) stamp: Stamp,
    zone_key: u32,
    pub(crate) region_key: u32,
    /// Local record that notices refer to.
    base: NodeInfo,
    pub(crate) has_left: bool,
    pub(crate) table: Table,
    pub(crate) views: Views,
    pub(crate) rumors: Rumors,
    pub(crate) extras: Extras,
    pub(crate) update_budget: Budget,
    pub(crate) sync_budget: Budget,
    pub(crate) probes: Probes,
    pub(crate) sync: Sync,
    pub(crate) rng: Pcg64Mcg,
    /// Time of the latest call.
    pub(crate) now_us: u64,
    assembly: Assembly,
    views_us: u64,
    last_tick_us: Option<u64>,
    next_round_us: u64,
    next_expiry_us: u64,
    revision_rounds: u8,
    reported_revision: (Revision, u64),
    is_superseded: bool,
}

impl Members {
    /// A member that knows only itself; it contacts others from the first tick on.
    ///
    /// The zone and region of `local` are those of `config`. Upstreams that can't be spread are
    /// left out; `validate` tells which.
    pub fn new(config: MemberConfig, local: NodeInfo, seed: u64) -> Self {
        let mut local = local;
        if parts::validate(&local).is_err() {
            local.upstreams.clear();
        }
        let mut members = Members {
            zone_key: zone_key(&config.region, &config.availability_zone),
            region_key: region_key(&config.region),
            base: local.clone(),
            local,
            stamp: Stamp {
                sequence: 1,
                base: 1,
                change: None,
            },
            has_left: false,
            table: Table::default(),
            views: Views::default(),
            rumors: Rumors::default(),
            extras: Extras::default(),
            update_budget: Budget::new(config.update_bytes_per_s()),
            sync_budget: Budget::new(config.sync_bytes_per_s()),
            probes: Probes::default(),
            sync: Sync::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now_us: 0,
            assembly: Assembly::default(),
            views_us: 0,
            last_tick_us: None,
            next_round_us: 0,
            next_expiry_us: 0,
            revision_rounds: 0,
            reported_revision: (Revision::default(), 0),
            is_superseded: false,
            config,
        };
        members.sync.is_synced = members.config.contacts.is_empty();
        members.normalize_local();
        members.base = members.local.clone();
        members.publish_local(true, &mut Vec::new());
        members
    }

    /// Checks that the upstreams of `info` can be spread.
    pub fn validate(info: &NodeInfo) -> Result<(), MemberError> {
        parts::validate(info)
    }

    /// All live members, the local one included, in the order of their addresses.
    pub fn snapshot(&self) -> Vec<Arc<NodeInfo>> {
        self.table
            .live()
            .map(|member| Arc::clone(&member.info))
            .collect()
    }

    /// Number of live members, the local one included.
    pub fn live_count(&self) -> usize {
        self.table.len()
    }

    /// The local record.
    pub fn local_info(&self) -> &NodeInfo {
        &self.local
    }

    /// Whether this node has agreed with a peer on all members since its start.
    pub fn is_synced(&self) -> bool {
        self.sync.is_synced
    }

    /// Advances timers.
    pub fn tick(&mut self, now_us: u64) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        let first_tick = self.last_tick_us.is_none();
        let gap_us = now_us.saturating_sub(self.last_tick_us.unwrap_or(now_us));
        self.last_tick_us = Some(now_us);
        self.now_us = now_us;
        self.update_budget.refill(now_us);
        self.sync_budget.refill(now_us);
        self.refresh_views(now_us);
        if first_tick {
            self.start(now_us);
        }
        if gap_us > LATE_TICK_US {
            self.excuse_gap(gap_us);
        }
        if now_us >= self.next_expiry_us {
            self.next_expiry_us = now_us + EXPIRY_US;
            self.table.expire_dead(now_us);
        }
        if !self.has_left && !self.is_superseded {
            self.tick_probes(now_us, &mut actions);
            self.tick_sync(now_us, &mut actions);
        }
        self.tick_gossip(now_us, &mut actions);
        actions
    }

    fn start(&mut self, now_us: u64) {
        self.add_rumor(self.local.node.mesh, true, true);
        // Spreads the first probes and digests of nodes that start together.
        let probe_period_us = self.config.probe_period_us;
        self.probes
            .start(now_us + self.rng.random_range(0..probe_period_us));
        self.sync.start(now_us);
    }

    fn tick_gossip(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        if now_us < self.next_round_us {
            return;
        }
        self.extras.expire(now_us);
        let is_urgent =
            self.rumors.has_urgent() || !self.extras.is_empty() || self.revision_rounds > 0;
        let is_due = is_urgent || (!self.rumors.is_empty() && self.update_budget.has_plenty());
        if !is_due || !self.update_budget.has_tokens() {
            return;
        }
        self.next_round_us = now_us + ROUND_US;
        self.rumors.expire(now_us);
        self.gossip_round(now_us, self.revision_rounds > 0, actions);
        self.revision_rounds = self.revision_rounds.saturating_sub(1);
    }

    /// Takes a datagram that the peer at mesh address `from` sent.
    pub fn receive(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        datagram: Datagram,
    ) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        if from == self.local.node.mesh || self.is_stale_sender(from, &datagram) {
            return actions;
        }
        self.now_us = now_us;
        self.update_budget.refill(now_us);
        self.sync_budget.refill(now_us);
        let Datagram {
            incarnation,
            sequence,
            revision,
            body,
            notices,
            records,
            extras,
        } = datagram;
        let is_repair = body == Body::Repair;
        for record in records {
            self.receive_record(from, record, is_repair, &mut actions);
        }
        for notice in notices {
            self.receive_notice(now_us, from, &notice, is_repair, &mut actions);
        }
        for extra in extras {
            if let Some(bytes) = self.extras.receive(now_us, extra) {
                actions.push(MemberAction::ReportReceived(bytes));
            }
        }
        self.note_sender(
            now_us,
            from,
            (incarnation, sequence),
            revision,
            &mut actions,
        );
        self.receive_body(now_us, from, body, &mut actions);
        actions
    }

    /// A delayed datagram of an earlier process at the sender's address.
    fn is_stale_sender(&self, from: SocketAddr, datagram: &Datagram) -> bool {
        self.table
            .get(from)
            .is_some_and(|member| member.info.node.incarnation > datagram.incarnation)
    }

    fn receive_body(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        body: Body,
        actions: &mut Vec<MemberAction>,
    ) {
        match body {
            Body::Gossip | Body::Repair => {}
            Body::Ping { nonce } => self.send(now_us, from, Body::Ack { nonce }, actions),
            Body::Ack { nonce } => self.receive_ack(now_us, nonce, actions),
            Body::Nack { nonce } => self.receive_nack(nonce),
            Body::PingRequest { nonce, target } => {
                self.relay_probe(now_us, from, nonce, target, actions);
            }
            Body::Summary { zones } => self.receive_summary(now_us, from, &zones, actions),
            Body::Referral { peers } => self.receive_referral(now_us, &peers, actions),
            Body::Equal => self.sync.is_synced = true,
            Body::Page {
                zone,
                rank,
                after,
                last,
                hashes,
            } => {
                let range = (after, last);
                self.receive_page(now_us, from, (zone, rank), range, &hashes, actions);
            }
            Body::NextPage { zone, after } => {
                self.send_page(now_us, from, zone, Some(after), actions);
            }
            Body::Missing { hashes } => self.receive_missing(from, &hashes),
            Body::Want { hashes } => self.receive_want(from, &hashes, actions),
        }
    }

    fn note_sender(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        version: (u64, u32),
        revision: Revision,
        actions: &mut Vec<MemberAction>,
    ) {
        self.want_sender(from, version);
        self.note_region(now_us, from);
        self.table.set_revision(from, revision);
        let (reported, reported_us) = self.reported_revision;
        let is_repeat = reported >= revision && now_us < reported_us + REVISION_REPEAT_US;
        if revision <= self.local.revision || is_repeat {
            return;
        }
        self.reported_revision = (revision, now_us);
        actions.push(MemberAction::NewerRevision {
            peer: from,
            revision,
        });
    }

    fn receive_record(
        &mut self,
        from: SocketAddr,
        part: Record,
        is_repair: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some((info, stamp)) = self.assembly.add(part) else {
            return;
        };
        let node = info.node;
        if node.mesh == self.local.node.mesh {
            self.defend_record(node.incarnation, stamp.sequence, actions);
            return;
        }
        let is_own_region = info.region == self.config.region;
        self.sync.received(record_hash(node, stamp.sequence));
        let merged = self.table.merge_record(info, stamp, actions);
        if merged == Merge::Stale && is_repair && self.table.dead_notice(node.mesh).is_some() {
            self.send_repair(from, &[node.mesh], actions);
        }
        if merged != Merge::Newer {
            return;
        }
        self.probes.forget(node.mesh);
        // A new node fetches all records; passing them on would repeat what its peers know.
        if !is_repair || self.sync.is_synced {
            self.add_rumor(node.mesh, true, is_own_region);
        }
    }

    fn receive_notice(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        notice: &Notice,
        is_repair: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        let address = notice.node.mesh;
        if let Claim::Alive { base, change } = notice.claim {
            let stamp = Stamp {
                sequence: notice.sequence,
                base,
                change,
            };
            self.receive_alive(from, notice.node, stamp, actions);
            return;
        }
        if address == self.local.node.mesh {
            self.defend(notice.node.incarnation, notice.sequence, actions);
            return;
        }
        let is_own_region = self.is_own_region(address);
        if let Claim::Suspect { by } = notice.claim {
            if is_own_region {
                self.receive_suspicion(now_us, notice, by, actions);
            }
            return;
        }
        // After a partition each side holds the other's members as failed. A member that still
        // counts as alive here gets the chance to refute that.
        let is_from_elsewhere = is_repair || !self.is_own_region(from);
        if notice.claim == Claim::Failed && is_own_region && is_from_elsewhere {
            self.receive_suspicion(now_us, notice, from, actions);
            return;
        }
        if self.table.merge_dead(now_us, notice, actions) == Merge::Newer {
            self.probes.forget(address);
            self.add_rumor(address, false, is_own_region);
        }
    }

    fn receive_alive(
        &mut self,
        from: SocketAddr,
        node: NodeId,
        stamp: Stamp,
        actions: &mut Vec<MemberAction>,
    ) {
        if node.mesh == self.local.node.mesh {
            self.defend_record(node.incarnation, stamp.sequence, actions);
            return;
        }
        match self.table.merge_alive(node, stamp, actions) {
            Merge::Newer => {
                self.probes.forget(node.mesh);
                self.add_rumor(node.mesh, false, self.is_own_region(node.mesh));
            }
            Merge::Missing => self.want_record(from, node, stamp.sequence),
            Merge::Known | Merge::Stale => {}
        }
    }

    /// Whether a live member is in the own region.
    pub(crate) fn is_own_region(&self, address: SocketAddr) -> bool {
        self.table
            .get(address)
            .is_some_and(|member| member.region_key == self.region_key)
    }

    /// Answers a record of the local address that this process did not make.
    fn defend_record(&mut self, incarnation: u64, sequence: u32, actions: &mut Vec<MemberAction>) {
        let own = (self.local.node.incarnation, self.stamp.sequence);
        if (incarnation, sequence) > own {
            self.defend(incarnation, sequence, actions);
        }
    }

    /// Answers an accusation by a higher sequence.
    fn defend(&mut self, incarnation: u64, sequence: u32, actions: &mut Vec<MemberAction>) {
        let own = self.local.node.incarnation;
        if incarnation > own && !self.is_superseded {
            self.is_superseded = true;
            actions.push(MemberAction::Superseded {
                by: NodeId {
                    mesh: self.local.node.mesh,
                    incarnation,
                },
            });
        }
        if incarnation != own || sequence < self.stamp.sequence || self.has_left {
            return;
        }
        self.stamp.sequence = sequence + 1;
        self.probes.raise_health();
        self.publish_local(false, actions);
    }

    /// Replaces the local record; a record equal but for its revision is not spread again.
    pub fn set_local_info(
        &mut self,
        now_us: u64,
        info: NodeInfo,
    ) -> Result<Vec<MemberAction>, MemberError> {
        parts::validate(&info)?;
        let mut actions = Vec::new();
        self.now_us = now_us;
        if self.has_left {
            return Ok(actions);
        }
        self.set_revision(now_us, info.revision);
        let previous = self.local.clone();
        self.local = NodeInfo {
            node: previous.node,
            revision: previous.revision,
            ..info
        };
        self.normalize_local();
        let is_same = {
            let mut unversioned = previous.clone();
            for (old, new) in unversioned.upstreams.iter_mut().zip(&self.local.upstreams) {
                old.version = new.version;
            }
            unversioned == self.local
        };
        if is_same {
            return Ok(actions);
        }
        self.stamp.sequence += 1;
        let change = state_change(&self.base, &self.local);
        if let Some(change) = change {
            self.stamp.change = change;
        } else {
            self.base = self.local.clone();
            self.stamp.base = self.stamp.sequence;
            self.stamp.change = None;
        }
        self.publish_local(change.is_none(), &mut actions);
        self.next_round_us = now_us;
        self.tick_gossip(now_us, &mut actions);
        Ok(actions)
    }

    /// Adds a mesh address of a process that may know other members.
    pub fn add_contact(&mut self, contact: SocketAddr) {
        if self.table.get(contact).is_some() {
            return;
        }
        if !self.config.contacts.contains(&contact) {
            if self.config.contacts.len() >= MAX_CONTACTS {
                self.config.contacts.remove(0);
            }
            self.config.contacts.push(contact);
        }
        // It may belong to a group that formed apart from this one.
        self.sync.contact_soon();
    }

    /// Notes the configuration revision that this node holds; it never moves back.
    pub fn set_revision(&mut self, _now_us: u64, revision: Revision) {
        if revision <= self.local.revision {
            return;
        }
        self.local.revision = revision;
        self.table.set_revision(self.local.node.mesh, revision);
        self.revision_rounds = REVISION_ROUNDS;
    }

    /// Leaves the group. Keep calling `tick` for a second so that the peers learn of it.
    pub fn leave(&mut self, now_us: u64) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        if self.has_left {
            return actions;
        }
        self.has_left = true;
        self.local.state = MemberState::Left;
        let notice = Notice {
            node: self.local.node,
            sequence: self.stamp.sequence,
            claim: Claim::Left,
        };
        self.now_us = now_us;
        self.table.leave_local(now_us, &notice);
        self.add_rumor(self.local.node.mesh, false, true);
        self.next_round_us = now_us;
        self.tick_gossip(now_us, &mut actions);
        actions
    }

    /// Spreads a short report to all members until `ttl_ms` has passed.
    pub fn share_report(
        &mut self,
        now_us: u64,
        report: Vec<u8>,
        ttl_ms: u32,
    ) -> Result<Vec<MemberAction>, MemberError> {
        let id = self.rng.random();
        self.extras.share(now_us, id, report, ttl_ms)?;
        let mut actions = Vec::new();
        self.next_round_us = now_us;
        self.tick_gossip(now_us, &mut actions);
        Ok(actions)
    }

    fn normalize_local(&mut self) {
        let local = &mut self.local;
        local.zone = self.config.availability_zone.clone();
        local.region = self.config.region.clone();
        local.state = MemberState::Alive;
        for upstream in &mut local.upstreams {
            upstream.node = local.node;
            upstream.host = local.host.clone();
            upstream.availability_zone = local.zone.clone();
        }
    }

    fn publish_local(&mut self, with_record: bool, actions: &mut Vec<MemberAction>) {
        self.table
            .set_local(self.local.clone(), self.stamp, actions);
        self.add_rumor(self.local.node.mesh, with_record, true);
    }

    /// Rebuilds the derived lists, in larger groups less often: a new node learns of 1,900 members
    /// one by one, and each rebuild visits all of them.
    fn refresh_views(&mut self, now_us: u64) {
        let pause_us = VIEW_PAUSE_US * self.table.len() as u64;
        if !self.table.is_dirty || now_us < self.views_us + pause_us {
            return;
        }
        self.table.is_dirty = false;
        self.views_us = now_us;
        let (zone, region) = (self.zone_key, self.region_key);
        self.views = views::build(&self.table, self.local.node, zone, region);
    }

    /// Members of the own region, the local one included.
    pub(crate) fn region_size(&self) -> usize {
        self.views.peers.len() + 1
    }

    /// Key of a live member's region.
    pub(crate) fn region_of(&self, address: SocketAddr) -> Option<u32> {
        self.table.get(address).map(|member| member.region_key)
    }
}

/// What differs from the base record: nothing or one upstream's state; `None` if it is more.
#[expect(
    clippy::option_option,
    reason = "the outer level tells whether a notice suffices"
)]
fn state_change(base: &NodeInfo, local: &NodeInfo) -> Option<Option<UpstreamChange>> {
    if base.host != local.host || base.upstreams.len() != local.upstreams.len() {
        return None;
    }
    let mut change = None;
    for (index, (old, new)) in base.upstreams.iter().zip(&local.upstreams).enumerate() {
        if old == new {
            continue;
        }
        let mut expected = old.clone();
        expected.state = new.state;
        expected.version = new.version;
        if expected != *new || change.is_some() {
            return None;
        }
        change = Some(UpstreamChange {
            index: u8::try_from(index).ok()?,
            state: new.state,
            version: new.version,
        });
    }
    Some(change)
}
