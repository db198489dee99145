//! Nodes, a coordinator and their messages in virtual time.

#![allow(dead_code, unreachable_pub)]

mod record;

use model::NodeId;
use quota::{
    Admission, CustomerLimit, HolderChange, HolderRecord, NodeQuota, QuotaAnswer, QuotaCoordinator,
    QuotaReport, QuotaTolerance, Ticket, Verdict,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

/// Window in which the calls of a customer are counted.
const WINDOW_US: u64 = 5_000_000;
/// Interval at which each node is polled.
const POLL_US: u64 = 10_000;

/// A customer and the calls that its callers send.
pub struct Load {
    pub name: Arc<str>,
    pub limit: CustomerLimit,
    /// Calls per second by time.
    pub demand: Box<dyn Fn(u64) -> f64>,
    /// Node of a call by time and a random number.
    pub node: Box<dyn Fn(u64, u64) -> usize>,
    /// Whether calls come at random times instead of even ones.
    pub is_random: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call(usize),
    Poll(usize),
    Report(usize, u64, Box<Encoded>),
    Answer(usize, u64, u64, Box<Encoded>),
    /// The change of the record that a coordinator waits for is committed.
    Recorded(u64),
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Encoded(Vec<u8>);

pub struct Node {
    pub quota: NodeQuota,
    pub incarnation: u64,
    pub is_cut: bool,
    pub is_dead: bool,
    pub frozen_until_us: u64,
    waiting: HashMap<Ticket, (usize, u64)>,
}

/// Decisions about the calls of one customer.
#[derive(Default)]
pub struct Decisions {
    pub admitted_us: Vec<u64>,
    pub over_limit_us: Vec<u64>,
    pub unavailable_us: Vec<u64>,
    pub longest_wait_us: u64,
}

impl Decisions {
    pub fn admitted_between(&self, from_us: u64, to_us: u64) -> usize {
        let times = self.admitted_us.iter();
        times.filter(|at| (from_us..to_us).contains(at)).count()
    }

    pub fn refused_between(&self, from_us: u64, to_us: u64) -> usize {
        let times = self.over_limit_us.iter().chain(&self.unavailable_us);
        times.filter(|at| (from_us..to_us).contains(at)).count()
    }

    pub fn over_limit_between(&self, from_us: u64, to_us: u64) -> usize {
        let times = self.over_limit_us.iter();
        times.filter(|at| (from_us..to_us).contains(at)).count()
    }

    /// Most admitted calls in any window that begins at or after a time.
    pub fn worst_window(&self, from_us: u64) -> usize {
        let mut times: Vec<u64> = self.admitted_us.clone();
        times.retain(|at| *at >= from_us);
        times.sort_unstable();
        let mut first = 0;
        let mut worst = 0;
        for (last, at) in times.iter().enumerate() {
            while times[first] + WINDOW_US <= *at {
                first += 1;
            }
            worst = worst.max(last - first + 1);
        }
        worst
    }
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

    /// Bound of the calls in any window: our own, stricter than the required one.
    pub fn bound(limit: CustomerLimit) -> usize {
        let rate = limit.rate_per_s.unwrap_or(0.0);
        ((rate * 5.0 + limit.burst) * 1.05 + 10.0) as usize
    }

    pub fn assert_bounds(&self) {
        for (load, decisions) in self.loads.iter().zip(&self.decisions) {
            let (worst, bound) = (decisions.worst_window(0), World::bound(load.limit));
            assert!(
                worst <= bound,
                "{}: {worst} calls in a window, bound {bound}",
                load.name
            );
        }
    }

    /// Checks, for a single customer whose limit does not change, that the shares in use leave a fifth
    /// of the rate, and that the tokens at the coordinator and at nodes are bounded.
    fn assert_shares(&mut self) {
        let ([load], Some(coordinator)) = (&self.loads[..], &mut self.coordinator) else {
            return;
        };
        let Some(rate) = load.limit.rate_per_s.filter(|_| self.checks_shares) else {
            return;
        };
        let live = self.nodes.iter().filter(|node| !node.is_dead);
        let leased = live.filter(|node| node.quota.has_lease(self.now_us));
        let shares: f64 = leased.map(|node| node.quota.shares().1).sum();
        assert!(
            shares <= rate * 0.8,
            "shares of {shares} calls/s are in use, rate {rate}, at {} us",
            self.now_us
        );
        for (_, usage) in coordinator.usage(self.now_us) {
            let tokens = usage.tokens + usage.held as f64;
            let capacity = usage.limit.burst + rate * 0.1 + 7.0;
            assert!(tokens <= capacity, "{tokens} tokens, bound {capacity}");
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_us, self.next_event, event)));
    }

    fn schedule_call(&mut self, load: usize) {
        let demand = (self.loads[load].demand)(self.now_us);
        // Without demand, it is looked at again after a while.
        if demand <= 0.0 {
            self.schedule(self.now_us + POLL_US, Event::Call(load));
            return;
        }
        let factor = match self.loads[load].is_random {
            true => -f64::ln(1.0 - self.random.random::<f64>()),
            false => self.random.random_range(0.8..1.2),
        };
        let gap_us = (factor * 1e6 / demand) as u64;
        self.schedule(self.now_us + gap_us.max(1), Event::Call(load));
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
            Event::Report(node, incarnation, payload) => self.report(node, incarnation, &payload.0),
            Event::Recorded(epoch) => self.on_recorded(epoch),
            Event::Answer(node, incarnation, sequence, payload) => {
                let state = &mut self.nodes[node];
                if state.is_cut || state.is_dead || state.incarnation != incarnation {
                    return;
                }
                if state.frozen_until_us > self.now_us {
                    let at_us = state.frozen_until_us;
                    self.schedule(at_us, Event::Answer(node, incarnation, sequence, payload));
                    return;
                }
                let answer: QuotaAnswer = postcard::from_bytes(&payload.0).expect("an answer");
                let decided = state.quota.on_answer(self.now_us, sequence, &answer);
                self.decide(node, decided);
                self.assert_shares();
                self.poll(node);
            }
        }
    }

    fn call(&mut self, load: usize, node: usize) {
        let state = &mut self.nodes[node];
        // The caller of a dead or frozen node gets no answer from it.
        if state.is_dead || state.frozen_until_us > self.now_us {
            return;
        }
        self.next_ticket += 1;
        let name = Arc::clone(&self.loads[load].name);
        let rate = self.loads[load].limit.limited_rate().unwrap_or(f64::MAX);
        let admission = state
            .quota
            .admit(self.now_us, &name, rate, self.next_ticket);
        match admission {
            Admission::Decided(verdict) => self.record(load, node, verdict, self.now_us),
            Admission::Waiting => {
                state.waiting.insert(self.next_ticket, (load, self.now_us));
                self.poll(node);
            }
        }
    }

    fn poll(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if state.is_dead || state.frozen_until_us > self.now_us {
            return;
        }
        let decided = state.quota.expire(self.now_us);
        if let Some(report) = state.quota.poll(self.now_us) {
            let incarnation = state.incarnation;
            let payload = postcard::to_stdvec(&report).expect("a report");
            self.count(&payload);
            let at_us = self.now_us + self.latency_us();
            let event = Event::Report(node, incarnation, Box::new(Encoded(payload)));
            self.schedule(at_us, event);
        }
        self.decide(node, decided);
    }

    fn report(&mut self, node: usize, incarnation: u64, payload: &[u8]) {
        let is_lost = self.random.random_range(0..100) < self.lost_percent;
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        if self.nodes[node].is_cut || is_lost {
            return;
        }
        let report: QuotaReport = postcard::from_bytes(payload).expect("a report");
        let id = NodeId {
            mesh: SocketAddr::from(([127, 0, 0, 1], node as u16)),
            incarnation,
        };
        if coordinator.awaits_record(id, &report) {
            self.awaiting.push((node, incarnation, payload.to_vec()));
            self.write_record();
            return;
        }
        let answer = coordinator.handle(self.now_us, id, &report);
        self.write_record();
        let payload = postcard::to_stdvec(&answer).expect("an answer");
        self.count(&payload);
        if self.random.random_range(0..100) < self.lost_percent {
            return;
        }
        let at_us = self.now_us + self.latency_us();
        let sequence = report.sequence;
        let event = Event::Answer(node, incarnation, sequence, Box::new(Encoded(payload)));
        self.schedule(at_us, event);
    }

    fn decide(&mut self, node: usize, decided: Vec<(Ticket, Verdict)>) {
        for (ticket, verdict) in decided {
            if let Some((load, arrived_us)) = self.nodes[node].waiting.remove(&ticket) {
                self.record(load, node, verdict, arrived_us);
            }
        }
    }

    fn record(&mut self, load: usize, node: usize, verdict: Verdict, arrived_us: u64) {
        let decisions = &mut self.decisions[load];
        let wait_us = self.now_us - arrived_us;
        decisions.longest_wait_us = decisions.longest_wait_us.max(wait_us);
        match verdict {
            Verdict::Admitted if self.random.random_range(0..100) < self.not_run_percent => {
                let quota = &mut self.nodes[node].quota;
                quota.give_back(self.now_us, &self.loads[load].name);
            }
            Verdict::Admitted => decisions.admitted_us.push(self.now_us),
            Verdict::OverLimit { .. } => decisions.over_limit_us.push(self.now_us),
            Verdict::Unavailable { .. } => decisions.unavailable_us.push(self.now_us),
        }
    }

    fn count(&mut self, payload: &[u8]) {
        self.messages += 1;
        self.message_bytes += payload.len() as u64;
    }

    fn latency_us(&mut self) -> u64 {
        match self.slow_percent > 0 && self.random.random_range(0..100) < self.slow_percent {
            true => self.random.random_range(20_000..1_500_000),
            false => self.random.random_range(900..3_000),
        }
    }
}

/// Customers as in the workload: Zipf with exponent 1.2, rates of 1.6 times the demand rounded up
/// but at least 5, bursts of one second; callers stay at one node each.
pub fn zipf_loads(customers: usize, nodes: usize, calls_per_s: f64, callers: usize) -> Vec<Load> {
    let weights: Vec<f64> = (1..=customers).map(|n| (n as f64).powf(-1.2)).collect();
    let sum: f64 = weights.iter().sum();
    let loads = weights.iter().enumerate().map(|(number, weight)| {
        let demand = calls_per_s * weight / sum;
        let rate = (demand * 1.6).ceil().max(5.0);
        Load {
            name: Arc::from(format!("customer-{number:05}")),
            limit: CustomerLimit {
                rate_per_s: Some(rate),
                burst: rate,
            },
            demand: Box::new(move |_| demand),
            node: Box::new(move |_, random| caller_node(number, random, callers, nodes)),
            is_random: true,
        }
    });
    loads.collect()
}

/// Node of a random caller of a customer.
pub fn caller_node(customer: usize, random: u64, callers: usize, nodes: usize) -> usize {
    let caller = random as usize % callers;
    let spread = (customer * 7_919 + caller * 104_729 + 13).wrapping_mul(0x9e37_79b9);
    (spread >> 7) % nodes
}

/// Numbers of the nodes of a random part.
pub fn some_nodes(nodes: usize, count: usize, seed: u64) -> BTreeSet<usize> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut chosen = BTreeSet::new();
    while chosen.len() < count {
        chosen.insert(random.random_range(0..nodes));
    }
    chosen
}

/// Number of decisions of each kind, for messages of failed checks.
pub fn totals(world: &World) -> BTreeMap<&'static str, usize> {
    let sum = |count: fn(&Decisions) -> usize| world.decisions.iter().map(count).sum();
    BTreeMap::from([
        ("admitted", sum(|d| d.admitted_us.len())),
        ("over limit", sum(|d| d.over_limit_us.len())),
        ("unavailable", sum(|d| d.unavailable_us.len())),
    ])
}
