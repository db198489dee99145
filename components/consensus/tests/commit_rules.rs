//! Tests rules whose violation random schedules would rarely reveal: commits of entries of earlier
//! terms, invalid entries after an installed snapshot, and limits on pending work.

mod cluster;

use cluster::{Cluster, add};
use consensus::{
    Body, Entry, HardState, Input, Membership, Message, Output, Payload, RecoveredState, Replica,
    ReplicaConfig, ReplicaId, Role, Snapshot, Write,
};
use std::sync::Arc;

fn id(number: u64) -> ReplicaId {
    ReplicaId {
        number,
        disk_id: number,
    }
}

fn voters() -> Membership {
    Membership {
        voters: [id(1), id(2), id(3)].into(),
    }
}

fn entry(index: u64, term: u64) -> Entry {
    let payload = match index {
        1 => Payload::Membership(voters()),
        _ => Payload::Empty,
    };
    Entry {
        index,
        term,
        payload,
    }
}

fn replica(term: u64, entries: Vec<Entry>) -> Replica {
    let recovered = RecoveredState {
        disk_id: 1,
        hard_state: HardState {
            term,
            formed: true,
            ..HardState::default()
        },
        snapshot: None,
        entries,
    };
    Replica::new(0, ReplicaConfig::new(1, 1..=3), recovered, 1)
}

fn message(from: u64, term: u64, body: Body) -> Input {
    Input::Message(Message {
        from: id(from),
        to_disk_id: Some(1),
        term,
        body,
    })
}

/// Passes an input to the replica and confirms all resulting writes.
fn input_and_confirm(replica: &mut Replica, now_us: u64, input: Input) -> Vec<Output> {
    let mut outputs = replica.handle_input(now_us, input);
    let write_sequence = |output: &Output| match output {
        Output::Persist { sequence, .. } => Some(*sequence),
        _ => None,
    };
    let mut next = outputs.iter().filter_map(write_sequence).max();
    while let Some(sequence) = next {
        let more = replica.handle_input(now_us, Input::Persisted { sequence });
        next = more.iter().filter_map(write_sequence).max();
        outputs.extend(more);
    }
    outputs
}

/// Guards against committing an entry of an earlier term because a majority has it: a later leader
/// can still replace it. It is committed together with an entry of the current term.
#[test]
fn earlier_term_is_not_committed_alone() {
    let mut leader = replica(2, vec![entry(1, 1), entry(2, 1)]);
    let now_us = 2_000_000;
    input_and_confirm(&mut leader, now_us, Input::Tick);
    let granted = Body::PreVoteReply {
        for_term: 3,
        granted: true,
    };
    input_and_confirm(&mut leader, now_us, message(2, 2, granted));
    input_and_confirm(
        &mut leader,
        now_us,
        message(2, 3, Body::VoteReply { granted: true }),
    );
    assert_eq!((leader.role(), leader.term()), (Role::Leader, 3));
    for (matched, commit) in [(2, 0), (3, 3)] {
        let accepted = Body::AppendAccepted { matched, round: 0 };
        input_and_confirm(&mut leader, now_us, message(2, 3, accepted));
        assert_eq!(leader.commit_index(), commit);
    }
}

/// Guards against entries that reappear after a restart although an installed snapshot replaced
/// the log that contained them.
#[test]
fn installed_snapshot_discards_log() {
    let install = |entries: Vec<Entry>| {
        let mut follower = replica(1, entries);
        let snapshot = Arc::new(Snapshot {
            index: 3,
            term: 2,
            membership: voters(),
            ..Snapshot::default()
        });
        let body = Body::InstallSnapshot { snapshot, round: 1 };
        let outputs = follower.handle_input(1, message(2, 2, body));
        let acknowledged = |o: &Output| {
            matches!(o, Output::Send { message, .. }
                if matches!(message.body, Body::AppendAccepted { .. }))
        };
        assert!(
            !outputs.iter().any(acknowledged),
            "acknowledged before fsync"
        );
        outputs.into_iter().find_map(|output| match output {
            Output::Persist {
                write: Write::SaveSnapshot { discard_log, .. },
                ..
            } => Some(discard_log),
            _ => None,
        })
    };
    let differing = vec![entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)];
    assert_eq!(install(differing), Some(true));
    let equal = vec![entry(1, 1), entry(2, 1), entry(3, 2), entry(4, 2)];
    assert_eq!(install(equal), Some(false));
}

/// Guards against unbounded memory use by uncommitted proposals while there is no quorum.
#[test]
fn uncommitted_proposals_are_limited() {
    let mut group = Cluster::with_config(3, 41, |config| config.max_uncommitted = 10);
    let leader = group.wait_for_leader();
    group.isolate(leader);
    for token in 0..30 {
        group.propose(leader, token, add(token, "browse"));
    }
    let busy = |r: &&consensus::Reply| cluster::is_refused_as(r, errors::ErrorKind::Busy);
    assert_eq!(group.answers.values().filter(busy).count(), 20);
}

/// Guards against sending without limit to a replica that does not acknowledge.
#[test]
fn messages_in_flight_are_limited() {
    let mut group = Cluster::with_config(3, 42, |config| {
        config.max_batch_bytes = 1_000;
        config.max_in_flight_bytes = 4_000;
        config.max_uncommitted = 10_000;
    });
    let leader = group.wait_for_leader();
    group.isolate(leader);
    let before = group.messages;
    for token in 0..5_000 {
        group.propose(leader, token, add(token, "browse"));
    }
    // At most eight messages in flight to each of two followers.
    assert!(group.messages - before <= 16, "{}", group.messages - before);
}
