//! The local record: changes by the caller, claims of others about it, and leaving.

use super::Members;
use crate::{
    info::{MemberAction, MemberError, MemberState, NodeInfo},
    parts,
    wire::{Claim, Notice, UpstreamChange},
};
use model::{NodeId, Revision};

/// Gossip rounds sent for a new configuration revision even if there are no other updates.
const REVISION_ROUNDS: u8 = 2;

impl Members {
    /// Replaces the local record. It is not spread if only the versions of its upstreams or the
    /// configuration revision changed.
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
        if differs_only_in_versions(previous, &self.local) {
            return Ok(actions);
        }
        let with_record = self.advance_version();
        self.publish_local(with_record, &mut actions);
        self.next_round_us = now_us;
        self.tick_gossip(now_us, &mut actions);
        Ok(actions)
    }

    /// Gives the changed local record its next version. Returns whether the whole record has to be
    /// sent.
    fn advance_version(&mut self) -> bool {
        self.version.sequence += 1;
        let change = state_change(&self.base_info, &self.local);
        if let Some(change) = change {
            self.version.change = change;
        } else {
            self.base_info = self.local.clone();
            self.version.base_sequence = self.version.sequence;
            self.version.change = None;
        }
        change.is_none()
    }

    /// Sets the configuration revision that this node holds; an older one is ignored.
    pub fn set_revision(&mut self, _now_us: u64, revision: Revision) {
        if revision <= self.local.revision {
            return;
        }
        self.local.revision = revision;
        self.table.set_revision(self.local.node.mesh, revision);
        self.revision_rounds = REVISION_ROUNDS;
    }

    /// Leaves the group. The caller should go on calling `tick` for a second so that peers learn of
    /// it.
    pub fn leave(&mut self, now_us: u64) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        if self.has_left {
            return actions;
        }
        self.has_left = true;
        self.local.state = MemberState::Left;
        let notice = Notice {
            node: self.local.node,
            sequence: self.version.sequence,
            claim: Claim::Left,
        };
        self.now_us = now_us;
        self.table.leave_local(now_us, &notice);
        self.add_rumor(self.local.node.mesh, false, true);
        self.next_round_us = now_us;
        self.tick_gossip(now_us, &mut actions);
        actions
    }

    /// Refutes a record of the local address if it is newer than the local one.
    pub(super) fn refute_record(
        &mut self,
        incarnation: u64,
        sequence: u32,
        actions: &mut Vec<MemberAction>,
    ) {
        let own = (self.local.node.incarnation, self.version.sequence);
        if (incarnation, sequence) > own {
            self.refute(incarnation, sequence, actions);
        }
    }

    /// Refutes a claim about the local node by publishing its record with a higher sequence.
    pub(super) fn refute(
        &mut self,
        incarnation: u64,
        sequence: u32,
        actions: &mut Vec<MemberAction>,
    ) {
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
        if incarnation != own || sequence < self.version.sequence || self.has_left {
            return;
        }
        self.version.sequence = sequence + 1;
        self.probes.raise_health_score();
        self.publish_local(false, actions);
    }

    pub(super) fn normalize_local(&mut self) {
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

    pub(super) fn publish_local(&mut self, with_record: bool, actions: &mut Vec<MemberAction>) {
        self.table
            .set_local(self.local.clone(), self.version, actions);
        self.add_rumor(self.local.node.mesh, with_record, true);
    }
}

/// Whether two records are equal apart from the versions of their upstreams.
fn differs_only_in_versions(mut previous: NodeInfo, current: &NodeInfo) -> bool {
    for (old, new) in previous.upstreams.iter_mut().zip(&current.upstreams) {
        old.version = new.version;
    }
    previous == *current
}

/// The difference from the base record, either nothing or the state of one upstream; `None` if more
/// differs, so that a whole record has to be sent.
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
