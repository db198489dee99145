//! Tests open groups that start from three founders and grow to five voters. Guards against changes
//! that are accepted while too few replicas store them, against a second group formed by hosts that
//! lost their disks, and against hosts that never return.

mod cluster;

use cluster::{Cluster, add, is_accepted, is_refused_as};
use consensus::{OpenGroup, ReplicaConfig};
use errors::ErrorKind;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of voters of the full group, which survives the loss of two.
const VOTERS: usize = 5;
/// Time after a restart in which no replica receives messages yet.
const LISTENERS_DOWN_US: u64 = 450_000;
/// Time for one election: the longest election timeout of a starting replica, which is a third of
/// the usual one, and the votes.
const ONE_ELECTION_US: u64 = 600_000;
/// Time in which the group serves again after all its hosts have started.
const RECOVERY_US: u64 = 15_000_000;
/// Time in which a group forms on disks that take up to 1.2 s for each sync: its founders write a few
/// times in turn, and each further voter needs two commits.
const FORMATION_US: u64 = 60_000_000;

fn open_group(config: &mut ReplicaConfig) {
    config.group = [1, 2, 3].into();
    config.open = Some(OpenGroup {
        voters: VOTERS,
        may_form: true,
    });
}

/// An open group with the election timeouts of control replicas, which are shorter than the defaults.
fn short_timeouts(config: &mut ReplicaConfig) {
    open_group(config);
    config.election_min_us = 300_000;
    config.election_max_us = 600_000;
}

/// Settings after a restart, when the platform no longer reports a first start of the deployment.
fn may_not_form(config: &mut ReplicaConfig) {
    open_group(config);
    if let Some(open) = &mut config.open {
        open.may_form = false;
    }
}

fn voter_count(group: &Cluster) -> usize {
    group.committed_membership.voters.len()
}

fn full_group(size: u64, seed: u64) -> Cluster {
    let mut group = Cluster::with_config(size, seed, open_group);
    group.run_until("five voters", 20_000_000, |c| voter_count(c) == VOTERS);
    group
}

#[test]
fn grows_from_founders() {
    for seed in 0..20 {
        let mut group = full_group(5, seed);
        assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
        group.run_until("all replicas equal", 5_000_000, Cluster::is_settled);
    }
}

/// The group must not form before its last founder has started.
#[test]
fn waits_for_late_founder() {
    let mut group = Cluster::with_config(5, 31, open_group);
    group.crash(2);
    group.run(5_000_000);
    assert_eq!(voter_count(&group), 0, "{:?}", group.committed_membership);
    group.restart(2);
    group.run_until("five voters", 20_000_000, |c| voter_count(c) == VOTERS);
}

/// Changes accepted by three voters could be lost together with two disks, so they must be refused
/// until the group has five voters.
#[test]
fn no_change_accepted_while_growing() {
    let mut group = Cluster::with_config(5, 32, open_group);
    group.crash(4);
    group.crash(5);
    group.run_until("three voters", 20_000_000, |c| voter_count(c) == 3);
    let leader = group.wait_for_leader();
    group.propose(leader, 1, add(1, "early"));
    group.run(2_000_000);
    let reply = group.answers.get(&1).unwrap();
    assert!(is_refused_as(reply, ErrorKind::NoQuorum), "{reply:?}");
    group.restart(4);
    group.restart(5);
    group.run_until("five voters", 20_000_000, |c| voter_count(c) == VOTERS);
    assert!(is_accepted(&group.commit(2, &add(2, "later"))));
}

/// Two disks are lost right after a change was accepted, and all hosts restart. The change must not
/// be lost.
#[test]
fn two_disks_lost() {
    for (seed, lost) in [(33, [1, 2]), (34, [2, 3]), (35, [4, 5]), (36, [1, 5])] {
        let mut group = full_group(5, seed);
        group.adjust_config = may_not_form;
        assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
        for number in group.numbers() {
            if lost.contains(&number) {
                group.lose_disk(number);
            } else {
                group.crash(number);
            }
        }
        for number in group.numbers() {
            group.restart(number);
        }
        group.run_until("five voters again", 40_000_000, |c| {
            voter_count(c) == VOTERS && c.is_settled()
        });
        let leader = group.wait_for_leader();
        assert!(group.replica(leader).registry().revision().number >= 1);
        group.check_final_state();
    }
}

/// Replicas without data that may not form a group must wait for an existing one.
#[test]
fn empty_hosts_form_no_group() {
    let mut group = Cluster::with_config(3, 37, may_not_form);
    group.run(20_000_000);
    assert_eq!(voter_count(&group), 0);
    assert_eq!(group.leader(), None);
}

/// One host of five never returns. A sixth host at another address must take its place, but not
/// before the missing host has been silent for long enough.
#[test]
fn replaced_at_another_address() {
    for failed in 1..=5 {
        let mut group = Cluster::with_config(6, 38 + failed, open_group);
        group.crash(6);
        group.run_until("five voters", 20_000_000, |c| voter_count(c) == VOTERS);
        assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
        group.crash(failed);
        group.run(2_000_000);
        assert_eq!(
            voter_count(&group),
            VOTERS,
            "a short absence changes nothing"
        );
        group.restart(6);
        group.run_until("the new replica is a voter", 40_000_000, |c| {
            let members = &c.committed_membership;
            members.by_number(6).is_some() && members.by_number(failed).is_none()
        });
        assert!(is_accepted(&group.commit(2, &add(2, "order"))));
    }
}

/// After a restart of all hosts the first pre-votes can be lost, because their receivers don't
/// listen yet. The replicas must try again soon, not after the usual election timeout, since no
/// leader can exist.
#[test]
fn first_pre_votes_lost() {
    for seed in 0..20 {
        let mut group = full_group(5, 70 + seed);
        let all = group.numbers();
        for number in &all {
            group.crash(*number);
        }
        for number in &all {
            group.restart(*number);
        }
        for number in all {
            group.isolate(number);
        }
        group.run(LISTENERS_DOWN_US);
        group.heal();
        group.run_until("a leader", ONE_ELECTION_US, |c| c.leader().is_some());
    }
}

/// Guards against a group that elects no leader while its disks are slow: each election began before
/// the votes of the last one were on disk.
#[test]
fn elects_on_slow_disks() {
    for disk_sync_us in [100_000, 200_000, 400_000, 800_000, 1_200_000, 2_400_000] {
        elect_with_slow_disks(disk_sync_us, 0);
    }
}

/// Guards against a replica with a fast disk that begins an election again and again before the
/// votes of the others are on their slow disks.
#[test]
fn elects_on_mixed_disks() {
    for disk_sync_us in [400_000, 1_200_000, 2_400_000] {
        for last_fast_disk in 1..=3 {
            elect_with_slow_disks(disk_sync_us, last_fast_disk);
        }
    }
}

/// Restarts all replicas of a full group whose disks, but for the first ones, take this long for
/// each sync, and waits for a leader that commits a change.
fn elect_with_slow_disks(disk_sync_us: u64, last_fast_disk: u64) {
    for seed in 0..20 {
        let mut group = Cluster::with_config(5, 700 + seed, short_timeouts);
        group.run_until("five voters", FORMATION_US, |c| voter_count(c) == VOTERS);
        group.faults.disk_sync_us = disk_sync_us;
        group.faults.last_fast_disk = last_fast_disk;
        for number in group.numbers() {
            group.crash(number);
        }
        for number in group.numbers() {
            group.restart(number);
        }
        let reply = {
            group.run_until("a leader", RECOVERY_US, |c| {
                c.leader()
                    .is_some_and(|l| c.replica(l).commit_index() >= c.max_committed)
            });
            group.commit(1, &add(1, "browse"))
        };
        assert!(
            is_accepted(&reply),
            "sync {disk_sync_us} us, {last_fast_disk} fast disks, seed {seed}"
        );
    }
}

/// Guards against a group that never forms on slow disks.
#[test]
fn forms_on_slow_disks() {
    for (disk_sync_us, limit_us) in [
        (100_000, RECOVERY_US),
        (200_000, RECOVERY_US),
        (400_000, RECOVERY_US),
        (1_200_000, FORMATION_US),
    ] {
        for seed in 0..20 {
            let mut group = Cluster::with_config(5, 700 + seed, short_timeouts);
            group.faults.disk_sync_us = disk_sync_us;
            group.run_until("five voters", limit_us, |c| voter_count(c) == VOTERS);
        }
    }
}

/// Replicas are killed at random while they start for the first time, and come back within a second.
#[test]
fn random_first_starts() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut group = Cluster::with_config(5, seed, open_group);
        group.run(rng.random_range(20_000..300_000));
        group.adjust_config = may_not_form;
        for _ in 0..rng.random_range(1..8) {
            let number = rng.random_range(1..=5);
            group.crash(number);
            group.run(rng.random_range(0..1_000_000));
            group.restart(number);
            group.run(rng.random_range(0..200_000));
        }
        group.run_until("five voters", 20_000_000, |c| voter_count(c) == VOTERS);
        assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
        group.check_final_state();
    }
}

/// Guards against a group that never forms: a founder was killed before it had saved a formation, the
/// platform no longer reported a first start when it came back, and no other replica proposed one.
#[test]
fn founder_killed_at_first_start() {
    for founder in 1..=3 {
        for killed_at_us in (0..800_000).step_by(20_000) {
            let mut group = Cluster::with_config(5, killed_at_us, open_group);
            group.run(killed_at_us);
            group.adjust_config = may_not_form;
            group.crash(founder);
            group.run(750_000);
            group.restart(founder);
            group.run_until("five voters", 20_000_000, |c| voter_count(c) == VOTERS);
            assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
        }
    }
}

/// As above, with a kill of all replicas.
#[test]
fn all_killed_at_first_start() {
    for killed_at_us in (20_000..800_000).step_by(20_000) {
        let mut group = Cluster::with_config(5, killed_at_us, open_group);
        group.run(killed_at_us);
        group.adjust_config = may_not_form;
        let numbers: Vec<_> = group.numbers().into_iter().collect();
        numbers.iter().for_each(|number| group.crash(*number));
        group.run(750_000);
        numbers.iter().for_each(|number| group.restart(*number));
        group.run_until("five voters", 20_000_000, |c| voter_count(c) == VOTERS);
        assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
    }
}
