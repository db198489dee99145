//! Rules that decide which of two claims about a member is newer, and merging of claims.

use super::{Table, dead::DeadMember, with_state};
use crate::{
    info::{MemberAction, MemberState, NodeInfo},
    wire::{Notice, RecordVersion},
};
use model::NodeId;
use std::{cmp::Ordering, net::SocketAddr, sync::Arc};

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

impl Table {
    /// Compares a record offered by a peer with this table; never returns `Newer`.
    pub(crate) fn compare(&self, node: NodeId, sequence: u32) -> MergeResult {
        let offered = (node.incarnation, sequence);
        if let Some(member) = self.live.get(&node.mesh) {
            let held = (member.info.node.incarnation, member.version.sequence);
            return match offered.cmp(&held) {
                Ordering::Greater => MergeResult::Missing,
                Ordering::Equal => MergeResult::Known,
                Ordering::Less => MergeResult::Stale,
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
        let node = info.node;
        let comparison = self.compare(node, version.sequence);
        if comparison != MergeResult::Missing {
            return comparison;
        }
        let (previous, changed) = self.replace(info, version);
        let is_known = match previous {
            Some(member) if member.info.node.incarnation < node.incarnation => {
                actions.push(MemberAction::Failed(with_state(
                    &member.info,
                    MemberState::Failed,
                )));
                false
            }
            Some(_) => true,
            None => false,
        };
        let visible = self.live[&node.mesh].info.clone();
        actions.push(if is_known {
            MemberAction::Changed(visible)
        } else {
            MemberAction::Joined(visible)
        });
        self.push_changed(changed, node.mesh, actions);
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
        let held = self.held_record(node.mesh);
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

    /// The record of a live member, or the last record of a failed one.
    fn held_record(&self, address: SocketAddr) -> Option<(&Arc<NodeInfo>, RecordVersion)> {
        match (self.live.get(&address), self.dead.get(&address)) {
            (Some(member), _) => Some((&member.announced, member.version)),
            (None, Some(dead)) => dead.record.as_ref().map(|(info, held)| (info, *held)),
            (None, None) => None,
        }
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
        let claim = DeadMember::new(now_us, notice);
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
}

/// Whether a notice with version `next` describes a record completely, together with the record
/// that is held. The held record is the base with one change, so that change must be replaced.
fn may_follow(held: &RecordVersion, next: &RecordVersion) -> bool {
    let changed_index = |version: &RecordVersion| version.change.map(|change| change.index);
    let is_replaced = changed_index(held).is_none() || changed_index(held) == changed_index(next);
    held.base_sequence == next.base_sequence && is_replaced
}
