//! Measures how traffic, CPU time, memory and convergence of gossip grow with the number of
//! members.
//!
//! Usage: `cargo run --release -p bench --example gossip_scaling [SEED] [MEMBERS...]`. The
//! membership logic runs without I/O, on a simulated clock with an in-memory queue of datagrams.
//! Byte counts include 90 bytes of headers per datagram. Groups above 500 members are spread over 7
//! regions and 24 availability zones, smaller ones over 3 zones of one region.

use members::{Datagram, MemberAction, MemberConfig, MemberState, Members, NodeInfo, TICK_MS};
use model::{
    AvailabilityZone, HostName, NodeId, ProfileName, ProfileRule, Region, Revision, ServiceName,
    Upstream, UpstreamName, UpstreamState,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    env, fs,
    net::SocketAddr,
    sync::Arc,
    time::Instant,
};

const SECOND_US: u64 = 1_000_000;
/// Step of the simulated clock.
const STEP_US: u64 = 10_000;
const STEPS_PER_TICK: u64 = TICK_MS as u64 * 1_000 / STEP_US;
/// Transit times of datagrams within a region and between regions.
const TRANSIT_IN_REGION_US: u64 = 1_500;
const TRANSIT_BETWEEN_REGIONS_US: u64 = 75_000;
/// IP, UDP and mesh headers of one datagram.
const HEADER_BYTES: u64 = 90;
/// Restarts and configuration changes a day at 1,900 members, from the design page.
const RESTARTS_PER_DAY: u64 = 250;
const CHANGES_PER_DAY: u64 = 3_400;
/// Number of members that the daily rates are for.
const REFERENCE_MEMBERS: u64 = 1_900;
/// Upstream state changes a day at 1,900 members besides those of restarts, from the design page.
const STATE_CHANGES_PER_DAY: u64 = 1_000;
/// Simulated length of the run with restarts and changes.
const STEADY_RUN_S: u64 = 120;
/// Byte budget of a node while all members of a group above 500 start at once.
const COLD_START_BYTES_PER_S: u32 = 100_000;
/// Number of events whose spread is measured per group.
const TRIALS: u64 = 10;

/// A simulated node and its traffic.
struct Node {
    members: Members,
    sent_bytes: u64,
    received_bytes: u64,
    /// Bytes received in the current second.
    bytes_this_second: u64,
    /// Most bytes received in one second.
    peak_bytes_per_s: u64,
}

/// A failure or drain of one member, and when each other member learned of it.
#[derive(Default)]
struct WatchedEvent {
    subject: Option<SocketAddr>,
    is_failure: bool,
    seen_us: BTreeMap<usize, u64>,
}

/// A group of nodes and the network between them.
struct Simulation {
    now_us: u64,
    /// Nodes by index; none while a node is stopped.
    nodes: Vec<Option<Node>>,
    /// Arrival time, sequence number, sender and receiver of the datagrams in `in_flight`.
    queue: BinaryHeap<Reverse<(u64, u64, usize, usize)>>,
    in_flight: BTreeMap<u64, Vec<u8>>,
    sequence: u64,
    datagrams: u64,
    bytes: u64,
    largest: usize,
    cpu_ns: u128,
    watched: WatchedEvent,
    rng: Pcg64Mcg,
    /// Share of datagrams that are lost, in percent.
    loss_percent: u32,
    /// Whether all members are being started at once.
    is_cold_start: bool,
}

fn member_address(index: usize) -> SocketAddr {
    let (high, low) = (index / 250, index % 250 + 1);
    SocketAddr::from(([10, 0, high as u8, low as u8], 7_000))
}

fn member_index(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else {
        return usize::MAX;
    };
    let octets = v4.ip().octets();
    usize::from(octets[2]) * 250 + usize::from(octets[3]) - 1
}

/// Region and availability zone of a member.
fn region_and_zone(index: usize, size: usize) -> (usize, usize) {
    if size <= 500 {
        return (0, index % 3);
    }
    let zone = index % 24;
    (zone % 7, zone)
}

fn upstream(index: usize) -> Upstream {
    let profile = |name| ProfileName::parse(name).expect("valid name");
    let rule = |path: &str| ProfileRule {
        method: Some(Arc::from("POST")),
        path_prefix: Arc::from(path),
        profile: profile("record-once"),
    };
    Upstream {
        name: UpstreamName::parse(format!("catalogue-{index}")).expect("valid name"),
        service: ServiceName::parse(format!("service-{}", index % 110)).expect("valid name"),
        availability_zone: AvailabilityZone::parse("z").expect("valid name"),
        host: HostName::parse("h").expect("valid name"),
        node: NodeId {
            mesh: member_address(index),
            incarnation: 0,
        },
        address: SocketAddr::from((member_address(index).ip(), 8_080)),
        slots: 6,
        connections: 260,
        state: UpstreamState::Serving,
        announced_ms: 1_790_000_000_000,
        default_profile: profile("browse"),
        rules: Arc::from([rule("/swaps"), rule("/loans")]),
        version: 1,
    }
}

impl Simulation {
    fn new(seed: u64, size: usize) -> Self {
        Simulation {
            now_us: SECOND_US,
            nodes: (0..size).map(|_| None).collect(),
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            datagrams: 0,
            bytes: 0,
            largest: 0,
            cpu_ns: 0,
            watched: WatchedEvent::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss_percent: 0,
            is_cold_start: true,
        }
    }

    fn start(&mut self, index: usize) {
        let size = self.nodes.len();
        let (region, zone) = region_and_zone(index, size);
        let zone = AvailabilityZone::parse(format!("zone-{zone}")).expect("valid name");
        let region = Region::parse(format!("region-{region}")).expect("valid name");
        // The contacts are in three zones, like the control replicas of a deployment.
        let mut config =
            MemberConfig::new(zone.clone(), region.clone()).contacts((0..3).map(member_address));
        if self.is_cold_start && size > 500 {
            // A real deployment of this size grows step by step. Starting all its members at once
            // within the normal byte budget would take minutes of simulated time.
            config = config.bytes_per_s(COLD_START_BYTES_PER_S);
        }
        let info = NodeInfo {
            node: NodeId {
                mesh: member_address(index),
                incarnation: 1_790_000_000_000_000 + self.now_us,
            },
            zone,
            region,
            host: HostName::parse(format!("host-{index}")).expect("valid name"),
            upstreams: vec![upstream(index)],
            revision: Revision::default(),
            state: MemberState::Alive,
        };
        let seed = self.rng.random();
        self.nodes[index] = Some(Node {
            members: Members::new(config, info, seed),
            sent_bytes: 0,
            received_bytes: 0,
            bytes_this_second: 0,
            peak_bytes_per_s: 0,
        });
    }

    fn execute(&mut self, from: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, datagram } => self.send(from, member_index(to), &datagram),
                MemberAction::Changed(info) => self.record_observation(from, &info, false),
                MemberAction::Failed(info) => self.record_observation(from, &info, true),
                MemberAction::NewerRevision { revision, .. } => {
                    if let Some(node) = &mut self.nodes[from] {
                        node.members.set_revision(self.now_us, revision);
                    }
                }
                _ => {}
            }
        }
    }

    fn record_observation(&mut self, index: usize, info: &NodeInfo, is_failure: bool) {
        let is_subject = self.watched.subject == Some(info.node.mesh);
        let is_draining = info
            .upstreams
            .iter()
            .any(|upstream| upstream.state == UpstreamState::Draining);
        if is_subject && is_failure == self.watched.is_failure && (is_failure || is_draining) {
            self.watched.seen_us.entry(index).or_insert(self.now_us);
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: &Datagram) {
        let started = Instant::now();
        let bytes = postcard::to_stdvec(datagram).expect("datagram encodes");
        self.cpu_ns += started.elapsed().as_nanos();
        let length = bytes.len() as u64 + HEADER_BYTES;
        self.datagrams += 1;
        self.bytes += length;
        self.largest = self.largest.max(bytes.len());
        if let Some(node) = &mut self.nodes[from] {
            node.sent_bytes += length;
        }
        if to >= self.nodes.len() || self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        let size = self.nodes.len();
        let is_local = region_and_zone(from, size).0 == region_and_zone(to, size).0;
        let transit_us = if is_local {
            TRANSIT_IN_REGION_US
        } else {
            TRANSIT_BETWEEN_REGIONS_US
        };
        self.sequence += 1;
        self.in_flight.insert(self.sequence, bytes);
        let key = (self.now_us + transit_us, self.sequence, from, to);
        self.queue.push(Reverse(key));
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at_us, sequence, from, to))) = self.queue.peek().copied()
            && at_us <= self.now_us
        {
            self.queue.pop();
            let Some(bytes) = self.in_flight.remove(&sequence) else {
                continue;
            };
            let Some(node) = &mut self.nodes[to] else {
                continue;
            };
            let length = bytes.len() as u64 + HEADER_BYTES;
            node.received_bytes += length;
            node.bytes_this_second += length;
            let started = Instant::now();
            let datagram = postcard::from_bytes(&bytes).expect("datagram decodes");
            let actions = node.members.receive(at_us, member_address(from), datagram);
            self.cpu_ns += started.elapsed().as_nanos();
            self.execute(to, actions);
        }
    }

    fn step(&mut self) {
        self.now_us += STEP_US;
        self.deliver();
        let step = self.now_us / STEP_US;
        for index in 0..self.nodes.len() {
            if !(step + index as u64).is_multiple_of(STEPS_PER_TICK) {
                continue;
            }
            let Some(node) = &mut self.nodes[index] else {
                continue;
            };
            if self.now_us.is_multiple_of(SECOND_US) || step % 100 < STEPS_PER_TICK {
                node.peak_bytes_per_s = node.peak_bytes_per_s.max(node.bytes_this_second);
                node.bytes_this_second = 0;
            }
            let started = Instant::now();
            let actions = node.members.tick(self.now_us);
            self.cpu_ns += started.elapsed().as_nanos();
            self.execute(index, actions);
        }
    }

    fn run(&mut self, duration_us: u64) {
        let end_us = self.now_us + duration_us;
        while self.now_us < end_us {
            self.step();
        }
    }

    /// Runs until `is_done` holds and returns the simulated seconds that it took, or `None` after
    /// `limit_s`.
    fn run_until(&mut self, limit_s: u64, is_done: impl Fn(&Simulation) -> bool) -> Option<f64> {
        let start_us = self.now_us;
        while !is_done(self) {
            if self.now_us - start_us > limit_s * SECOND_US {
                return None;
            }
            self.step();
        }
        Some((self.now_us - start_us) as f64 / SECOND_US as f64)
    }

    fn running(&self) -> usize {
        self.nodes.iter().flatten().count()
    }

    fn knows_all(&self, index: usize) -> bool {
        let known = self.nodes[index]
            .as_ref()
            .map_or(0, |node| node.members.live_count());
        known >= self.running()
    }

    /// Starts to record who learns of the next failure or drain of a member.
    fn watch_member(&mut self, subject: usize, is_failure: bool) {
        self.watched = WatchedEvent {
            subject: Some(member_address(subject)),
            is_failure,
            seen_us: BTreeMap::new(),
        };
    }

    /// Time until the last member of the subject's region, and of any region, learned of the event.
    fn time_to_spread(&mut self, subject: usize, limit_s: u64) -> (Option<f64>, Option<f64>) {
        let start_us = self.now_us;
        let expected: Vec<usize> = (0..self.nodes.len())
            .filter(|index| *index != subject && self.nodes[*index].is_some())
            .collect();
        let count = expected.len();
        self.run_until(limit_s, |sim| sim.watched.seen_us.len() >= count);
        let region = region_and_zone(subject, self.nodes.len()).0;
        let size = self.nodes.len();
        let last = |list: &mut dyn Iterator<Item = usize>| {
            let times: Option<Vec<u64>> = list
                .map(|index| self.watched.seen_us.get(&index).copied())
                .collect();
            let last_us = times?.into_iter().max()?;
            Some((last_us - start_us) as f64 / SECOND_US as f64)
        };
        let mut local = expected
            .iter()
            .copied()
            .filter(|index| region_and_zone(*index, size).0 == region);
        let in_region = last(&mut local);
        (in_region, last(&mut expected.iter().copied()))
    }

    fn set_upstream_state(&mut self, index: usize, state: UpstreamState) {
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        let mut info = node.members.local_info().clone();
        info.upstreams[0].state = state;
        info.upstreams[0].version += 1;
        let actions = node
            .members
            .set_local_info(self.now_us, info)
            .expect("record fits");
        self.execute(index, actions);
    }

    fn leave(&mut self, index: usize) {
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        let actions = node.members.leave(self.now_us);
        self.execute(index, actions);
    }

    fn random_member(&mut self) -> usize {
        loop {
            let index = self.rng.random_range(3..self.nodes.len());
            if self.nodes[index].is_some() {
                return index;
            }
        }
    }
}

/// Resident memory of this process.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

/// Rate per second in a group of this size, from the daily rate at the reference size.
fn events_per_s(per_day: u64, size: usize) -> f64 {
    per_day as f64 / 86_400.0 * size as f64 / REFERENCE_MEMBERS as f64
}

/// Runs with restarts, state changes and configuration changes at the rates of the design page. The
/// first two are scaled to the size of the group.
fn run_steady_state(sim: &mut Simulation) {
    let size = sim.nodes.len();
    // Due events of each kind; the fraction of an event is carried over to the next second.
    let (mut restarts, mut states, mut changes) = (0.0, 0.0, 0.0);
    let mut revision = 0;
    let mut stopping: BTreeSet<usize> = BTreeSet::new();
    for _ in 0..STEADY_RUN_S {
        // A restart takes two seconds: one to drain and leave, and one until the node starts again.
        for index in std::mem::take(&mut stopping) {
            sim.start(index);
        }
        restarts += events_per_s(RESTARTS_PER_DAY, size);
        states += events_per_s(STATE_CHANGES_PER_DAY, size);
        changes += CHANGES_PER_DAY as f64 / 86_400.0;
        while restarts >= 1.0 {
            restarts -= 1.0;
            let index = sim.random_member();
            sim.set_upstream_state(index, UpstreamState::Draining);
            sim.run(SECOND_US / 2);
            sim.leave(index);
            sim.run(SECOND_US / 2);
            sim.nodes[index] = None;
            stopping.insert(index);
        }
        while states >= 1.0 {
            states -= 1.0;
            let index = sim.random_member();
            sim.set_upstream_state(index, UpstreamState::Starting);
        }
        while changes >= 1.0 {
            changes -= 1.0;
            revision += 1;
            let current = Revision {
                term: 1,
                number: revision,
            };
            let now_us = sim.now_us;
            for node in sim.nodes.iter_mut().flatten() {
                node.members.set_revision(now_us, current);
            }
        }
        sim.run(SECOND_US);
    }
    for index in stopping {
        sim.start(index);
    }
}

fn format_time(time: Option<f64>) -> String {
    time.map_or_else(|| "not reached".to_owned(), |time| format!("{time:.2} s"))
}

/// The longest of the times, or `None` if one was not reached.
fn slowest(times: &[Option<f64>]) -> Option<f64> {
    let all: Option<Vec<f64>> = times.iter().copied().collect();
    all?.into_iter().reduce(f64::max)
}

/// Starts all members one after the other. Returns the time from the last start until every member
/// knows all others.
fn run_cold_start(sim: &mut Simulation) -> Option<f64> {
    let size = sim.nodes.len();
    for index in 0..size {
        sim.start(index);
        sim.run(SECOND_US / 50);
    }
    let time = sim.run_until(600, |sim| (0..size).all(|index| sim.knows_all(index)));
    sim.is_cold_start = false;
    time
}

fn report_steady(sim: &mut Simulation) {
    for node in sim.nodes.iter_mut().flatten() {
        (node.sent_bytes, node.received_bytes, node.peak_bytes_per_s) = (0, 0, 0);
    }
    (sim.datagrams, sim.bytes, sim.cpu_ns) = (0, 0, 0);
    let start_us = sim.now_us;
    run_steady_state(sim);
    let seconds = (sim.now_us - start_us) as f64 / SECOND_US as f64;
    let node_seconds = seconds * sim.nodes.len() as f64;
    let busiest = sim
        .nodes
        .iter()
        .flatten()
        .map(|node| node.sent_bytes.max(node.received_bytes))
        .max()
        .unwrap_or(0);
    println!(
        "  steady: {:.2} messages/s, {:.0} bytes/s sent per node (busiest {:.0}), \
         CPU {:.1} us per node and second",
        sim.datagrams as f64 / node_seconds,
        sim.bytes as f64 / node_seconds,
        busiest as f64 / seconds,
        sim.cpu_ns as f64 / 1_000.0 / node_seconds,
    );
}

fn report_drains(sim: &mut Simulation) {
    let (mut local, mut all) = (Vec::new(), Vec::new());
    for _ in 0..TRIALS {
        let subject = sim.random_member();
        sim.watch_member(subject, false);
        sim.set_upstream_state(subject, UpstreamState::Draining);
        let (in_region, everywhere) = sim.time_to_spread(subject, 30);
        local.push(in_region);
        all.push(everywhere);
        sim.set_upstream_state(subject, UpstreamState::Serving);
        sim.run(3 * SECOND_US);
    }
    println!(
        "  drain known: region {}, everywhere {} (worst of {TRIALS})",
        format_time(slowest(&local)),
        format_time(slowest(&all))
    );
}

fn report_failures(sim: &mut Simulation) {
    let (mut local, mut all) = (Vec::new(), Vec::new());
    for _ in 0..TRIALS {
        let subject = sim.random_member();
        sim.watch_member(subject, true);
        sim.nodes[subject] = None;
        let (in_region, everywhere) = sim.time_to_spread(subject, 60);
        local.push(in_region);
        all.push(everywhere);
        sim.start(subject);
        sim.run(10 * SECOND_US);
    }
    let mean = local.iter().flatten().sum::<f64>() / TRIALS as f64;
    println!(
        "  failure known: region {} (mean {mean:.2} s), everywhere {} (worst of {TRIALS})",
        format_time(slowest(&local)),
        format_time(slowest(&all))
    );
}

/// Restarts a member and measures how long it takes to learn of the others.
fn report_join(sim: &mut Simulation) {
    let joiner = sim.random_member();
    sim.leave(joiner);
    sim.run(2 * SECOND_US);
    sim.start(joiner);
    let size = sim.nodes.len();
    let region = region_and_zone(joiner, size).0;
    let in_region = (0..size)
        .filter(|index| region_and_zone(*index, size).0 == region)
        .count();
    let knows_region = move |sim: &Simulation| {
        let Some(node) = &sim.nodes[joiner] else {
            return false;
        };
        let own = &node.members.local_info().region;
        let snapshot = node.members.snapshot();
        snapshot.iter().filter(|info| info.region == *own).count() >= in_region
    };
    let region_time = sim.run_until(60, knows_region);
    let rest_time = sim.run_until(300, |sim| sim.knows_all(joiner));
    sim.run(2 * SECOND_US);
    let peak = sim.nodes[joiner]
        .as_ref()
        .map_or(0, |node| node.peak_bytes_per_s);
    println!(
        "  join: own region {}, the others {} later, at most {peak} bytes received in a second",
        format_time(region_time),
        format_time(rest_time)
    );
}

fn main() {
    let arguments: Vec<u64> = env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    let seed = arguments.first().copied().unwrap_or(1);
    let sizes = match arguments.get(1..) {
        Some(sizes) if !sizes.is_empty() => sizes.to_vec(),
        _ => vec![10, 50, 100, 200, REFERENCE_MEMBERS],
    };
    for size in sizes {
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        let started = Instant::now();
        let before = resident_bytes();
        let mut sim = Simulation::new(seed, size);
        println!("{size} members, seed {seed}:");
        let cold_start_time = run_cold_start(&mut sim);
        let per_member = (resident_bytes() - before) as f64 / (size * size) as f64;
        let total = sim.bytes as f64 / size as f64;
        println!(
            "  cold start of all: complete {} after the last start, {total:.0} bytes per node, \
             {per_member:.0} bytes of memory per known member",
            format_time(cold_start_time)
        );
        sim.run(30 * SECOND_US);
        report_steady(&mut sim);
        sim.run(30 * SECOND_US);
        report_drains(&mut sim);
        report_failures(&mut sim);
        report_join(&mut sim);
        println!(
            "  largest datagram {} bytes; took {:.1} s",
            sim.largest,
            started.elapsed().as_secs_f64()
        );
    }
}
