//! Guards against two failures: a late report restores an instance that has left, also after a
//! restart of the node, and a start time or sequence number that is too high keeps a running instance
//! out for good.

use members::{ReportOrder, ReportPosition};
use model::UpstreamName;

const SECOND_US: u64 = 1_000_000;
/// Interval of reports.
const INTERVAL_US: u64 = 1_500_000;

fn name(text: &str) -> UpstreamName {
    UpstreamName::parse(text).unwrap()
}

fn at(started_ms: u64, sequence: u64) -> ReportPosition {
    ReportPosition {
        started_ms,
        sequence,
    }
}

/// Time from the first report of an instance until one is accepted, if one of `reports` is.
fn time_to_accept(
    order: &mut ReportOrder,
    from_us: u64,
    sender: &str,
    first: ReportPosition,
    reports: u64,
) -> Option<u64> {
    (0..reports).find_map(|n| {
        let position = at(first.started_ms, first.sequence + n);
        let elapsed_us = n * INTERVAL_US;
        order
            .accept(from_us + elapsed_us, &name(sender), position)
            .then_some(elapsed_us)
    })
}

#[test]
fn late_reports_ignored() {
    let mut order = ReportOrder::default();
    assert!(order.accept(0, &name("a"), at(100, 1)));
    assert!(order.accept(SECOND_US, &name("a"), at(100, 3)));
    assert!(!order.accept(SECOND_US, &name("a"), at(100, 2)));
    assert!(!order.accept(SECOND_US, &name("a"), at(100, 3)));
    assert!(order.accept(2 * SECOND_US, &name("b"), at(200, 1)));
    assert!(!order.accept(2 * SECOND_US, &name("a"), at(100, 9)));
}

#[test]
fn withdrawn_stays_out() {
    let mut order = ReportOrder::default();
    assert!(order.accept(0, &name("a"), at(100, 1)));
    order.withdraw(&name("a"));
    let accepted = time_to_accept(&mut order, SECOND_US, "a", at(100, 2), 20);
    assert_eq!(accepted, None, "a withdrawn instance was restored");
    // The same name after a restart is a new instance.
    assert!(order.accept(60 * SECOND_US, &name("a"), at(300, 1)));
    // Also where the clock went back meanwhile.
    order.withdraw(&name("a"));
    assert!(time_to_accept(&mut order, 70 * SECOND_US, "a", at(50, 1), 4).is_some());
    let accepted = time_to_accept(&mut order, 80 * SECOND_US, "a", at(300, 2), 1);
    assert_eq!(accepted, None);
}

/// Late reports of an instance that has ended arrive together, or while its successor reports.
#[test]
fn burst_of_late_reports_ignored() {
    let mut order = ReportOrder::default();
    assert!(order.accept(0, &name("new"), at(200, 1)));
    for sequence in 1..10 {
        let now_us = SECOND_US + sequence * 100_000;
        assert!(!order.accept(now_us, &name("old"), at(100, sequence)));
    }
    let mut order = ReportOrder::default();
    for n in 1..20 {
        assert!(order.accept(n * INTERVAL_US, &name("new"), at(200, n)));
        assert!(!order.accept(n * INTERVAL_US, &name("old"), at(100, n)));
    }
}

/// The time of day went back before the instance's successor started.
#[test]
fn clock_back_recovers() {
    for successor in ["a", "b"] {
        let mut order = ReportOrder::default();
        assert!(order.accept(0, &name("a"), at(9_000_000, 50)));
        let accepted = time_to_accept(&mut order, 5 * SECOND_US, successor, at(1_000, 1), 4);
        assert!(accepted.is_some(), "{successor} was never accepted");
        // From then on its reports are accepted at once.
        assert!(order.accept(60 * SECOND_US, &name(successor), at(1_000, 90)));
    }
}

/// Another writer sent a report with a number that the instance never reaches.
#[test]
fn high_number_recovers() {
    for odd in [("a", at(1_000, u64::MAX)), ("x", at(u64::MAX, 1))] {
        let mut order = ReportOrder::default();
        assert!(order.accept(0, &name("a"), at(1_000, 1)));
        assert!(order.accept(SECOND_US, &name(odd.0), odd.1));
        let accepted = time_to_accept(&mut order, 2 * SECOND_US, "a", at(1_000, 2), 4);
        assert!(accepted.is_some(), "{odd:?} keeps the instance out");
        // The odd report once more changes nothing.
        assert!(!order.accept(9 * SECOND_US, &name(odd.0), odd.1));
        assert!(order.accept(9 * SECOND_US, &name("a"), at(1_000, 9)));
    }
}

#[test]
fn first_report_after_restart_checked() {
    let mut order = ReportOrder::default();
    assert!(
        !order.needs_check(0, &name("new"), at(100, 1)),
        "a starting instance has not withdrawn"
    );
    assert!(order.needs_check(0, &name("a"), at(100, 7)));
    order.hold_back(0, &name("a"), at(100, 7));
    // Late reports that arrive together, and a copy that arrives later, prove nothing.
    assert!(order.needs_check(SECOND_US / 10, &name("a"), at(100, 8)));
    order.hold_back(SECOND_US / 10, &name("a"), at(100, 8));
    assert!(order.needs_check(5 * SECOND_US, &name("a"), at(100, 7)));
    assert!(order.needs_check(5 * SECOND_US, &name("b"), at(100, 9)));
    assert!(!order.needs_check(INTERVAL_US, &name("a"), at(100, 9)));
    assert!(order.accept(INTERVAL_US, &name("a"), at(100, 9)));
    assert!(!order.needs_check(INTERVAL_US, &name("b"), at(200, 9)));
}
