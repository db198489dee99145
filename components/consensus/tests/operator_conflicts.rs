//! Guards against two operators whose conflicting changes of the same revision are both accepted,
//! and against resent changes that are applied twice.

mod cluster;

use cluster::{Cluster, add, change, is_accepted, is_refused_as, update};
use consensus::Reply;
use errors::ErrorKind;
use model::{ProfileName, Revision};
use registry::{Change, ChangeResult, Op};

#[test]
fn equal_expected_revision() {
    let mut group = Cluster::new(3, 11);
    group.commit(1, &add(1, "browse"));
    let leader = group.leader().unwrap();
    for (token, deadline_ms) in [(2, 200), (3, 300)] {
        let mut change = update(token, "browse", deadline_ms);
        change.expect = Some(1);
        group.propose(leader, token, change);
    }
    group.run(1_000_000);
    assert!(is_accepted(&group.answers[&2]));
    assert!(is_refused_as(&group.answers[&3], ErrorKind::Conflict));
    group.check_final_state();
    insta::assert_snapshot!(group.events.join("\n"));
}

/// The leader crashes after the change is on another disk and before it answers. The operator
/// resends the change to the next leader and must get the result of the first proposal.
#[test]
fn resend_after_leader_change() {
    let mut group = Cluster::new(3, 12);
    let old = group.wait_for_leader();
    group.propose(old, 1, add(1, "browse"));
    group.run_until("the change is on another disk", 1_000_000, |c| {
        let mut others = c.hosts.iter().filter(|(number, _)| **number != old);
        others.any(|(_, host)| host.image.last_index() >= 2)
    });
    assert!(!group.answers.contains_key(&1), "must not be answered yet");
    group.crash(old);
    let reply = group.commit(2, &add(1, "browse"));
    let revision = Revision { term: 1, number: 1 };
    assert_eq!(reply, Reply::Committed(ChangeResult::Accepted { revision }));
    group.restart(old);
    group.check_final_state();
    insta::assert_snapshot!(group.events.join("\n"));
}

/// Guards against losing kept answers when the log is replaced by a snapshot.
#[test]
fn resend_after_snapshot() {
    let mut group = Cluster::with_config(3, 13, |config| {
        config.snapshot_entries = 4;
        config.keep_entries = 0;
    });
    let first = group.commit(1, &add(1, "browse"));
    for id in 2..30 {
        group.commit(id, &update(id, "browse", id as u32));
    }
    for number in group.numbers() {
        group.crash(number);
        group.restart(number);
    }
    assert_eq!(group.commit(100, &add(1, "browse")), first);
    group.check_final_state();
    // Another change with the same id must not get the answer of the first one.
    let reused = group.commit(101, &add(1, "other"));
    assert!(is_refused_as(&reused, ErrorKind::KeyReused));
}

/// Guards against retiring a profile that live upstreams use without naming a successor: calls of
/// the retired name would then find no profile.
#[test]
fn retire_in_use() {
    let mut group = Cluster::new(3, 14);
    let name = |text: &str| ProfileName::parse(text).unwrap();
    let retire = |id: u64, successor: Option<&str>| {
        let op = Op::Retire {
            name: name("browse"),
            successor: successor.map(name),
        };
        let in_use = vec![name("browse"), name("order")];
        Change {
            in_use,
            ..change(id, op)
        }
    };
    group.commit(1, &add(1, "browse"));
    let refused = group.commit(2, &retire(2, None));
    assert!(is_refused_as(&refused, ErrorKind::ProfileInUse));
    group.commit(3, &add(3, "fast-browse"));
    assert!(is_accepted(
        &group.commit(4, &retire(4, Some("fast-browse")))
    ));
    group.commit(5, &add(5, "browse"));
    group.check_final_state();
    insta::assert_snapshot!(group.events[8..].join("\n"));
}
