//! Nodes, a coordinator and their messages in virtual time.

#![allow(dead_code, unreachable_pub)]

mod calls;
mod checks;
mod decisions;
mod loads;
mod messages;
mod record;

#[allow(unused_imports, reason = "each test file uses its part")]
pub use self::{
    decisions::{Decisions, totals},
    loads::{Load, caller_node, some_nodes, zipf_loads},
};

use messages::Encoded;
use quota::{
    CustomerLimit, HolderChange, HolderRecord, NodeQuota, QuotaCoordinator, QuotaTolerance, Ticket,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
};

/// Interval at which each node is polled.
const POLL_US: u64 = 10_000;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call(usize),
    Poll(usize),
    Report(usize, u64, Box<Encoded>),
    Answer(usize, u64, u64, Box<Encoded>),
    /// The change of the record that a coordinator waits for is committed.
    Recorded(u64),
}

pub struct Node {
    pub quota: NodeQuota,
    pub incarnation: u64,
    pub is_cut: bool,
    pub is_dead: bool,
    pub frozen_until_us: u64,
    waiting: HashMap<Ticket, (usize, u64)>,
}

pub struct World {
    pub now_us: u64,
    pub nodes: Vec<Node>,
    pub coordinator: Option<QuotaCoordinator>,
    pub loads: Vec<Load>,
    pub decisions: Vec<Decisions>,
    /// Share of calls that end as not run, after their admission.
    pub not_run_percent: u32,
    /// Share of messages that are lost.
    pub lost_percent: u32,
    /// Share of messages that are slow.
    pub slow_percent: u32,
    /// Tolerance of the coordinators that start from now on.
    pub tolerance: QuotaTolerance,
    /// Whether the shares of a single customer are checked after each answer.
    pub checks_shares: bool,
    pub message_bytes: u64,
    pub messages: u64,
    /// Time that a change of the record takes.
    pub commit_us: u64,
    /// Whether coordinators keep a record of the holders, as builds from before don't.
    pub keeps_record: bool,
    pub record_changes: u64,
    pub record: HolderRecord,
    /// Coordinator that changed the record last.
    record_epoch: u64,
    pending_change: Option<HolderChange>,
    /// Reports that wait for a change of the record.
    awaiting: Vec<(usize, u64, Vec<u8>)>,
    epoch: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    next_ticket: Ticket,
    random: Pcg64Mcg,
}

impl World {
    pub fn new(nodes: usize, loads: Vec<Load>, seed: u64) -> Self {
        let mut world = World {
            now_us: 1_000_000,
            nodes: Vec::new(),
            coordinator: None,
            decisions: loads.iter().map(|_| Decisions::default()).collect(),
            loads,
            not_run_percent: 0,
            lost_percent: 0,
            slow_percent: 0,
            tolerance: QuotaTolerance::default(),
            checks_shares: false,
            message_bytes: 0,
            messages: 0,
            commit_us: 5_000,
            keeps_record: true,
            record_changes: 0,
            record: HolderRecord::default(),
            record_epoch: 0,
            pending_change: None,
            awaiting: Vec::new(),
            epoch: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            next_ticket: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for node in 0..nodes {
            let started = world.start_node(0);
            world.nodes.push(started);
            let first_us = world.now_us + world.random.random_range(0..POLL_US);
            world.schedule(first_us, Event::Poll(node));
        }
        for load in 0..world.loads.len() {
            world.schedule_call(load);
        }
        world.new_leader();
        world
    }

    fn start_node(&self, incarnation: u64) -> Node {
        let mut quota = NodeQuota::new(self.now_us);
        quota.set_customers(
            self.now_us,
            self.loads.iter().map(|load| Arc::clone(&load.name)),
        );
        quota.start_reports(self.now_us);
        Node {
            quota,
            incarnation,
            is_cut: false,
            is_dead: false,
            frozen_until_us: 0,
            waiting: HashMap::new(),
        }
    }

    /// A new leader becomes coordinator; the former one grants nothing any more.
    pub fn new_leader(&mut self) {
        let record = self.take_over_record();
        self.epoch += 1;
        let coordinator = QuotaCoordinator::new(self.now_us, self.epoch);
        let coordinator = coordinator.with_tolerance(self.tolerance);
        self.coordinator = Some(match self.keeps_record {
            true => coordinator.with_holders(record),
            false => coordinator,
        });
        self.apply_limits();
    }

    pub fn apply_limits(&mut self) {
        let limits = self
            .loads
            .iter()
            .map(|load| (Arc::clone(&load.name), load.limit));
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.set_customers(self.now_us, limits);
        }
    }

    /// A configuration with these customers reaches the coordinator and all nodes.
    pub fn configure(&mut self, customers: &[(Arc<str>, CustomerLimit)]) {
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.set_customers(self.now_us, customers.iter().cloned());
        }
        for node in &mut self.nodes {
            let names = customers.iter().map(|(name, _)| Arc::clone(name));
            node.quota.set_customers(self.now_us, names);
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_dead = true;
        self.nodes[node].waiting.clear();
    }

    pub fn restart(&mut self, node: usize) {
        self.nodes[node] = self.start_node(self.nodes[node].incarnation + 1);
    }

    pub fn run_for(&mut self, duration_us: u64) {
        let until_us = self.now_us + duration_us;
        while let Some(Reverse((at_us, _, _))) = self.events.peek() {
            if *at_us > until_us {
                break;
            }
            let Some(Reverse((at_us, _, event))) = self.events.pop() else {
                break;
            };
            self.now_us = at_us;
            self.handle(event);
        }
        self.now_us = until_us;
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_us, self.next_event, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(load) => {
                if (self.loads[load].demand)(self.now_us) > 0.0 {
                    let random = self.random.random();
                    let node = (self.loads[load].node)(self.now_us, random);
                    self.call(load, node);
                }
                self.schedule_call(load);
            }
            Event::Poll(node) => {
                self.poll(node);
                self.schedule(self.now_us + POLL_US, Event::Poll(node));
            }
            Event::Report(node, incarnation, payload) => {
                self.on_report(node, incarnation, &payload.0);
            }
            Event::Recorded(epoch) => self.on_recorded(epoch),
            Event::Answer(node, incarnation, sequence, payload) => {
                self.on_answer(node, incarnation, sequence, payload);
            }
        }
    }
}
