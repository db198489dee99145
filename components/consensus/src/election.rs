//! Elections: pre-votes, candidates and votes.

use crate::{io::Role, message::Body, replica::Replica, state::ReplicaId};
use std::collections::BTreeSet;

impl Replica {
    /// Whether this replica may ask for votes. It must be a voter, have space on its disk, and have
    /// saved its last term: while that write is pending, a new term could not be saved either.
    fn may_campaign(&self) -> bool {
        self.is_voter() && !self.is_storage_full && self.is_hard_state_saved()
    }

    /// Whether this replica may vote. A replica with an empty disk may not, because it knows
    /// nothing about the committed log.
    ///
    /// A replica that has caught up votes even before it receives the entry that makes it a voter.
    /// That is safe because candidates count only votes of identities in their own membership, and
    /// necessary because the group would stop if the leader failed right after the promotion.
    fn may_vote(&self) -> bool {
        self.hard_state.formed || self.log.last_index() > 0
    }

    fn is_vote_being_saved(&self) -> bool {
        self.hard_state.voted_for.is_some() && !self.is_hard_state_saved()
    }

    /// Term and index of the last log entry, in the order in which logs are compared.
    fn last_log_position(&self) -> (u64, u64) {
        (self.log.last_term(), self.log.last_index())
    }

    /// Whether this replica leads or heard from a leader within the shortest election timeout. It
    /// then refuses to vote for other candidates.
    fn has_recent_leader(&self, now_us: u64) -> bool {
        self.role == Role::Leader
            || (self.leader.is_some()
                && now_us < self.leader_last_heard_us + self.config.election_min_us)
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = self.log.membership().voters.iter().copied();
        voters.filter(|id| *id != self.id).collect()
    }

    /// Asks whether an election would succeed. A failed pre-vote changes no term, so it doesn't
    /// depose a working leader, and votes of the current term still count.
    pub(crate) fn start_pre_vote(&mut self, now_us: u64) {
        self.reset_election_timer(now_us);
        self.leader = None;
        if !self.may_campaign() {
            // Votes for a candidate still count while its term is being written.
            if self.role != Role::Candidate || self.is_storage_full {
                self.role = Role::Follower;
            }
            return;
        }
        self.role = Role::PreCandidate;
        self.pre_votes = [self.id].into();
        let (last_term, last_index) = self.last_log_position();
        for voter in self.other_voters() {
            let body = Body::PreVote {
                last_index,
                last_term,
            };
            self.send(voter, self.hard_state.term + 1, body);
        }
        self.count_votes(now_us);
    }

    /// Moves to the next term and asks for votes.
    fn start_election(&mut self, now_us: u64, transfer: bool) {
        self.reset_election_timer(now_us);
        self.hard_state.term += 1;
        self.hard_state.voted_for = Some(self.id);
        self.candidate_term = self.hard_state.term;
        self.save_hard_state();
        self.verified_index = 0;
        self.round = 0;
        self.acked_index = None;
        self.is_ack_due = false;
        self.role = Role::Candidate;
        self.leader = None;
        self.pre_votes.clear();
        self.votes.clear();
        self.transfer_election = transfer;
        let (last_term, last_index) = self.last_log_position();
        for voter in self.other_voters() {
            let body = Body::Vote {
                last_index,
                last_term,
                transfer,
            };
            self.send_after_save(voter, body);
        }
        self.count_own_vote(now_us);
    }

    /// Counts the replica's vote for itself once it is on disk.
    pub(crate) fn count_own_vote(&mut self, now_us: u64) {
        if self.role == Role::Candidate && self.is_hard_state_saved() {
            self.votes.insert(self.id);
            self.count_votes(now_us);
        }
    }

    fn count_votes(&mut self, now_us: u64) {
        match self.role {
            Role::PreCandidate | Role::Candidate if self.is_quorum(&self.votes) => {
                self.become_leader(now_us);
            }
            Role::PreCandidate if self.is_quorum(&self.pre_votes) => {
                self.start_election(now_us, false);
            }
            Role::PreCandidate | Role::Candidate | Role::Follower | Role::Leader => {}
        }
    }

    fn is_quorum(&self, votes: &BTreeSet<ReplicaId>) -> bool {
        let membership = self.log.membership();
        let count = votes.iter().filter(|id| membership.contains(**id));
        count.count() >= membership.quorum()
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        for_term: u64,
        log_position: (u64, u64),
    ) {
        // A vote that is being written may still elect a leader. On a slow disk, elections that
        // overtake one another would never succeed.
        let granted = self.may_vote()
            && !self.is_vote_being_saved()
            && for_term > self.hard_state.term
            && log_position >= self.last_log_position()
            && !self.has_recent_leader(now_us);
        let term = self.hard_state.term;
        self.send(from, term, Body::PreVoteReply { for_term, granted });
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        term: u64,
        for_term: u64,
        granted: bool,
    ) {
        if term > self.hard_state.term && !granted {
            self.become_follower(now_us, term, None);
            return;
        }
        if self.role == Role::PreCandidate && granted && for_term == self.hard_state.term + 1 {
            self.pre_votes.insert(from);
            self.count_votes(now_us);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        term: u64,
        log_position: (u64, u64),
        transfer: bool,
    ) {
        if !self.may_vote() || term < self.hard_state.term {
            return;
        }
        if !transfer && self.has_recent_leader(now_us) {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(now_us, term, None);
        }
        let vote_is_free = self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let granted =
            vote_is_free && log_position >= self.last_log_position() && self.role != Role::Leader;
        if granted && self.hard_state.voted_for.is_none() {
            self.role = Role::Follower;
            self.hard_state.voted_for = Some(from);
            self.save_hard_state();
            self.reset_election_timer(now_us);
        }
        self.send_after_save(from, Body::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, now_us: u64, from: ReplicaId, term: u64, granted: bool) {
        if term > self.hard_state.term {
            self.become_follower(now_us, term, None);
            return;
        }
        let is_candidate = matches!(self.role, Role::PreCandidate | Role::Candidate)
            && self.candidate_term == self.hard_state.term;
        if is_candidate && term == self.hard_state.term && granted {
            self.votes.insert(from);
            self.count_votes(now_us);
        }
    }

    /// Starts an election at once, because the leader transfers its leadership to this replica.
    pub(crate) fn on_timeout_now(&mut self, now_us: u64, from: ReplicaId, term: u64) {
        if term == self.hard_state.term && self.leader == Some(from) && self.may_campaign() {
            self.start_election(now_us, true);
        }
    }
}
