//! Random schedules that combine message loss, duplication and reordering, crashes, disk loss,
//! partitions and skewed clocks. Guards against two leaders in a term and against changes that are
//! lost, reverted or applied twice.
//!
//! `GYARD_SEED` runs the schedule of one seed; `GYARD_SCHEDULES` sets the number of seeds per test.

mod cluster;

use cluster::{Cluster, Faults, STEP_US, add, change, update};
use consensus::{Input, OpenGroup, ReplicaConfig};
use rand::RngExt;
use registry::{Change, Op};
use std::{collections::BTreeMap, env, thread};

const THREADS: u64 = 4;

/// Small limits, so that snapshots, batching and flow control occur in short runs.
fn small_limits(config: &mut ReplicaConfig) {
    config.snapshot_entries = 8;
    config.keep_entries = 2;
    config.max_batch_bytes = 300;
    config.max_in_flight_bytes = 900;
}

/// Short and nearly equal election timeouts, so that elections often collide.
fn short_elections(config: &mut ReplicaConfig) {
    small_limits(config);
    config.election_min_us = 150_000;
    config.election_max_us = 200_000;
    config.heartbeat_us = 40_000;
    config.resend_us = 150_000;
}

/// Operators who submit random changes. Some changes are sent again, also to other replicas.
#[derive(Default)]
struct Operators {
    last_id: u64,
    sent: Vec<Change>,
    last_token: u64,
}

impl Operators {
    fn submit_change(&mut self, group: &mut Cluster) {
        let resend = !self.sent.is_empty() && group.rng.random_range(0..3) == 0;
        let change = if resend {
            self.sent[group.rng.random_range(0..self.sent.len())].clone()
        } else {
            let change = self.new_change(group);
            self.sent.push(change.clone());
            change
        };
        let numbers = group.numbers();
        let random_replica = numbers[group.rng.random_range(0..numbers.len())];
        let to = group.leader().filter(|_| group.rng.random_range(0..4) > 0);
        self.last_token += 1;
        group.propose(to.unwrap_or(random_replica), self.last_token, change);
        let reader = numbers[group.rng.random_range(0..numbers.len())];
        group.read(reader, self.last_token);
    }

    fn new_change(&mut self, group: &mut Cluster) -> Change {
        self.last_id += 1;
        let id = self.last_id;
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

/// Number of replicas of an open group with three founders.
const OPEN_SIZE: u64 = 5;

/// How the group is configured.
#[derive(Clone, Copy, Debug)]
enum GroupKind {
    /// All replicas are configured.
    Fixed(u64),
    /// Three founders, and two replicas that join.
    Open,
}

fn open_group(config: &mut ReplicaConfig) {
    config.group = [1, 2, 3].into();
    config.open = Some(OpenGroup {
        voters: OPEN_SIZE as usize,
        may_form: true,
    });
}

fn open_group_short_elections(config: &mut ReplicaConfig) {
    short_elections(config);
    open_group(config);
}

fn open_group_small_limits(config: &mut ReplicaConfig) {
    small_limits(config);
    open_group(config);
}

fn inject_fault(group: &mut Cluster, restart_times_us: &mut BTreeMap<u64, u64>, max_down_us: u64) {
    let numbers = group.numbers();
    let number = numbers[group.rng.random_range(0..numbers.len())];
    let now_us = group.now_us;
    match group.rng.random_range(0..12) {
        0..=2 => {
            group.crash(number);
            restart_times_us.insert(number, now_us + group.rng.random_range(0..max_down_us));
        }
        3 | 4 if group.can_lose_disk() => {
            group.lose_disk(number);
            restart_times_us.insert(number, now_us + group.rng.random_range(0..max_down_us));
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
            group.set_clock_speed(number, percent);
        }
        _ => {
            let is_storage_event = group.rng.random_range(0..2) == 0;
            let input = if is_storage_event {
                Input::StorageFull(group.rng.random_range(0..2) == 0)
            } else {
                Input::Stop
            };
            group.input(number, input);
        }
    }
}

fn run_schedule(kind: GroupKind, seed: u64, duration_us: u64) {
    let has_many_faults = seed % 2 == 1;
    let adjust_config = match (kind, has_many_faults) {
        (GroupKind::Fixed(_), true) => short_elections,
        (GroupKind::Fixed(_), false) => small_limits,
        (GroupKind::Open, true) => open_group_short_elections,
        (GroupKind::Open, false) => open_group_small_limits,
    };
    let size = match kind {
        GroupKind::Fixed(size) => size,
        GroupKind::Open => OPEN_SIZE,
    };
    let mut group = Cluster::with_config(size, seed, adjust_config);
    group.faults = Faults {
        loss_percent: group.rng.random_range(0..25),
        duplicate_percent: group.rng.random_range(0..20),
        max_delay_us: group
            .rng
            .random_range(STEP_US..if has_many_faults { 60_000 } else { 200_000 }),
        disk_lag_percent: group.rng.random_range(0..80),
        ..Faults::default()
    };
    let max_down_us = if has_many_faults { 300_000 } else { 3_000_000 };
    let fault_percent = group
        .rng
        .random_range(1..if has_many_faults { 20 } else { 8 });
    let change_percent = group.rng.random_range(2..20);
    let mut operators = Operators::default();
    let mut restart_times_us = BTreeMap::new();
    let until_us = group.now_us + duration_us;
    while group.now_us < until_us {
        if group.rng.random_range(0..100) < fault_percent {
            inject_fault(&mut group, &mut restart_times_us, max_down_us);
        }
        if group.rng.random_range(0..100) < change_percent {
            operators.submit_change(&mut group);
        }
        let due: Vec<u64> = restart_times_us
            .iter()
            .filter(|d| *d.1 <= group.now_us)
            .map(|d| *d.0)
            .collect();
        for number in due {
            restart_times_us.remove(&number);
            group.restart(number);
        }
        group.step();
    }
    group.end_all_faults();
    group.check_final_state();
    let reply = group.commit(u64::MAX, &add(u64::MAX, "last"));
    assert!(cluster::is_accepted(&reply), "{reply:?}");
    group.check_final_state();
}

fn run_schedules(kind: GroupKind, first_seed: u64, default_count: u64, duration_us: u64) {
    if let Some(seed) = env::var("GYARD_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
    {
        run_schedule(kind, seed, duration_us);
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
                        std::panic::catch_unwind(|| run_schedule(kind, *seed, duration_us)).is_err()
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
        "failed with {kind:?}: GYARD_SEED of {failed:?}"
    );
}

#[test]
fn three_replicas() {
    run_schedules(GroupKind::Fixed(3), 0, 4_000, 12_000_000);
}

#[test]
fn five_replicas() {
    run_schedules(GroupKind::Fixed(5), 1_000_000, 1_500, 12_000_000);
}

/// Guards against faults during the formation after which the group is formed twice or never.
#[test]
fn forming_groups() {
    run_schedules(GroupKind::Fixed(3), 2_000_000, 4_000, 1_500_000);
}

/// Guards against an open group that forms twice, or that accepts changes which too few replicas
/// store.
#[test]
fn open_groups() {
    run_schedules(GroupKind::Open, 3_000_000, 1_000, 12_000_000);
}
