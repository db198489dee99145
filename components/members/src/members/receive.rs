//! Handling of received datagrams: records, notices and messages of peers.

use super::Members;
use crate::{
    info::MemberAction,
    table::{MergeResult, record_hash},
    wire::{Body, Claim, Datagram, Notice, Record, RecordVersion},
};
use model::{NodeId, Revision};
use std::net::SocketAddr;

/// Time after which the same newer revision is reported to the caller again, in case fetching it
/// failed.
const REVISION_REPEAT_US: u64 = 500_000;

impl Members {
    /// Handles a datagram that the peer at mesh address `from` sent.
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
            reports: _,
        } = datagram;
        let is_repair = body == Body::Repair;
        for record in records {
            self.receive_record(from, record, is_repair, &mut actions);
        }
        for notice in notices {
            self.receive_notice(now_us, from, &notice, is_repair, &mut actions);
        }
        self.update_sender(
            now_us,
            from,
            (incarnation, sequence),
            revision,
            &mut actions,
        );
        self.receive_body(now_us, from, body, &mut actions);
        actions
    }

    /// Whether a datagram was delayed and comes from an earlier process at the sender's address.
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
            Body::Ping { nonce } => self.send(from, Body::Ack { nonce }, actions),
            Body::Ack { nonce } => self.receive_ack(nonce, actions),
            Body::Nack { nonce } => self.receive_nack(nonce),
            Body::PingRequest { nonce, target } => {
                self.relay_probe(now_us, from, nonce, target, actions);
            }
            Body::Summary { zones } => self.receive_summary(from, &zones, actions),
            Body::Referral { peers } => self.receive_referral(&peers, actions),
            Body::Equal => self.sync.is_synced = true,
            Body::Page {
                zone,
                locality,
                after,
                last,
                hashes,
            } => {
                let range = (after, last);
                self.receive_page(now_us, from, (zone, locality), range, &hashes, actions);
            }
            Body::NextPage { zone, after } => {
                self.send_page(from, zone, Some(after), actions);
            }
            Body::Missing { hashes } => self.receive_missing(from, &hashes),
            Body::Want { hashes } => self.receive_want(from, &hashes, actions),
        }
    }

    /// Handles what every datagram tells about its sender: the version of its record, its
    /// configuration revision, and that its region is reachable.
    fn update_sender(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        sender_version: (u64, u32),
        revision: Revision,
        actions: &mut Vec<MemberAction>,
    ) {
        self.want_sender_record(from, sender_version);
        self.mark_region_heard(now_us, from);
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
        let Some((info, version)) = self.part_assembler.add(part) else {
            return;
        };
        let node = info.node;
        if node.mesh == self.local.node.mesh {
            self.refute_record(node.incarnation, version.sequence, actions);
            return;
        }
        let is_own_region = info.region == self.config.region;
        self.sync.mark_received(record_hash(node, version.sequence));
        let merged = self.table.merge_record(info, version, actions);
        if merged == MergeResult::Stale && is_repair && self.table.dead_notice(node.mesh).is_some()
        {
            self.send_repair(from, &[node.mesh], actions);
        }
        if merged != MergeResult::Newer {
            return;
        }
        self.probes.end_suspicion(node.mesh);
        // A new node fetches all records from its peers; gossiping them would send them back.
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
        match notice.claim {
            Claim::Alive {
                base_sequence,
                change,
            } => {
                let version = RecordVersion {
                    sequence: notice.sequence,
                    base_sequence,
                    change,
                };
                self.receive_alive(from, notice.node, version, actions);
            }
            _ if address == self.local.node.mesh => {
                self.refute(notice.node.incarnation, notice.sequence, actions);
            }
            Claim::Suspect { by } => {
                if self.is_own_region(address) {
                    self.receive_suspicion(now_us, notice, by, actions);
                }
            }
            Claim::Failed | Claim::Left => {
                self.receive_death(now_us, from, notice, is_repair, actions);
            }
        }
    }

    /// Handles a notice that another member failed or left.
    fn receive_death(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        notice: &Notice,
        is_repair: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        let address = notice.node.mesh;
        let is_own_region = self.is_own_region(address);
        // After a partition each side holds the other's members as failed. A member that is still
        // alive here becomes a suspect first, which gives it the chance to refute the claim.
        let is_from_elsewhere = is_repair || !self.is_own_region(from);
        if notice.claim == Claim::Failed && is_own_region && is_from_elsewhere {
            self.receive_suspicion(now_us, notice, from, actions);
            return;
        }
        if self.table.merge_dead(now_us, notice, actions) == MergeResult::Newer {
            self.probes.end_suspicion(address);
            self.add_rumor(address, false, is_own_region);
        }
    }

    fn receive_alive(
        &mut self,
        from: SocketAddr,
        node: NodeId,
        version: RecordVersion,
        actions: &mut Vec<MemberAction>,
    ) {
        if node.mesh == self.local.node.mesh {
            self.refute_record(node.incarnation, version.sequence, actions);
            return;
        }
        match self.table.merge_alive(node, version, actions) {
            MergeResult::Newer => {
                self.probes.end_suspicion(node.mesh);
                self.add_rumor(node.mesh, false, self.is_own_region(node.mesh));
            }
            MergeResult::Missing => self.want_record(from, node, version.sequence),
            MergeResult::Known | MergeResult::Stale => {}
        }
    }
}
