//! Guards against two replicas that each take themselves for the only leader, and against a leader
//! that never does. The cluster checks the first after each step, in the other tests as well.

mod cluster;

use cluster::{Cluster, add};
use consensus::{Input, ReplicaNumber};

fn is_sole_leader(group: &Cluster, number: ReplicaNumber) -> bool {
    let now_us = group.now_us;
    let until_us = group.replica(number).sole_leader_until_us(now_us);
    until_us.is_some_and(|until_us| now_us < until_us)
}

#[test]
fn leader_in_contact_is_the_only_one() {
    let mut group = Cluster::new(3, 41);
    group.commit(1, &add(1, "browse"));
    let leader = group.leader().unwrap();
    group.run(1_000_000);
    for _ in 0..1_000 {
        group.step();
        assert!(is_sole_leader(&group, leader), "{}", group.report());
    }
    let other = group.numbers().into_iter().find(|n| *n != leader).unwrap();
    assert!(!is_sole_leader(&group, other));
}

#[test]
fn leader_without_contact_ends_in_time() {
    let mut group = Cluster::new(5, 42);
    group.commit(1, &add(1, "browse"));
    let old = group.leader().unwrap();
    group.isolate(old);
    group.run(600_000);
    assert!(!is_sole_leader(&group, old));
    group.run_until("another only leader", 5_000_000, |c| {
        c.leader()
            .is_some_and(|leader| leader != old && is_sole_leader(c, leader))
    });
}

#[test]
fn leader_that_hands_over_ends_at_once() {
    let mut group = Cluster::new(3, 43);
    group.commit(1, &add(1, "browse"));
    let old = group.leader().unwrap();
    group.run(1_000_000);
    group.input(old, Input::Stop);
    assert!(!is_sole_leader(&group, old));
}

/// A new leader must not take a record of an earlier leader for that of its direct predecessor.
#[test]
fn term_before_is_that_of_the_predecessor() {
    let mut group = Cluster::new(5, 44);
    let mut terms = vec![0];
    for round in 0..4 {
        group.run_until("an only leader", 5_000_000, |c| {
            c.leader().is_some_and(|leader| is_sole_leader(c, leader))
        });
        let leader = group.leader().unwrap();
        let replica = group.replica(leader);
        assert_eq!(replica.term_before_leading(), terms.last().copied());
        terms.push(replica.term());
        // In every other term nothing but the leader's own first entry is committed.
        if round % 2 == 0 {
            group.commit(round, &add(round, &format!("browse-{round}")));
        }
        group.isolate(leader);
        group.run(1_500_000);
        group.heal();
        assert_eq!(group.replica(leader).term_before_leading(), None);
    }
}
