//! Guards against a question that is answered by a round that began before it arrived, and against one
//! that is lost or held for ever without a leader.

use model::Revision;
use revocation::RevisionReads;

const READ: Option<Revision> = Some(Revision { term: 2, number: 7 });

#[test]
fn shared_round() {
    let mut reads = RevisionReads::default();
    assert!(!reads.begin_round(), "nobody asks");
    reads.add(100, "a");
    reads.add(100, "b");
    assert!(reads.begin_round());
    reads.add(100, "late");
    assert!(!reads.begin_round(), "one round runs at a time");
    assert_eq!(reads.end_round(10, READ), ["a", "b"]);
    assert!(reads.has_waiting());
    assert!(reads.begin_round());
    assert_eq!(reads.end_round(20, READ), ["late"]);
    assert!(!reads.has_waiting());
}

#[test]
fn held_until_leader() {
    let mut reads = RevisionReads::default();
    reads.add(100, "short");
    reads.add(500, "long");
    assert!(reads.begin_round());
    assert!(reads.end_round(99, None).is_empty());
    assert!(reads.begin_round());
    assert_eq!(reads.end_round(100, None), ["short"]);
    assert!(reads.begin_round());
    assert_eq!(
        reads.end_round(600, READ),
        ["long"],
        "an answer is better late"
    );
}

/// Every question is answered exactly once, and the number that waits is bounded.
#[test]
fn many_questions() {
    let mut reads = RevisionReads::default();
    let refused = (0..20_000).filter_map(|n| reads.add(100, n)).count();
    assert!(reads.begin_round());
    let answered = reads.end_round(1, READ).len();
    assert_eq!(answered + refused, 20_000);
    assert!(answered >= 1_900, "one question of each node fits");
}
