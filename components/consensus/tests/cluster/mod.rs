//! Simulation of a group of replicas with simulated network, disks and clocks. It checks the
//! safety properties of the protocol after each input.
#![allow(dead_code, missing_docs, unreachable_pub)]

mod invariants;

use consensus::{
    Entry, HardState, Input, Membership, Message, Output, RecoveredState, Replica, ReplicaConfig,
    ReplicaId, ReplicaNumber, Reply, Role, Snapshot, Write,
};
use errors::ErrorKind;
use model::{Profile, ProfileName, Revision};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use registry::{Change, ChangeId, ChangeResult, Op, ProfileSet};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

/// Simulated time of one [`Cluster::step`].
pub const STEP_US: u64 = 20_000;
/// Age from which on an accepted change must be applied at every replica that counts as current: a
/// leader steps down and a follower gives its leader up within the longest election timeout each,
/// on clocks that run at 70 %.
const MAX_CURRENT_LAG_US: u64 = 4_000_000;

/// State on one replica's disk.
#[derive(Clone, Debug, Default)]
pub struct DiskImage {
    pub disk_id: u64,
    pub hard_state: HardState,
    pub snapshot: Option<Arc<Snapshot>>,
    pub entries: Vec<Entry>,
}

impl DiskImage {
    fn write(&mut self, write: &Write) {
        match write {
            Write::Append(entries) => {
                self.entries.retain(|e| e.index < entries[0].index);
                self.entries.extend(entries.iter().cloned());
            }
            Write::SaveHardState(state) => self.hard_state = state.clone(),
            Write::SaveSnapshot {
                snapshot,
                discard_log,
            } => {
                let keep = |e: &Entry| !discard_log && e.index > snapshot.index;
                self.entries.retain(keep);
                self.snapshot = Some(snapshot.clone());
            }
        }
    }

    pub fn last_index(&self) -> u64 {
        let snapshot_index = self.snapshot.as_ref().map_or(0, |s| s.index);
        self.entries.last().map_or(snapshot_index, |e| e.index)
    }

    fn recover(&self) -> RecoveredState {
        RecoveredState {
            disk_id: self.disk_id,
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }
}

/// A replica, if it is running, with its disk and clock.
#[derive(Debug)]
pub struct Host {
    pub replica: Option<Replica>,
    pub image: DiskImage,
    /// Writes that are not on the disk yet, with their sequence numbers.
    pub queued_writes: VecDeque<(u64, Write)>,
    /// While the disk is stuck, writes stay queued.
    pub disk_is_stuck: bool,
    /// End of the sync that is in progress, if `Faults::disk_sync_us` is set.
    pub sync_ends_us: Option<u64>,
    /// Speed of the local clock in percent of simulated time.
    pub clock_percent: u64,
    /// Simulated and local time of the last change of the clock's speed.
    pub clock_base_us: (u64, u64),
}

#[derive(Debug)]
struct InFlightMessage {
    due_us: u64,
    from: ReplicaNumber,
    to: ReplicaNumber,
    message: Message,
}

/// Network and disk faults that are drawn at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay_us: u64,
    /// Chance, before each queued write, that the disk writes no more in this step.
    pub disk_lag_percent: u32,
    /// Time that each sync of a disk takes.
    pub disk_sync_us: u64,
    /// Replicas up to this number have disks that sync at once.
    pub last_fast_disk: ReplicaNumber,
}

/// The simulated group.
#[derive(Debug)]
pub struct Cluster {
    pub hosts: BTreeMap<ReplicaNumber, Host>,
    pub now_us: u64,
    pub rng: Pcg64Mcg,
    pub faults: Faults,
    /// Sender and receiver of each blocked direction.
    pub blocked: BTreeSet<(ReplicaNumber, ReplicaNumber)>,
    /// Log of the run.
    pub events: Vec<String>,
    /// Answers to proposals by token.
    pub answers: BTreeMap<u64, Reply>,
    /// Answers to reads by token.
    pub reads: BTreeMap<u64, Result<u64, Reply>>,
    /// Revision that the answer to a read must have at least, by token.
    min_read_revisions: BTreeMap<u64, Revision>,
    /// Number of messages sent.
    pub messages: u64,
    /// Seeds of each replica that starts, if they are not those of `adjust_config`.
    pub seeds: Option<BTreeSet<ReplicaNumber>>,
    /// Changes the default settings of each replica that starts.
    pub adjust_config: fn(&mut ReplicaConfig),
    in_flight: Vec<InFlightMessage>,
    /// Readable names by disk id: replica number and count of its disks, such as "2.1".
    identity_names: BTreeMap<u64, String>,
    next_disk_id: u64,
    // State for the invariants
    leader_by_term: BTreeMap<u64, ReplicaId>,
    digest_by_index: BTreeMap<u64, u64>,
    digest_by_revision: BTreeMap<Revision, u64>,
    /// Highest commit index of any replica.
    pub max_committed: u64,
    /// Membership at `max_committed`.
    pub committed_membership: Membership,
    pub accepted: BTreeMap<ChangeId, Revision>,
    /// Times at which changes were accepted, with their revisions, in order.
    accepted_at: VecDeque<(u64, Revision)>,
    /// Newest revision that was accepted before `MAX_CURRENT_LAG_US`.
    settled_revision: Revision,
    /// Proposed changes by token.
    pub proposed: BTreeMap<u64, Change>,
    /// Profile sets of two nodes, which pull deltas from replicas.
    pub node_profiles: Vec<ProfileSet>,
    pub lost_disks: u64,
}

impl Cluster {
    pub fn new(size: u64, seed: u64) -> Self {
        Self::with_config(size, seed, |_| {})
    }

    pub fn with_config(size: u64, seed: u64, adjust_config: fn(&mut ReplicaConfig)) -> Self {
        let mut cluster = Cluster {
            hosts: BTreeMap::new(),
            now_us: 1_000_000,
            rng: Pcg64Mcg::seed_from_u64(seed),
            faults: Faults {
                max_delay_us: STEP_US,
                ..Faults::default()
            },
            blocked: BTreeSet::new(),
            events: Vec::new(),
            answers: BTreeMap::new(),
            reads: BTreeMap::new(),
            min_read_revisions: BTreeMap::new(),
            messages: 0,
            seeds: None,
            adjust_config,
            in_flight: Vec::new(),
            identity_names: BTreeMap::new(),
            next_disk_id: 1,
            leader_by_term: BTreeMap::new(),
            digest_by_index: BTreeMap::new(),
            digest_by_revision: BTreeMap::new(),
            max_committed: 0,
            committed_membership: Membership::default(),
            accepted: BTreeMap::new(),
            accepted_at: VecDeque::new(),
            settled_revision: Revision::default(),
            proposed: BTreeMap::new(),
            node_profiles: vec![ProfileSet::default(); 2],
            lost_disks: 0,
        };
        for number in 1..=size {
            let host = Host {
                replica: None,
                image: DiskImage::default(),
                queued_writes: VecDeque::new(),
                disk_is_stuck: false,
                sync_ends_us: None,
                clock_percent: 100,
                clock_base_us: (0, 0),
            };
            cluster.hosts.insert(number, host);
            cluster.new_disk(number);
        }
        for number in 1..=size {
            cluster.start(number);
        }
        cluster
    }

    pub fn numbers(&self) -> Vec<ReplicaNumber> {
        self.hosts.keys().copied().collect()
    }

    pub fn log_event(&mut self, event: impl Into<String>) {
        let at_ms = self.now_us / 1_000;
        self.events.push(format!("{at_ms:>6} ms  {}", event.into()));
    }

    fn name(&self, id: ReplicaId) -> String {
        let name = self.identity_names.get(&id.disk_id).cloned();
        name.unwrap_or_else(|| id.to_string())
    }

    fn new_disk(&mut self, number: ReplicaNumber) {
        let disk_id = self.next_disk_id;
        self.next_disk_id += 1;
        let count = self
            .identity_names
            .values()
            .filter(|n| n.starts_with(&format!("{number}.")))
            .count();
        self.identity_names
            .insert(disk_id, format!("{number}.{}", count + 1));
        let host = self.hosts.get_mut(&number).unwrap();
        host.image = DiskImage {
            disk_id,
            ..DiskImage::default()
        };
    }

    fn local_us(&self, number: ReplicaNumber) -> u64 {
        let host = &self.hosts[&number];
        let (base_us, local_base_us) = host.clock_base_us;
        local_base_us + (self.now_us - base_us) * host.clock_percent / 100
    }

    pub fn start(&mut self, number: ReplicaNumber) {
        let mut config = ReplicaConfig::new(number, self.numbers());
        (self.adjust_config)(&mut config);
        if let Some(seeds) = &self.seeds {
            config.group = seeds.clone();
        }
        let seed = self.rng.random();
        let now_us = self.local_us(number);
        let host = self.hosts.get_mut(&number).unwrap();
        host.replica = Some(Replica::new(now_us, config, host.image.recover(), seed));
    }

    /// Stops a replica. Of the unconfirmed writes, a random prefix is on the disk.
    pub fn crash(&mut self, number: ReplicaNumber) {
        let rng = &mut self.rng;
        let host = self.hosts.get_mut(&number).unwrap();
        if host.replica.take().is_none() {
            return;
        }
        let done = rng.random_range(0..=host.queued_writes.len());
        for (_, write) in host.queued_writes.drain(..done) {
            host.image.write(&write);
        }
        if let Some((_, Write::Append(entries))) = host.queued_writes.pop_front() {
            let written = rng.random_range(0..=entries.len());
            if written > 0 {
                host.image
                    .write(&Write::Append(entries[..written].to_vec()));
            }
        }
        host.queued_writes.clear();
        self.log_event(format!("replica {number} crashes"));
    }

    pub fn restart(&mut self, number: ReplicaNumber) {
        self.start(number);
        self.log_event(format!("replica {number} starts"));
    }

    pub fn lose_disk(&mut self, number: ReplicaNumber) {
        self.crash(number);
        self.new_disk(number);
        self.lost_disks += 1;
        self.log_event(format!("replica {number} loses its disk"));
    }

    /// Whether a disk can be lost without losing the quorum's data: all replicas must be voters
    /// with their current disks.
    pub fn can_lose_disk(&self) -> bool {
        if self.max_committed == 0 {
            return self.lost_disks == 0;
        }
        let id = |(number, host): (&u64, &Host)| ReplicaId {
            number: *number,
            disk_id: host.image.disk_id,
        };
        let voters = &self.committed_membership;
        voters.voters.len() == self.hosts.len() && self.hosts.iter().all(|h| voters.contains(id(h)))
    }

    pub fn isolate(&mut self, number: ReplicaNumber) {
        for other in self.numbers() {
            self.blocked.insert((number, other));
            self.blocked.insert((other, number));
        }
        self.log_event(format!("replica {number} is cut off"));
    }

    pub fn drop_messages_in_flight(&mut self) {
        self.in_flight.clear();
    }

    pub fn heal(&mut self) {
        self.blocked.clear();
        self.log_event("the network is whole");
    }

    pub fn input(&mut self, number: ReplicaNumber, input: Input) {
        let now_us = self.local_us(number);
        let Some(replica) = self.hosts.get_mut(&number).unwrap().replica.as_mut() else {
            return;
        };
        let outputs = replica.handle_input(now_us, input);
        self.handle_outputs(number, outputs);
        self.check_replica(number);
    }

    fn handle_outputs(&mut self, number: ReplicaNumber, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send_message(number, to, &message),
                Output::Persist { sequence, write } => {
                    let host = self.hosts.get_mut(&number).unwrap();
                    host.queued_writes.push_back((sequence, write));
                }
                Output::RegistryChanged { index } => self.check_applied(number, index),
                Output::Answer { token, reply } => self.on_answer(number, token, reply),
                Output::ReadReady { token, result } => {
                    if result.is_ok() {
                        let read = self.replica(number).registry().revision();
                        assert!(read >= self.min_read_revisions[&token], "an outdated read");
                    }
                    self.reads.insert(token, result);
                }
                Output::RoleChanged { role, term, leader } => {
                    let known = leader.map_or("none".to_owned(), |l| l.to_string());
                    self.log_event(format!(
                        "replica {number} is {role:?} in term {term}, leader {known}"
                    ));
                }
            }
        }
    }

    fn on_answer(&mut self, number: ReplicaNumber, token: u64, reply: Reply) {
        let change = self.proposed[&token].clone();
        if let Reply::Committed(ChangeResult::Accepted { revision }) = &reply {
            let first = *self.accepted.entry(change.change_id).or_insert(*revision);
            assert_eq!(first, *revision, "a resend was applied twice");
            self.accepted_at.push_back((self.now_us, *revision));
        }
        let text = match &reply {
            Reply::Committed(ChangeResult::Accepted { revision }) => {
                format!("accepted as {revision}")
            }
            Reply::Committed(ChangeResult::Rejected(kind, detail)) => format!("{kind}: {detail}"),
            Reply::Refused { kind, leader } => format!("{kind}, leader {leader:?}"),
        };
        self.log_event(format!("replica {number} answers {token}: {text}"));
        self.answers.insert(token, reply);
    }

    fn send_message(&mut self, from: ReplicaNumber, to: ReplicaNumber, message: &Message) {
        self.messages += 1;
        self.check_saved_before_send(from, message);
        let faults = self.faults;
        if self.rng.random_range(0..100) < faults.loss_percent {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < faults.duplicate_percent);
        for _ in 0..copies {
            let due_us = self.now_us + self.rng.random_range(0..=faults.max_delay_us);
            self.in_flight.push(InFlightMessage {
                due_us,
                from,
                to,
                message: message.clone(),
            });
        }
    }

    /// Delivers due messages, writes to the disks, and sends a tick to each replica.
    pub fn step(&mut self) {
        self.now_us += STEP_US;
        let now_us = self.now_us;
        let due;
        (due, self.in_flight) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|flight| flight.due_us <= now_us);
        for flight in due {
            if !self.blocked.contains(&(flight.from, flight.to)) {
                self.input(flight.to, Input::Message(flight.message));
            }
        }
        for number in self.numbers() {
            self.write_disk(number);
            self.input(number, Input::Tick);
        }
        for index in 0..self.node_profiles.len() {
            self.sync_node(index);
        }
        self.check_current_replicas();
        self.check_sole_leaders();
    }

    /// Checks that at most one replica considers itself the only leader.
    fn check_sole_leaders(&self) {
        let is_sole = |(number, host): &(&ReplicaNumber, &Host)| {
            let now_us = self.local_us(**number);
            let until_us = host.replica.as_ref()?.sole_leader_until_us(now_us);
            (now_us < until_us?).then_some(**number)
        };
        let sole: Vec<_> = self
            .hosts
            .iter()
            .filter_map(|host| is_sole(&host))
            .collect();
        assert!(
            sole.len() <= 1,
            "replicas {sole:?} take themselves for the only leader\n{}",
            self.report()
        );
    }

    fn write_disk(&mut self, number: ReplicaNumber) {
        let host = self.hosts.get_mut(&number).unwrap();
        if host.disk_is_stuck || host.replica.is_none() {
            return;
        }
        let is_slow = self.faults.disk_sync_us > 0 && number > self.faults.last_fast_disk;
        if is_slow && !host.queued_writes.is_empty() {
            let ends_us = self.now_us + self.faults.disk_sync_us;
            if *host.sync_ends_us.get_or_insert(ends_us) > self.now_us {
                return;
            }
            host.sync_ends_us = None;
        }
        let mut last_written = None;
        let lag_percent = self.faults.disk_lag_percent;
        while self.rng.random_range(0..100) >= lag_percent
            && let Some((sequence, write)) = host.queued_writes.pop_front()
        {
            host.image.write(&write);
            last_written = Some(sequence);
        }
        if let Some(sequence) = last_written {
            self.input(number, Input::Persisted { sequence });
        }
    }

    pub fn run(&mut self, duration_us: u64) {
        let until_us = self.now_us + duration_us;
        while self.now_us < until_us {
            self.step();
        }
    }

    /// Runs until the condition holds; panics after `limit_us`.
    pub fn run_until(&mut self, condition: &str, limit_us: u64, done: impl Fn(&Cluster) -> bool) {
        let until_us = self.now_us + limit_us;
        while !done(self) {
            assert!(
                self.now_us < until_us,
                "not reached: {condition}\n{}",
                self.report()
            );
            self.step();
        }
    }

    pub fn report(&self) -> String {
        let tail = self.events.len().saturating_sub(60);
        let mut lines = self.events[tail..].to_vec();
        for (number, host) in &self.hosts {
            lines.push(match &host.replica {
                None => format!("replica {number} is down"),
                Some(r) => format!(
                    "replica {number} ({}): {:?} term {} commit {} members {:?}",
                    self.name(r.id()),
                    r.role(),
                    r.term(),
                    r.commit_index(),
                    self.member_names(r.membership()),
                ),
            });
        }
        lines.join("\n")
    }

    pub fn member_names(&self, membership: &Membership) -> Vec<String> {
        membership.voters.iter().map(|id| self.name(*id)).collect()
    }

    pub fn replica(&self, number: ReplicaNumber) -> &Replica {
        self.hosts[&number].replica.as_ref().expect("replica is up")
    }

    /// The leader with the highest term.
    pub fn leader(&self) -> Option<ReplicaNumber> {
        let replicas = self.hosts.values().filter_map(|h| h.replica.as_ref());
        replicas
            .filter(|r| r.role() == Role::Leader)
            .max_by_key(|r| r.term())
            .map(|r| r.id().number)
    }

    /// Runs until there is a leader that has committed an entry, and returns its number.
    pub fn wait_for_leader(&mut self) -> ReplicaNumber {
        self.run_until("a leader that has committed", 10_000_000, |c| {
            c.leader().is_some_and(|l| {
                let replica = c.replica(l);
                replica.commit_index() > 0 && replica.leader().is_some()
            })
        });
        self.leader().unwrap()
    }

    pub fn propose(&mut self, to: ReplicaNumber, token: u64, change: Change) {
        self.proposed.insert(token, change.clone());
        self.input(to, Input::Propose { token, change });
    }

    /// Proposes a change to the current leader, again after refusals, until it is applied.
    pub fn commit(&mut self, token: u64, change: &Change) -> Reply {
        for _ in 0..200 {
            let leader = self.wait_for_leader();
            self.answers.remove(&token);
            self.propose(leader, token, change.clone());
            self.run_for_or_until(2_000_000, |c| c.answers.contains_key(&token));
            if let Some(reply @ Reply::Committed(_)) = self.answers.get(&token) {
                return reply.clone();
            }
            self.run(100_000);
        }
        panic!("change {token} was never applied\n{}", self.report());
    }

    fn run_for_or_until(&mut self, limit_us: u64, done: impl Fn(&Cluster) -> bool) {
        let until_us = self.now_us + limit_us;
        while self.now_us < until_us && !done(self) {
            self.step();
        }
    }

    /// Requests a read, which must include every change accepted before.
    pub fn read(&mut self, to: ReplicaNumber, token: u64) {
        let newest = self.accepted.values().max().copied().unwrap_or_default();
        self.min_read_revisions.insert(token, newest);
        self.input(to, Input::ReadIndex { token });
    }

    /// Changes the speed of a local clock; its time continues without a jump.
    pub fn set_clock_speed(&mut self, number: ReplicaNumber, percent: u64) {
        let local_us = self.local_us(number);
        let now_us = self.now_us;
        let host = self.hosts.get_mut(&number).unwrap();
        host.clock_percent = percent;
        host.clock_base_us = (now_us, local_us);
    }

    /// Ends all faults and restarts stopped replicas.
    pub fn end_all_faults(&mut self) {
        self.heal();
        self.faults = Faults {
            max_delay_us: STEP_US,
            ..Faults::default()
        };
        for number in self.numbers() {
            self.hosts.get_mut(&number).unwrap().disk_is_stuck = false;
            if self.hosts[&number].replica.is_none() {
                self.restart(number);
            }
            self.input(number, Input::StorageFull(false));
        }
    }
}

pub fn profile(name: &str, deadline_ms: u32) -> Profile {
    let mut profile = Profile::with_defaults(ProfileName::parse(name).unwrap());
    profile.deadline_ms = deadline_ms;
    profile
}

pub fn change(id: u64, op: Op) -> Change {
    Change {
        change_id: ChangeId::from_u128(u128::from(id)),
        expect: None,
        op,
        in_use: Vec::new(),
    }
}

pub fn add(id: u64, name: &str) -> Change {
    change(id, Op::Add(profile(name, 1_000)))
}

pub fn update(id: u64, name: &str, deadline_ms: u32) -> Change {
    change(id, Op::Update(profile(name, deadline_ms)))
}

pub fn is_accepted(reply: &Reply) -> bool {
    matches!(reply, Reply::Committed(ChangeResult::Accepted { .. }))
}

pub fn is_refused_as(reply: &Reply, expected: ErrorKind) -> bool {
    match reply {
        Reply::Refused { kind, .. } | Reply::Committed(ChangeResult::Rejected(kind, _)) => {
            *kind == expected
        }
        Reply::Committed(ChangeResult::Accepted { .. }) => false,
    }
}
