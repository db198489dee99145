//! Guards against work that starts on a host while a neighbour slows it, and against questions
//! without end.

use limits::{HostPace, PaceStatus};

const MS: u64 = 1_000;

#[test]
fn asks_when_stale() {
    let mut pace = HostPace::new(10);
    pace.record(0, 500);
    assert_eq!(pace.check(5 * MS), PaceStatus::Slow);
    assert_eq!(pace.check(40 * MS), PaceStatus::QueryDue);
    assert_eq!(
        pace.check(41 * MS),
        PaceStatus::QueryPending,
        "one question at a time"
    );
    pace.record(42 * MS, 100);
    pace.end_query();
    assert_eq!(pace.check(43 * MS), PaceStatus::Usual);
}

#[test]
fn lost_answer_holds_nothing_up() {
    let mut pace = HostPace::new(1);
    pace.record(0, 100);
    assert_eq!(pace.check(30 * MS), PaceStatus::QueryDue);
    assert_eq!(
        pace.check(90 * MS),
        PaceStatus::Usual,
        "the budget is spent"
    );
}

#[test]
fn budget_holds_in_any_second() {
    let mut pace = HostPace::new(20);
    pace.record(0, 100);
    let mut asked_us = Vec::new();
    for now_us in (0..3_000 * MS).step_by(MS as usize) {
        if pace.check(now_us) == PaceStatus::QueryDue {
            asked_us.push(now_us);
            pace.end_query();
        }
    }
    let most = asked_us
        .iter()
        .map(|from| {
            asked_us
                .iter()
                .filter(|at| (*from..from + 1_000 * MS).contains(at))
                .count()
        })
        .max();
    assert!(most <= Some(20), "{most:?}");
    assert!(asked_us.len() >= 40, "{}", asked_us.len());
}

/// An instance that has just started takes twice as long for seconds, on a calm host too. Its calls
/// must not be held back all that time, but still while a neighbour slows the host further.
#[test]
fn cold_instance_is_calm() {
    let mut pace = HostPace::new(1_000);
    for at_ms in (0..2_000).step_by(20) {
        pace.record(at_ms * MS, if at_ms % 500 < 150 { 1_000 } else { 200 });
    }
    pace.record(2_010 * MS, 200);
    assert!(!pace.is_slow());
    pace.record(2_020 * MS, 1_000);
    assert!(pace.is_slow());
    for at_ms in (2_040..4_000).step_by(20) {
        pace.record(at_ms * MS, 100);
    }
    pace.record(4_000 * MS, 200);
    assert!(pace.is_slow(), "the instance is warm now");
    for at_ms in (4_020..8_000).step_by(20) {
        pace.record(at_ms * MS, 500);
    }
    assert!(pace.is_slow(), "a slow host does not pass for calm");
}

/// The first calls after a start must not go blindly to a host that a neighbour slows; an upstream
/// that tells no figure is not asked again, and without a budget nobody is asked.
#[test]
fn asked_once_if_never_told() {
    let mut pace = HostPace::new(10);
    assert_eq!(pace.check(0), PaceStatus::QueryDue);
    assert_eq!(pace.check(MS), PaceStatus::QueryPending);
    pace.end_query();
    for at_ms in 2..200 {
        assert_eq!(pace.check(at_ms * MS), PaceStatus::Usual, "{at_ms} ms");
    }
    assert_eq!(HostPace::new(0).check(0), PaceStatus::Usual);
}
