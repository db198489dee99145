//! Forming a new group from empty replicas, and announcing a replica that is not a voter.
//!
//! The replica with the lowest configured number coordinates. Once every configured replica has
//! reported an empty directory, it asks each identity to accept a formation, which names them all.
//! A replica without a log accepts only higher ballots and saves what it accepted before it says
//! so. The group starts when all members have accepted the same ballot. Because all of them must
//! accept, at most one formation can start as long as not all disks are lost, and a formation
//! whose coordinator or member lost its disk is superseded by a higher ballot.

use crate::{
    log::Log,
    message::Body,
    replica::Replica,
    state::{Formation, Membership, ReplicaId, ReplicaNumber},
};
use std::collections::{BTreeMap, BTreeSet};

/// Time between announcements.
const HELLO_INTERVAL_US: u64 = 200_000;
/// Age up to which an announcement counts as present.
const HELLO_FRESH_US: u64 = 1_000_000;

#[derive(Debug)]
struct Seen {
    id: ReplicaId,
    at_us: u64,
    ballot: u64,
}

/// Announcements and acceptances of a group that is being formed.
#[derive(Debug, Default)]
pub(crate) struct Forming {
    pub(crate) hello_due_us: u64,
    seen: BTreeMap<ReplicaNumber, Seen>,
    accepted: BTreeSet<ReplicaId>,
    /// Voters of a working open group, as one of them told.
    told: BTreeSet<ReplicaNumber>,
}

impl Replica {
    /// Whether this replica has no log and knows of no formed group.
    fn is_empty(&self) -> bool {
        !self.hard.formed && self.log.last_index() == 0
    }

    fn is_coordinator(&self) -> bool {
        // A formation on the disk shows that this disk was there when the group might start.
        let may_form = self.config.open.is_none_or(|open| open.may_form);
        let was_forming = self.hard.formation.is_some();
        self.config.group.first() == Some(&self.id.number) && (may_form || was_forming)
    }

    /// Founders, and in an open group also the voters that are known.
    fn contacts(&self) -> BTreeSet<ReplicaNumber> {
        let mut contacts = self.config.group.clone();
        if self.config.open.is_some() {
            let voters = &self.log.membership().voters;
            contacts.extend(voters.iter().map(|id| id.number));
            contacts.extend(&self.forming.told);
        }
        contacts.remove(&self.id.number);
        contacts
    }

    pub(crate) fn tick_formation(&mut self, now_us: u64) {
        if now_us < self.forming.hello_due_us {
            return;
        }
        self.forming.hello_due_us = now_us + HELLO_INTERVAL_US;
        let works = self.is_voter() && self.leader.is_some();
        if works {
            return;
        }
        let group: Vec<ReplicaNumber> = self.config.group.iter().copied().collect();
        for number in self.contacts() {
            let body = Body::Hello {
                group: group.clone(),
                formation: self.hard.formation.clone(),
                empty: self.is_empty(),
            };
            self.send_to_number(number, body);
        }
        if self.is_empty() && self.is_coordinator() {
            self.try_form(now_us);
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
        if self.leading.is_some() {
            self.welcome(now_us, from);
        } else if self.config.open.is_some() && !self.log.membership().voters.is_empty() {
            // The newcomer may know only a few replicas, and none of them may lead.
            let voters = self.log.membership().clone();
            self.send(from, self.hard.term, Body::Voters(voters));
        }
        if self.hard.formed && empty {
            let own = self.hard.formation.clone();
            if let Some(own) = own.filter(|own| own.members.contains(from)) {
                self.send_saved(from, Body::FormationComplete(own));
            }
            return;
        }
        let same_group = group.iter().eq(self.config.group.iter());
        if !empty || !same_group || !self.config.group.contains(&from.number) {
            self.forming.seen.remove(&from.number);
            return;
        }
        let seen = Seen {
            id: from,
            at_us: now_us,
            ballot: formation.map_or(0, |formation| formation.ballot),
        };
        self.forming.seen.insert(from.number, seen);
    }

    /// Proposes the present identities, or asks again those that have not accepted yet.
    fn try_form(&mut self, now_us: u64) {
        let group = self.config.group.clone();
        let fresh = |seen: &&Seen| seen.at_us + HELLO_FRESH_US >= now_us;
        let present: Vec<&Seen> = self.forming.seen.values().filter(fresh).collect();
        if present.len() + 1 < group.len() {
            return;
        }
        let mut members = Membership::default();
        members.voters.insert(self.id);
        members.voters.extend(present.iter().map(|seen| seen.id));
        let current = self.hard.formation.as_ref();
        if current.is_none_or(|current| current.members != members) {
            let own_ballot = current.map_or(0, |current| current.ballot);
            let highest = present.iter().map(|seen| seen.ballot).max().unwrap_or(0);
            self.hard.formation = Some(Formation {
                ballot: highest.max(own_ballot) + 1,
                members,
            });
            self.forming.accepted.clear();
            self.save_hard_state();
        }
        let Some(formation) = self.hard.formation.clone() else {
            return;
        };
        for member in formation.members.voters.iter().copied() {
            if member != self.id && !self.forming.accepted.contains(&member) {
                self.send_saved(member, Body::ProposeFormation(formation.clone()));
            }
        }
        self.start_group_if_accepted(now_us);
    }

    pub(crate) fn on_voters(&mut self, membership: &Membership) {
        let numbers = membership.voters.iter().map(|id| id.number);
        self.forming.told = numbers.collect();
    }

    pub(crate) fn on_form(&mut self, from: ReplicaId, formation: Formation) {
        let numbers = formation.members.voters.iter().map(|id| id.number);
        let fits = formation.members.contains(self.id)
            && formation.members.contains(from)
            && numbers.eq(self.config.group.iter().copied());
        if !fits || !self.is_empty() {
            return;
        }
        let ballot = formation.ballot;
        let own_ballot = self.hard.formation.as_ref().map_or(0, |own| own.ballot);
        if ballot > own_ballot {
            self.hard.formation = Some(formation);
            self.save_hard_state();
        } else if self.hard.formation.as_ref() != Some(&formation) {
            return;
        }
        self.send_saved(from, Body::FormationAccepted { ballot });
    }

    pub(crate) fn on_form_accepted(&mut self, now_us: u64, from: ReplicaId, ballot: u64) {
        let fits = |own: &Formation| own.ballot == ballot && own.members.contains(from);
        if self.is_empty()
            && self.is_coordinator()
            && self.hard.formation.as_ref().is_some_and(fits)
        {
            self.forming.accepted.insert(from);
            self.start_group_if_accepted(now_us);
        }
    }

    fn start_group_if_accepted(&mut self, now_us: u64) {
        let Some(formation) = self.hard.formation.clone() else {
            return;
        };
        let accepted = self.forming.accepted.len() + 1;
        if accepted < formation.members.voters.len() || !self.hard_state_is_saved() {
            return;
        }
        self.adopt(now_us, formation.clone());
        for member in formation.members.voters.iter().copied() {
            if member != self.id {
                self.send_saved(member, Body::FormationComplete(formation.clone()));
            }
        }
        self.election_due_us = now_us;
    }

    /// A member says that its formation has started.
    ///
    /// If this replica has since accepted another formation that names the sender, that one can
    /// never start, because the sender refuses it from now on; so going back is safe.
    pub(crate) fn on_formed(&mut self, now_us: u64, from: ReplicaId, formation: Formation) {
        if !self.is_empty() || !formation.members.contains(self.id) {
            return;
        }
        let Some(own) = &self.hard.formation else {
            return;
        };
        if *own == formation || own.members.contains(from) {
            self.adopt(now_us, formation);
        }
    }

    fn adopt(&mut self, now_us: u64, formation: Formation) {
        self.log = Log::new(0, 0, formation.members.clone());
        self.hard.formation = Some(formation);
        self.hard.formed = true;
        self.save_hard_state();
        self.forming.seen.clear();
        self.reset_election_timer(now_us);
    }
}
