//! Guards against a proof that lasts too long or is accepted without the revision that it names, and
//! against one that is lost although its answer was in time.

use model::Revision;
use revocation::RevocationProof;

const BOUND_US: u64 = 5_000_000;

fn revision(number: u64) -> Revision {
    Revision { term: 3, number }
}

#[test]
fn age_counts_from_question() {
    let mut proof = RevocationProof::new(BOUND_US);
    assert!(!proof.is_fresh(0));
    let ask = proof.ask(1_000_000);
    assert!(!proof.is_fresh(1_000_000), "a question is no proof");
    assert!(!proof.on_answer(ask, revision(4), revision(4)));
    // Three fifths of the bound must be left at least.
    assert!(proof.is_fresh(1_000_000 + BOUND_US * 3 / 5));
    assert!(!proof.is_fresh(1_000_000 + BOUND_US));
    assert_eq!(proof.age_us(1_500_000), Some(500_000));
}

#[test]
fn waits_for_revision() {
    let mut proof = RevocationProof::new(BOUND_US);
    let ask = proof.ask(0);
    assert!(proof.on_answer(ask, revision(5), revision(4)));
    assert!(!proof.is_fresh(1));
    proof.on_revision(revision(4));
    assert!(!proof.is_fresh(1));
    proof.on_revision(revision(5));
    assert!(proof.is_fresh(1));
}

/// An answer that waits for its revision must not hide an older one that is valid.
#[test]
fn older_answer_counts() {
    let mut proof = RevocationProof::new(BOUND_US);
    let (first, second) = (proof.ask(0), proof.ask(1_000_000));
    proof.on_answer(second, revision(5), revision(4));
    proof.on_answer(first, revision(4), revision(4));
    assert_eq!(proof.age_us(2_000_000), Some(2_000_000));
    proof.on_revision(revision(6));
    assert_eq!(proof.age_us(2_000_000), Some(1_000_000));
}

#[test]
fn late_and_repeated_answers() {
    let mut proof = RevocationProof::new(BOUND_US);
    let (first, second) = (proof.ask(0), proof.ask(2_000_000));
    proof.on_answer(second, revision(4), revision(4));
    proof.on_answer(first, revision(4), revision(4));
    assert_eq!(proof.age_us(2_000_000), Some(0), "the newer proof stays");
    let third = proof.ask(3_000_000);
    proof.on_failure(third);
    proof.on_answer(third, revision(4), revision(4));
    proof.on_answer(second, revision(4), revision(4));
    assert_eq!(proof.age_us(3_000_000), Some(1_000_000));
}

/// Questions without answers must not use memory without bound.
#[test]
fn unanswered_questions() {
    let mut proof = RevocationProof::new(BOUND_US);
    let oldest = proof.ask(0);
    for at_us in 1..10_000 {
        let ask = proof.ask(at_us);
        proof.on_answer(ask, revision(at_us), Revision::default());
        proof.ask(at_us);
    }
    proof.on_answer(oldest, revision(1), revision(1));
    assert_eq!(proof.age_us(1), None, "it was forgotten");
}
