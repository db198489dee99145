//! Guards against two failures: a late report restores an instance that has left, also after a
//! restart of the node, and a start time or sequence number that is too high keeps a running instance
//! out for good.

use members::{Moment, ReportOrder, ReportPosition, ReportVerdict};
use model::UpstreamName;

const SECOND_US: u64 = 1_000_000;
/// Interval of reports.
const INTERVAL_US: u64 = 1_500_000;
/// Longest delay of a report.
const MAX_DELAY_US: u64 = 10_000_000;

fn name(text: &str) -> UpstreamName {
    UpstreamName::parse(text).unwrap()
}

fn at(started_ms: u64, sequence: u64) -> ReportPosition {
    ReportPosition {
        started_ms,
        sequence,
    }
}

fn moment(now_us: u64, unix_ms: u64) -> Moment {
    Moment { now_us, unix_ms }
}

/// The order of a process that started before all instances.
fn early_order() -> ReportOrder {
    ReportOrder::new(moment(0, 0), MAX_DELAY_US)
}

/// The health check that a report may ask for.
#[derive(Clone, Copy, PartialEq)]
enum Health {
    Passes,
    Fails,
}

/// Reports to the order as a node does; returns whether the report was taken for current.
fn report(
    order: &mut ReportOrder,
    now_us: u64,
    sender: &str,
    position: ReportPosition,
    health: Health,
) -> bool {
    match order.assess(now_us, &name(sender), position) {
        ReportVerdict::Current => true,
        ReportVerdict::Unconfirmed if health == Health::Passes => {
            order.confirm(&name(sender), position);
            true
        }
        ReportVerdict::Unconfirmed | ReportVerdict::Outdated => false,
    }
}

/// Whether the report of an instance that passes health checks is taken for current.
fn serving(order: &mut ReportOrder, now_us: u64, sender: &str, position: ReportPosition) -> bool {
    report(order, now_us, sender, position, Health::Passes)
}

/// Whether the report of an instance that fails health checks is taken for current.
fn failing(order: &mut ReportOrder, now_us: u64, sender: &str, position: ReportPosition) -> bool {
    report(order, now_us, sender, position, Health::Fails)
}

/// Time from the first report of an instance until one is accepted, if one of `reports` is.
fn time_to_accept(
    order: &mut ReportOrder,
    health: Health,
    from_us: u64,
    sender: &str,
    first: ReportPosition,
    reports: u64,
) -> Option<u64> {
    (0..reports).find_map(|n| {
        let position = at(first.started_ms, first.sequence + n);
        let elapsed_us = n * INTERVAL_US;
        report(order, from_us + elapsed_us, sender, position, health).then_some(elapsed_us)
    })
}

#[test]
fn late_reports_ignored() {
    let mut order = early_order();
    assert!(serving(&mut order, 0, "a", at(100, 1)));
    assert!(serving(&mut order, SECOND_US, "a", at(100, 3)));
    assert!(!serving(&mut order, SECOND_US, "a", at(100, 2)));
    assert!(!serving(&mut order, SECOND_US, "a", at(100, 3)));
    assert!(serving(&mut order, 2 * SECOND_US, "b", at(200, 1)));
    assert!(!serving(&mut order, 2 * SECOND_US, "a", at(100, 9)));
}

#[test]
fn withdrawn_stays_out() {
    let mut order = early_order();
    assert!(serving(&mut order, 0, "a", at(100, 1)));
    order.withdraw(moment(0, 200), &name("a"));
    for (health, reports) in [(Health::Passes, 6), (Health::Fails, 20)] {
        let accepted = time_to_accept(&mut order, health, SECOND_US, "a", at(100, 2), reports);
        assert_eq!(accepted, None, "a withdrawn instance was restored");
    }
    // The same name after a restart is a new instance.
    assert!(serving(&mut order, 60 * SECOND_US, "a", at(300, 1)));
    // Also where the clock went back meanwhile.
    order.withdraw(moment(60 * SECOND_US, 400), &name("a"));
    assert!(
        time_to_accept(
            &mut order,
            Health::Passes,
            70 * SECOND_US,
            "a",
            at(50, 1),
            4
        )
        .is_some()
    );
    let accepted = time_to_accept(
        &mut order,
        Health::Passes,
        80 * SECOND_US,
        "a",
        at(300, 2),
        1,
    );
    assert_eq!(accepted, None);
}

/// Late reports of an instance that has ended arrive together, or while its successor reports.
#[test]
fn burst_of_late_reports_ignored() {
    let mut order = early_order();
    assert!(serving(&mut order, 0, "new", at(200, 1)));
    for sequence in 1..10 {
        let now_us = SECOND_US + sequence * 100_000;
        assert!(!serving(&mut order, now_us, "old", at(100, sequence)));
    }
    let mut order = early_order();
    for n in 1..20 {
        assert!(serving(&mut order, n * INTERVAL_US, "new", at(200, n)));
        assert!(!serving(&mut order, n * INTERVAL_US, "old", at(100, n)));
    }
}

/// The time of day went back before the instance's successor started.
#[test]
fn clock_back_recovers() {
    for successor in ["a", "b"] {
        let mut order = early_order();
        assert!(serving(&mut order, 0, "a", at(9_000_000, 50)));
        let accepted = time_to_accept(
            &mut order,
            Health::Passes,
            5 * SECOND_US,
            successor,
            at(1_000, 1),
            4,
        );
        assert!(accepted.is_some(), "{successor} was never accepted");
        // From then on its reports are accepted at once.
        assert!(serving(
            &mut order,
            60 * SECOND_US,
            successor,
            at(1_000, 90)
        ));
    }
}

/// Another writer sent a report with a number that the instance never reaches.
#[test]
fn high_number_recovers() {
    for odd in [("a", at(1_000, u64::MAX)), ("x", at(u64::MAX, 1))] {
        let mut order = early_order();
        assert!(serving(&mut order, 0, "a", at(1_000, 1)));
        assert!(serving(&mut order, SECOND_US, odd.0, odd.1));
        let accepted = time_to_accept(
            &mut order,
            Health::Passes,
            2 * SECOND_US,
            "a",
            at(1_000, 2),
            4,
        );
        assert!(accepted.is_some(), "{odd:?} keeps the instance out");
        // The odd report once more changes nothing.
        assert!(!serving(&mut order, 9 * SECOND_US, odd.0, odd.1));
        assert!(serving(&mut order, 9 * SECOND_US, "a", at(1_000, 9)));
    }
}

/// A node that has started after an instance can't know whether it has withdrawn from the former
/// process. Late reports prove nothing, however many arrive.
#[test]
fn first_report_after_restart_checked() {
    let mut order = ReportOrder::new(moment(0, 1_000), MAX_DELAY_US);
    for (n, sequence) in [7, 8, 9, 1].into_iter().enumerate() {
        let now_us = n as u64 * INTERVAL_US;
        assert!(
            !failing(&mut order, now_us, "a", at(100, sequence)),
            "report {sequence} of an instance that may have left"
        );
    }
    let now_us = 6 * SECOND_US;
    assert!(
        failing(&mut order, now_us, "new", at(2_000, 1)),
        "an instance that started after the node has not withdrawn"
    );
    let mut order = ReportOrder::new(moment(0, 1_000), MAX_DELAY_US);
    assert!(serving(&mut order, 0, "a", at(100, 7)));
    let mut order = ReportOrder::new(moment(0, 1_000), MAX_DELAY_US);
    let accepted = time_to_accept(&mut order, Health::Fails, 0, "a", at(100, 7), 20);
    assert_eq!(
        accepted,
        Some(7 * INTERVAL_US),
        "later than reports are delayed"
    );
}

/// An instance leaves before any of its reports has arrived; they arrive afterwards.
#[test]
fn unheard_instance_withdraws() {
    for delays in [vec![4], vec![4, 6, 8]] {
        let mut order = early_order();
        order.withdraw(moment(SECOND_US, 5_000), &name("a"));
        for (n, delay) in delays.into_iter().enumerate() {
            let position = at(3_700, n as u64 + 1);
            let now_us = delay * SECOND_US;
            assert!(
                !serving(&mut order, now_us, "a", position),
                "report {n} restores an instance that has left"
            );
        }
        // A new start of the same name counts, if it serves.
        let now_us = 9 * SECOND_US;
        assert!(!failing(&mut order, now_us, "a", at(9_000, 1)));
        assert!(serving(&mut order, now_us, "a", at(9_000, 1)));
    }
}

/// Reports that were sent before the newest one arrive after it, one by one: that alone doesn't
/// show that the newest one was wrong, since a draining instance is silent after a while.
#[test]
fn overtaking_needs_health() {
    let mut order = early_order();
    assert!(serving(&mut order, 0, "a", at(100, 10)));
    let accepted = time_to_accept(&mut order, Health::Fails, SECOND_US, "a", at(100, 5), 4);
    assert_eq!(accepted, None, "late reports overtook the newest one");
}

/// Withdrawals of names that nobody uses must not use up memory, nor displace a real one that comes
/// after them.
#[test]
fn many_withdrawals() {
    let mut order = early_order();
    for n in 0..10_000 {
        order.withdraw(moment(n, n), &name(&format!("i-{n}")));
    }
    order.withdraw(moment(SECOND_US, 1_000), &name("a"));
    assert!(!serving(&mut order, SECOND_US, "a", at(500, 1)));
    assert!(serving(&mut order, SECOND_US, "b", at(500, 1)));
}

/// The withdrawal of an earlier start arrives after the instance has started again under its name.
#[test]
fn late_withdrawal_recovers() {
    for is_running in [true, false] {
        let mut order = early_order();
        assert!(serving(&mut order, 0, "a", at(100, 1)));
        assert!(serving(&mut order, 3 * SECOND_US, "a", at(5_000, 1)));
        order.withdraw(moment(4 * SECOND_US, 7_000), &name("a"));
        let health = if is_running {
            Health::Passes
        } else {
            Health::Fails
        };
        let accepted = time_to_accept(&mut order, health, 5 * SECOND_US, "a", at(5_000, 2), 20);
        let expected_us = is_running.then_some(6 * INTERVAL_US);
        assert_eq!(accepted, expected_us, "running: {is_running}");
    }
}
