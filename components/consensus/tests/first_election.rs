//! Guards against a group that fails to form, elect a leader, commit or recover although there are
//! no faults.

mod cluster;

use cluster::{Cluster, add, is_accepted};

#[test]
fn forms_and_commits() {
    let mut group = Cluster::new(3, 1);
    let reply = group.commit(1, &add(1, "browse"));
    assert!(is_accepted(&reply), "{reply:?}");
    group.check_final_state();
    insta::assert_snapshot!(group.events.join("\n"));
}

/// Guards against losing changes when every replica restarts at once.
#[test]
fn recovers_from_disk() {
    let mut group = Cluster::new(3, 2);
    for id in 1..=20 {
        group.commit(id, &add(id, &format!("p{id}")));
    }
    for number in group.numbers() {
        group.crash(number);
    }
    for number in group.numbers() {
        group.restart(number);
    }
    group.check_final_state();
    let leader = group.leader().unwrap();
    assert_eq!(group.replica(leader).registry().revision().number, 20);
}

/// Guards against a group of one replica that waits for other replicas.
#[test]
fn single_replica() {
    let mut group = Cluster::new(1, 3);
    assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
}
