//! Guards against a dead replica that keeps its vote after its successor is ready, so that the loss
//! of two disks together with a loss of power of all hosts leaves no quorum.

mod cluster;

use cluster::{Cluster, add, is_accepted, update};
use consensus::{Input, OpenGroup, ReplicaConfig, ReplicaNumber};
use rand::RngExt;
use std::env;

/// Number of voters of the full group, which survives the loss of two.
const VOTERS: usize = 5;
/// Replica at another address that takes the place of a lost one.
const SUCCESSOR: ReplicaNumber = 6;
/// Time after the start of the successor from which the replacement counts as complete.
const REPLACED_WITHIN_US: u64 = 4_000_000;
/// Time from the request to stop until the process has ended.
const STOP_US: u64 = 1_500_000;

fn open_group(config: &mut ReplicaConfig) {
    config.group = [1, 2, 3].into();
    config.open = Some(OpenGroup {
        voters: VOTERS,
        may_form: true,
    });
    config.election_min_us = 300_000;
    config.election_max_us = 600_000;
}

/// Settings after the first start of the deployment.
fn may_not_form(config: &mut ReplicaConfig) {
    open_group(config);
    if let Some(open) = &mut config.open {
        open.may_form = false;
    }
}

fn full_group(seed: u64) -> Cluster {
    let mut group = Cluster::with_config(6, seed, open_group);
    group.crash(SUCCESSOR);
    group.run_until("five voters", 20_000_000, |c| {
        c.committed_membership.voters.len() == VOTERS
    });
    group
}

/// Loses the disks of two of the live replicas and the power of all of them. The last accepted
/// change must survive.
fn lose_two_disks_and_power(group: &mut Cluster, gone: ReplicaNumber, seed: u64) {
    let last = add(1, "acknowledged");
    assert!(is_accepted(&group.commit(1, &last)));
    let live: Vec<_> = group
        .numbers()
        .into_iter()
        .filter(|number| *number != gone)
        .collect();
    let wiped = [live[seed as usize % 4], live[(seed as usize + 1) % 4]];
    for number in &live {
        if wiped.contains(number) {
            group.lose_disk(*number);
        } else {
            group.crash(*number);
        }
    }
    for number in live {
        group.restart(number);
    }
    let leader = group.wait_for_leader();
    let kept = group.replica(leader).registry().kept_answer(&last);
    assert!(kept.is_some(), "an accepted change was lost");
}

/// The successor starts first, then the replica is stopped.
#[test]
fn planned_replacement() {
    for seed in 0..20 {
        let mut group = full_group(400 + seed);
        let gone = 1 + seed % 5;
        group.restart(SUCCESSOR);
        group.run(1_000_000);
        group.input(gone, Input::Stop);
        group.run(500_000);
        group.crash(gone);
        group.run(REPLACED_WITHIN_US - 1_500_000);
        lose_two_disks_and_power(&mut group, gone, seed);
    }
}

/// Two disks and all power are lost right after the old replica has stopped. Its successor has been
/// running for long enough by then that the replacement counts as complete.
#[test]
fn stopped_replica_hands_over_vote() {
    for seed in 0..20 {
        let mut group = full_group(700 + seed);
        let gone = 1 + seed % 5;
        group.restart(SUCCESSOR);
        group.run(REPLACED_WITHIN_US);
        group.input(gone, Input::Stop);
        group.run(STOP_US);
        group.crash(gone);
        lose_two_disks_and_power(&mut group, gone, seed);
    }
}

/// The leader fails while a voter is gone, so that the next leader has not seen that voter leave.
#[test]
fn replaced_under_new_leader() {
    for seed in 0..20 {
        let mut group = full_group(500 + seed);
        let leader = group.wait_for_leader();
        let gone = 1 + leader % 5;
        group.crash(gone);
        group.run(1_000_000);
        group.restart(SUCCESSOR);
        group.run(2_000_000);
        let leader = group.wait_for_leader();
        group.crash(leader);
        group.run(200_000);
        group.restart(leader);
        group.run(REPLACED_WITHIN_US - 2_200_000);
        lose_two_disks_and_power(&mut group, gone, seed);
    }
}

/// All seeds in the settings of a replica are gone when it returns with an empty disk. It must
/// find the group by the messages that reach it.
#[test]
fn seeds_gone() {
    let mut group = full_group(600);
    assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
    let leader = group.wait_for_leader();
    let wiped = 1 + leader % 5;
    group.lose_disk(wiped);
    group.run(1_000_000);
    group.adjust_config = may_not_form;
    group.seeds = Some([SUCCESSOR].into());
    group.restart(wiped);
    let disk_id = group.replica(wiped).id().disk_id;
    group.run_until("the new disk votes", REPLACED_WITHIN_US, |c| {
        let voter = c.committed_membership.by_number(wiped);
        voter.is_some_and(|voter| voter.disk_id == disk_id)
    });
}

/// First number of the replicas that replace others in the random schedules.
const FIRST_SPARE: ReplicaNumber = 6;
const SPARES: u64 = 4;
/// Losses of each random schedule before the final one.
const LOSSES: usize = 6;
/// Replicas that the settings of a starting replica name.
const SEEDS: usize = 3;
/// Most replicas that may be lost at once.
const TOLERATED: usize = 2;
/// Longest time from the return of all hosts until the group works again.
const RECOVERY_US: u64 = 15_000_000;

/// How a random schedule loses a replica.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It stops for a while and keeps its disk.
    Restart,
    /// It returns with an empty disk.
    Disk,
    /// It never returns; another one with an empty disk starts a little later.
    Replaced,
    /// The same, but the other one starts first.
    PlannedReplacement,
    /// The other one starts first, and the replica is asked to stop once the other one counts as a
    /// full member. Its end is no loss.
    Handover,
    /// It can't reach the others for a while.
    Cut,
}

/// The replicas in use, and those that count as lost, each with the time until which it does.
struct Hosts {
    in_use: Vec<ReplicaNumber>,
    lost: Vec<(ReplicaNumber, u64)>,
    next_spare: ReplicaNumber,
}

impl Hosts {
    fn draw(&self, group: &mut Cluster) -> Option<ReplicaNumber> {
        if self.lost.len() >= TOLERATED {
            return None;
        }
        let is_lost = |number: &ReplicaNumber| self.lost.iter().any(|(lost, _)| lost == number);
        let candidates: Vec<_> = self.in_use.iter().filter(|n| !is_lost(n)).collect();
        let drawn = group.rng.random_range(0..candidates.len());
        candidates.get(drawn).map(|number| **number)
    }

    /// Loses a replica and lets it, or its successor, start. It counts as lost from now until
    /// `REPLACED_WITHIN_US` after that.
    fn lose(&mut self, group: &mut Cluster, loss: Loss, number: ReplicaNumber) {
        let down_us = group.rng.random_range(300_000..2_000_000);
        let returned = match loss {
            Loss::Restart => {
                group.crash(number);
                group.run(down_us);
                group.restart(number);
                number
            }
            Loss::Disk => {
                group.lose_disk(number);
                group.run(down_us);
                group.restart(number);
                number
            }
            Loss::Cut => {
                group.isolate(number);
                group.run(down_us);
                group.heal();
                number
            }
            Loss::Replaced => {
                group.crash(number);
                group.run(down_us);
                self.start_successor(group, number)
            }
            Loss::PlannedReplacement => {
                let complete_us = group.now_us + REPLACED_WITHIN_US;
                self.start_successor(group, number);
                group.run(1_000_000);
                group.crash(number);
                self.lost.push((number, complete_us));
                return;
            }
            Loss::Handover => {
                self.start_successor(group, number);
                group.run(REPLACED_WITHIN_US);
                group.input(number, Input::Stop);
                group.run(STOP_US);
                group.crash(number);
                return;
            }
        };
        self.lost
            .push((returned, group.now_us + REPLACED_WITHIN_US));
    }

    fn start_successor(&mut self, group: &mut Cluster, of: ReplicaNumber) -> ReplicaNumber {
        let successor = self.next_spare;
        self.next_spare += 1;
        group.restart(successor);
        self.in_use.retain(|number| *number != of);
        self.in_use.push(successor);
        successor
    }

    fn forget_returned(&mut self, now_us: u64) {
        self.lost.retain(|(_, until_us)| *until_us > now_us);
    }
}

fn draw_loss(group: &mut Cluster, hosts: &Hosts) -> Loss {
    let has_spare = hosts.next_spare < FIRST_SPARE + SPARES;
    match group.rng.random_range(0..6) {
        0 if has_spare => Loss::Replaced,
        1 if has_spare => Loss::PlannedReplacement,
        5 if has_spare => Loss::Handover,
        2 => Loss::Disk,
        3 => Loss::Cut,
        _ => Loss::Restart,
    }
}

/// Changes, replacements, lost disks, restarts and cuts at random; at the end as many disks are lost
/// as the group must survive, while all replicas lose power. Returns the time until the group works
/// again.
fn run_random_losses(seed: u64) -> u64 {
    let mut group = Cluster::with_config(5 + SPARES, seed, open_group);
    let spares = FIRST_SPARE..FIRST_SPARE + SPARES;
    spares.for_each(|spare| group.crash(spare));
    group.run_until("five voters", 20_000_000, |c| {
        c.committed_membership.voters.len() == VOTERS
    });
    let mut hosts = Hosts {
        in_use: (1..=5).collect(),
        lost: Vec::new(),
        next_spare: FIRST_SPARE,
    };
    assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
    let mut last_change = 1;
    for _ in 0..LOSSES {
        let loss = draw_loss(&mut group, &hosts);
        group.adjust_config = may_not_form;
        group.seeds = Some(hosts.in_use.iter().rev().copied().take(SEEDS).collect());
        if let Some(number) = hosts.draw(&mut group) {
            group.log_event(format!("{loss:?} of replica {number}"));
            hosts.lose(&mut group, loss, number);
        }
        last_change += 1;
        let change = update(last_change, "browse", 1_000 + last_change as u32);
        assert!(is_accepted(&group.commit(last_change, &change)));
        let pause_us = group.rng.random_range(0..3_000_000);
        group.run(pause_us);
        hosts.forget_returned(group.now_us);
    }
    let allowed = TOLERATED - hosts.lost.len().min(TOLERATED);
    let wiped: Vec<_> = (0..allowed)
        .filter_map(|_| hosts.draw(&mut group))
        .collect();
    for number in &hosts.in_use {
        if wiped.contains(number) {
            group.lose_disk(*number);
        } else {
            group.crash(*number);
        }
    }
    for number in &hosts.in_use {
        group.restart(*number);
    }
    let restarted_us = group.now_us;
    group.run_until("a leader that has committed", RECOVERY_US, |c| {
        c.leader().is_some_and(|leader| {
            let leader = c.replica(leader);
            leader.registry().revision().number >= last_change
        })
    });
    group.now_us - restarted_us
}

#[test]
fn random_losses() {
    let first = env::var("GYARD_SEED")
        .ok()
        .and_then(|text| text.parse().ok());
    let count = env::var("GYARD_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(300);
    let first: u64 = first.unwrap_or(6_000_000);
    let mut failed = Vec::new();
    let mut recovery_us = Vec::new();
    for seed in first..first + count {
        match std::panic::catch_unwind(|| run_random_losses(seed)) {
            Ok(time_us) => recovery_us.push(time_us),
            Err(_) => failed.push(seed),
        }
    }
    recovery_us.sort_unstable();
    let at = |percent: usize| recovery_us.get((recovery_us.len() * percent).div_ceil(100) - 1);
    println!(
        "time until the group works again in us: median {:?}, p99 {:?}, longest {:?}",
        at(50),
        at(99),
        recovery_us.last()
    );
    assert!(failed.is_empty(), "GYARD_SEED of {failed:?}");
}
