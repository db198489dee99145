//! Guards against a replica that leads a second time in a term, after it has lost entries of that
//! term that are committed: late copies of its votes arrive after a restart.

mod cluster;

use cluster::{Cluster, add, is_accepted};
use consensus::{Body, Input, Message, ReplicaId, Role};

/// Identity of a replica with its present disk.
fn id_of(group: &Cluster, number: u64) -> ReplicaId {
    group.replica(number).id()
}

#[test]
fn votes_after_restart() {
    let mut group = Cluster::new(3, 900);
    let leader = group.wait_for_leader();
    group.run(1_000_000);
    let (id, term) = (id_of(&group, leader), group.replica(leader).term());
    let others: Vec<u64> = group
        .numbers()
        .into_iter()
        .filter(|n| *n != leader)
        .collect();
    let votes: Vec<Message> = others
        .iter()
        .map(|number| Message {
            from: id_of(&group, *number),
            to_disk_id: Some(id.disk_id),
            term,
            body: Body::VoteReply { granted: true },
        })
        .collect();
    // The other two commit an entry that the leader's disk never gets.
    group.hosts.get_mut(&leader).unwrap().disk_is_stuck = true;
    assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
    let committed = group.max_committed;
    {
        let host = group.hosts.get_mut(&leader).unwrap();
        host.queued_writes.clear();
        host.disk_is_stuck = false;
    }
    group.isolate(leader);
    group.drop_messages_in_flight();
    group.crash(leader);
    group.restart(leader);
    assert!(group.replica(leader).commit_index() < committed);
    group.run_until("a pre-vote", 10_000_000, |c| {
        c.replica(leader).role() == Role::PreCandidate
    });
    for vote in votes {
        group.input(leader, Input::Message(vote));
    }
    let replica = group.replica(leader);
    assert!(
        replica.role() != Role::Leader || replica.term() > term,
        "leads in term {term} again, without an entry of that term that is committed"
    );
}
