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
//!
//! A voter of an open group that is about to stop still works, so its successor is promoted first
//! and it is removed afterwards.

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
/// Age up to which the notice of a voter that is about to stop counts; five heartbeats, with each of
/// which it is repeated.
const LEAVING_VALID_US: u64 = 500_000;
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

    /// Promotes a learner as soon as it has caught up, and doesn't wait for the next check.
    pub(crate) fn consider_learner(&mut self, now_us: u64, id: ReplicaId, matched: u64) {
        if matched >= self.commit && !self.log.membership().contains(id) {
            self.maintain_membership(now_us);
        }
    }

    /// Handles the notice of a voter that it is about to stop.
    pub(crate) fn on_leaving(&mut self, now_us: u64, from: ReplicaId, term: u64) {
        if term != self.hard_state.term {
            return;
        }
        if let Some(progress) = self.progress_mut(from) {
            progress.leaving_at_us = Some(now_us);
            self.maintain_membership(now_us);
        }
    }

    /// Most voters of the group.
    fn voter_limit(&self) -> usize {
        self.config.open.map_or(usize::MAX, |open| open.voters)
    }

    /// Identities that are not voters, may become one and have caught up.
    fn ready_learners(&self, now_us: u64) -> impl Iterator<Item = ReplicaId> {
        let membership = self.log.membership();
        let progress = self.leader_state.iter().flat_map(|state| &state.progress);
        progress
            .filter(move |(id, p)| {
                !membership.contains(**id)
                    && self.may_join(**id)
                    && p.matched >= self.commit
                    && now_us.saturating_sub(p.last_heard_us) < self.config.election_min_us
            })
            .map(|(id, _)| *id)
    }

    /// The membership after the next removal or promotion, if one is due.
    fn next_membership(&self, now_us: u64) -> Option<Membership> {
        self.handover_membership(now_us)
            .or_else(|| self.replacement_membership(now_us))
    }

    /// The next step in which a voter that is about to stop hands its vote over. It still runs, so
    /// its successor is promoted first: no step needs more replicas than run at that time.
    fn handover_membership(&self, now_us: u64) -> Option<Membership> {
        let membership = self.log.membership();
        if membership.voters.len() > self.voter_limit() {
            let leaving = self.leaving_voter(now_us);
            let surplus = leaving.or_else(|| self.longest_silent_voter(now_us))?;
            return Some(membership.without(surplus));
        }
        self.leaving_voter(now_us)?;
        let is_full = membership.voters.len() == self.voter_limit();
        let successor = self
            .ready_learners(now_us)
            .find(|id| membership.by_number(id.number).is_none());
        successor
            .filter(|_| is_full)
            .map(|successor| membership.with(successor))
    }

    /// A voter that is about to stop.
    fn leaving_voter(&self, now_us: u64) -> Option<ReplicaId> {
        let progress = &self.leader_state.as_ref()?.progress;
        let is_leaving = |p: &Progress| {
            p.leaving_at_us
                .is_some_and(|at_us| now_us.saturating_sub(at_us) < LEAVING_VALID_US)
        };
        let voters = self.log.membership().voters.iter().copied();
        voters
            .filter(|id| *id != self.id)
            .find(|id| progress.get(id).is_some_and(is_leaving))
    }

    /// The next step in which a learner takes the place of a voter that is gone.
    fn replacement_membership(&self, now_us: u64) -> Option<Membership> {
        let leader_state = self.leader_state.as_ref()?;
        let membership = self.log.membership();
        let silent_us = |p: &Progress| now_us.saturating_sub(p.last_heard_us);
        for id in self.ready_learners(now_us) {
            let Some(old) = membership.by_number(id.number) else {
                if membership.voters.len() < self.voter_limit() {
                    return Some(membership.with(id));
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
