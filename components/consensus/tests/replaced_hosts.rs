//! Guards against a dead replica that keeps its vote after its successor is ready, so that the loss
//! of two disks together with a loss of power of all hosts leaves no quorum.

mod cluster;

use cluster::{Cluster, add, is_accepted};
use consensus::{Input, OpenGroup, ReplicaConfig, ReplicaNumber};

/// Number of voters of the full group, which survives the loss of two.
const VOTERS: usize = 5;
/// Replica at another address that takes the place of a lost one.
const SUCCESSOR: ReplicaNumber = 6;
/// Time after the start of the successor from which the replacement counts as complete.
const REPLACED_WITHIN_US: u64 = 4_000_000;

fn open_group(config: &mut ReplicaConfig) {
    config.group = [1, 2, 3].into();
    config.open = Some(OpenGroup {
        voters: VOTERS,
        may_form: true,
    });
    config.election_min_us = 300_000;
    config.election_max_us = 600_000;
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
        group.input(gone, Input::TransferLeadership);
        group.run(500_000);
        group.crash(gone);
        group.run(REPLACED_WITHIN_US - 1_500_000);
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
