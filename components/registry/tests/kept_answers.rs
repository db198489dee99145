//! Guards against a resent change that is applied again or gets another answer, and against
//! unbounded memory use by kept answers.

use errors::ErrorKind;
use model::{Profile, ProfileName};
use registry::{
    Change, ChangeId, ChangeResult, MAX_ANSWER_AGE_ENTRIES, MAX_KEPT_ACCEPTED, MAX_KEPT_REJECTED,
    Op, Registry,
};

fn update(id: u64) -> Change {
    let mut profile = Profile::with_defaults(ProfileName::parse("browse").unwrap());
    profile.deadline_ms = 1 + (id % 1_000) as u32;
    Change {
        change_id: ChangeId::from_u128(u128::from(id)),
        expect: None,
        op: Op::Update(profile),
        in_use: Vec::new(),
    }
}

fn registry_with_browse() -> Registry {
    let mut registry = Registry::default();
    let mut add = update(0);
    if let Op::Update(profile) = add.op {
        add.op = Op::Add(profile);
    }
    registry.apply(1, 1, &add);
    registry
}

fn revision_number(result: &ChangeResult) -> Option<u64> {
    match result {
        ChangeResult::Accepted { revision } => Some(revision.number),
        ChangeResult::Rejected(..) => None,
    }
}

#[test]
fn resend_gets_same_answer() {
    let mut registry = registry_with_browse();
    let accepted = registry.apply(1, 2, &update(1));
    let mut conflict = update(2);
    conflict.expect = Some(1);
    let rejected = registry.apply(1, 3, &conflict);
    let before = registry.clone();
    assert_eq!(registry.apply(2, 4, &update(1)), accepted);
    assert_eq!(registry.apply(2, 5, &conflict), rejected);
    assert_eq!(registry, before);
}

/// `in_use` may differ when an operator resends a change; the answer must be the same.
#[test]
fn in_use_may_differ_in_resend() {
    let mut registry = registry_with_browse();
    let accepted = registry.apply(1, 2, &update(1));
    let mut resent = update(1);
    resent.in_use.push(ProfileName::parse("browse").unwrap());
    assert_eq!(registry.apply(1, 3, &resent), accepted);
}

#[test]
fn reused_change_id() {
    let mut registry = registry_with_browse();
    registry.apply(1, 2, &update(1));
    let mut other = update(2);
    other.change_id = update(1).change_id;
    let ChangeResult::Rejected(kind, detail) = registry.apply(1, 3, &other) else {
        panic!("another change with the same id was accepted");
    };
    assert_eq!(kind, ErrorKind::KeyReused);
    assert!(detail.contains("new id"), "{detail}");
}

#[test]
fn answers_bounded_by_count() {
    let mut registry = registry_with_browse();
    let total = MAX_KEPT_ACCEPTED as u64 + 100;
    for id in 1..=total {
        registry.apply(1, 1 + id, &update(id));
    }
    for id in 0..5_000u64 {
        let mut rejected = update(1_000_000 + id);
        rejected.expect = Some(1);
        registry.apply(1, 2 + total + id, &rejected);
    }
    assert_eq!(
        registry.kept_answer_count(),
        MAX_KEPT_ACCEPTED + MAX_KEPT_REJECTED
    );
    let oldest_kept = total - MAX_KEPT_ACCEPTED as u64 + 1;
    let kept = registry.kept_answer(&update(oldest_kept)).expect("is kept");
    assert_eq!(revision_number(&kept), Some(oldest_kept + 1));
    assert_eq!(registry.kept_answer(&update(oldest_kept - 1)), None);
}

#[test]
fn answers_bounded_by_age() {
    let mut registry = registry_with_browse();
    registry.apply(1, 2, &update(1));
    registry.apply(1, 2 + MAX_ANSWER_AGE_ENTRIES, &update(2));
    assert!(registry.kept_answer(&update(1)).is_some());
    registry.apply(1, 3 + MAX_ANSWER_AGE_ENTRIES, &update(3));
    assert_eq!(registry.kept_answer(&update(1)), None);
}

#[test]
fn change_id_text() {
    let hex = "00112233-4455-6677-8899-aabbccddeeff";
    let id = ChangeId::parse(hex).unwrap();
    assert_eq!(id.to_string(), "00112233445566778899aabbccddeeff");
    assert_eq!(ChangeId::parse(id.to_string()).unwrap(), id);
    let ticket = ChangeId::parse("ticket-4711").unwrap();
    assert_ne!(ticket, ChangeId::parse("ticket-4712").unwrap());
    for bad in ["", "two words", &"x".repeat(65)] {
        assert!(ChangeId::parse(bad).is_err(), "{bad:?} was accepted");
    }
}
