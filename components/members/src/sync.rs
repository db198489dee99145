//! Anti-entropy: nodes compare digests of their tables and fetch the records that they lack, those
//! of the own availability zone first.

use crate::{
    info::MemberAction,
    members::Members,
    size,
    table::{MergeResult, record_hash},
    wire::{Body, Locality},
};
use model::NodeId;
use rand::{RngExt, seq::IndexedRandom};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::Bound,
};

/// Time between two summaries of a node that has been synchronised for some time; up to a quarter
/// is added at random.
const SUMMARY_INTERVAL_US: u64 = 10_000_000;
/// Time between two summaries of a new node.
const JOIN_SUMMARY_INTERVAL_US: u64 = 500_000;
/// Summaries after which a new node sends them less often; a node that joins a running group needs
/// fewer.
const JOIN_SUMMARIES: u64 = 60;
/// Time between the later summaries of a node that is still not synchronised because many nodes
/// started at once.
const SLOW_SUMMARY_INTERVAL_US: u64 = 4_000_000;
/// Time to the next summary after one that showed a difference.
const REPEAT_SUMMARY_DELAY_US: u64 = 2_000_000;
/// Time between two summaries that a gateway sends to other regions.
const REMOTE_SUMMARY_INTERVAL_US: u64 = 2_000_000;
/// Time between two summaries to contacts that are not members.
const CONTACT_INTERVAL_US: u64 = 15_000_000;
/// Time between two summaries to contacts while no other member is known.
const ALONE_CONTACT_INTERVAL_US: u64 = 250_000;
/// Members that a node names in a referral when its budget is spent. Without referrals, when 200
/// members started with three contacts, the last one waited 55 s for a contact's answer.
const REFERRED_PEERS: usize = 8;
/// Contacts addressed at once while no other member is known.
const CONTACTS_AT_ONCE: usize = 2;
/// Availability zones compared after one summary.
const PAGES_PER_SUMMARY: usize = 4;
/// Records requested in one datagram; they arrive in about two datagrams.
const RECORDS_PER_WANT: usize = 12;
/// Most missing records with which a further summary is sent.
const MAX_SUMMARY_BACKLOG: usize = 24;
/// Time between two requests for records of the own region: 20 a second.
const WANT_INTERVAL_US: u64 = 50_000;
/// Time between two requests for records of other regions.
const REMOTE_WANT_INTERVAL_US: u64 = 100_000;
/// Time after which an unanswered request is repeated.
const WANT_RETRY_US: u64 = 1_000_000;
/// Requests for one record; after that the next summary has to find it again.
const MAX_WANT_ATTEMPTS: u8 = 3;
/// Silence after which all members of another region count as failed. It is longer than the hour
/// for which regions may be partitioned, since a failed region looks the same as a partitioned one.
const REGION_SILENCE_US: u64 = 3 * 3_600 * 1_000_000;
/// Most missing records that are tracked.
const MAX_WANTED: usize = 4_096;

/// A record that this node lacks and the member to fetch it from.
#[derive(Debug)]
struct Wanted {
    source: SocketAddr,
    requested_us: Option<u64>,
    attempts: u8,
}

/// Missing records and the timers of synchronisation.
#[derive(Debug, Default)]
pub(crate) struct SyncState {
    pub(crate) is_synced: bool,
    /// Missing records by locality and hash, nearest first.
    wanted: BTreeMap<(Locality, u32), Wanted>,
    next_summary_us: u64,
    /// Time between the last two summaries; it grows while they show no difference.
    idle_interval_us: u64,
    next_remote_us: u64,
    next_contact_us: u64,
    next_want_us: u64,
    next_cleanup_us: u64,
    summary_count: u64,
    remote_index: usize,
    /// When a datagram last came from each other region, or this node became a gateway.
    region_heard_us: BTreeMap<u32, u64>,
}

impl SyncState {
    pub(crate) fn start_timers(&mut self, now_us: u64) {
        self.next_summary_us = now_us;
        self.next_remote_us = now_us + REMOTE_SUMMARY_INTERVAL_US;
        self.next_contact_us = now_us;
    }

    /// Sends a summary to contacts at the next tick.
    pub(crate) fn contact_at_next_tick(&mut self) {
        self.next_contact_us = 0;
    }

    fn repeat_summary_soon(&mut self, now_us: u64) {
        self.idle_interval_us = 0;
        self.next_summary_us = self.next_summary_us.min(now_us + REPEAT_SUMMARY_DELAY_US);
    }

    fn want(&mut self, locality: Locality, record_hash: u32, source: SocketAddr) {
        if self.wanted.len() >= MAX_WANTED {
            return;
        }
        let wanted = Wanted {
            source,
            requested_us: None,
            attempts: 0,
        };
        // Each record is requested from the latest member that listed it, which spreads the load.
        let known = self.wanted.entry((locality, record_hash)).or_insert(wanted);
        known.source = source;
    }

    /// Stops requesting a record that arrived, whether or not it was newer than the table.
    pub(crate) fn mark_received(&mut self, record_hash: u32) {
        for locality in [Locality::OwnZone, Locality::OwnRegion, Locality::Remote] {
            self.wanted.remove(&(locality, record_hash));
        }
    }
}

impl Members {
    /// Requests a sender's own record if the table lacks it.
    pub(crate) fn want_sender_record(&mut self, from: SocketAddr, sender_version: (u64, u32)) {
        let node = NodeId {
            mesh: from,
            incarnation: sender_version.0,
        };
        if !self.has_left && self.table.compare(node, sender_version.1) == MergeResult::Missing {
            self.want_record(from, node, sender_version.1);
        }
    }

    pub(crate) fn want_record(&mut self, from: SocketAddr, node: NodeId, sequence: u32) {
        let hash = record_hash(node, sequence);
        self.sync.want(Locality::OwnZone, hash, from);
    }

    pub(crate) fn tick_sync(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        self.tick_contacts(now_us, actions);
        self.tick_summary(now_us, actions);
        self.tick_remote_summary(now_us, actions);
        self.tick_wants(now_us, actions);
    }

    fn tick_contacts(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        if now_us < self.sync.next_contact_us {
            return;
        }
        let is_alone = self.views.peers.is_empty() && self.views.remote.is_empty();
        let wait_us = if is_alone {
            ALONE_CONTACT_INTERVAL_US
        } else {
            CONTACT_INTERVAL_US + self.rng.random_range(0..CONTACT_INTERVAL_US / 4)
        };
        self.sync.next_contact_us = now_us + wait_us;
        let local = self.local.node.mesh;
        let absent: Vec<SocketAddr> = self
            .config
            .contacts
            .iter()
            .copied()
            .filter(|contact| *contact != local && self.table.get(*contact).is_none())
            .collect();
        let count = if is_alone { CONTACTS_AT_ONCE } else { 1 };
        let chosen: Vec<SocketAddr> = absent.sample(&mut self.rng, count).copied().collect();
        for contact in chosen {
            self.send_summary(contact, actions);
        }
    }

    fn tick_summary(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        if now_us < self.sync.next_summary_us {
            return;
        }
        let wait_us = if self.sync.is_synced {
            // Starts at two seconds and doubles, because nodes that start together learn of each
            // other within the first seconds.
            self.sync.idle_interval_us = (self.sync.idle_interval_us * 2)
                .clamp(REPEAT_SUMMARY_DELAY_US, SUMMARY_INTERVAL_US);
            self.sync.idle_interval_us + self.rng.random_range(0..self.sync.idle_interval_us / 4)
        } else if self.sync.summary_count < JOIN_SUMMARIES {
            JOIN_SUMMARY_INTERVAL_US
        } else {
            SLOW_SUMMARY_INTERVAL_US
        };
        self.sync.next_summary_us = now_us + wait_us;
        if self.sync.wanted.len() > MAX_SUMMARY_BACKLOG || !self.sync_budget.can_send_digests() {
            return;
        }
        self.sync.summary_count += 1;
        let prefer_zone = !self.sync.summary_count.is_multiple_of(2);
        let peer = self.random_peer(prefer_zone).or_else(|| {
            let remote = self.remote_targets();
            remote.choose(&mut self.rng).copied()
        });
        if let Some(peer) = peer {
            self.send_summary(peer, actions);
        }
    }

    fn tick_remote_summary(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        if now_us < self.sync.next_remote_us {
            return;
        }
        self.sync.next_remote_us = now_us
            + REMOTE_SUMMARY_INTERVAL_US
            + self.rng.random_range(0..REMOTE_SUMMARY_INTERVAL_US / 4);
        if !self.views.is_gateway {
            self.sync.region_heard_us.clear();
            return;
        }
        self.fail_silent_regions(now_us, actions);
        let targets = self.remote_targets();
        if targets.is_empty() {
            return;
        }
        self.sync.remote_index = (self.sync.remote_index + 1) % targets.len();
        self.send_summary(targets[self.sync.remote_index], actions);
    }

    /// Records that a member of another region is reachable.
    pub(crate) fn mark_region_heard(&mut self, now_us: u64, from: SocketAddr) {
        if let Some(region) = self.region_of(from)
            && region != self.region_key
        {
            self.sync.region_heard_us.insert(region, now_us);
        }
    }

    fn fail_silent_regions(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        let regions: Vec<u32> = self.views.remote.keys().copied().collect();
        for region in regions {
            let heard_us = *self.sync.region_heard_us.entry(region).or_insert(now_us);
            if now_us < heard_us + REGION_SILENCE_US {
                continue;
            }
            for notice in self.table.failure_notices(region) {
                self.table.merge_dead(now_us, &notice, actions);
                self.add_rumor(notice.node.mesh, false, false);
            }
        }
    }

    fn send_summary(&mut self, to: SocketAddr, actions: &mut Vec<MemberAction>) {
        let zones = self.table.zones().iter();
        let zones = zones.map(|(key, zone)| (*key, zone.hash)).collect();
        self.send(to, Body::Summary { zones }, actions);
    }

    /// Locality of an availability zone from a peer's point of view.
    fn locality_for(&self, peer: SocketAddr, zone: u32) -> Locality {
        let Some(peer) = self.table.get(peer) else {
            return Locality::Remote;
        };
        if peer.zone_key == zone {
            return Locality::OwnZone;
        }
        let first = self.zone_records(zone, (None, None)).next();
        let region = first
            .and_then(|hash| self.table.find(hash))
            .and_then(|member| self.region_of(member));
        if region == Some(peer.region_key) {
            Locality::OwnRegion
        } else {
            Locality::Remote
        }
    }

    pub(crate) fn receive_summary(
        &mut self,
        from: SocketAddr,
        zones: &[(u32, u32)],
        actions: &mut Vec<MemberAction>,
    ) {
        let theirs: BTreeMap<u32, u32> = zones.iter().copied().collect();
        let ours = self.table.zones();
        let keys: BTreeSet<u32> = theirs.keys().chain(ours.keys()).copied().collect();
        let mut unequal: Vec<(Locality, u32)> = keys
            .into_iter()
            .filter(|key| theirs.get(key).copied() != ours.get(key).map(|zone| zone.hash))
            .map(|key| (self.locality_for(from, key), key))
            .collect();
        if unequal.is_empty() {
            self.send(from, Body::Equal, actions);
            return;
        }
        if !self.sync_budget.can_send_digests() {
            let peers: Vec<SocketAddr> = self
                .views
                .peers
                .sample(&mut self.rng, REFERRED_PEERS)
                .copied()
                .collect();
            self.send(from, Body::Referral { peers }, actions);
            return;
        }
        unequal.sort_unstable();
        for (_, zone) in unequal.into_iter().take(PAGES_PER_SUMMARY) {
            self.send_page(from, zone, None, actions);
        }
    }

    pub(crate) fn send_page(
        &mut self,
        to: SocketAddr,
        zone: u32,
        after: Option<u32>,
        actions: &mut Vec<MemberAction>,
    ) {
        if !self.sync_budget.can_send_digests() {
            return;
        }
        let mut hashes: Vec<u32> = self
            .zone_records(zone, (after, None))
            .take(size::MAX_HASHES + 1)
            .collect();
        let is_complete = hashes.len() <= size::MAX_HASHES;
        hashes.truncate(size::MAX_HASHES);
        let last = hashes.last().copied().filter(|_| !is_complete);
        let body = Body::Page {
            zone,
            locality: self.locality_for(to, zone),
            after,
            last,
            hashes,
        };
        self.send(to, body, actions);
    }

    /// Hashes of a zone's records above the first and up to the second bound of `range`.
    fn zone_records(
        &self,
        zone: u32,
        range: (Option<u32>, Option<u32>),
    ) -> impl Iterator<Item = u32> {
        let (after, last) = range;
        let low = after.map_or(Bound::Unbounded, Bound::Excluded);
        let high = last.map_or(Bound::Unbounded, Bound::Included);
        let is_empty = after.zip(last).is_some_and(|(after, last)| after >= last);
        let zone = self.table.zones().get(&zone).filter(|_| !is_empty);
        zone.into_iter()
            .flat_map(move |zone| zone.records.range((low, high)).copied())
    }

    pub(crate) fn receive_page(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        (zone, locality): (u32, Locality),
        range: (Option<u32>, Option<u32>),
        hashes: &[u32],
        actions: &mut Vec<MemberAction>,
    ) {
        self.sync.repeat_summary_soon(now_us);
        self.want_unknown(from, locality, hashes);
        let listed: BTreeSet<u32> = hashes.iter().copied().collect();
        let lacking: Vec<u32> = self
            .zone_records(zone, range)
            .filter(|hash| !listed.contains(hash))
            .collect();
        for chunk in lacking.chunks(size::MAX_HASHES) {
            if self.sync_budget.can_send_digests() {
                let hashes = chunk.to_vec();
                self.send(from, Body::Missing { hashes }, actions);
            }
        }
        if let Some(after) = range.1 {
            self.send(from, Body::NextPage { zone, after }, actions);
        }
    }

    pub(crate) fn receive_missing(&mut self, from: SocketAddr, hashes: &[u32]) {
        let is_own = self.is_own_region(from);
        let locality = if is_own {
            Locality::OwnRegion
        } else {
            Locality::Remote
        };
        self.want_unknown(from, locality, hashes);
    }

    fn want_unknown(&mut self, from: SocketAddr, locality: Locality, hashes: &[u32]) {
        for hash in hashes {
            if self.table.find(*hash).is_none() {
                self.sync.want(locality, *hash, from);
            }
        }
    }

    pub(crate) fn receive_want(
        &mut self,
        from: SocketAddr,
        hashes: &[u32],
        actions: &mut Vec<MemberAction>,
    ) {
        let members: Vec<SocketAddr> = hashes
            .iter()
            .filter_map(|hash| self.table.find(*hash))
            .collect();
        self.send_repair(from, &members, actions);
    }

    fn tick_wants(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        if now_us < self.sync.next_want_us || self.sync.wanted.is_empty() {
            return;
        }
        if now_us >= self.sync.next_cleanup_us {
            self.sync.next_cleanup_us = now_us + WANT_RETRY_US;
            let table = &self.table;
            self.sync.wanted.retain(|(_, hash), wanted| {
                wanted.attempts < MAX_WANT_ATTEMPTS && table.find(*hash).is_none()
            });
        }
        let is_due = |wanted: &Wanted| {
            let requested_us = wanted.requested_us;
            wanted.attempts < MAX_WANT_ATTEMPTS
                && requested_us.is_none_or(|requested_us| now_us >= requested_us + WANT_RETRY_US)
        };
        let first = self.sync.wanted.iter().find(|(_, wanted)| is_due(wanted));
        let Some(((locality, _), first)) = first else {
            return;
        };
        let (locality, source) = (*locality, first.source);
        let is_remote = locality == Locality::Remote;
        self.sync.next_want_us = now_us
            + if is_remote {
                REMOTE_WANT_INTERVAL_US
            } else {
                WANT_INTERVAL_US
            };
        let mut hashes = Vec::new();
        let due = self.sync.wanted.iter_mut().filter(|((known, _), wanted)| {
            *known == locality && wanted.source == source && is_due(wanted)
        });
        for ((_, hash), wanted) in due.take(RECORDS_PER_WANT) {
            wanted.requested_us = Some(now_us);
            wanted.attempts += 1;
            hashes.push(*hash);
        }
        self.send(source, Body::Want { hashes }, actions);
    }

    /// Sends a summary to one of the named members, unless this node already knows a peer.
    pub(crate) fn receive_referral(
        &mut self,
        peers: &[SocketAddr],
        actions: &mut Vec<MemberAction>,
    ) {
        let local = self.local.node.mesh;
        if self.sync.is_synced || !self.views.peers.is_empty() {
            return;
        }
        let others: Vec<SocketAddr> = peers
            .iter()
            .copied()
            .filter(|peer| *peer != local)
            .collect();
        if let Some(peer) = others.choose(&mut self.rng).copied() {
            self.send_summary(peer, actions);
        }
    }
}
