//! The state machine of one member: its fields, queries and timers.

mod local;
mod receive;

use crate::{
    config::MemberConfig,
    info::{MemberAction, MemberError, NodeInfo},
    parts::{self, PartAssembler},
    probes::Probes,
    rumors::Rumors,
    sync::SyncState,
    table::{Table, region_key, zone_key},
    views::{self, Views},
    wire::RecordVersion,
};
use limits::ByteBudget;
use model::Revision;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{net::SocketAddr, sync::Arc};

/// Time between two calls of `Members::tick`, in milliseconds.
pub const TICK_MS: u32 = 50;
/// Most contacts kept; a further one replaces the oldest.
const MAX_CONTACTS: usize = 128;
/// Gap between two ticks above which the local host counts as stalled, so that its own delay isn't
/// taken for a failure of others.
const LATE_TICK_US: u64 = 500_000;
/// Time between two gossip rounds while there are updates to spread. Five rounds reach 270
/// members, so a drain is known throughout its region within one second.
const GOSSIP_INTERVAL_US: u64 = 150_000;
/// Shortest time between two rebuilds of the derived lists, per live member.
const VIEW_REBUILD_US_PER_MEMBER: u64 = 200;
/// Time between two removals of expired records of dead members.
const DEAD_EXPIRY_INTERVAL_US: u64 = 60_000_000;

/// Gossip membership of one node: the known members, the local record and the protocol's timers.
#[derive(Debug)]
pub struct Members {
    pub(crate) config: MemberConfig,
    pub(crate) local: NodeInfo,
    /// Version of the local record.
    pub(crate) version: RecordVersion,
    zone_key: u32,
    pub(crate) region_key: u32,
    /// Local record without the change in `version`; alive notices are relative to it.
    base_info: NodeInfo,
    pub(crate) has_left: bool,
    pub(crate) table: Table,
    pub(crate) views: Views,
    pub(crate) rumors: Rumors,
    pub(crate) update_budget: ByteBudget,
    pub(crate) sync_budget: ByteBudget,
    pub(crate) probes: Probes,
    pub(crate) sync: SyncState,
    pub(crate) rng: Pcg64Mcg,
    /// Time passed to the latest call.
    pub(crate) now_us: u64,
    part_assembler: PartAssembler,
    views_built_us: u64,
    last_tick_us: Option<u64>,
    next_round_us: u64,
    next_expiry_us: u64,
    /// Gossip rounds still to be sent for the configuration revision.
    revision_rounds: u8,
    /// Newer revision reported last, and when.
    reported_revision: (Revision, u64),
    /// Whether a newer incarnation uses the local mesh address.
    is_superseded: bool,
}

impl Members {
    /// Creates a member that knows only itself; it contacts others from the first tick on.
    ///
    /// The zone and region of `local` are replaced by those of `config`. If `validate` fails for
    /// `local`, its upstreams are left out.
    pub fn new(config: MemberConfig, local: NodeInfo, seed: u64) -> Self {
        let mut local = local;
        if parts::validate(&local).is_err() {
            local.upstreams.clear();
        }
        let mut members = Members {
            zone_key: zone_key(&config.region, &config.availability_zone),
            region_key: region_key(&config.region),
            base_info: local.clone(),
            local,
            version: RecordVersion {
                sequence: 1,
                base_sequence: 1,
                change: None,
            },
            has_left: false,
            table: Table::default(),
            views: Views::default(),
            rumors: Rumors::default(),
            update_budget: ByteBudget::new(config.update_bytes_per_s()),
            sync_budget: ByteBudget::new(config.sync_bytes_per_s()),
            probes: Probes::default(),
            sync: SyncState::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now_us: 0,
            part_assembler: PartAssembler::default(),
            views_built_us: 0,
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
        members.base_info = members.local.clone();
        members.publish_local(true, &mut Vec::new());
        members
    }

    /// Checks that the upstreams of `info` fit the datagrams of one record.
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

    /// Record of this node itself.
    pub fn local_info(&self) -> &NodeInfo {
        &self.local
    }

    /// Whether this node's table has been equal to that of a peer since its start.
    pub fn is_synced(&self) -> bool {
        self.sync.is_synced
    }

    /// Runs what is due: probes, timeouts, digests and gossip rounds.
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
            self.start_timers(now_us);
        }
        if gap_us > LATE_TICK_US {
            self.extend_timeouts(gap_us);
        }
        if now_us >= self.next_expiry_us {
            self.next_expiry_us = now_us + DEAD_EXPIRY_INTERVAL_US;
            self.table.expire_dead(now_us);
        }
        if !self.has_left && !self.is_superseded {
            self.tick_probes(now_us, &mut actions);
            self.tick_sync(now_us, &mut actions);
        }
        self.tick_gossip(now_us, &mut actions);
        actions
    }

    fn start_timers(&mut self, now_us: u64) {
        self.add_rumor(self.local.node.mesh, true, true);
        // A random delay keeps nodes that start together from probing at the same moments.
        let probe_period_us = self.config.probe_period_us;
        self.probes
            .start_timer(now_us + self.rng.random_range(0..probe_period_us));
        self.sync.start_timers(now_us);
    }

    fn tick_gossip(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        if now_us < self.next_round_us {
            return;
        }
        let is_urgent = self.rumors.has_urgent() || self.revision_rounds > 0;
        let is_due =
            is_urgent || (!self.rumors.is_empty() && self.update_budget.can_send_routine_updates());
        if !is_due || !self.update_budget.has_tokens() {
            return;
        }
        self.next_round_us = now_us + GOSSIP_INTERVAL_US;
        self.rumors.expire(now_us);
        self.send_gossip_round(self.revision_rounds > 0, actions);
        self.revision_rounds = self.revision_rounds.saturating_sub(1);
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
        // The contact may belong to a group that formed separately.
        self.sync.contact_at_next_tick();
    }

    /// Whether a live member is in the own region.
    pub(crate) fn is_own_region(&self, address: SocketAddr) -> bool {
        self.table
            .get(address)
            .is_some_and(|member| member.region_key == self.region_key)
    }

    /// Rebuilds the derived lists if the table changed. The interval grows with the group: a new
    /// node learns of 1,900 members one by one, and each rebuild visits all of them.
    fn refresh_views(&mut self, now_us: u64) {
        let pause_us = VIEW_REBUILD_US_PER_MEMBER * self.table.len() as u64;
        if !self.table.is_dirty || now_us < self.views_built_us + pause_us {
            return;
        }
        self.table.is_dirty = false;
        self.views_built_us = now_us;
        let (zone, region) = (self.zone_key, self.region_key);
        self.views = views::build(&self.table, self.local.node, zone, region);
    }

    /// Number of members of the own region, the local one included.
    pub(crate) fn region_size(&self) -> usize {
        self.views.peers.len() + 1
    }

    /// Key of a live member's region.
    pub(crate) fn region_of(&self, address: SocketAddr) -> Option<u32> {
        self.table.get(address).map(|member| member.region_key)
    }
}
