//! Simulation of a group of replicas with simulated network, disks and clocks. It checks the
//! safety properties of the protocol after each input.
#![allow(dead_code, missing_docs, unreachable_pub)]

mod changes;
mod disk;
mod faults;
mod invariants;
mod network;
mod report;
mod requests;

#[allow(unused_imports, reason = "each test file uses its part")]
pub use self::{
    changes::{add, change, is_accepted, is_refused_as, profile, update},
    disk::DiskImage,
    faults::Faults,
};

use consensus::{
    Input, Membership, Output, Replica, ReplicaConfig, ReplicaId, ReplicaNumber, Reply, Role, Write,
};
use model::Revision;
use network::InFlightMessage;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use registry::{Change, ChangeId, ProfileSet};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Simulated time of one [`Cluster::step`].
pub const STEP_US: u64 = 20_000;

/// A replica, if it is running, with its disk and clock.
#[derive(Debug)]
pub struct Host {
    pub replica: Option<Replica>,
    pub image: DiskImage,
    /// Writes that are not on the disk yet, with their sequence numbers.
    pub queued_writes: VecDeque<(u64, Write)>,
    /// While the disk is stuck, writes stay queued.
    pub disk_is_stuck: bool,
    /// End of the sync that is in progress and number of writes that it covers, if
    /// `Faults::disk_sync_us` is set.
    pub sync: Option<(u64, usize)>,
    /// Speed of the local clock in percent of simulated time.
    pub clock_percent: u64,
    /// Simulated and local time of the last change of the clock's speed.
    pub clock_base_us: (u64, u64),
}

impl Host {
    /// A host whose replica does not run yet.
    fn new() -> Self {
        Host {
            replica: None,
            image: DiskImage::default(),
            queued_writes: VecDeque::new(),
            disk_is_stuck: false,
            sync: None,
            clock_percent: 100,
            clock_base_us: (0, 0),
        }
    }
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
            faults: Faults::none(),
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
            cluster.hosts.insert(number, Host::new());
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

    pub fn restart(&mut self, number: ReplicaNumber) {
        self.start(number);
        self.log_event(format!("replica {number} starts"));
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
                Output::ReadReady { token, result } => self.on_read_ready(number, token, result),
                Output::RoleChanged { role, term, leader } => {
                    let known = leader.map_or("none".to_owned(), |l| l.to_string());
                    self.log_event(format!(
                        "replica {number} is {role:?} in term {term}, leader {known}"
                    ));
                }
            }
        }
    }

    /// Delivers due messages, writes to the disks, and sends a tick to each replica.
    pub fn step(&mut self) {
        self.now_us += STEP_US;
        self.deliver_due();
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

    pub fn run(&mut self, duration_us: u64) {
        let until_us = self.now_us + duration_us;
        while self.now_us < until_us {
            self.step();
        }
    }

    /// Runs until the condition holds; panics after `limit_us`.
    pub fn run_until(&mut self, condition: &str, limit_us: u64, done: impl Fn(&Cluster) -> bool) {
        let is_done = self.run_for_or_until(limit_us, done);
        assert!(is_done, "not reached: {condition}\n{}", self.report());
    }

    /// Runs until the condition holds or `limit_us` have passed; returns whether it holds.
    fn run_for_or_until(&mut self, limit_us: u64, done: impl Fn(&Cluster) -> bool) -> bool {
        let until_us = self.now_us + limit_us;
        while self.now_us < until_us && !done(self) {
            self.step();
        }
        done(self)
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
}
