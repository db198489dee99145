//! Replicas joined by a fake network and fake disks, with the rules that every run must keep.
#![allow(dead_code, missing_docs, unreachable_pub)]

use consensus::{
    Body, Entry, HardState, Input, Membership, Message, Output, RecoveredState, Replica,
    ReplicaConfig, ReplicaId, ReplicaNumber, Reply, Role, Snapshot, Write,
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

pub const STEP_US: u64 = 20_000;

/// What is on one disk.
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

#[derive(Debug)]
pub struct Host {
    pub replica: Option<Replica>,
    pub image: DiskImage,
    pub queued: VecDeque<(u64, Write)>,
    /// Writes stay queued while the disk is stuck.
    pub disk_is_stuck: bool,
    /// Local clock in percent of the true speed.
    pub clock_percent: u64,
    /// True and local time of the last change of speed.
    pub clock_base_us: (u64, u64),
}

#[derive(Debug)]
struct Flight {
    due_us: u64,
    from: ReplicaNumber,
    to: ReplicaNumber,
    message: Message,
}

/// Chances of network faults in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay_us: u64,
    /// Chance that a disk stops before its next queued write in one step.
    pub disk_lag_percent: u32,
}

#[derive(Debug)]
pub struct Cluster {
    pub hosts: BTreeMap<ReplicaNumber, Host>,
    pub now_us: u64,
    pub rng: Pcg64Mcg,
    pub faults: Faults,
    pub blocked: BTreeSet<(ReplicaNumber, ReplicaNumber)>,
    pub events: Vec<String>,
    pub answers: BTreeMap<u64, Reply>,
    pub reads: BTreeMap<u64, Result<u64, Reply>>,
    read_floors: BTreeMap<u64, Revision>,
    pub messages: u64,
    pub tune: fn(&mut ReplicaConfig),
    flights: Vec<Flight>,
    names: BTreeMap<u64, String>,
    next_disk: u64,
    // Rules
    leaders: BTreeMap<u64, ReplicaId>,
    states: BTreeMap<u64, u64>,
    digests: BTreeMap<Revision, u64>,
    pub committed: u64,
    pub committed_membership: Membership,
    pub accepted: BTreeMap<ChangeId, Revision>,
    pub proposed: BTreeMap<u64, Change>,
    pub nodes: Vec<ProfileSet>,
    pub losses: u64,
}

impl Cluster {
    pub fn new(size: u64, seed: u64) -> Self {
        Self::tuned(size, seed, |_| {})
    }

    pub fn tuned(size: u64, seed: u64, tune: fn(&mut ReplicaConfig)) -> Self {
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
            read_floors: BTreeMap::new(),
            messages: 0,
            tune,
            flights: Vec::new(),
            names: BTreeMap::new(),
            next_disk: 1,
            leaders: BTreeMap::new(),
            states: BTreeMap::new(),
            digests: BTreeMap::new(),
            committed: 0,
            committed_membership: Membership::default(),
            accepted: BTreeMap::new(),
            proposed: BTreeMap::new(),
            nodes: vec![ProfileSet::default(); 2],
            losses: 0,
        };
        for number in 1..=size {
            let host = Host {
                replica: None,
                image: DiskImage::default(),
                queued: VecDeque::new(),
                disk_is_stuck: false,
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

    pub fn note(&mut self, event: impl Into<String>) {
        let at_ms = self.now_us / 1_000;
        self.events.push(format!("{at_ms:>6} ms  {}", event.into()));
    }

    fn name(&self, id: ReplicaId) -> String {
        let generation = self.names.get(&id.disk_id).cloned();
        generation.unwrap_or_else(|| id.to_string())
    }

    fn new_disk(&mut self, number: ReplicaNumber) {
        let disk_id = self.next_disk;
        self.next_disk += 1;
        let count = self
            .names
            .values()
            .filter(|n| n.starts_with(&format!("{number}.")))
            .count();
        self.names
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
        (self.tune)(&mut config);
        let seed = self.rng.random();
        let now_us = self.local_us(number);
        let host = self.hosts.get_mut(&number).unwrap();
        host.replica = Some(Replica::new(now_us, config, host.image.recover(), seed));
    }

    /// Stops a replica; of the writes not yet confirmed, any first part may be on the disk.
    pub fn crash(&mut self, number: ReplicaNumber) {
        let rng = &mut self.rng;
        let host = self.hosts.get_mut(&number).unwrap();
        if host.replica.take().is_none() {
            return;
        }
        let done = rng.random_range(0..=host.queued.len());
        for (_, write) in host.queued.drain(..done) {
            host.image.write(&write);
        }
        if let Some((_, Write::Append(entries))) = host.queued.pop_front() {
            let torn = rng.random_range(0..=entries.len());
            if torn > 0 {
                host.image.write(&Write::Append(entries[..torn].to_vec()));
            }
        }
        host.queued.clear();
        self.note(format!("replica {number} crashes"));
    }

    pub fn restart(&mut self, number: ReplicaNumber) {
        self.start(number);
        self.note(format!("replica {number} starts"));
    }

    pub fn lose_disk(&mut self, number: ReplicaNumber) {
        self.crash(number);
        self.new_disk(number);
        self.losses += 1;
        self.note(format!("replica {number} loses its disk"));
    }

    /// Whether a disk may be lost without losing a majority of what the group relies on.
    pub fn may_lose_disk(&self) -> bool {
        if self.committed == 0 {
            return self.losses == 0;
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
        self.note(format!("replica {number} is cut off"));
    }

    /// Loses every message that is under way.
    pub fn lose_messages(&mut self) {
        self.flights.clear();
    }

    pub fn heal(&mut self) {
        self.blocked.clear();
        self.note("the network is whole");
    }

    pub fn input(&mut self, number: ReplicaNumber, input: Input) {
        let now_us = self.local_us(number);
        let Some(replica) = self.hosts.get_mut(&number).unwrap().replica.as_mut() else {
            return;
        };
        let outputs = replica.handle_input(now_us, input);
        self.carry_out(number, outputs);
        self.check(number);
    }

    fn carry_out(&mut self, number: ReplicaNumber, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.launch(number, to, &message),
                Output::Persist { sequence, write } => {
                    let host = self.hosts.get_mut(&number).unwrap();
                    host.queued.push_back((sequence, write));
                }
                Output::RegistryChanged { index } => self.check_applied(number, index),
                Output::Answer { token, reply } => self.on_answer(number, token, reply),
                Output::ReadReady { token, result } => {
                    if result.is_ok() {
                        let read = self.replica(number).registry().revision();
                        assert!(read >= self.read_floors[&token], "an outdated read");
                    }
                    self.reads.insert(token, result);
                }
                Output::RoleChanged { role, term, leader } => {
                    let known = leader.map_or("none".to_owned(), |l| l.to_string());
                    self.note(format!(
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
        }
        let text = match &reply {
            Reply::Committed(ChangeResult::Accepted { revision }) => {
                format!("accepted as {revision}")
            }
            Reply::Committed(ChangeResult::Rejected(kind, detail)) => format!("{kind}: {detail}"),
            Reply::Refused { kind, leader } => format!("{kind}, leader {leader:?}"),
        };
        self.note(format!("replica {number} answers {token}: {text}"));
        self.answers.insert(token, reply);
    }

    fn launch(&mut self, from: ReplicaNumber, to: ReplicaNumber, message: &Message) {
        self.messages += 1;
        self.check_promise(from, message);
        let faults = self.faults;
        if self.rng.random_range(0..100) < faults.loss_percent {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < faults.duplicate_percent);
        for _ in 0..copies {
            let due_us = self.now_us + self.rng.random_range(0..=faults.max_delay_us);
            self.flights.push(Flight {
                due_us,
                from,
                to,
                message: message.clone(),
            });
        }
    }

    /// One step: deliver what is due, write to disks, tick.
    pub fn step(&mut self) {
        self.now_us += STEP_US;
        let now_us = self.now_us;
        let due;
        (due, self.flights) = std::mem::take(&mut self.flights)
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
        for index in 0..self.nodes.len() {
            self.sync_node(index);
        }
    }

    fn write_disk(&mut self, number: ReplicaNumber) {
        let host = self.hosts.get_mut(&number).unwrap();
        if host.disk_is_stuck || host.replica.is_none() {
            return;
        }
        let mut last_written = None;
        let lag_percent = self.faults.disk_lag_percent;
        while self.rng.random_range(0..100) >= lag_percent
            && let Some((sequence, write)) = host.queued.pop_front()
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
    pub fn run_until(&mut self, what: &str, limit_us: u64, done: impl Fn(&Cluster) -> bool) {
        let until_us = self.now_us + limit_us;
        while !done(self) {
            assert!(
                self.now_us < until_us,
                "not reached: {what}\n{}",
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

    /// Elects a leader, waits until it has committed, and names it.
    pub fn elect(&mut self) -> ReplicaNumber {
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

    /// Sends a change until it is applied, following the leader and resending after refusals.
    pub fn commit(&mut self, token: u64, change: &Change) -> Reply {
        for _ in 0..200 {
            let leader = self.elect();
            self.answers.remove(&token);
            self.propose(leader, token, change.clone());
            self.run_some(2_000_000, |c| c.answers.contains_key(&token));
            if let Some(reply @ Reply::Committed(_)) = self.answers.get(&token) {
                return reply.clone();
            }
            self.run(100_000);
        }
        panic!("change {token} was never applied\n{}", self.report());
    }

    fn run_some(&mut self, limit_us: u64, done: impl Fn(&Cluster) -> bool) {
        let until_us = self.now_us + limit_us;
        while self.now_us < until_us && !done(self) {
            self.step();
        }
    }

    /// Asks for a read; its result must show every change accepted before.
    pub fn read(&mut self, to: ReplicaNumber, token: u64) {
        let newest = self.accepted.values().max().copied().unwrap_or_default();
        self.read_floors.insert(token, newest);
        self.input(to, Input::ReadIndex { token });
    }

    /// Changes the speed of a local clock without a jump.
    pub fn set_clock(&mut self, number: ReplicaNumber, percent: u64) {
        let local_us = self.local_us(number);
        let now_us = self.now_us;
        let host = self.hosts.get_mut(&number).unwrap();
        host.clock_percent = percent;
        host.clock_base_us = (now_us, local_us);
    }

    /// Ends all faults.
    pub fn recover_all(&mut self) {
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

    // Rules

    /// A vote, acceptance or acknowledgement must rest on what is on the disk.
    fn check_promise(&self, from: ReplicaNumber, message: &Message) {
        let image = &self.hosts[&from].image;
        let on_disk = match &message.body {
            Body::AppendAccepted { matched, .. } => image.last_index() >= *matched,
            Body::VoteReply { granted: true } => {
                let saved = &image.hard_state;
                let voted_for = saved.voted_for.map(|id| id.disk_id);
                saved.term > message.term
                    || (saved.term == message.term && voted_for == message.to_disk_id)
            }
            Body::FormationAccepted { ballot } => {
                let formation = image.hard_state.formation.as_ref();
                formation.is_some_and(|formation| formation.ballot >= *ballot)
            }
            _ => true,
        };
        assert!(on_disk, "a promise before fsync: {message:?}");
    }

    /// A committed entry must be on the disks of a quorum; lost disks had it once.
    fn check_quorum(&self, replica: &Replica) {
        let membership = replica.membership();
        let index = replica.commit_index();
        let holds = |id: &&ReplicaId| {
            let image = &self.hosts[&id.number].image;
            image.disk_id != id.disk_id || image.last_index() >= index
        };
        let holders = membership.voters.iter().filter(holds).count();
        assert!(
            holders >= membership.quorum(),
            "committed on {holders} disks only"
        );
    }

    fn check(&mut self, number: ReplicaNumber) {
        let Some(replica) = self.hosts[&number].replica.as_ref() else {
            return;
        };
        if replica.role() == Role::Leader {
            let id = replica.id();
            let first = *self.leaders.entry(replica.term()).or_insert(id);
            assert_eq!(first, id, "two leaders in term {}", replica.term());
        }
        if replica.commit_index() > self.committed {
            self.check_quorum(replica);
            self.committed = replica.commit_index();
            let membership = replica.committed_membership().clone();
            if membership != self.committed_membership {
                let names = self.member_names(&membership);
                self.committed_membership = membership;
                self.note(format!("voters are {}", names.join(", ")));
            }
        }
    }

    fn check_applied(&mut self, number: ReplicaNumber, index: u64) {
        let replica = self.replica(number);
        if replica.applied_index() != index {
            return;
        }
        let revision = replica.registry().revision();
        let digest = replica.registry().profiles().digest();
        let first = *self.states.entry(index).or_insert(digest);
        assert_eq!(first, digest, "replica {number} differs at index {index}");
        let first = *self.digests.entry(revision).or_insert(digest);
        assert_eq!(first, digest, "revision {revision} has two contents");
    }

    fn sync_node(&mut self, index: usize) {
        let numbers = self.numbers();
        let number = numbers[self.rng.random_range(0..numbers.len())];
        let Some(replica) = self.hosts[&number].replica.as_ref() else {
            return;
        };
        let node = &mut self.nodes[index];
        let before = node.revision();
        let moved = node.apply(replica.registry().delta_since(before));
        assert!(node.revision() >= before, "a node went back");
        assert_eq!(moved, node.revision() > before);
        assert!(!node.needs_full_delta(), "a node diverged");
        if let Some(digest) = self.digests.get(&node.revision()) {
            assert_eq!(*digest, node.digest(), "a node has another content");
        }
    }

    /// All replicas up, voting, and equal.
    pub fn is_settled(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let leader = self.replica(leader);
        leader.commit_index() >= self.committed
            && leader.membership().voters.len() == self.hosts.len()
            && self.hosts.values().all(|host| {
                host.replica.as_ref().is_some_and(|r| {
                    r.commit_index() == leader.commit_index()
                        && r.leader() == Some(leader.id())
                        && leader.committed_membership().contains(r.id())
                })
            })
    }

    /// Checks the end state: nothing accepted is lost, nothing was applied twice, all are equal.
    pub fn check_end(&mut self) {
        self.run_until(
            "all replicas equal and voting",
            60_000_000,
            Cluster::is_settled,
        );
        let leader = self.leader().unwrap();
        let registry = self.replica(leader).registry().clone();
        for number in self.numbers() {
            assert!(
                *self.replica(number).registry() == registry,
                "replica {number} differs"
            );
        }
        let mut applied = BTreeSet::new();
        for change in self.proposed.values() {
            let answer = registry.kept_answer(change);
            if let Some(ChangeResult::Accepted { .. }) = answer {
                applied.insert(change.change_id);
            }
            if let Some(revision) = self.accepted.get(&change.change_id) {
                let expected = Some(ChangeResult::Accepted {
                    revision: *revision,
                });
                assert_eq!(answer, expected, "an accepted change was lost");
            }
        }
        assert_eq!(registry.revision().number, applied.len() as u64);
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
