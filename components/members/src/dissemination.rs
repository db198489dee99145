//! Fills datagrams with updates and chooses their receivers.

use crate::{
    info::{MAX_REPORT_BYTES, MemberAction, MemberState, NodeInfo},
    members::Members,
    parts,
    shared_reports::MAX_PER_DATAGRAM,
    size,
    table::Member,
    wire::{Body, Claim, Datagram, MAX_DATAGRAM_BYTES, Notice, OVERHEAD_BYTES, Record},
};
use rand::{RngExt, seq::IndexedRandom};
use std::net::SocketAddr;

/// Room for the reports of one datagram.
const EXTRAS_BYTES: usize = MAX_PER_DATAGRAM * (MAX_REPORT_BYTES + 16);
/// Rounds in which a report goes to each other region.
const REMOTE_EXTRA_ROUNDS: u32 = 2;
/// One in this many messages to another region goes to any of its members, in case all the
/// gateways known here are gone.
const ANY_MEMBER_SHARE: u32 = 8;

/// A datagram being filled.
struct Draft {
    datagram: Datagram,
    room_bytes: usize,
    /// Room before updates were attached.
    bare_room_bytes: usize,
    /// Parts that need datagrams of their own.
    overflow: Vec<Record>,
}

impl Draft {
    fn add_notice(&mut self, notice: Notice) -> bool {
        let bytes = size::notice(&notice);
        if bytes > self.room_bytes {
            return false;
        }
        self.room_bytes -= bytes;
        self.datagram.notices.push(notice);
        true
    }

    fn add_record(&mut self, record: Record) -> bool {
        let bytes = size::record(&record);
        if bytes > self.room_bytes {
            return false;
        }
        self.room_bytes -= bytes;
        self.datagram.records.push(record);
        true
    }
}

fn alive_notice(member: &Member) -> Notice {
    Notice {
        node: member.info.node,
        sequence: member.stamp.sequence,
        claim: Claim::Alive {
            base: member.stamp.base,
            change: member.stamp.change,
        },
    }
}

impl Members {
    fn draft(&self, body: Body) -> Draft {
        let datagram = Datagram {
            incarnation: self.local.node.incarnation,
            sequence: self.stamp.sequence,
            revision: self.local.revision,
            body,
            notices: Vec::new(),
            records: Vec::new(),
            extras: Vec::new(),
        };
        let room_bytes = MAX_DATAGRAM_BYTES.saturating_sub(size::datagram(&datagram));
        Draft {
            datagram,
            room_bytes,
            bare_room_bytes: room_bytes,
            overflow: Vec::new(),
        }
    }

    fn push(&mut self, to: SocketAddr, draft: Draft, actions: &mut Vec<MemberAction>) {
        let bare_bytes = MAX_DATAGRAM_BYTES - draft.bare_room_bytes + OVERHEAD_BYTES;
        let update_bytes = draft.bare_room_bytes - draft.room_bytes;
        match draft.datagram.body {
            Body::Gossip => self.update_budget.spend(bare_bytes + update_bytes),
            Body::Repair => self.sync_budget.spend(bare_bytes + update_bytes),
            Body::Ping { .. } | Body::Ack { .. } | Body::Nack { .. } | Body::PingRequest { .. } => {
                self.update_budget.spend(update_bytes);
            }
            _ => {
                self.sync_budget.spend(bare_bytes);
                self.update_budget.spend(update_bytes);
            }
        }
        let body = match draft.datagram.body {
            Body::Repair => Body::Repair,
            _ => Body::Gossip,
        };
        actions.push(MemberAction::Send {
            to,
            datagram: draft.datagram,
        });
        for part in draft.overflow {
            let mut follow_up = self.draft(body.clone());
            follow_up.add_record(part);
            self.push(to, follow_up, actions);
        }
    }

    /// Sends a message with the updates that fit beside it.
    pub(crate) fn send(
        &mut self,
        now_us: u64,
        to: SocketAddr,
        body: Body,
        actions: &mut Vec<MemberAction>,
    ) {
        let mut draft = self.draft(body);
        if let Some(notice) = self.notice_about_receiver(to) {
            draft.add_notice(notice);
        }
        if self.update_budget.has_tokens() {
            self.attach_updates(now_us, to, &mut draft);
        }
        self.push(to, draft, actions);
    }

    /// What the receiver has to refute, if it is accused.
    fn notice_about_receiver(&self, to: SocketAddr) -> Option<Notice> {
        let Some(member) = self.table.get(to) else {
            return self.table.dead_notice(to);
        };
        (member.info.state == MemberState::Suspect).then(|| self.suspect_notice(to))?
    }

    fn suspect_notice(&self, subject: SocketAddr) -> Option<Notice> {
        let member = self.table.get(subject)?;
        Some(Notice {
            node: member.info.node,
            sequence: member.stamp.sequence,
            claim: Claim::Suspect {
                by: self.probes.accuser(subject).unwrap_or(self.local.node.mesh),
            },
        })
    }

    /// Transmissions of one update within the region: logarithmic in its size, and enough for
    /// fewer than one missed member in a thousand updates.
    fn transmit_limit(&self) -> u32 {
        let digits = self.region_size().ilog10() + 1;
        u32::try_from(self.config.fan_out).unwrap_or(u32::MAX) * (2 + digits)
    }

    /// Starts spreading an update about a member.
    pub(crate) fn add_rumor(
        &mut self,
        subject: SocketAddr,
        with_record: bool,
        is_for_regions: bool,
    ) {
        let withdraws = |info: &NodeInfo| {
            info.upstreams
                .iter()
                .any(|upstream| !upstream.state.accepts_calls())
        };
        let is_urgent = self
            .table
            .get(subject)
            .is_none_or(|member| !with_record || withdraws(&member.info));
        self.rumors
            .add(self.now_us, subject, with_record, is_urgent, is_for_regions);
    }

    fn attach_updates(&mut self, now_us: u64, to: SocketAddr, draft: &mut Draft) {
        let limit = self.transmit_limit();
        let with_all = self.update_budget.has_plenty();
        for (subject, with_record) in self.rumors.order(false, with_all) {
            let parts_before = draft.overflow.len();
            if subject != to && self.attach_update(subject, with_record, draft) {
                // A record of many parts is left to the digests after few transmissions.
                let parts = (draft.overflow.len() - parts_before).max(1);
                for _ in 0..parts {
                    self.rumors.sent(subject, limit);
                }
            }
        }
        if draft.room_bytes >= EXTRAS_BYTES {
            draft.datagram.extras = self.extras.pick(now_us, limit);
            let bytes: usize = draft.datagram.extras.iter().map(size::extra).sum();
            draft.room_bytes -= bytes;
        }
    }

    /// Adds what the table holds about a member; false if it doesn't fit.
    fn attach_update(&self, subject: SocketAddr, with_record: bool, draft: &mut Draft) -> bool {
        if let Some(notice) = self.table.dead_notice(subject) {
            return draft.add_notice(notice);
        }
        let Some(member) = self.table.get(subject) else {
            return true;
        };
        if member.info.state == MemberState::Suspect
            && let Some(notice) = self.suspect_notice(subject)
            && !draft.add_notice(notice)
        {
            return false;
        }
        if with_record {
            return self.attach_record(subject, draft);
        }
        let is_alive = member.info.state == MemberState::Alive;
        !is_alive || draft.add_notice(alive_notice(member))
    }

    /// The local record, for a process that hands it to nodes this one does not know.
    ///
    /// `None` without an upstream, and for a record that takes several datagrams; gossip spreads it.
    pub fn introduction(&self) -> Option<Datagram> {
        if self.local.upstreams.is_empty() {
            return None;
        }
        let mut draft = self.draft(Body::Repair);
        let is_whole = self.attach_record(self.local.node.mesh, &mut draft);
        (is_whole && draft.overflow.is_empty()).then_some(draft.datagram)
    }

    fn attach_record(&self, subject: SocketAddr, draft: &mut Draft) -> bool {
        let Some((info, stamp)) = self.table.announced(subject) else {
            return true;
        };
        let mut record_parts = parts::split(info, stamp);
        if record_parts.len() > 1 {
            draft.overflow.append(&mut record_parts);
            return true;
        }
        record_parts.into_iter().all(|part| draft.add_record(part))
    }

    /// Sends the newest updates to some peers of the region and, as a gateway, to other regions.
    pub(crate) fn gossip_round(
        &mut self,
        now_us: u64,
        with_revision: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        if self.views.is_gateway {
            self.remote_round(now_us, with_revision, actions);
        }
        let peers: Vec<SocketAddr> = self
            .views
            .peers
            .sample(&mut self.rng, self.config.fan_out)
            .copied()
            .collect();
        for peer in peers {
            self.send(now_us, peer, Body::Gossip, actions);
        }
    }

    fn remote_round(&mut self, now_us: u64, with_revision: bool, actions: &mut Vec<MemberAction>) {
        let has_updates = self.rumors.has_remote() || self.extras.has_remote(REMOTE_EXTRA_ROUNDS);
        if !(has_updates || with_revision) || self.views.remote.is_empty() {
            return;
        }
        let mut draft = self.draft(Body::Gossip);
        let mut sent = Vec::new();
        for (subject, with_record) in self.rumors.order(true, true) {
            if self.attach_update(subject, with_record, &mut draft) {
                sent.push(subject);
            }
        }
        self.rumors.sent_remotely(sent);
        if draft.room_bytes >= EXTRAS_BYTES {
            draft.datagram.extras = self.extras.pick_remote(now_us, REMOTE_EXTRA_ROUNDS);
            let bytes: usize = draft.datagram.extras.iter().map(size::extra).sum();
            draft.room_bytes -= bytes;
        }
        for to in self.remote_targets() {
            let copy = Draft {
                datagram: draft.datagram.clone(),
                room_bytes: draft.room_bytes,
                bare_room_bytes: draft.bare_room_bytes,
                overflow: draft.overflow.clone(),
            };
            self.push(to, copy, actions);
        }
    }

    /// One member of each other region, usually a gateway.
    pub(crate) fn remote_targets(&mut self) -> Vec<SocketAddr> {
        let rng = &mut self.rng;
        self.views
            .remote
            .values()
            .filter_map(|region| {
                let is_any = rng.random_ratio(1, ANY_MEMBER_SHARE);
                let list = if is_any {
                    &region.members
                } else {
                    &region.gateways
                };
                list.choose(rng).copied()
            })
            .collect()
    }

    /// Sends records and notices that `to` lacks, in as many datagrams as needed.
    pub(crate) fn send_repair(
        &mut self,
        to: SocketAddr,
        subjects: &[SocketAddr],
        actions: &mut Vec<MemberAction>,
    ) {
        let mut draft = self.draft(Body::Repair);
        for subject in subjects {
            if !self.sync_budget.has_tokens() {
                return;
            }
            if self.attach_update(*subject, true, &mut draft) {
                continue;
            }
            let full = std::mem::replace(&mut draft, self.draft(Body::Repair));
            self.push(to, full, actions);
            self.attach_update(*subject, true, &mut draft);
        }
        let datagram = &draft.datagram;
        let is_empty = datagram.records.is_empty() && datagram.notices.is_empty();
        if !is_empty || !draft.overflow.is_empty() {
            self.push(to, draft, actions);
        }
    }

    /// A random member of the own availability zone, else of the region, else of any region.
    pub(crate) fn random_peer(&mut self, prefer_zone: bool) -> Option<SocketAddr> {
        let views = &self.views;
        if prefer_zone && let Some(peer) = views.zone_peers.choose(&mut self.rng) {
            return Some(*peer);
        }
        views.peers.choose(&mut self.rng).copied()
    }
}
