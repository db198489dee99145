//! Guards against a cut-off replica that deposes the leader on its return, and against a leader
//! that answers without a quorum.

mod cluster;

use cluster::{Cluster, Faults, add, is_accepted, is_refused_as};
use consensus::Role;
use errors::ErrorKind;

#[test]
fn return_keeps_leader() {
    let mut group = Cluster::new(3, 31);
    group.commit(1, &add(1, "browse"));
    group.run(1_000_000);
    let leader = group.leader().unwrap();
    let term = group.replica(leader).term();
    let cut = group.numbers().into_iter().find(|n| *n != leader).unwrap();
    group.isolate(cut);
    group.run(60_000_000);
    assert!(is_accepted(&group.commit(2, &add(2, "order"))));
    group.heal();
    group.check_end();
    assert_eq!(group.leader(), Some(leader));
    assert_eq!(group.replica(leader).term(), term);
    insta::assert_snapshot!(group.events[..14].join("\n"));
}

#[test]
fn no_quorum_steps_down() {
    let mut group = Cluster::new(3, 32);
    group.commit(1, &add(1, "browse"));
    let old = group.leader().unwrap();
    group.isolate(old);
    group.propose(old, 2, add(2, "order"));
    group.run_until("the old leader steps down", 1_500_000, |c| {
        c.replica(old).role() != Role::Leader
    });
    assert!(is_refused_as(&group.answers[&2], ErrorKind::NoQuorum));
    assert!(is_accepted(&group.commit(3, &add(3, "menu"))));
    group.heal();
    group.check_end();
    insta::assert_snapshot!(group.events[8..].join("\n"));
    // The cut-off proposal was never on a second disk, so a resend is a first application.
    assert!(is_accepted(&group.commit(4, &add(2, "order"))));
    group.check_end();
}

/// Guards against a read from a leader that does not know yet that it was replaced.
#[test]
fn no_read_when_cut_off() {
    let mut group = Cluster::new(3, 33);
    group.commit(1, &add(1, "browse"));
    let old = group.leader().unwrap();
    group.read(old, 10);
    group.run(500_000);
    assert!(matches!(group.reads.get(&10), Some(Ok(_))));
    group.isolate(old);
    group.read(old, 11);
    group.run(5_000_000);
    assert!(
        matches!(group.reads.get(&11), Some(Err(_))),
        "{:?}",
        group.reads
    );
}

/// Guards against a link that works one way only and keeps the group from having a leader.
#[test]
fn one_way_link() {
    let mut group = Cluster::new(3, 34);
    let leader = group.elect();
    let deaf = group.numbers().into_iter().find(|n| *n != leader).unwrap();
    group.blocked.insert((leader, deaf));
    for id in 1..20 {
        assert!(is_accepted(&group.commit(id, &add(id, &format!("p{id}")))));
    }
    group.heal();
    group.check_end();
}

/// Guards against a leader that goes on refusing changes because its disk is full.
#[test]
fn full_disk_hands_over() {
    let mut group = Cluster::new(3, 35);
    group.commit(1, &add(1, "browse"));
    group.run(500_000);
    let old = group.leader().unwrap();
    group.hosts.get_mut(&old).unwrap().disk_is_stuck = true;
    group.input(old, consensus::Input::StorageFull(true));
    group.run_until("another leader", 1_000_000, |c| {
        c.leader().is_some_and(|l| l != old)
    });
    assert!(is_accepted(&group.commit(2, &add(2, "order"))));
    group.recover_all();
    group.check_end();
}

/// Guards against a graceful stop that costs an election timeout.
#[test]
fn hand_over_on_stop() {
    let mut group = Cluster::new(3, 36);
    group.commit(1, &add(1, "browse"));
    group.run(500_000);
    let old = group.leader().unwrap();
    group.input(old, consensus::Input::TransferLeadership);
    group.run_until("another leader", 300_000, |c| {
        c.leader().is_some_and(|l| l != old)
    });
}

/// Guards against a replica that is far behind and never catches up over a lossy link.
#[test]
fn snapshot_to_laggard() {
    let mut group = Cluster::tuned(3, 37, |config| {
        config.snapshot_entries = 16;
        config.keep_entries = 4;
    });
    let leader = group.elect();
    let cut = group.numbers().into_iter().find(|n| *n != leader).unwrap();
    group.isolate(cut);
    for id in 1..100 {
        group.commit(id, &add(id, &format!("p{id}")));
    }
    group.heal();
    group.faults = Faults {
        loss_percent: 30,
        max_delay_us: 100_000,
        ..Faults::default()
    };
    group.check_end();
    assert!(group.hosts[&cut].image.snapshot.is_some());
}
