//! The replica state machine: roles, disk writes and applying entries.

use crate::{
    config::ReplicaConfig,
    formation::FormationState,
    io::{Input, Output, Role},
    leader::LeaderState,
    log::Log,
    message::{Body, Message},
    state::{HardState, Membership, Payload, RecoveredState, ReplicaId, Snapshot},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use registry::Registry;
use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

/// Divides the election timeout of a replica of an open group until it first hears of a leader.
const FIRST_ELECTION_DIVISOR: u64 = 3;
/// Most times that the election timeout is doubled after elections without a leader.
const MAX_ELECTION_DOUBLINGS: u32 = 3;
/// Longest time by which the last write of a vote delays the next election. A disk that stalled once
/// isn't waited for any longer.
const MAX_ELECTION_WRITES_US: u64 = 4_000_000;
/// Longest time for which a follower that lacks committed entries, or hears no heartbeat, still
/// counts as current: five heartbeats. Entries that are on their way arrive within it.
const MAX_BEHIND_US: u64 = 500_000;

/// State machine of one control replica.
#[derive(Debug)]
pub struct Replica {
    pub(crate) config: ReplicaConfig,
    pub(crate) id: ReplicaId,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    /// Latest snapshot, for replicas that need entries before the log's base.
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    pub(crate) registry: Registry,
    /// Index of the last entry known to be committed.
    pub(crate) commit: u64,
    /// Index of the last applied entry.
    pub(crate) applied: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) leader_last_heard_us: u64,
    /// Whether this process has heard from a leader, or led, since it started.
    pub(crate) has_met_leader: bool,
    /// Last term in which this replica has heard from a leader, or led; its first term after a start.
    pub(crate) last_led_term: u64,
    pub(crate) election_due_us: u64,
    /// Identities that granted the last pre-vote of this replica.
    pub(crate) pre_votes: BTreeSet<ReplicaId>,
    /// Identities that granted a vote in the current term.
    pub(crate) votes: BTreeSet<ReplicaId>,
    /// Term of the election that this process has started and neither won nor lost; 0 without one.
    /// A replica that has led or restarted in its term must not lead in it again.
    pub(crate) candidate_term: u64,
    /// Whether the last election followed a leadership transfer.
    pub(crate) transfer_election: bool,
    /// Present while this replica is the leader.
    pub(crate) leader_state: Option<LeaderState>,
    pub(crate) formation_state: FormationState,
    /// Last index known to equal the leader's log in the current term.
    pub(crate) verified_index: u64,
    /// Highest heartbeat round seen in the current term.
    pub(crate) round: u64,
    /// Index in the last acknowledgement of the current term.
    pub(crate) acked_index: Option<u64>,
    /// Whether an acknowledgement waits for a disk write.
    pub(crate) is_ack_due: bool,
    /// When this follower last had applied everything that its leader knew to be committed; unset
    /// until it first has.
    pub(crate) current_at_us: Option<u64>,
    pub(crate) is_storage_full: bool,
    /// Whether the process is about to stop.
    is_stopping: bool,
    /// Size of the entries applied since the last snapshot.
    applied_bytes: usize,
    /// Last log index that is on disk.
    pub(crate) persisted_index: u64,
    /// Sequence number of the last confirmed write.
    pub(crate) persisted_sequence: u64,
    /// Sequence number of the last requested write.
    pub(crate) last_sequence: u64,
    /// Sequence number of the last write of the hard state.
    pub(crate) hard_state_sequence: u64,
    /// Time of the input that is being processed.
    pub(crate) input_us: u64,
    /// When the last write of the hard state was requested.
    pub(crate) hard_state_write_began_us: u64,
    /// Time that the last write of the hard state took.
    pub(crate) hard_state_write_us: u64,
    /// Sequence number and last log index of each unconfirmed write of entries or snapshots.
    pub(crate) unpersisted: VecDeque<(u64, u64)>,
    /// Messages that wait for the write with the given sequence number.
    pub(crate) held_messages: VecDeque<(u64, Output)>,
    pub(crate) outputs: Vec<Output>,
    /// Contents of the last `RoleChanged`.
    pub(crate) reported_role: (Role, u64, Option<ReplicaId>),
}

impl Replica {
    /// Creates a replica that continues from the state on disk. `seed` is for the random election
    /// timeouts and should differ between replicas.
    pub fn new(now_us: u64, config: ReplicaConfig, recovered: RecoveredState, seed: u64) -> Self {
        let id = ReplicaId {
            number: config.number,
            disk_id: recovered.disk_id,
        };
        let hard_state = recovered.hard_state;
        let snapshot = recovered.snapshot;
        let mut log = match &snapshot {
            Some(s) => Log::new(s.index, s.term, s.membership.clone()),
            None => Log::new(0, 0, formed_membership(&hard_state)),
        };
        for entry in recovered.entries {
            log.push(entry);
        }
        let applied = log.base_index();
        let mut replica = Replica {
            id,
            rng: Pcg64Mcg::seed_from_u64(seed),
            registry: snapshot
                .as_ref()
                .map(|s| s.registry.clone())
                .unwrap_or_default(),
            snapshot,
            commit: applied,
            applied,
            role: Role::Follower,
            leader: None,
            leader_last_heard_us: now_us,
            has_met_leader: false,
            last_led_term: hard_state.term,
            election_due_us: 0,
            pre_votes: BTreeSet::new(),
            votes: BTreeSet::new(),
            candidate_term: 0,
            transfer_election: false,
            leader_state: None,
            formation_state: FormationState::default(),
            verified_index: 0,
            round: 0,
            acked_index: None,
            is_ack_due: false,
            current_at_us: None,
            is_storage_full: false,
            is_stopping: false,
            applied_bytes: 0,
            persisted_index: log.last_index(),
            persisted_sequence: 0,
            last_sequence: 0,
            hard_state_sequence: 0,
            input_us: now_us,
            hard_state_write_began_us: now_us,
            hard_state_write_us: 0,
            unpersisted: VecDeque::new(),
            held_messages: VecDeque::new(),
            outputs: Vec::new(),
            reported_role: (Role::Follower, hard_state.term, None),
            config,
            hard_state,
            log,
        };
        replica.reset_election_timer(now_us);
        replica
    }

    /// Processes one input and returns the resulting actions in order.
    pub fn handle_input(&mut self, now_us: u64, input: Input) -> Vec<Output> {
        self.input_us = now_us;
        match input {
            Input::Tick => self.on_tick(now_us),
            Input::Message(message) => self.on_message(now_us, message),
            Input::Propose { token, change } => self.on_propose(now_us, token, change),
            Input::Persisted { sequence } => self.on_persisted(now_us, sequence),
            Input::ReadIndex { token } => self.on_read_index(now_us, token),
            Input::StorageFull(full) => self.on_storage_full(now_us, full),
            Input::Stop => self.on_stop(now_us),
        }
        self.report_role_change();
        std::mem::take(&mut self.outputs)
    }

    /// Time at which the next [`Input::Tick`] is due.
    pub fn next_wake_us(&self) -> u64 {
        let role_due_us = match &self.leader_state {
            Some(leader_state) => leader_state
                .heartbeat_due_us
                .min(leader_state.membership_check_due_us),
            None => self.election_due_us,
        };
        role_due_us.min(self.formation_state.hello_due_us)
    }

    /// Identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Whether this identity is a member of the formation with which the group started.
    pub fn is_founder(&self) -> bool {
        let names_self = |own: &crate::state::Formation| own.members.contains(self.id);
        self.hard_state.formed && self.hard_state.formation.as_ref().is_some_and(names_self)
    }

    /// Role of this replica in its current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Highest term that this replica has seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Leader of the current term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Latest membership in the log.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Membership at the commit index.
    pub fn committed_membership(&self) -> &Membership {
        self.log.membership_at(self.commit)
    }

    /// Whether this replica is a voter according to the latest membership in its log.
    pub fn is_voter(&self) -> bool {
        self.log.membership().contains(self.id)
    }

    /// Index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Whether this replica has applied all that was committed, as far as it can know: it leads and
    /// has committed an entry of its term, or it follows such a leader and was not behind it within
    /// the last half second.
    pub fn is_current(&self, now_us: u64) -> bool {
        match self.role {
            Role::Leader => self.has_committed_in_term(),
            Role::Follower => {
                let is_recent = |at_us: u64| now_us.saturating_sub(at_us) < MAX_BEHIND_US;
                self.leader.is_some() && self.current_at_us.is_some_and(is_recent)
            }
            Role::PreCandidate | Role::Candidate => false,
        }
    }

    /// Index of the last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Profiles, configuration and kept answers as of the applied index.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    fn on_tick(&mut self, now_us: u64) {
        self.tick_formation(now_us);
        if self.leader_state.is_some() {
            self.tick_leader(now_us);
        } else if now_us >= self.election_due_us {
            self.start_pre_vote(now_us);
        }
    }

    fn on_message(&mut self, now_us: u64, message: Message) {
        let to_other_disk = message
            .to_disk_id
            .is_some_and(|disk_id| disk_id != self.id.disk_id);
        if message.from.number == self.id.number {
            return;
        }
        if to_other_disk {
            self.note_member_of_former_group(message.from);
            return;
        }
        let from = message.from;
        let term = message.term;
        match message.body {
            Body::Hello {
                group,
                formation,
                empty,
            } => self.on_hello(now_us, from, &group, formation, empty),
            Body::Voters(membership) => self.on_voters(&membership),
            Body::ProposeFormation(formation) => self.on_propose_formation(from, formation),
            Body::FormationAccepted { ballot } => self.on_formation_accepted(now_us, from, ballot),
            Body::FormationComplete(formation) => {
                self.on_formation_complete(now_us, from, formation);
            }
            Body::PreVote {
                last_index,
                last_term,
            } => self.on_pre_vote(now_us, from, term, (last_term, last_index)),
            Body::PreVoteReply { for_term, granted } => {
                self.on_pre_vote_reply(now_us, from, term, for_term, granted);
            }
            Body::Vote {
                last_index,
                last_term,
                transfer,
            } => self.on_vote(now_us, from, term, (last_term, last_index), transfer),
            Body::VoteReply { granted } => self.on_vote_reply(now_us, from, term, granted),
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                if self.accept_leader(now_us, from, term, round) {
                    self.on_append(from, (prev_index, prev_term), entries, commit);
                    self.note_leader_commit(now_us, commit);
                }
            }
            Body::InstallSnapshot { snapshot, round } => {
                if self.accept_leader(now_us, from, term, round) {
                    self.on_install_snapshot(from, snapshot);
                }
            }
            Body::AppendAccepted { matched, round } => {
                if self.accept_follower(now_us, from, term, round) {
                    self.on_append_accepted(now_us, from, matched);
                }
            }
            Body::AppendRejected {
                prev_index,
                hint_index,
                round,
            } => {
                if self.accept_follower(now_us, from, term, round) {
                    self.on_append_rejected(now_us, from, prev_index, hint_index);
                }
            }
            Body::TimeoutNow => self.on_timeout_now(now_us, from, term),
            Body::AppendReceived { index } => self.on_append_received(now_us, from, term, index),
            Body::Leaving => self.on_leaving(now_us, from, term),
        }
    }

    // Roles

    pub(crate) fn reset_election_timer(&mut self, now_us: u64) {
        let range = self.config.election_min_us..=self.config.election_max_us;
        let mut wait_us = self.rng.random_range(range);
        if self.config.open.is_some() && !self.has_met_leader {
            // After a restart of the whole group there is no leader to wait for. If there is one,
            // the pre-vote doesn't depose it.
            wait_us /= FIRST_ELECTION_DIVISOR;
        }
        // An election needs two writes to disk, the candidate's and the voters'. If the next one
        // starts before they are done, as on a slow disk, none ever succeeds.
        let failed_elections = self.hard_state.term.saturating_sub(self.last_led_term);
        let doublings = failed_elections.min(u64::from(MAX_ELECTION_DOUBLINGS));
        self.election_due_us = now_us + (wait_us << doublings) + self.election_writes_us();
    }

    /// Time that the writes of an election take if they take as long as the last one here.
    pub(crate) fn election_writes_us(&self) -> u64 {
        (2 * self.hard_state_write_us).min(MAX_ELECTION_WRITES_US)
    }

    /// Records that the current term has a leader. The disks may have become faster by the time of the
    /// next election, so it measures them anew.
    pub(crate) fn meet_leader(&mut self) {
        self.has_met_leader = true;
        self.last_led_term = self.hard_state.term;
        self.candidate_term = 0;
        self.hard_state_write_us = 0;
    }

    /// Becomes a follower in `term`. A higher term clears the vote and is saved.
    pub(crate) fn become_follower(&mut self, now_us: u64, term: u64, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
            self.save_hard_state();
            self.verified_index = 0;
            self.round = 0;
            self.acked_index = None;
            self.is_ack_due = false;
        }
        if self.role != Role::Follower {
            self.reset_election_timer(now_us);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.pre_votes.clear();
        self.votes.clear();
        self.candidate_term = 0;
        self.drop_leadership();
    }

    fn on_stop(&mut self, now_us: u64) {
        self.is_stopping = true;
        match self.leader {
            Some(leader) if leader != self.id => self.announce_leaving(leader),
            _ => self.transfer_leadership(now_us),
        }
    }

    /// Tells the leader that this voter is about to stop. Repeated with each message of the leader,
    /// which may have become leader after the first time.
    pub(crate) fn announce_leaving(&mut self, leader: ReplicaId) {
        if self.is_stopping && self.config.open.is_some() && self.is_voter() {
            self.send(leader, self.hard_state.term, Body::Leaving);
        }
    }

    // Applying

    /// Applies committed entries, answers their proposals, and takes a snapshot if one is due.
    pub(crate) fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let index = self.applied + 1;
            let Some(entry) = self.log.get(index) else {
                return;
            };
            let term = entry.term;
            self.applied_bytes += entry.size_bytes();
            let result = match &entry.payload {
                Payload::Change(change) => Some(self.registry.apply(term, index, change)),
                Payload::Empty | Payload::Membership(_) => None,
            };
            self.applied = index;
            if let Some(result) = result {
                self.outputs.push(Output::RegistryChanged { index });
                self.answer_proposal(index, result);
            }
        }
        self.take_snapshot_if_due();
    }

    /// Records that the registry was replaced by a snapshot.
    pub(crate) fn applied_snapshot(&mut self, index: u64) {
        self.applied = index;
        self.outputs.push(Output::RegistryChanged { index });
    }

    fn take_snapshot_if_due(&mut self) {
        let last = self.snapshot.as_ref().map_or(0, |s| s.index);
        let is_large = self.applied_bytes >= self.config.snapshot_bytes;
        if !is_large && self.applied - last < self.config.snapshot_entries {
            return;
        }
        let Some(term) = self.log.term(self.applied) else {
            return;
        };
        let snapshot = Arc::new(Snapshot {
            index: self.applied,
            term,
            membership: self.log.membership_at(self.applied).clone(),
            registry: self.registry.clone(),
        });
        self.snapshot = Some(snapshot.clone());
        self.applied_bytes = 0;
        // Entries are not kept in memory if they are large; a replica that is behind then gets the
        // snapshot.
        let kept = if is_large {
            0
        } else {
            self.config.keep_entries
        };
        let keep_from = snapshot.index.saturating_sub(kept);
        self.log.compact_to(keep_from);
        self.persist_snapshot(snapshot, false);
    }
}

/// Membership before the first log entry: that of the formation if the group has started.
pub(crate) fn formed_membership(hard_state: &HardState) -> Membership {
    match &hard_state.formation {
        Some(formation) if hard_state.formed => formation.members.clone(),
        _ => Membership::default(),
    }
}
