//! Guards against counting the earlier votes and acknowledgements of a replica that has lost its
//! disk since, and against a group that stops when a second replica is lost right after the first
//! one was repaired.

mod cluster;

use cluster::{Cluster, add, is_accepted};

fn three_equal_replicas(seed: u64) -> Cluster {
    let mut group = Cluster::new(3, seed);
    group.commit(1, &add(1, "browse"));
    group.run_until("all replicas equal", 5_000_000, Cluster::is_settled);
    group
}

fn follower(group: &Cluster) -> u64 {
    let leader = group.leader().unwrap();
    group
        .numbers()
        .into_iter()
        .find(|number| *number != leader)
        .unwrap()
}

#[test]
fn lost_and_rejoined() {
    let mut group = three_equal_replicas(21);
    let lost = follower(&group);
    group.lose_disk(lost);
    group.restart(lost);
    group.check_final_state();
    insta::assert_snapshot!(group.events.join("\n"));
}

#[test]
fn leader_disk_lost() {
    let mut group = three_equal_replicas(22);
    let lost = group.leader().unwrap();
    group.lose_disk(lost);
    group.restart(lost);
    group.check_final_state();
    assert!(is_accepted(&group.commit(2, &add(2, "order"))));
    insta::assert_snapshot!(group.events.join("\n"));
}

/// One replica is repaired after losing its disk, then another one is lost for good. The group must
/// still accept changes.
#[test]
fn second_lost_after_repair() {
    for second_is_leader in [true, false] {
        let mut group = three_equal_replicas(23);
        let first = follower(&group);
        group.lose_disk(first);
        group.restart(first);
        group.run_until("the new identity votes", 10_000_000, |c| {
            c.can_lose_disk() && c.replica(first).is_voter()
        });
        let leader = group.leader().unwrap();
        let other = |n: &u64| *n != first && *n != leader;
        let second = if second_is_leader {
            leader
        } else {
            group.numbers().into_iter().find(other).unwrap()
        };
        group.lose_disk(second);
        assert!(is_accepted(&group.commit(2, &add(2, "order"))));
        if second_is_leader {
            insta::assert_snapshot!(group.events.join("\n"));
        }
    }
}

/// Between removal and promotion there are two voters. A crash of one of them must only delay the
/// promotion.
#[test]
fn crash_between_removal_and_promotion() {
    let mut group = three_equal_replicas(24);
    let lost = follower(&group);
    group.lose_disk(lost);
    group.restart(lost);
    group.run_until("two voters", 10_000_000, |c| {
        c.committed_membership.voters.len() == 2
    });
    let leader = group.leader().unwrap();
    group.crash(leader);
    // The message with the promotion is already in flight; if it arrived, there would be a quorum.
    group.drop_messages_in_flight();
    group.run(5_000_000);
    assert_eq!(group.leader(), None, "one of two voters is not a quorum");
    group.restart(leader);
    group.check_final_state();
}

/// Guards against overlapping membership changes: each committed membership must differ from the
/// previous one by one voter.
#[test]
fn two_lost_of_five() {
    let mut group = Cluster::new(5, 25);
    group.commit(1, &add(1, "browse"));
    group.run_until("all replicas equal", 5_000_000, Cluster::is_settled);
    let leader = group.leader().unwrap();
    let lost: Vec<u64> = group
        .numbers()
        .into_iter()
        .filter(|n| *n != leader)
        .take(2)
        .collect();
    for number in &lost {
        group.lose_disk(*number);
    }
    assert!(is_accepted(&group.commit(2, &add(2, "order"))));
    for number in &lost {
        group.restart(*number);
    }
    group.check_final_state();
    let sets: Vec<&String> = group
        .events
        .iter()
        .filter(|e| e.contains("voters are"))
        .collect();
    let sets: Vec<&str> = sets
        .iter()
        .filter_map(|e| e.split("voters are ").nth(1))
        .collect();
    insta::assert_snapshot!(sets.join("\n"));
}

/// Guards against empty replicas that form a second group while another replica has the data.
#[test]
fn no_second_group() {
    let mut group = three_equal_replicas(26);
    let kept = follower(&group);
    for number in group.numbers().into_iter().filter(|n| *n != kept) {
        group.lose_disk(number);
        group.restart(number);
    }
    group.run(20_000_000);
    assert_eq!(group.leader(), None);
    let voters = group
        .numbers()
        .into_iter()
        .filter(|n| group.replica(*n).is_voter());
    assert_eq!(voters.collect::<Vec<_>>(), [kept]);
}
