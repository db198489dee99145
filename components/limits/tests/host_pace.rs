//! Guards against calls that start on a host while a noisy neighbour slows it, and against too many
//! queries of the host's pace.

use limits::{HostPace, PaceStatus};

const MS: u64 = 1_000;

#[test]
fn queries_when_stale() {
    let mut pace = HostPace::new(10);
    pace.record(0, 500);
    assert_eq!(pace.check(5 * MS), PaceStatus::Slow);
    assert_eq!(pace.check(40 * MS), PaceStatus::QueryDue);
    assert_eq!(
        pace.check(41 * MS),
        PaceStatus::QueryPending,
        "one query at a time"
    );
    pace.record(42 * MS, 100);
    pace.end_query();
    assert_eq!(pace.check(43 * MS), PaceStatus::Usual);
}

#[test]
fn unanswered_query_times_out() {
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
    let mut queried_us = Vec::new();
    for now_us in (0..3_000 * MS).step_by(MS as usize) {
        if pace.check(now_us) == PaceStatus::QueryDue {
            queried_us.push(now_us);
            pace.end_query();
        }
    }
    let most = queried_us
        .iter()
        .map(|from| {
            queried_us
                .iter()
                .filter(|at| (*from..from + 1_000 * MS).contains(at))
                .count()
        })
        .max();
    assert!(most <= Some(20), "{most:?}");
    assert!(queried_us.len() >= 40, "{}", queried_us.len());
}

/// Guards against calls that are held back all the time while an upstream is cold: for some seconds
/// after its start it takes twice as long, on a calm host too. They are still held back while a
/// neighbour slows the host further.
#[test]
fn cold_upstream_is_not_slow() {
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
    assert!(pace.is_slow(), "the upstream is warm now");
    for at_ms in (4_020..8_000).step_by(20) {
        pace.record(at_ms * MS, 500);
    }
    assert!(pace.is_slow(), "a slow host must not count as calm");
}

/// Guards against first calls after a start that go to a slow host because its pace was not
/// queried. An upstream that reports no pace is not queried again, and without a budget none is
/// queried.
#[test]
fn queried_once_without_report() {
    let mut pace = HostPace::new(10);
    assert_eq!(pace.check(0), PaceStatus::QueryDue);
    assert_eq!(pace.check(MS), PaceStatus::QueryPending);
    pace.end_query();
    for at_ms in 2..200 {
        assert_eq!(pace.check(at_ms * MS), PaceStatus::Usual, "{at_ms} ms");
    }
    assert_eq!(HostPace::new(0).check(0), PaceStatus::Usual);
}
