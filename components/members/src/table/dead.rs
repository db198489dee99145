//! Members that failed or left.

use super::{Table, upstreams::upstream_ids, with_state};
use crate::{
    info::{MemberAction, MemberState, NodeInfo},
    wire::{Claim, Notice, RecordVersion},
};
use model::NodeId;
use std::{net::SocketAddr, sync::Arc};

/// Time for which the record of a dead member is kept. It is longer than the hour for which regions
/// may be partitioned, so that records still held by a partitioned region can't revive the member.
const DEAD_RETENTION_US: u64 = 3 * 3_600 * 1_000_000;
/// Most records of dead members. 250 restarts a day and the failure of an availability zone leave
/// fewer than 300.
const MAX_DEAD: usize = 4_096;

/// A member that failed or left.
#[derive(Debug)]
pub(super) struct DeadMember {
    incarnation: u64,
    sequence: u32,
    has_left: bool,
    since_us: u64,
    /// Last record of a failed member and its version, so that an alive notice is enough for the
    /// member to return.
    pub(super) record: Option<(Arc<NodeInfo>, RecordVersion)>,
}

impl DeadMember {
    /// The member as a notice that it failed or left describes it.
    pub(super) fn new(now_us: u64, notice: &Notice) -> Self {
        DeadMember {
            incarnation: notice.node.incarnation,
            sequence: notice.sequence,
            has_left: notice.claim == Claim::Left,
            since_us: now_us,
            record: None,
        }
    }

    /// Whether a record with this incarnation and sequence shows that the member is alive again.
    pub(super) fn is_superseded_by(&self, incarnation: u64, sequence: u32) -> bool {
        incarnation > self.incarnation
            || (incarnation == self.incarnation && !self.has_left && sequence > self.sequence)
    }

    pub(super) fn precedence(&self) -> (u64, bool, u32) {
        (self.incarnation, self.has_left, self.sequence)
    }
}

impl Table {
    /// Addresses of failed members, which may be alive beyond a partition.
    pub(crate) fn failed(&self) -> impl Iterator<Item = SocketAddr> {
        self.dead
            .iter()
            .filter(|(_, dead)| !dead.has_left)
            .map(|(address, _)| *address)
    }

    /// Notice that a member failed or left, if this table holds it as dead.
    pub(crate) fn dead_notice(&self, address: SocketAddr) -> Option<Notice> {
        self.dead.get(&address).map(|dead| Notice {
            node: NodeId {
                mesh: address,
                incarnation: dead.incarnation,
            },
            sequence: dead.sequence,
            claim: if dead.has_left {
                Claim::Left
            } else {
                Claim::Failed
            },
        })
    }

    /// Moves a live member to the dead ones.
    pub(super) fn mark_dead(
        &mut self,
        address: SocketAddr,
        mut dead: DeadMember,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(member) = self.remove(address) else {
            return;
        };
        let has_left = dead.has_left;
        if !has_left && dead.incarnation == member.info.node.incarnation {
            dead.record = Some((Arc::clone(&member.announced), member.version));
        }
        self.dead.insert(address, dead);
        self.trim_dead();
        actions.push(if has_left {
            MemberAction::Left(with_state(&member.info, MemberState::Left))
        } else {
            MemberAction::Failed(with_state(&member.info, MemberState::Failed))
        });
        let ids = upstream_ids(&member.announced);
        let changed = self.refresh_visible(&ids);
        self.push_changed(changed, address, actions);
    }

    pub(super) fn trim_dead(&mut self) {
        while self.dead.len() > MAX_DEAD {
            let oldest = self.dead.iter().min_by_key(|(_, dead)| dead.since_us);
            let Some(address) = oldest.map(|(address, _)| *address) else {
                return;
            };
            self.dead.remove(&address);
        }
    }

    /// Removes the records of dead members whose retention has ended.
    pub(crate) fn expire_dead(&mut self, now_us: u64) {
        self.dead
            .retain(|_, dead| now_us.saturating_sub(dead.since_us) < DEAD_RETENTION_US);
    }

    /// Removes the local member when it leaves.
    pub(crate) fn leave_local(&mut self, now_us: u64, notice: &Notice) {
        let dead = DeadMember::new(now_us, notice);
        self.mark_dead(notice.node.mesh, dead, &mut Vec::new());
    }
}
