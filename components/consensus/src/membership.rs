//! Membership changes: replaces a replica that lost its disk, one voter at a time.
//!
//! The old identity is removed first, and the new one is promoted as soon as the removal commits.
//! With three replicas A, B and C, of which C lost its disk, voters {A, B, C1} become {A, B} and
//! then {A, B, C2}. Each step needs only A and B, which were the only available voters before, so
//! no step adds a way to lose the quorum. Promoting first would pass through {A, B, C1, C2} with a
//! quorum of three although C1 no longer exists: a failure of C2 would then stop the group with
//! A and B working. If A or B crashes between the two steps, the group waits for it, as it would
//! have done before the first step. Afterwards any leader finds a replica number without a voter
//! and promotes the identity that has caught up.

use crate::{
    progress::Progress,
    replica::Replica,
    state::{Membership, Payload, ReplicaId},
};

/// Time without a message after which a voter of a full open group may be replaced by another
/// replica, counted anew by each leader. Short, because a dead voter takes part in no quorum while
/// its successor waits: the loss of two further disks would then stop the group. A voter that was
/// only slow joins again in place of the next silent one.
const VOTER_REPLACEABLE_AFTER_US: u64 = 1_000_000;
/// Time without a message after which the leader stops replicating to a non-voter.
const LEARNER_TIMEOUT_US: u64 = 10_000_000;

impl Replica {
    /// Starts replicating to an identity that announced itself and is not a voter.
    pub(crate) fn add_learner(&mut self, now_us: u64, id: ReplicaId) {
        if !self.may_join(id) || self.log.membership().contains(id) {
            return;
        }
        let next = self.log.last_index() + 1;
        if let Some(leader_state) = &mut self.leader_state {
            let new_progress = || Progress::new(now_us, next);
            leader_state.progress.entry(id).or_insert_with(new_progress);
        }
    }

    /// Whether the settings allow this identity in the group.
    fn may_join(&self, id: ReplicaId) -> bool {
        self.config.open.is_some() || self.config.group.contains(&id.number)
    }

    /// Stops replicating to non-voters that have been silent for too long.
    pub(crate) fn drop_silent_learners(&mut self, now_us: u64) {
        let membership = self.log.membership();
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.progress.retain(|id, progress| {
                let silent_us = now_us.saturating_sub(progress.last_heard_us);
                membership.contains(*id) || silent_us < LEARNER_TIMEOUT_US
            });
        }
    }

    /// Proposes the next membership change if one is due and the previous one is committed.
    pub(crate) fn maintain_membership(&mut self, now_us: u64) {
        let may_change = self.log.membership_index() <= self.commit && self.has_committed_in_term();
        if !may_change {
            return;
        }
        let Some(changed) = self.next_membership(now_us) else {
            return;
        };
        self.append_as_leader(Payload::Membership(changed));
        self.replicate(now_us);
        self.advance_commit(now_us);
    }

    /// The membership after the next removal or promotion, if one is due.
    fn next_membership(&self, now_us: u64) -> Option<Membership> {
        let leader_state = self.leader_state.as_ref()?;
        let membership = self.log.membership();
        let silent_us = |p: &Progress| now_us.saturating_sub(p.last_heard_us);
        let can_become_voter = |id: &ReplicaId, p: &Progress| {
            !membership.contains(*id)
                && self.may_join(*id)
                && p.matched >= self.commit
                && silent_us(p) < self.config.election_min_us
        };
        for (id, _) in leader_state
            .progress
            .iter()
            .filter(|(id, p)| can_become_voter(id, p))
        {
            let Some(old) = membership.by_number(id.number) else {
                let limit = self.config.open.map_or(usize::MAX, |open| open.voters);
                if membership.voters.len() < limit {
                    return Some(membership.with(*id));
                }
                // In a full open group the new replica takes the place of a voter that has been
                // silent for long.
                let silent_voter = self.longest_silent_voter(now_us);
                match silent_voter {
                    Some(silent_voter) => return Some(membership.without(silent_voter)),
                    None => continue,
                }
            };
            // If two processes use the same replica number, a voter that still answers stays.
            let old_progress = leader_state.progress.get(&old);
            let is_old_silent =
                old_progress.is_none_or(|p| silent_us(p) >= self.config.election_max_us);
            if old != self.id && is_old_silent {
                return Some(membership.without(old));
            }
        }
        None
    }

    /// The voter that has been silent for longest, if it may be replaced by another replica.
    fn longest_silent_voter(&self, now_us: u64) -> Option<ReplicaId> {
        let progress = &self.leader_state.as_ref()?.progress;
        let silent_us = |voter: &ReplicaId| {
            let heard = progress.get(voter);
            heard.map_or(u64::MAX, |p| now_us.saturating_sub(p.last_heard_us))
        };
        let voters = self.log.membership().voters.iter().copied();
        voters
            .filter(|voter| *voter != self.id && silent_us(voter) >= VOTER_REPLACEABLE_AFTER_US)
            .max_by_key(silent_us)
    }
}
