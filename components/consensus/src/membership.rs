//! Replacing a lost identity, one voter at a time.
//!
//! The old identity is removed first, and the new one is promoted as soon as the removal commits.
//! With three replicas A, B and lost C: voters {A, B, C1} become {A, B} and then {A, B, C2}. At
//! each step A and B suffice, and nothing but A and B was available before, so no step adds a way
//! to stop the group. The other order passes through {A, B, C1, C2} with a quorum of three, of
//! which C1 is gone: losing C2 there would stop the group although A and B are well. If A or B
//! crashes between the two steps, the group waits for it, as it would have done before the first
//! step; afterwards any leader finds a number without a voter and promotes the caught-up identity.

use crate::{
    progress::Progress,
    replica::Replica,
    state::{Membership, Payload, ReplicaId},
};

/// Time without a message after which a voter of a full open group gives way to a newcomer. Hosts
/// that restart, or come back from a short partition, keep their place.
const GONE_AFTER_US: u64 = 4_000_000;
/// Time without a message after which the leader forgets a non-voter.
const LEARNER_SILENCE_US: u64 = 10_000_000;

impl Replica {
    /// Starts sending the log to an identity that announced itself and does not vote.
    pub(crate) fn welcome(&mut self, now_us: u64, id: ReplicaId) {
        if !self.may_join(id) || self.log.membership().contains(id) {
            return;
        }
        let next = self.log.last_index() + 1;
        if let Some(leading) = &mut self.leading {
            let fresh = || Progress::new(now_us, next);
            leading.progress.entry(id).or_insert_with(fresh);
        }
    }

    /// Whether the settings allow this identity in the group.
    fn may_join(&self, id: ReplicaId) -> bool {
        self.config.open.is_some() || self.config.group.contains(&id.number)
    }

    pub(crate) fn drop_silent_learners(&mut self, now_us: u64) {
        let membership = self.log.membership();
        if let Some(leading) = &mut self.leading {
            leading.progress.retain(|id, progress| {
                let silent_us = now_us.saturating_sub(progress.heard_us);
                membership.contains(*id) || silent_us < LEARNER_SILENCE_US
            });
        }
    }

    /// Takes the next step of a replacement, if one is due.
    pub(crate) fn maintain_membership(&mut self, now_us: u64) {
        let settled = self.log.membership_index() <= self.commit && self.has_committed_in_term();
        if !settled {
            return;
        }
        let Some(changed) = self.next_membership(now_us) else {
            return;
        };
        self.append_as_leader(Payload::Membership(changed));
        self.replicate(now_us);
        self.advance_commit(now_us);
    }

    fn next_membership(&self, now_us: u64) -> Option<Membership> {
        let leading = self.leading.as_ref()?;
        let membership = self.log.membership();
        let silent_us = |p: &Progress| now_us.saturating_sub(p.heard_us);
        let ready = |id: &ReplicaId, p: &Progress| {
            !membership.contains(*id)
                && self.may_join(*id)
                && p.matched >= self.commit
                && silent_us(p) < self.config.election_min_us
        };
        for (id, _) in leading.progress.iter().filter(|(id, p)| ready(id, p)) {
            let Some(old) = membership.by_number(id.number) else {
                let limit = self.config.open.map_or(usize::MAX, |open| open.voters);
                if membership.voters.len() < limit {
                    return Some(membership.with(*id));
                }
                // A full open group gives the place of a host that seems gone to the newcomer.
                let gone = membership.voters.iter().copied().find(|voter| {
                    let heard = leading.progress.get(voter);
                    *voter != self.id && heard.is_none_or(|p| silent_us(p) >= GONE_AFTER_US)
                });
                match gone {
                    Some(gone) => return Some(membership.without(gone)),
                    None => continue,
                }
            };
            // Two processes with one number: the voter that still answers keeps its place.
            let old_progress = leading.progress.get(&old);
            let old_is_silent =
                old_progress.is_none_or(|p| silent_us(p) >= self.config.election_max_us);
            if old != self.id && old_is_silent {
                return Some(membership.without(old));
            }
        }
        None
    }
}
