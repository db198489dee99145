//! Guards against a replica that deposes the leader when it returns from a partition, and against a
//! leader that answers without a quorum.

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
    group.check_final_state();
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
    group.check_final_state();
    insta::assert_snapshot!(group.events[8..].join("\n"));
    // The proposal to the isolated leader never reached another disk, so the resend is applied.
    assert!(is_accepted(&group.commit(4, &add(2, "order"))));
    group.check_final_state();
}

/// Guards against a read from a leader that has been replaced without knowing it.
#[test]
fn no_read_without_quorum() {
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

/// Guards against a network link that fails in one direction and keeps the group without a leader.
#[test]
fn one_way_link() {
    let mut group = Cluster::new(3, 34);
    let leader = group.wait_for_leader();
    let unreachable = group.numbers().into_iter().find(|n| *n != leader).unwrap();
    group.blocked.insert((leader, unreachable));
    for id in 1..20 {
        assert!(is_accepted(&group.commit(id, &add(id, &format!("p{id}")))));
    }
    group.heal();
    group.check_final_state();
}

/// Guards against a leader with a full disk that stays leader and refuses all changes.
#[test]
fn full_disk_transfers_leadership() {
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
    group.end_all_faults();
    group.check_final_state();
}

/// Guards against a graceful stop of the leader after which the group waits for an election
/// timeout.
/// A leader that stops asks one replica to lead. If it asked all of them, their elections would split
/// the votes, and no change would be accepted for an election timeout.
#[test]
fn one_candidate_on_stop() {
    for seed in 0..20 {
        let mut group = Cluster::new(5, 900 + seed);
        assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
        let leader = group.wait_for_leader();
        group.run(500_000);
        let before = group.events.len();
        // Replies to the read's heartbeats arrive after the request to stop.
        group.read(leader, 2);
        group.step();
        group.input(leader, consensus::Input::Stop);
        group.run(200_000);
        let is_candidate = |event: &&String| event.contains("is Candidate");
        let candidates = group.events[before..].iter().filter(is_candidate).count();
        assert_eq!(candidates, 1, "{}", group.report());
    }
}

#[test]
fn leadership_transfer_on_stop() {
    let mut group = Cluster::new(3, 36);
    group.commit(1, &add(1, "browse"));
    group.run(500_000);
    let old = group.leader().unwrap();
    group.input(old, consensus::Input::Stop);
    group.run_until("another leader", 300_000, |c| {
        c.leader().is_some_and(|l| l != old)
    });
}

/// Guards against a replica that is far behind and never catches up over a lossy network.
#[test]
fn snapshot_to_lagging_replica() {
    let mut group = Cluster::with_config(3, 37, |config| {
        config.snapshot_entries = 16;
        config.keep_entries = 4;
    });
    let leader = group.wait_for_leader();
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
    group.check_final_state();
    assert!(group.hosts[&cut].image.snapshot.is_some());
}
