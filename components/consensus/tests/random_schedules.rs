//! Guards against lost changes, two leaders, reverts and doubled changes under combined faults:
//! message loss, duplication and reordering, crashes, disk loss, partitions and skewed clocks.
//!
//! `GYARD_SEED` runs one schedule, `GYARD_SCHEDULES` sets how many seeds each test runs.

mod cluster;

use cluster::{Cluster, Faults, STEP_US, add, change, update};
use consensus::{Input, OpenGroup, ReplicaConfig};
use rand::RngExt;
use registry::{Change, Op};
use std::{collections::BTreeMap, env, thread};

const THREADS: u64 = 4;

/// Small limits, so that snapshots, batches and flow control take part in short runs.
fn small_limits(config: &mut ReplicaConfig) {
    config.snapshot_entries = 8;
    config.keep_entries = 2;
    config.max_batch_bytes = 300;
    config.max_in_flight_bytes = 900;
}

/// Short and nearly equal election timeouts, so that terms and votes collide often.
fn short_elections(config: &mut ReplicaConfig) {
    small_limits(config);
    config.election_min_us = 150_000;
    config.election_max_us = 200_000;
    config.heartbeat_us = 40_000;
    config.resend_us = 150_000;
}

/// Changes of one schedule; some are sent again, also to other replicas.
#[derive(Default)]
struct Operators {
    next: u64,
    sent: Vec<Change>,
    tokens: u64,
}

impl Operators {
    fn act(&mut self, group: &mut Cluster) {
        let resend = !self.sent.is_empty() && group.rng.random_range(0..3) == 0;
        let change = if resend {
            self.sent[group.rng.random_range(0..self.sent.len())].clone()
        } else {
            let change = self.fresh(group);
            self.sent.push(change.clone());
            change
        };
        let numbers = group.numbers();
        let any = numbers[group.rng.random_range(0..numbers.len())];
        let to = group.leader().filter(|_| group.rng.random_range(0..4) > 0);
        self.tokens += 1;
        group.propose(to.unwrap_or(any), self.tokens, change);
        let reader = numbers[group.rng.random_range(0..numbers.len())];
        group.read(reader, self.tokens);
    }

    fn fresh(&mut self, group: &mut Cluster) -> Change {
        self.next += 1;
        let id = self.next;
        let name = format!("p{}", group.rng.random_range(0..4));
        match group.rng.random_range(0..4) {
            0 => add(id, &name),
            1 => {
                let name = model::ProfileName::parse(&name).unwrap();
                let successor = None;
                change(id, Op::Retire { name, successor })
            }
            _ => update(id, &name, 1_000 + id as u32),
        }
    }
}

/// Replicas of an open group, which starts from three.
const OPEN_SIZE: u64 = 5;

/// How the group begins.
#[derive(Clone, Copy, Debug)]
enum Shape {
    /// All replicas are listed.
    Fixed(u64),
    /// Three seeds, and two replicas that join.
    Open,
}

fn open(config: &mut ReplicaConfig) {
    config.group = [1, 2, 3].into();
    config.open = Some(OpenGroup {
        voters: OPEN_SIZE as usize,
        may_form: true,
    });
}

fn open_short_elections(config: &mut ReplicaConfig) {
    short_elections(config);
    open(config);
}

fn open_small_limits(config: &mut ReplicaConfig) {
    small_limits(config);
    open(config);
}

fn disturb(group: &mut Cluster, down: &mut BTreeMap<u64, u64>, max_down_us: u64) {
    let numbers = group.numbers();
    let number = numbers[group.rng.random_range(0..numbers.len())];
    let now_us = group.now_us;
    match group.rng.random_range(0..12) {
        0..=2 => {
            group.crash(number);
            down.insert(number, now_us + group.rng.random_range(0..max_down_us));
        }
        3 | 4 if group.may_lose_disk() => {
            group.lose_disk(number);
            down.insert(number, now_us + group.rng.random_range(0..max_down_us));
        }
        5 | 6 => group.isolate(number),
        7 => {
            let other = numbers[group.rng.random_range(0..numbers.len())];
            group.blocked.insert((number, other));
        }
        8 => group.heal(),
        9 => {
            let host = group.hosts.get_mut(&number).unwrap();
            host.disk_is_stuck = !host.disk_is_stuck;
        }
        10 => {
            let percent = group.rng.random_range(70..=140);
            group.set_clock(number, percent);
        }
        _ => {
            let full = group.rng.random_range(0..2) == 0;
            let input = if full {
                Input::StorageFull(group.rng.random_range(0..2) == 0)
            } else {
                Input::TransferLeadership
            };
            group.input(number, input);
        }
    }
}

fn run_schedule(shape: Shape, seed: u64, duration_us: u64) {
    let is_stormy = seed % 2 == 1;
    let tune = match (shape, is_stormy) {
        (Shape::Fixed(_), true) => short_elections,
        (Shape::Fixed(_), false) => small_limits,
        (Shape::Open, true) => open_short_elections,
        (Shape::Open, false) => open_small_limits,
    };
    let size = match shape {
        Shape::Fixed(size) => size,
        Shape::Open => OPEN_SIZE,
    };
    let mut group = Cluster::tuned(size, seed, tune);
    group.faults = Faults {
        loss_percent: group.rng.random_range(0..25),
        duplicate_percent: group.rng.random_range(0..20),
        max_delay_us: group
            .rng
            .random_range(STEP_US..if is_stormy { 60_000 } else { 200_000 }),
        disk_lag_percent: group.rng.random_range(0..80),
    };
    let max_down_us = if is_stormy { 300_000 } else { 3_000_000 };
    let fault_percent = group.rng.random_range(1..if is_stormy { 20 } else { 8 });
    let change_percent = group.rng.random_range(2..20);
    let mut operators = Operators::default();
    let mut down = BTreeMap::new();
    let until_us = group.now_us + duration_us;
    while group.now_us < until_us {
        if group.rng.random_range(0..100) < fault_percent {
            disturb(&mut group, &mut down, max_down_us);
        }
        if group.rng.random_range(0..100) < change_percent {
            operators.act(&mut group);
        }
        let due: Vec<u64> = down
            .iter()
            .filter(|d| *d.1 <= group.now_us)
            .map(|d| *d.0)
            .collect();
        for number in due {
            down.remove(&number);
            group.restart(number);
        }
        group.step();
    }
    group.recover_all();
    group.check_end();
    let reply = group.commit(u64::MAX, &add(u64::MAX, "last"));
    assert!(cluster::is_accepted(&reply), "{reply:?}");
    group.check_end();
}

fn run_schedules(shape: Shape, first_seed: u64, default_count: u64, duration_us: u64) {
    if let Some(seed) = env::var("GYARD_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
    {
        run_schedule(shape, seed, duration_us);
        return;
    }
    let count = env::var("GYARD_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok());
    let count = count.unwrap_or(default_count);
    let failed: Vec<u64> = thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS)
            .map(|worker| {
                scope.spawn(move || {
                    let seeds = (first_seed + worker..first_seed + count).step_by(THREADS as usize);
                    let fails = |seed: &u64| {
                        std::panic::catch_unwind(|| run_schedule(shape, *seed, duration_us))
                            .is_err()
                    };
                    seeds.filter(fails).collect::<Vec<u64>>()
                })
            })
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap())
            .collect()
    });
    assert!(
        failed.is_empty(),
        "failed with {shape:?}: GYARD_SEED of {failed:?}"
    );
}

#[test]
fn three_replicas() {
    run_schedules(Shape::Fixed(3), 0, 4_000, 12_000_000);
}

#[test]
fn five_replicas() {
    run_schedules(Shape::Fixed(5), 1_000_000, 1_500, 12_000_000);
}

/// Guards against a group that is formed twice or never when faults strike during the formation.
#[test]
fn forming_groups() {
    run_schedules(Shape::Fixed(3), 2_000_000, 4_000, 1_500_000);
}

/// Guards against an open group that forms twice, or that accepts what too few of it hold.
#[test]
fn open_groups() {
    run_schedules(Shape::Open, 3_000_000, 1_000, 12_000_000);
}
