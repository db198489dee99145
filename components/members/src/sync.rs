//! Full-state synchronisation by digest, own availability zone first.

use crate::{
    info::MemberAction,
    members::Members,
    size,
    table::Merge,
    wire::{Body, Entry, Rank},
};
use rand::{RngExt, seq::IndexedRandom};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::Bound,
};

/// Time between digests of a node that has caught up.
const SUMMARY_US: u64 = 10_000_000;
/// Time between digests of a new node.
const JOIN_SUMMARY_US: u64 = 500_000;
/// Time between digests that a gateway sends to another region.
const REMOTE_SUMMARY_US: u64 = 2_000_000;
/// Time between attempts at contacts that are not members.
const CONTACT_US: u64 = 15_000_000;
/// Time between attempts at contacts while no member is known.
const ALONE_US: u64 = 1_000_000;
/// Contacts tried at once.
const CONTACTS_AT_ONCE: usize = 2;
/// Availability zones compared after one digest.
const PAGES_PER_SUMMARY: usize = 4;
/// Bytes of entries in one page; the rest of a datagram is left for its header and a notice.
const PAGE_BYTES: usize = 900;
/// Records asked for in one datagram; about two datagrams answer it.
const WANTS_AT_ONCE: usize = 12;
/// A new node asks for no further pages while it waits for this many records.
const MAX_JOIN_BACKLOG: usize = 64;
/// Time between two requests for records: 20 a second for the own region.
const WANT_US: u64 = 50_000;
/// Time between two requests for records of other regions.
const REMOTE_WANT_US: u64 = 100_000;
/// Time for the answer to a request before it goes to the member that listed the record.
const WANT_RETRY_US: u64 = 1_000_000;
/// Requests for one record before it is left to the next digest.
const MAX_WANT_TRIES: u8 = 5;
/// Most records waited for.
const MAX_WANTED: usize = 4_096;

#[derive(Debug)]
struct Wanted {
    entry: Entry,
    source: SocketAddr,
    asked_us: Option<u64>,
    tries: u8,
}

/// Progress of synchronisation.
#[derive(Debug, Default)]
pub(crate) struct Sync {
    pub(crate) is_synced: bool,
    wanted: BTreeMap<(Rank, SocketAddr), Wanted>,
    next_summary_us: u64,
    next_remote_us: u64,
    next_contact_us: u64,
    next_want_us: u64,
    summaries: u64,
    remote_turn: usize,
}

impl Sync {
    pub(crate) fn start(&mut self, now_us: u64) {
        self.next_summary_us = now_us;
        self.next_remote_us = now_us + REMOTE_SUMMARY_US;
        self.next_contact_us = now_us;
    }

    fn want(&mut self, rank: Rank, entry: Entry, source: SocketAddr) {
        if self.wanted.len() >= MAX_WANTED {
            return;
        }
        let is_newer = |known: &Wanted| {
            let held = (known.entry.node.incarnation, known.entry.sequence);
            (entry.node.incarnation, entry.sequence) > held
        };
        let key = (rank, entry.node.mesh);
        if self.wanted.get(&key).is_some_and(|known| !is_newer(known)) {
            return;
        }
        let wanted = Wanted {
            entry,
            source,
            asked_us: None,
            tries: 0,
        };
        self.wanted.insert(key, wanted);
    }
}

impl Members {
    /// Asks a sender for its own record if the table lacks it.
    pub(crate) fn want_sender(&mut self, from: SocketAddr, version: (u64, u32)) {
        let entry = Entry {
            node: model::NodeId {
                mesh: from,
                incarnation: version.0,
            },
            sequence: version.1,
        };
        if !self.has_left && self.table.compare(&entry) == Merge::Missing {
            self.sync.want(Rank::OwnZone, entry, from);
        }
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
            SUMMARY_US + self.rng.random_range(0..SUMMARY_US / 4)
        } else {
            JOIN_SUMMARY_US
        };
        self.sync.next_summary_us = now_us + wait_us;
        if !self.sync.is_synced && self.sync.wanted.len() > MAX_JOIN_BACKLOG {
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
            return;
        }
        let targets = self.remote_targets();
        if targets.is_empty() {
            return;
        }
        self.sync.remote_turn = (self.sync.remote_turn + 1) % targets.len();
        self.send_summary(now_us, targets[self.sync.remote_turn], actions);
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
        let first = self
            .table
            .zones()
            .get(&zone)
            .and_then(|zone| zone.members.first());
        let region = first.and_then(|member| self.region_of(*member));
        if region == Some(&peer.info.region) {
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
        after: Option<SocketAddr>,
        actions: &mut Vec<MemberAction>,
    ) {
        if !self.budget.has_tokens() {
            return;
        }
        let mut entries = Vec::new();
        let mut used_bytes = 0;
        let mut last = None;
        for address in self.zone_members(zone, (after, None)) {
            let Some(entry) = self.table.entry(address) else {
                continue;
            };
            used_bytes += size::entry(&entry);
            if used_bytes > PAGE_BYTES {
                last = entries.last().map(|entry: &Entry| entry.node.mesh);
                break;
            }
            entries.push(entry);
        }
        let body = Body::Page {
            zone,
            rank: self.rank_for(to, zone),
            after,
            last,
            entries,
        };
        self.send(now_us, to, body, actions);
    }

    /// Members of a zone after the first and up to the second bound.
    fn zone_members(
        &self,
        zone: u32,
        range: (Option<SocketAddr>, Option<SocketAddr>),
    ) -> Vec<SocketAddr> {
        let (after, last) = range;
        if after.zip(last).is_some_and(|(after, last)| after >= last) {
            return Vec::new();
        }
        let low = after.map_or(Bound::Unbounded, Bound::Excluded);
        let high = last.map_or(Bound::Unbounded, Bound::Included);
        self.table
            .zones()
            .get(&zone)
            .map(|zone| zone.members.range((low, high)).copied().collect())
            .unwrap_or_default()
    }

    pub(crate) fn receive_page(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        (zone, rank): (u32, Rank),
        range: (Option<SocketAddr>, Option<SocketAddr>),
        entries: &[Entry],
        actions: &mut Vec<MemberAction>,
    ) {
        self.compare_entries(from, rank, entries, actions);
        let listed: BTreeSet<SocketAddr> = entries.iter().map(|entry| entry.node.mesh).collect();
        let lacking: Vec<Entry> = self
            .zone_members(zone, range)
            .into_iter()
            .filter(|address| !listed.contains(address))
            .filter_map(|address| self.table.entry(address))
            .collect();
        let per_page = PAGE_BYTES / size::MAX_ENTRY_BYTES;
        for chunk in lacking.chunks(per_page) {
            if self.budget.has_tokens() {
                let entries = chunk.to_vec();
                self.send(now_us, from, Body::Missing { entries }, actions);
            }
        }
        if range.1.is_some() {
            let body = Body::NextPage {
                zone,
                after: range.1,
            };
            self.send(now_us, from, body, actions);
        }
    }

    pub(crate) fn receive_missing(
        &mut self,
        from: SocketAddr,
        entries: &[Entry],
        actions: &mut Vec<MemberAction>,
    ) {
        let is_own = self.is_own_region(from);
        let rank = if is_own {
            Rank::OwnRegion
        } else {
            Rank::Remote
        };
        self.compare_entries(from, rank, entries, actions);
    }

    fn compare_entries(
        &mut self,
        from: SocketAddr,
        rank: Rank,
        entries: &[Entry],
        actions: &mut Vec<MemberAction>,
    ) {
        let mut stale = Vec::new();
        for entry in entries {
            match self.table.compare(entry) {
                Merge::Missing => self.sync.want(rank, *entry, from),
                Merge::Stale => stale.push(entry.node.mesh),
                Merge::Newer | Merge::Known => {}
            }
        }
        self.send_repair(from, &stale, actions);
    }

    fn tick_wants(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        if now_us < self.sync.next_want_us || self.sync.wanted.is_empty() {
            return;
        }
        let table = &self.table;
        self.sync.wanted.retain(|_, wanted| {
            wanted.tries < MAX_WANT_TRIES && table.compare(&wanted.entry) == Merge::Missing
        });
        let is_due = |wanted: &Wanted| {
            let asked_us = wanted.asked_us;
            asked_us.is_none_or(|asked_us| now_us >= asked_us + WANT_RETRY_US)
        };
        let first = self.sync.wanted.iter().find(|(_, wanted)| is_due(wanted));
        let Some(((rank, _), first)) = first else {
            return;
        };
        let (rank, source, is_retry) = (*rank, first.source, first.tries > 0);
        let is_remote = rank == Rank::Remote;
        self.sync.next_want_us = now_us + if is_remote { REMOTE_WANT_US } else { WANT_US };
        let mut members = Vec::new();
        let due = self.sync.wanted.iter_mut().filter(|((known, _), wanted)| {
            *known == rank && wanted.source == source && is_due(wanted)
        });
        for ((_, address), wanted) in due.take(WANTS_AT_ONCE) {
            wanted.asked_us = Some(now_us);
            wanted.tries += 1;
            members.push(*address);
        }
        let to = self.helper_for(source, members.len(), is_retry);
        self.send(now_us, to, Body::Want { members }, actions);
    }

    /// Spreads a new node's first requests over its peers; the others go to the source.
    fn helper_for(&mut self, source: SocketAddr, count: usize, is_retry: bool) -> SocketAddr {
        let is_spread = !self.sync.is_synced && !is_retry && count == WANTS_AT_ONCE;
        if !is_spread {
            return source;
        }
        self.random_peer(true).unwrap_or(source)
    }
}
