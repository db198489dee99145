//! Fills datagrams with updates and chooses the members that receive them.

use crate::{
    info::{MemberAction, MemberState, NodeInfo},
    members::Members,
    parts, size,
    table::Member,
    wire::{Body, Claim, Datagram, MAX_DATAGRAM_BYTES, Notice, OVERHEAD_BYTES, Record},
};
use rand::{RngExt, seq::IndexedRandom};
use std::net::SocketAddr;

/// One in this many messages to another region goes to any of its members, in case all gateways
/// known here have failed or left.
const ANY_MEMBER_ONE_IN: u32 = 8;

/// A datagram being filled.
struct DatagramDraft {
    datagram: Datagram,
    free_bytes: usize,
    /// Free space before updates were attached.
    free_bytes_without_updates: usize,
    /// Parts that need datagrams of their own.
    overflow: Vec<Record>,
}

impl DatagramDraft {
    /// Adds a notice; false if it doesn't fit.
    fn add_notice(&mut self, notice: Notice) -> bool {
        let bytes = size::notice(&notice);
        if bytes > self.free_bytes {
            return false;
        }
        self.free_bytes -= bytes;
        self.datagram.notices.push(notice);
        true
    }

    /// Adds a record or a part of one; false if it doesn't fit.
    fn add_record(&mut self, record: Record) -> bool {
        let bytes = size::record(&record);
        if bytes > self.free_bytes {
            return false;
        }
        self.free_bytes -= bytes;
        self.datagram.records.push(record);
        true
    }
}

fn alive_notice(member: &Member) -> Notice {
    Notice {
        node: member.info.node,
        sequence: member.version.sequence,
        claim: Claim::Alive {
            base_sequence: member.version.base_sequence,
            change: member.version.change,
        },
    }
}

impl Members {
    fn new_draft(&self, body: Body) -> DatagramDraft {
        let datagram = Datagram {
            incarnation: self.local.node.incarnation,
            sequence: self.version.sequence,
            revision: self.local.revision,
            body,
            notices: Vec::new(),
            records: Vec::new(),
            reports: Vec::new(),
        };
        let free_bytes = MAX_DATAGRAM_BYTES.saturating_sub(size::datagram(&datagram));
        DatagramDraft {
            datagram,
            free_bytes,
            free_bytes_without_updates: free_bytes,
            overflow: Vec::new(),
        }
    }

    /// Sends a datagram and the parts that need datagrams of their own, and charges the budgets.
    fn send_draft(
        &mut self,
        to: SocketAddr,
        draft: DatagramDraft,
        actions: &mut Vec<MemberAction>,
    ) {
        let bare_bytes = MAX_DATAGRAM_BYTES - draft.free_bytes_without_updates + OVERHEAD_BYTES;
        let update_bytes = draft.free_bytes_without_updates - draft.free_bytes;
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
            let mut follow_up = self.new_draft(body.clone());
            follow_up.add_record(part);
            self.send_draft(to, follow_up, actions);
        }
    }

    /// Sends a message with the updates that fit beside it.
    pub(crate) fn send(&mut self, to: SocketAddr, body: Body, actions: &mut Vec<MemberAction>) {
        let mut draft = self.new_draft(body);
        if let Some(notice) = self.notice_about_receiver(to) {
            draft.add_notice(notice);
        }
        if self.update_budget.has_tokens() {
            self.attach_updates(to, &mut draft);
        }
        self.send_draft(to, draft, actions);
    }

    /// A notice that the receiver has to refute, if it is suspect or dead in the table.
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
            sequence: member.version.sequence,
            claim: Claim::Suspect {
                by: self
                    .probes
                    .last_suspected_by(subject)
                    .unwrap_or(self.local.node.mesh),
            },
        })
    }

    /// Transmissions of one update within the region. They grow with the logarithm of the region's
    /// size, so that fewer than one member is missed in a thousand updates.
    fn transmit_limit(&self) -> u32 {
        let digits = self.region_size().ilog10() + 1;
        u32::try_from(self.config.fan_out).unwrap_or(u32::MAX) * (2 + digits)
    }

    /// Queues an update about a member.
    pub(crate) fn add_rumor(
        &mut self,
        subject: SocketAddr,
        with_record: bool,
        is_for_other_regions: bool,
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
        self.rumors.add(
            self.now_us,
            subject,
            with_record,
            is_urgent,
            is_for_other_regions,
        );
    }

    /// Adds queued updates as far as they fit.
    fn attach_updates(&mut self, to: SocketAddr, draft: &mut DatagramDraft) {
        let limit = self.transmit_limit();
        let with_all = self.update_budget.can_send_routine_updates();
        for (subject, with_record) in self.rumors.in_send_order(false, with_all) {
            let parts_before = draft.overflow.len();
            if subject != to && self.attach_update(subject, with_record, draft) {
                // Each part counts as a transmission, so a record of many parts is sent few times
                // and then left to the digests.
                let parts = (draft.overflow.len() - parts_before).max(1);
                for _ in 0..parts {
                    self.rumors.count_send(subject, limit);
                }
            }
        }
    }

    /// Adds what the table holds about a member; false if that doesn't fit.
    fn attach_update(
        &self,
        subject: SocketAddr,
        with_record: bool,
        draft: &mut DatagramDraft,
    ) -> bool {
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

    /// The local record as a datagram for an `Introduction`.
    ///
    /// `None` if the record has no upstream, or takes several datagrams and is left to gossip.
    pub fn introduction(&self) -> Option<Datagram> {
        if self.local.upstreams.is_empty() {
            return None;
        }
        let mut draft = self.new_draft(Body::Repair);
        let is_whole = self.attach_record(self.local.node.mesh, &mut draft);
        (is_whole && draft.overflow.is_empty()).then_some(draft.datagram)
    }

    fn attach_record(&self, subject: SocketAddr, draft: &mut DatagramDraft) -> bool {
        let Some((info, version)) = self.table.announced(subject) else {
            return true;
        };
        let mut record_parts = parts::split(info, version);
        if record_parts.len() > 1 {
            draft.overflow.append(&mut record_parts);
            return true;
        }
        record_parts.into_iter().all(|part| draft.add_record(part))
    }

    /// Sends the queued updates to some peers of the region and, as a gateway, to other regions.
    pub(crate) fn send_gossip_round(
        &mut self,
        with_revision: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        if self.views.is_gateway {
            self.send_remote_round(with_revision, actions);
        }
        let peers: Vec<SocketAddr> = self
            .views
            .peers
            .sample(&mut self.rng, self.config.fan_out)
            .copied()
            .collect();
        for peer in peers {
            self.send(peer, Body::Gossip, actions);
        }
    }

    fn send_remote_round(&mut self, with_revision: bool, actions: &mut Vec<MemberAction>) {
        if !(self.rumors.has_remote() || with_revision) || self.views.remote.is_empty() {
            return;
        }
        let mut draft = self.new_draft(Body::Gossip);
        let mut sent = Vec::new();
        for (subject, with_record) in self.rumors.in_send_order(true, true) {
            if self.attach_update(subject, with_record, &mut draft) {
                sent.push(subject);
            }
        }
        self.rumors.count_remote_round(sent);
        for to in self.remote_targets() {
            let copy = DatagramDraft {
                datagram: draft.datagram.clone(),
                free_bytes: draft.free_bytes,
                free_bytes_without_updates: draft.free_bytes_without_updates,
                overflow: draft.overflow.clone(),
            };
            self.send_draft(to, copy, actions);
        }
    }

    /// One member of each other region, usually a gateway.
    pub(crate) fn remote_targets(&mut self) -> Vec<SocketAddr> {
        let rng = &mut self.rng;
        self.views
            .remote
            .values()
            .filter_map(|region| {
                let is_any = rng.random_ratio(1, ANY_MEMBER_ONE_IN);
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
        let mut draft = self.new_draft(Body::Repair);
        for subject in subjects {
            if !self.sync_budget.has_tokens() {
                return;
            }
            if self.attach_update(*subject, true, &mut draft) {
                continue;
            }
            let full = std::mem::replace(&mut draft, self.new_draft(Body::Repair));
            self.send_draft(to, full, actions);
            self.attach_update(*subject, true, &mut draft);
        }
        let datagram = &draft.datagram;
        let is_empty = datagram.records.is_empty() && datagram.notices.is_empty();
        if !is_empty || !draft.overflow.is_empty() {
            self.send_draft(to, draft, actions);
        }
    }

    /// A random peer of the own availability zone if `prefer_zone` and there is one, else of the
    /// region.
    pub(crate) fn random_peer(&mut self, prefer_zone: bool) -> Option<SocketAddr> {
        let views = &self.views;
        if prefer_zone && let Some(peer) = views.zone_peers.choose(&mut self.rng) {
            return Some(*peer);
        }
        views.peers.choose(&mut self.rng).copied()
    }
}
