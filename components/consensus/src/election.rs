//! Campaigns and votes.

use crate::{
    message::Body,
    replica::{Replica, Role},
    state::ReplicaId,
};

impl Replica {
    /// Whether this identity may ask for votes. A disk that has not saved the last term can't
    /// save another one either.
    fn may_campaign(&self) -> bool {
        self.is_voter() && !self.storage_full && self.hard_state_is_saved()
    }

    /// Whether this identity may vote: an empty disk remembers nothing that a vote could rest on.
    ///
    /// A caught-up identity votes even before it sees the entry that makes it a voter. Candidates
    /// count only identities in their own membership, and refusing would stop the group if the
    /// leader is lost right after the promotion.
    fn may_vote(&self) -> bool {
        self.hard.formed || self.log.last_index() > 0
    }

    fn last_position(&self) -> (u64, u64) {
        (self.log.last_term(), self.log.last_index())
    }

    /// Whether a leader was heard of too recently to help another candidate.
    fn hears_leader(&self, now_us: u64) -> bool {
        self.role == Role::Leader
            || (self.leader.is_some()
                && now_us < self.leader_heard_us + self.config.election_min_us)
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = self.log.membership().voters.iter().copied();
        voters.filter(|id| *id != self.id).collect()
    }

    /// Starts a pre-vote, which disturbs nobody if it fails.
    pub(crate) fn campaign(&mut self, now_us: u64) {
        self.reset_election_timer(now_us);
        self.leader = None;
        if !self.may_campaign() {
            self.role = Role::Follower;
            return;
        }
        self.role = Role::PreCandidate;
        self.votes = [self.id].into();
        let (last_term, last_index) = self.last_position();
        for voter in self.other_voters() {
            let body = Body::PreVote {
                last_index,
                last_term,
            };
            self.send(voter, self.hard.term + 1, body);
        }
        self.count_votes(now_us);
    }

    fn start_election(&mut self, now_us: u64, transfer: bool) {
        self.reset_election_timer(now_us);
        self.hard.term += 1;
        self.hard.voted_for = Some(self.id);
        self.save_hard_state();
        self.verified = 0;
        self.round = 0;
        self.acked = None;
        self.ack_due = false;
        self.role = Role::Candidate;
        self.leader = None;
        self.votes.clear();
        self.transfer_election = transfer;
        let (last_term, last_index) = self.last_position();
        for voter in self.other_voters() {
            let body = Body::Vote {
                last_index,
                last_term,
                transfer,
            };
            self.send_saved(voter, body);
        }
        self.count_own_vote(now_us);
    }

    /// Counts the own vote once it is on disk.
    pub(crate) fn count_own_vote(&mut self, now_us: u64) {
        if self.role == Role::Candidate && self.hard_state_is_saved() {
            self.votes.insert(self.id);
            self.count_votes(now_us);
        }
    }

    fn count_votes(&mut self, now_us: u64) {
        let membership = self.log.membership();
        let count = self.votes.iter().filter(|id| membership.contains(**id));
        if count.count() < membership.quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(now_us, false),
            Role::Candidate => self.become_leader(now_us),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        for_term: u64,
        position: (u64, u64),
    ) {
        let granted = self.may_vote()
            && for_term > self.hard.term
            && position >= self.last_position()
            && !self.hears_leader(now_us);
        let term = self.hard.term;
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
        if term > self.hard.term && !granted {
            self.become_follower(now_us, term, None);
            return;
        }
        if self.role == Role::PreCandidate && granted && for_term == self.hard.term + 1 {
            self.votes.insert(from);
            self.count_votes(now_us);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        now_us: u64,
        from: ReplicaId,
        term: u64,
        position: (u64, u64),
        transfer: bool,
    ) {
        if !self.may_vote() || term < self.hard.term {
            return;
        }
        if !transfer && self.hears_leader(now_us) {
            return;
        }
        if term > self.hard.term {
            self.become_follower(now_us, term, None);
        }
        let free = self.hard.voted_for.is_none_or(|voted| voted == from);
        let granted = free && position >= self.last_position() && self.role != Role::Leader;
        if granted && self.hard.voted_for.is_none() {
            self.role = Role::Follower;
            self.hard.voted_for = Some(from);
            self.save_hard_state();
            self.reset_election_timer(now_us);
        }
        self.send_saved(from, Body::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, now_us: u64, from: ReplicaId, term: u64, granted: bool) {
        if term > self.hard.term {
            self.become_follower(now_us, term, None);
            return;
        }
        if self.role == Role::Candidate && term == self.hard.term && granted {
            self.votes.insert(from);
            self.count_votes(now_us);
        }
    }

    /// Campaigns at once because the leader hands over.
    pub(crate) fn on_timeout_now(&mut self, now_us: u64, from: ReplicaId, term: u64) {
        if term == self.hard.term && self.leader == Some(from) && self.may_campaign() {
            self.start_election(now_us, true);
        }
    }
}
