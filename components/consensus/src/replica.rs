//! The replica: inputs, outputs, roles, persistence and applying.

use crate::{
    formation::Forming,
    leader::Leading,
    log::Log,
    message::{Body, Message},
    state::{
        Entry, HardState, Membership, Payload, RecoveredState, ReplicaId, ReplicaNumber, Snapshot,
    },
};
use errors::ErrorKind;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use registry::{Change, ChangeResult, Registry};
use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

/// Part of the usual election timeout that a replica of an open group waits until it first hears
/// of a leader, as a divisor.
const FIRST_ELECTION_DIVISOR: u64 = 3;
/// Most messages that wait for the hard state to be on disk; the oldest are dropped as if lost.
const MAX_HELD_MESSAGES: usize = 256;

/// A group that starts from a few founders and grows to a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenGroup {
    /// Voters that the group grows to. No change is accepted before it first has them.
    pub voters: usize,
    /// Whether this replica may start a new group; false if one may have existed before.
    pub may_form: bool,
}

/// Limits and times of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Own replica number.
    pub number: ReplicaNumber,
    /// Replicas that form the group. In a fixed group these are all of them.
    pub group: BTreeSet<ReplicaNumber>,
    /// Whether replicas beyond `group` may join.
    pub open: Option<OpenGroup>,
    /// Shortest time without a leader before a campaign.
    pub election_min_us: u64,
    /// Longest time without a leader before a campaign; a leader without a quorum for this long
    /// steps down.
    pub election_max_us: u64,
    /// Time between heartbeats.
    pub heartbeat_us: u64,
    /// Time without an acknowledgement after which entries are sent again.
    pub resend_us: u64,
    /// Most bytes of entries in one append message.
    pub max_batch_bytes: usize,
    /// Most bytes of entries in flight to one replica.
    pub max_in_flight_bytes: usize,
    /// Most changes that wait for a quorum; more are refused as busy.
    pub max_uncommitted: usize,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Bytes of applied entries after which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Entries kept in memory behind a snapshot for replicas that are a little behind.
    pub keep_entries: u64,
}

impl ReplicaConfig {
    /// Times for regions up to 150 ms apart: a lost leader is replaced within about 2 s.
    pub fn new(number: ReplicaNumber, group: impl IntoIterator<Item = ReplicaNumber>) -> Self {
        ReplicaConfig {
            number,
            group: group.into_iter().collect(),
            open: None,
            election_min_us: 600_000,
            election_max_us: 1_200_000,
            heartbeat_us: 100_000,
            resend_us: 500_000,
            max_batch_bytes: 64 * 1024,
            max_in_flight_bytes: 256 * 1024,
            max_uncommitted: 1_024,
            snapshot_entries: 2_048,
            snapshot_bytes: 4 << 20,
            keep_entries: 512,
        }
    }
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads the group.
    Leader,
}

/// Events of a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed; at the latest at [`Replica::next_wake_us`].
    Tick,
    /// A message arrived.
    Message(Message),
    /// An operator's change.
    Propose {
        /// Returned in the answer.
        token: u64,
        /// The change.
        change: Change,
    },
    /// All writes up to this sequence are on disk.
    Persisted {
        /// Sequence of the last write.
        sequence: u64,
    },
    /// Asks for an index that is at least as new as every change answered so far.
    ReadIndex {
        /// Returned in the answer.
        token: u64,
    },
    /// The disk has no space, or has space again. Without space the replica hands over leadership.
    StorageFull(bool),
    /// The process is about to stop; a leader hands over.
    TransferLeadership,
}

/// One disk write.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Entries at the end of the log; those at or after the index of the first one are replaced.
    Append(Vec<Entry>),
    /// New hard state.
    SaveHardState(HardState),
    /// New snapshot; log entries up to it are no longer needed.
    SaveSnapshot {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// Whether the entries after the snapshot are void as well.
        discard_log: bool,
    },
}

/// Result of a proposal or read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The change was applied, now or by an earlier send of the same change id.
    Committed(ChangeResult),
    /// The request was not taken, or (`NoQuorum`) its result is not known; a resend with the same
    /// change id is safe.
    Refused {
        /// Reason.
        kind: ErrorKind,
        /// Leader to ask instead, if known.
        leader: Option<ReplicaNumber>,
    },
}

/// Actions for the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// Receiver.
        to: ReplicaNumber,
        /// Message.
        message: Message,
    },
    /// Carry out a write, in the order of the sequences, and confirm it with `Persisted`.
    /// Several writes may share one fsync and one confirmation.
    Persist {
        /// Grows by one with each write.
        sequence: u64,
        /// The write.
        write: Write,
    },
    /// The registry has taken in an entry, or a snapshot from the leader.
    RegistryChanged {
        /// Index of the last applied entry.
        index: u64,
    },
    /// Answer to `Propose`.
    Answer {
        /// Token of the proposal.
        token: u64,
        /// Result.
        reply: Reply,
    },
    /// Answer to `ReadIndex`: the registry of this replica is new enough, or who to ask.
    ReadReady {
        /// Token of the read.
        token: u64,
        /// Applied index, or the refusal.
        result: Result<u64, Reply>,
    },
    /// Role, term or known leader changed.
    RoleChanged {
        /// New role.
        role: Role,
        /// Current term.
        term: u64,
        /// Leader, if known.
        leader: Option<ReplicaNumber>,
    },
}

/// One replica of the control group.
#[derive(Debug)]
pub struct Replica {
    pub(crate) config: ReplicaConfig,
    pub(crate) id: ReplicaId,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    pub(crate) registry: Registry,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) leader_heard_us: u64,
    /// Whether this process has heard of a leader, or led, since its start.
    pub(crate) has_met_leader: bool,
    pub(crate) election_due_us: u64,
    pub(crate) votes: BTreeSet<ReplicaId>,
    pub(crate) transfer_election: bool,
    pub(crate) leading: Option<Leading>,
    pub(crate) forming: Forming,
    /// Last index known to equal the leader's log in this term.
    pub(crate) verified: u64,
    pub(crate) round: u64,
    pub(crate) acked: Option<u64>,
    pub(crate) ack_due: bool,
    pub(crate) storage_full: bool,
    /// Bytes of entries applied since the last snapshot.
    applied_bytes: usize,
    persisted_index: u64,
    persisted_sequence: u64,
    last_sequence: u64,
    hard_sequence: u64,
    unpersisted: VecDeque<(u64, u64)>,
    held: VecDeque<(u64, Output)>,
    out: Vec<Output>,
    announced: (Role, u64, Option<ReplicaId>),
}

impl Replica {
    /// Continues from what the store recovered; `seed` spreads election timeouts.
    pub fn new(now_us: u64, config: ReplicaConfig, recovered: RecoveredState, seed: u64) -> Self {
        let id = ReplicaId {
            number: config.number,
            disk_id: recovered.disk_id,
        };
        let hard = recovered.hard_state;
        let snapshot = recovered.snapshot;
        let mut log = match &snapshot {
            Some(s) => Log::new(s.index, s.term, s.membership.clone()),
            None => Log::new(0, 0, formed_membership(&hard)),
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
            leader_heard_us: now_us,
            has_met_leader: false,
            election_due_us: 0,
            votes: BTreeSet::new(),
            transfer_election: false,
            leading: None,
            forming: Forming::default(),
            verified: 0,
            round: 0,
            acked: None,
            ack_due: false,
            storage_full: false,
            applied_bytes: 0,
            persisted_index: log.last_index(),
            persisted_sequence: 0,
            last_sequence: 0,
            hard_sequence: 0,
            unpersisted: VecDeque::new(),
            held: VecDeque::new(),
            out: Vec::new(),
            announced: (Role::Follower, hard.term, None),
            config,
            hard,
            log,
        };
        replica.reset_election_timer(now_us);
        replica
    }

    /// Takes in one event.
    pub fn handle_input(&mut self, now_us: u64, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.on_tick(now_us),
            Input::Message(message) => self.on_message(now_us, message),
            Input::Propose { token, change } => self.on_propose(now_us, token, change),
            Input::Persisted { sequence } => self.on_persisted(now_us, sequence),
            Input::ReadIndex { token } => self.on_read_index(now_us, token),
            Input::StorageFull(full) => self.on_storage_full(now_us, full),
            Input::TransferLeadership => self.hand_over(now_us),
        }
        self.announce_role();
        std::mem::take(&mut self.out)
    }

    /// Time of the next `Tick` that does something.
    pub fn next_wake_us(&self) -> u64 {
        let role_due_us = match &self.leading {
            Some(leading) => leading.heartbeat_due_us.min(leading.upkeep_due_us),
            None => self.election_due_us,
        };
        role_due_us.min(self.forming.hello_due_us)
    }

    /// Own identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Whether this identity was a member of the group from its formation on.
    pub fn is_founder(&self) -> bool {
        let names_self = |own: &crate::state::Formation| own.members.contains(self.id);
        self.hard.formed && self.hard.formation.as_ref().is_some_and(names_self)
    }

    /// Current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.hard.term
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

    /// Whether this identity votes.
    pub fn is_voter(&self) -> bool {
        self.log.membership().contains(self.id)
    }

    /// Index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Index of the last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Profiles and answers at the applied index.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    fn on_tick(&mut self, now_us: u64) {
        self.tick_formation(now_us);
        if self.leading.is_some() {
            self.tick_leader(now_us);
        } else if now_us >= self.election_due_us {
            self.campaign(now_us);
        }
    }

    fn on_message(&mut self, now_us: u64, message: Message) {
        let to_other_disk = message
            .to_disk_id
            .is_some_and(|disk_id| disk_id != self.id.disk_id);
        if to_other_disk || message.from.number == self.id.number {
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
            Body::ProposeFormation(formation) => self.on_form(from, formation),
            Body::FormationAccepted { ballot } => self.on_form_accepted(now_us, from, ballot),
            Body::FormationComplete(formation) => self.on_formed(now_us, from, formation),
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
                }
            }
            Body::InstallSnapshot { snapshot, round } => {
                if self.accept_leader(now_us, from, term, round) {
                    self.on_install(from, snapshot);
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
        }
    }

    // Persistence

    pub(crate) fn persist(&mut self, write: Write) -> u64 {
        self.last_sequence += 1;
        self.out.push(Output::Persist {
            sequence: self.last_sequence,
            write,
        });
        self.last_sequence
    }

    pub(crate) fn save_hard_state(&mut self) {
        self.hard_sequence = self.persist(Write::SaveHardState(self.hard.clone()));
    }

    /// Adds entries at the end of the log and to the disk queue.
    pub(crate) fn append_entries(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first().map(|entry| entry.index) else {
            return;
        };
        self.log.truncate_from(first);
        self.persisted_index = self.persisted_index.min(first - 1);
        for (_, last) in &mut self.unpersisted {
            *last = (*last).min(first - 1);
        }
        for entry in &entries {
            self.log.push(entry.clone());
        }
        let sequence = self.persist(Write::Append(entries));
        self.unpersisted
            .push_back((sequence, self.log.last_index()));
    }

    pub(crate) fn persist_snapshot(&mut self, snapshot: Arc<Snapshot>, discard_log: bool) {
        let index = snapshot.index;
        let sequence = self.persist(Write::SaveSnapshot {
            snapshot,
            discard_log,
        });
        if discard_log {
            self.persisted_index = self.persisted_index.min(self.commit);
            self.unpersisted.clear();
        }
        self.unpersisted.push_back((sequence, index));
    }

    /// Last index that is on disk.
    pub(crate) fn persisted_index(&self) -> u64 {
        self.persisted_index
    }

    /// Whether the current term, vote and formation are on disk.
    pub(crate) fn hard_state_is_saved(&self) -> bool {
        self.persisted_sequence >= self.hard_sequence
    }

    fn on_persisted(&mut self, now_us: u64, upto: u64) {
        if upto <= self.persisted_sequence || upto > self.last_sequence {
            return;
        }
        self.persisted_sequence = upto;
        while let Some((sequence, last)) = self.unpersisted.front().copied() {
            if sequence > upto {
                break;
            }
            self.unpersisted.pop_front();
            self.persisted_index = self.persisted_index.max(last);
        }
        while let Some((sequence, output)) = self.held.pop_front() {
            if sequence > upto {
                self.held.push_front((sequence, output));
                break;
            }
            self.out.push(output);
        }
        self.acknowledge_persisted();
        self.count_own_vote(now_us);
        self.advance_commit(now_us);
    }

    // Sending

    /// Sends to an identity.
    pub(crate) fn send(&mut self, to: ReplicaId, term: u64, body: Body) {
        let output = self.envelope(to.number, Some(to.disk_id), term, body);
        self.out.push(output);
    }

    /// Sends to whoever has this replica number.
    pub(crate) fn send_to_number(&mut self, to: ReplicaNumber, body: Body) {
        let output = self.envelope(to, None, self.hard.term, body);
        self.out.push(output);
    }

    /// Sends once the hard state is on disk; a crash before that must leave no promise behind.
    pub(crate) fn send_saved(&mut self, to: ReplicaId, body: Body) {
        let output = self.envelope(to.number, Some(to.disk_id), self.hard.term, body);
        if self.hard_state_is_saved() {
            self.out.push(output);
        } else {
            if self.held.len() >= MAX_HELD_MESSAGES {
                self.held.pop_front();
            }
            self.held.push_back((self.hard_sequence, output));
        }
    }

    fn envelope(
        &self,
        to: ReplicaNumber,
        to_disk_id: Option<u64>,
        term: u64,
        body: Body,
    ) -> Output {
        let message = Message {
            from: self.id,
            to_disk_id,
            term,
            body,
        };
        Output::Send { to, message }
    }

    pub(crate) fn answer(&mut self, token: u64, reply: Reply) {
        self.out.push(Output::Answer { token, reply });
    }

    pub(crate) fn read_ready(&mut self, token: u64, result: Result<u64, Reply>) {
        self.out.push(Output::ReadReady { token, result });
    }

    pub(crate) fn refusal(&self, kind: ErrorKind) -> Reply {
        let leader = self.leader.filter(|leader| *leader != self.id);
        Reply::Refused {
            kind,
            leader: leader.map(|leader| leader.number),
        }
    }

    fn announce_role(&mut self) {
        let current = (self.role, self.hard.term, self.leader);
        if current != self.announced {
            self.announced = current;
            self.out.push(Output::RoleChanged {
                role: self.role,
                term: self.hard.term,
                leader: self.leader.map(|leader| leader.number),
            });
        }
    }

    // Roles

    pub(crate) fn reset_election_timer(&mut self, now_us: u64) {
        let range = self.config.election_min_us..=self.config.election_max_us;
        let mut wait_us = self.rng.random_range(range);
        if self.config.open.is_some() && !self.has_met_leader {
            // After a restart of the whole group there is no leader to wait for, and a pre-vote
            // disturbs no leader that there is.
            wait_us /= FIRST_ELECTION_DIVISOR;
        }
        self.election_due_us = now_us + wait_us;
    }

    /// Moves to a term as follower; a higher term clears the vote and is saved.
    pub(crate) fn become_follower(&mut self, now_us: u64, term: u64, leader: Option<ReplicaId>) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted_for = None;
            self.save_hard_state();
            self.verified = 0;
            self.round = 0;
            self.acked = None;
            self.ack_due = false;
        }
        if self.role != Role::Follower {
            self.reset_election_timer(now_us);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.drop_leadership();
    }

    // Applying

    /// Applies committed entries, answers their proposals and takes a snapshot when due.
    pub(crate) fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let index = self.applied + 1;
            let Some(entry) = self.log.get(index) else {
                return;
            };
            let term = entry.term;
            self.applied_bytes += entry.size_bytes();
            let applied = match &entry.payload {
                Payload::Change(change) => Some(self.registry.apply(term, index, change)),
                Payload::Empty | Payload::Membership(_) => None,
            };
            self.applied = index;
            if let Some(applied) = applied {
                self.out.push(Output::RegistryChanged { index });
                self.answer_applied(index, applied);
            }
        }
        self.take_snapshot_if_due();
    }

    pub(crate) fn applied_snapshot(&mut self, index: u64) {
        self.applied = index;
        self.out.push(Output::RegistryChanged { index });
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
        // Large entries are not kept: a replica that is behind gets the snapshot instead.
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

/// Membership before the first log entry.
pub(crate) fn formed_membership(hard: &HardState) -> Membership {
    match &hard.formation {
        Some(formation) if hard.formed => formation.members.clone(),
        _ => Membership::default(),
    }
}
