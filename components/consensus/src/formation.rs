//! Forms a new group from empty replicas, and announces replicas that are not voters.
//!
//! The replica with the lowest configured number is the coordinator. Once every configured replica
//! has reported an empty data directory, the coordinator asks each of them to accept a formation,
//! which lists all their identities. A replica without a log accepts only higher ballots, and saves
//! the formation before it reports that it accepted it. The group starts when all members have
//! accepted the same ballot. Because all of them must accept, at most one formation can start as
//! long as not all disks are lost. If the coordinator or a member loses its disk, a formation with
//! a higher ballot replaces the old one.
//!
//! Only the first start of a deployment may form an open group. A founder that starts then saves this
//! as a formation without members, ballot 0, so that it still knows after a restart. While it holds
//! that, it has accepted no formation, so no group has ever started. Its announcements tell this to
//! founders that were killed before they had saved it.

use crate::{
    log::Log,
    message::Body,
    replica::Replica,
    state::{Formation, Membership, ReplicaId, ReplicaNumber},
};
use std::collections::{BTreeMap, BTreeSet};

/// Time between announcements.
const HELLO_INTERVAL_US: u64 = 200_000;
/// Age up to which an announcement shows that its sender is running.
const HELLO_VALID_US: u64 = 1_000_000;

/// The last announcement of an empty replica.
#[derive(Debug)]
struct Announcement {
    id: ReplicaId,
    at_us: u64,
    ballot: u64,
}

/// Time of the next announcement of this replica, and what other replicas announced and accepted.
#[derive(Debug, Default)]
pub(crate) struct FormationState {
    pub(crate) hello_due_us: u64,
    announcements: BTreeMap<ReplicaNumber, Announcement>,
    /// Members that have accepted the formation which this replica proposed.
    accepted: BTreeSet<ReplicaId>,
    /// Voters of an open group, as reported by one of them.
    reported_voters: BTreeSet<ReplicaNumber>,
}

impl Replica {
    /// Whether this replica has no log and knows of no formed group.
    fn is_empty(&self) -> bool {
        !self.hard_state.formed && self.log.last_index() == 0
    }

    /// Whether this replica proposes formations.
    fn is_coordinator(&self) -> bool {
        // A replica of an open group has a formation on its disk, or may form none: the group may have
        // started without that disk.
        let may_form = self.config.open.is_none() || self.hard_state.formation.is_some();
        self.config.group.first() == Some(&self.id.number) && may_form
    }

    /// Saves that no group has started yet, unless this replica knows that one may have.
    fn note_first_start(&mut self) {
        let is_founder = self.config.group.contains(&self.id.number);
        if is_founder && self.is_empty() && self.hard_state.formation.is_none() {
            self.hard_state.formation = Some(Formation::before_first());
            self.save_hard_state();
        }
    }

    /// Replicas to announce this one to: the configured ones, and in an open group also the known
    /// voters.
    fn announcement_targets(&self) -> BTreeSet<ReplicaNumber> {
        let mut targets = self.config.group.clone();
        if self.config.open.is_some() {
            let voters = &self.log.membership().voters;
            targets.extend(voters.iter().map(|id| id.number));
            targets.extend(&self.formation_state.reported_voters);
        }
        targets.remove(&self.id.number);
        targets
    }

    pub(crate) fn tick_formation(&mut self, now_us: u64) {
        if now_us < self.formation_state.hello_due_us {
            return;
        }
        self.formation_state.hello_due_us = now_us + HELLO_INTERVAL_US;
        if self.config.open.is_some_and(|open| open.may_form) {
            self.note_first_start();
        }
        let is_active = self.is_voter() && self.leader.is_some();
        if is_active {
            return;
        }
        let group: Vec<ReplicaNumber> = self.config.group.iter().copied().collect();
        for number in self.announcement_targets() {
            let body = Body::Hello {
                group: group.clone(),
                formation: self.hard_state.formation.clone(),
                empty: self.is_empty(),
            };
            self.send_to_number(number, body);
        }
        if self.is_empty() && self.is_coordinator() {
            self.propose_formation(now_us);
        }
    }

    pub(crate) fn on_hello(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        group: &[ReplicaNumber],
        formation: Option<Formation>,
        empty: bool,
    ) {
        if self.leader_state.is_some() {
            self.add_learner(now_us, from);
        } else if self.config.open.is_some() && !self.log.membership().voters.is_empty() {
            // The sender may know only a few replicas, none of which is the leader.
            let voters = self.log.membership().clone();
            self.send(from, self.hard_state.term, Body::Voters(voters));
        }
        if self.hard_state.formed && empty {
            let own = self.hard_state.formation.clone();
            if let Some(own) = own.filter(|own| own.members.contains(from)) {
                self.send_after_save(from, Body::FormationComplete(own));
            }
            return;
        }
        let is_same_group = group.iter().eq(self.config.group.iter());
        if !empty || !is_same_group || !self.config.group.contains(&from.number) {
            self.formation_state.announcements.remove(&from.number);
            return;
        }
        if formation.as_ref() == Some(&Formation::before_first()) {
            self.note_first_start();
        }
        let announcement = Announcement {
            id: from,
            at_us: now_us,
            ballot: formation.map_or(0, |formation| formation.ballot),
        };
        self.formation_state
            .announcements
            .insert(from.number, announcement);
    }

    /// Proposes a formation once all configured replicas are running, and repeats the request to
    /// members that have not accepted it yet.
    fn propose_formation(&mut self, now_us: u64) {
        let group = self.config.group.clone();
        let is_recent =
            |announcement: &&Announcement| announcement.at_us + HELLO_VALID_US >= now_us;
        let present: Vec<&Announcement> = self
            .formation_state
            .announcements
            .values()
            .filter(is_recent)
            .collect();
        if present.len() + 1 < group.len() {
            return;
        }
        let mut members = Membership::default();
        members.voters.insert(self.id);
        members
            .voters
            .extend(present.iter().map(|announcement| announcement.id));
        let current = self.hard_state.formation.as_ref();
        if current.is_none_or(|current| current.members != members) {
            let own_ballot = current.map_or(0, |current| current.ballot);
            let highest = present
                .iter()
                .map(|announcement| announcement.ballot)
                .max()
                .unwrap_or(0);
            self.hard_state.formation = Some(Formation {
                ballot: highest.max(own_ballot) + 1,
                members,
            });
            self.formation_state.accepted.clear();
            self.save_hard_state();
        }
        let Some(formation) = self.hard_state.formation.clone() else {
            return;
        };
        for member in formation.members.voters.iter().copied() {
            if member != self.id && !self.formation_state.accepted.contains(&member) {
                self.send_after_save(member, Body::ProposeFormation(formation.clone()));
            }
        }
        self.start_group_if_accepted(now_us);
    }

    pub(crate) fn on_voters(&mut self, membership: &Membership) {
        let numbers = membership.voters.iter().map(|id| id.number);
        self.formation_state.reported_voters = numbers.collect();
    }

    /// Remembers the sender of a message to the former disk of this replica, so that this replica
    /// can announce itself there. All replicas in its settings may be gone.
    pub(crate) fn note_member_of_former_group(&mut self, from: ReplicaId) {
        if self.config.open.is_some() && self.is_empty() {
            self.formation_state.reported_voters.insert(from.number);
        }
    }

    pub(crate) fn on_propose_formation(&mut self, from: ReplicaId, formation: Formation) {
        let numbers = formation.members.voters.iter().map(|id| id.number);
        let is_valid = formation.members.contains(self.id)
            && formation.members.contains(from)
            && numbers.eq(self.config.group.iter().copied());
        if !is_valid || !self.is_empty() {
            return;
        }
        let ballot = formation.ballot;
        let own_ballot = self
            .hard_state
            .formation
            .as_ref()
            .map_or(0, |own| own.ballot);
        if ballot > own_ballot {
            self.hard_state.formation = Some(formation);
            self.save_hard_state();
        } else if self.hard_state.formation.as_ref() != Some(&formation) {
            return;
        }
        self.send_after_save(from, Body::FormationAccepted { ballot });
    }

    pub(crate) fn on_formation_accepted(&mut self, now_us: u64, from: ReplicaId, ballot: u64) {
        let matches_proposal = |own: &Formation| own.ballot == ballot && own.members.contains(from);
        if self.is_empty()
            && self.is_coordinator()
            && self
                .hard_state
                .formation
                .as_ref()
                .is_some_and(matches_proposal)
        {
            self.formation_state.accepted.insert(from);
            self.start_group_if_accepted(now_us);
        }
    }

    fn start_group_if_accepted(&mut self, now_us: u64) {
        let Some(formation) = self.hard_state.formation.clone() else {
            return;
        };
        let accepted = self.formation_state.accepted.len() + 1;
        if accepted < formation.members.voters.len() || !self.is_hard_state_saved() {
            return;
        }
        self.adopt_formation(now_us, formation.clone());
        for member in formation.members.voters.iter().copied() {
            if member != self.id {
                self.send_after_save(member, Body::FormationComplete(formation.clone()));
            }
        }
        self.election_due_us = now_us;
    }

    /// Adopts a formation that has started, as reported by one of its members.
    ///
    /// This replica may have accepted another formation since. If that one includes the sender, it
    /// can never start, because the sender refuses it from now on. Returning to the reported
    /// formation is therefore safe.
    pub(crate) fn on_formation_complete(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        formation: Formation,
    ) {
        if !self.is_empty() || !formation.members.contains(self.id) {
            return;
        }
        let Some(own) = &self.hard_state.formation else {
            return;
        };
        if *own == formation || own.members.contains(from) {
            self.adopt_formation(now_us, formation);
        }
    }

    /// Starts the group with this membership.
    fn adopt_formation(&mut self, now_us: u64, formation: Formation) {
        self.log = Log::new(0, 0, formation.members.clone());
        self.hard_state.formation = Some(formation);
        self.hard_state.formed = true;
        self.save_hard_state();
        self.formation_state.announcements.clear();
        self.reset_election_timer(now_us);
    }
}
