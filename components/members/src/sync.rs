//! Full-state synchronisation by digest, own availability zone first.

use crate::{
    info::MemberAction,
    members::Members,
    size,
    table::{Merge, record_hash},
    wire::{Body, Rank},
};
use model::NodeId;
use rand::{RngExt, seq::IndexedRandom};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::Bound,
};

/// Time between digests of a node that caught up some time ago.
const SUMMARY_US: u64 = 10_000_000;
/// Time between digests of a new node.
const JOIN_SUMMARY_US: u64 = 500_000;
/// Digests after which a new node slows down; one that joins a running group needs fewer.
const JOIN_SUMMARIES: u64 = 60;
/// Time between later digests of a node that has not caught up, because many start at once.
const SLOW_SUMMARY_US: u64 = 4_000_000;
/// Time to the next digest after one that showed a difference.
const REPEAT_SUMMARY_US: u64 = 2_000_000;
/// Time between digests that a gateway sends to another region.
const REMOTE_SUMMARY_US: u64 = 2_000_000;
/// Time between attempts at contacts that are not members.
const CONTACT_US: u64 = 15_000_000;
/// Time between attempts at contacts while no member is known.
const ALONE_US: u64 = 250_000;
/// Members named to a new node by one that has spent its budget. After the start of 200 members
/// with three contacts the last one waited 55 s for the contacts to answer.
const REFERRED_PEERS: usize = 8;
/// Contacts tried at once.
const CONTACTS_AT_ONCE: usize = 2;
/// Availability zones compared after one digest.
const PAGES_PER_SUMMARY: usize = 4;
/// Records asked for in one datagram; about two datagrams answer it.
const WANTS_AT_ONCE: usize = 12;
/// No further digest is sent while this many records are waited for.
const MAX_BACKLOG: usize = 24;
/// Time between two requests for records: 20 a second for the own region.
const WANT_US: u64 = 50_000;
/// Time between two requests for records of other regions.
const REMOTE_WANT_US: u64 = 100_000;
/// Time for the answer to a request before it is repeated.
const WANT_RETRY_US: u64 = 1_000_000;
/// Requests for one record before it is left to the next digest.
const MAX_WANT_TRIES: u8 = 3;
/// Silence after which all members of another region count as failed. Regions may be partitioned
/// from each other for an hour; until then a silent region can't be told from a partitioned one.
const REGION_SILENCE_US: u64 = 3 * 3_600 * 1_000_000;
/// Most records waited for.
const MAX_WANTED: usize = 4_096;

#[derive(Debug)]
struct Wanted {
    source: SocketAddr,
    asked_us: Option<u64>,
    tries: u8,
}

/// Progress of synchronisation.
#[derive(Debug, Default)]
pub(crate) struct Sync {
    pub(crate) is_synced: bool,
    /// Records waited for, by rank and hash.
    wanted: BTreeMap<(Rank, u32), Wanted>,
    next_summary_us: u64,
    /// Time between the last two digests after which nothing differed.
    quiet_us: u64,
    next_remote_us: u64,
    next_contact_us: u64,
    next_want_us: u64,
    next_clean_us: u64,
    summaries: u64,
    remote_turn: usize,
    /// When this node last heard from each other region, or began to be its gateway.
    heard_us: BTreeMap<u32, u64>,
}

impl Sync {
    pub(crate) fn start(&mut self, now_us: u64) {
        self.next_summary_us = now_us;
        self.next_remote_us = now_us + REMOTE_SUMMARY_US;
        self.next_contact_us = now_us;
    }

    /// Tries the contacts at the next tick.
    pub(crate) fn contact_soon(&mut self) {
        self.next_contact_us = 0;
    }

    fn repeat_soon(&mut self, now_us: u64) {
        self.quiet_us = 0;
        self.next_summary_us = self.next_summary_us.min(now_us + REPEAT_SUMMARY_US);
    }

    fn want(&mut self, rank: Rank, record_hash: u32, source: SocketAddr) {
        if self.wanted.len() >= MAX_WANTED {
            return;
        }
        let wanted = Wanted {
            source,
            asked_us: None,
            tries: 0,
        };
        // The latest member to list a record is asked for it, which spreads the requests.
        let known = self.wanted.entry((rank, record_hash)).or_insert(wanted);
        known.source = source;
    }

    /// Notes that a record arrived, whether or not it was newer than the table.
    pub(crate) fn received(&mut self, record_hash: u32) {
        for rank in [Rank::OwnZone, Rank::OwnRegion, Rank::Remote] {
            self.wanted.remove(&(rank, record_hash));
        }
    }
}

impl Members {
    /// Asks a sender for its own record if the table lacks it.
    pub(crate) fn want_sender(&mut self, from: SocketAddr, version: (u64, u32)) {
        let node = NodeId {
            mesh: from,
            incarnation: version.0,
        };
        if !self.has_left && self.table.compare(node, version.1) == Merge::Missing {
            self.want_record(from, node, version.1);
        }
    }

    pub(crate) fn want_record(&mut self, from: SocketAddr, node: NodeId, sequence: u32) {
        let hash = record_hash(node, sequence);
        self.sync.want(Rank::OwnZone, hash, from);
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
            ALONE_US
        } else {
            CONTACT_US + self.rng.random_range(0..CONTACT_US / 4)
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
            self.send_summary(now_us, contact, actions);
        }
    }

    fn tick_summary(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        if now_us < self.sync.next_summary_us {
            return;
        }
        let wait_us = if self.sync.is_synced {
            // Doubles from two seconds on, because nodes that start together learn of each other
            // in this time.
            self.sync.quiet_us = (self.sync.quiet_us * 2).clamp(REPEAT_SUMMARY_US, SUMMARY_US);
            self.sync.quiet_us + self.rng.random_range(0..self.sync.quiet_us / 4)
        } else if self.sync.summaries < JOIN_SUMMARIES {
            JOIN_SUMMARY_US
        } else {
            SLOW_SUMMARY_US
        };
        self.sync.next_summary_us = now_us + wait_us;
        if self.sync.wanted.len() > MAX_BACKLOG || !self.sync_budget.has_reserve() {
            return;
        }
        self.sync.summaries += 1;
        let prefer_zone = !self.sync.summaries.is_multiple_of(2);
        let peer = self.random_peer(prefer_zone).or_else(|| {
            let remote = self.remote_targets();
            remote.choose(&mut self.rng).copied()
        });
        if let Some(peer) = peer {
            self.send_summary(now_us, peer, actions);
        }
    }

    fn tick_remote_summary(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        if now_us < self.sync.next_remote_us {
            return;
        }
        self.sync.next_remote_us =
            now_us + REMOTE_SUMMARY_US + self.rng.random_range(0..REMOTE_SUMMARY_US / 4);
        if !self.views.is_gateway {
            self.sync.heard_us.clear();
            return;
        }
        self.fail_silent_regions(now_us, actions);
        let targets = self.remote_targets();
        if targets.is_empty() {
            return;
        }
        self.sync.remote_turn = (self.sync.remote_turn + 1) % targets.len();
        self.send_summary(now_us, targets[self.sync.remote_turn], actions);
    }

    /// Notes that a member of another region is reachable.
    pub(crate) fn note_region(&mut self, now_us: u64, from: SocketAddr) {
        if let Some(region) = self.region_of(from)
            && region != self.region_key
        {
            self.sync.heard_us.insert(region, now_us);
        }
    }

    fn fail_silent_regions(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        let regions: Vec<u32> = self.views.remote.keys().copied().collect();
        for region in regions {
            let heard_us = *self.sync.heard_us.entry(region).or_insert(now_us);
            if now_us < heard_us + REGION_SILENCE_US {
                continue;
            }
            for notice in self.table.failure_notices(region) {
                self.table.merge_dead(now_us, &notice, actions);
                self.add_rumor(notice.node.mesh, false, false);
            }
        }
    }

    fn send_summary(&mut self, now_us: u64, to: SocketAddr, actions: &mut Vec<MemberAction>) {
        let zones = self.table.zones().iter();
        let zones = zones.map(|(key, zone)| (*key, zone.hash)).collect();
        self.send(now_us, to, Body::Summary { zones }, actions);
    }

    /// Where an availability zone stands for a peer.
    fn rank_for(&self, peer: SocketAddr, zone: u32) -> Rank {
        let Some(peer) = self.table.get(peer) else {
            return Rank::Remote;
        };
        if peer.zone_key == zone {
            return Rank::OwnZone;
        }
        let first = self.zone_records(zone, (None, None)).next();
        let region = first
            .and_then(|hash| self.table.find(hash))
            .and_then(|member| self.region_of(member));
        if region == Some(peer.region_key) {
            Rank::OwnRegion
        } else {
            Rank::Remote
        }
    }

    pub(crate) fn receive_summary(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        zones: &[(u32, u32)],
        actions: &mut Vec<MemberAction>,
    ) {
        let theirs: BTreeMap<u32, u32> = zones.iter().copied().collect();
        let ours = self.table.zones();
        let keys: BTreeSet<u32> = theirs.keys().chain(ours.keys()).copied().collect();
        let mut unequal: Vec<(Rank, u32)> = keys
            .into_iter()
            .filter(|key| theirs.get(key).copied() != ours.get(key).map(|zone| zone.hash))
            .map(|key| (self.rank_for(from, key), key))
            .collect();
        if unequal.is_empty() {
            self.send(now_us, from, Body::Equal, actions);
            return;
        }
        if !self.sync_budget.has_reserve() {
            let peers: Vec<SocketAddr> = self
                .views
                .peers
                .sample(&mut self.rng, REFERRED_PEERS)
                .copied()
                .collect();
            self.send(now_us, from, Body::Referral { peers }, actions);
            return;
        }
        unequal.sort_unstable();
        for (_, zone) in unequal.into_iter().take(PAGES_PER_SUMMARY) {
            self.send_page(now_us, from, zone, None, actions);
        }
    }

    pub(crate) fn send_page(
        &mut self,
        now_us: u64,
        to: SocketAddr,
        zone: u32,
        after: Option<u32>,
        actions: &mut Vec<MemberAction>,
    ) {
        if !self.sync_budget.has_reserve() {
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
            rank: self.rank_for(to, zone),
            after,
            last,
            hashes,
        };
        self.send(now_us, to, body, actions);
    }

    /// Hashes of a zone's records after the first and up to the second bound.
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
        (zone, rank): (u32, Rank),
        range: (Option<u32>, Option<u32>),
        hashes: &[u32],
        actions: &mut Vec<MemberAction>,
    ) {
        self.sync.repeat_soon(now_us);
        self.want_unknown(from, rank, hashes);
        let listed: BTreeSet<u32> = hashes.iter().copied().collect();
        let lacking: Vec<u32> = self
            .zone_records(zone, range)
            .filter(|hash| !listed.contains(hash))
            .collect();
        for chunk in lacking.chunks(size::MAX_HASHES) {
            if self.sync_budget.has_reserve() {
                let hashes = chunk.to_vec();
                self.send(now_us, from, Body::Missing { hashes }, actions);
            }
        }
        if let Some(after) = range.1 {
            self.send(now_us, from, Body::NextPage { zone, after }, actions);
        }
    }

    pub(crate) fn receive_missing(&mut self, from: SocketAddr, hashes: &[u32]) {
        let is_own = self.is_own_region(from);
        let rank = if is_own {
            Rank::OwnRegion
        } else {
            Rank::Remote
        };
        self.want_unknown(from, rank, hashes);
    }

    fn want_unknown(&mut self, from: SocketAddr, rank: Rank, hashes: &[u32]) {
        for hash in hashes {
            if self.table.find(*hash).is_none() {
                self.sync.want(rank, *hash, from);
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
        if now_us >= self.sync.next_clean_us {
            self.sync.next_clean_us = now_us + WANT_RETRY_US;
            let table = &self.table;
            self.sync.wanted.retain(|(_, hash), wanted| {
                wanted.tries < MAX_WANT_TRIES && table.find(*hash).is_none()
            });
        }
        let is_due = |wanted: &Wanted| {
            let asked_us = wanted.asked_us;
            wanted.tries < MAX_WANT_TRIES
                && asked_us.is_none_or(|asked_us| now_us >= asked_us + WANT_RETRY_US)
        };
        let first = self.sync.wanted.iter().find(|(_, wanted)| is_due(wanted));
        let Some(((rank, _), first)) = first else {
            return;
        };
        let (rank, source) = (*rank, first.source);
        let is_remote = rank == Rank::Remote;
        self.sync.next_want_us = now_us + if is_remote { REMOTE_WANT_US } else { WANT_US };
        let mut hashes = Vec::new();
        let due = self.sync.wanted.iter_mut().filter(|((known, _), wanted)| {
            *known == rank && wanted.source == source && is_due(wanted)
        });
        for ((_, hash), wanted) in due.take(WANTS_AT_ONCE) {
            wanted.asked_us = Some(now_us);
            wanted.tries += 1;
            hashes.push(*hash);
        }
        self.send(now_us, source, Body::Want { hashes }, actions);
    }

    /// Asks one of the named members, unless this node already knows whom to ask.
    pub(crate) fn receive_referral(
        &mut self,
        now_us: u64,
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
            self.send_summary(now_us, peer, actions);
        }
    }
}
