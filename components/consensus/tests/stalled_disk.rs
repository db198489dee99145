//! Guards against a follower whose disk stalls and that therefore stays at an old change, although
//! it hears the leader and the change is committed by the others.

mod cluster;

use cluster::{Cluster, add, is_accepted, update};
use consensus::ReplicaConfig;

/// Time in which a committed change must reach every replica that the leader can reach.
const CATCH_UP_US: u64 = 1_000_000;
const CHANGES: u64 = 20;

/// Each change fills a batch.
fn one_change_a_batch(config: &mut ReplicaConfig) {
    config.max_batch_bytes = 100;
    config.max_in_flight_bytes = 400;
}

fn follower_of(group: &Cluster, leader: u64) -> u64 {
    group
        .numbers()
        .into_iter()
        .find(|number| *number != leader)
        .unwrap()
}

fn commit_changes(group: &mut Cluster) {
    assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
    for id in 2..=CHANGES {
        let change = update(id, "browse", 1_000 + id as u32);
        assert!(is_accepted(&group.commit(id, &change)));
        group.run(100_000);
    }
}

fn applied_number(group: &Cluster, number: u64) -> u64 {
    group.replica(number).registry().revision().number
}

#[test]
fn follower_stays_current() {
    for seed in 0..10 {
        let mut group = Cluster::with_config(3, 200 + seed, one_change_a_batch);
        let leader = group.wait_for_leader();
        let follower = follower_of(&group, leader);
        group.hosts.get_mut(&follower).unwrap().disk_is_stuck = true;
        commit_changes(&mut group);
        group.run(CATCH_UP_US);
        assert_eq!(applied_number(&group, follower), CHANGES, "seed {seed}");
        group.hosts.get_mut(&follower).unwrap().disk_is_stuck = false;
        group.check_final_state();
    }
}

/// The new leader doesn't know what the follower holds, and the follower can't acknowledge anything
/// before its new term is on its disk.
#[test]
fn current_under_new_leader() {
    for seed in 0..10 {
        let mut group = Cluster::with_config(3, 300 + seed, one_change_a_batch);
        let leader = group.wait_for_leader();
        assert!(is_accepted(&group.commit(0, &add(100, "first"))));
        let follower = follower_of(&group, leader);
        group.hosts.get_mut(&follower).unwrap().disk_is_stuck = true;
        group.input(leader, consensus::Input::Stop);
        group.run_until("another leader", 5_000_000, |c| {
            c.leader().is_some_and(|other| other != leader)
        });
        commit_changes(&mut group);
        group.run(CATCH_UP_US);
        assert_eq!(applied_number(&group, follower), CHANGES + 1, "seed {seed}");
        group.hosts.get_mut(&follower).unwrap().disk_is_stuck = false;
        group.check_final_state();
    }
}
