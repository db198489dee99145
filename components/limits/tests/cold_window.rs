//! Guards against more calls to a cold upstream than it can handle, in any second, also beside
//! restarts and pauses of its owner.

use limits::{ColdLimiter, ColdRate};
use model::LoadSignal;

const MS: u64 = 1_000;
const SECOND_US: u64 = 1_000 * MS;
/// Time at which the owner has run for longer than a window.
const LATER_US: u64 = 10 * SECOND_US;

fn rate() -> ColdRate {
    ColdRate {
        calls_per_s: 18.0,
        overage_percent: 25,
        slack: 4,
        duration_us: Some(3 * SECOND_US),
    }
}

/// Calls that an upstream of `rate` may get in any second before it crashes.
fn crash_bound(calls_per_s: f64) -> usize {
    (calls_per_s * 1.5 + 8.0) as usize
}

fn limiter(started_us: u64) -> ColdLimiter {
    let mut limiter = ColdLimiter::new(started_us);
    limiter.set_rate(Some(rate()));
    limiter
}

/// Sends whatever is allowed from `from_us` to `to_us`, with an attempt each millisecond.
fn send_burst(limiter: &mut ColdLimiter, from_us: u64, to_us: u64) -> Vec<u64> {
    (from_us..to_us)
        .step_by(MS as usize)
        .filter(|now_us| limiter.try_send(*now_us))
        .collect()
}

/// Largest number of calls in any second.
fn most_per_s(sent_us: &[u64]) -> usize {
    (0..sent_us.len())
        .map(|first| {
            let until_us = sent_us[first] + SECOND_US;
            sent_us[first..]
                .iter()
                .filter(|at| **at <= until_us)
                .count()
        })
        .max()
        .unwrap_or(0)
}

#[test]
fn burst_stays_in_bound() {
    let mut limiter = limiter(0);
    limiter.extend(LATER_US + 5 * SECOND_US);
    let sent = send_burst(&mut limiter, LATER_US, LATER_US + 5 * SECOND_US);
    assert_eq!(most_per_s(&sent), rate().max_per_window());
    assert!(most_per_s(&sent) <= crash_bound(18.0));
    // The capacity that the upstream has is used.
    assert!(sent.len() >= 5 * 18, "{} calls", sent.len());
}

/// Guards against a burst at the moment at which a warm upstream turns cold: the calls of the last
/// second count.
#[test]
fn turning_cold_counts_earlier_calls() {
    let mut limiter = limiter(0);
    let mut sent = send_burst(&mut limiter, LATER_US, LATER_US + 20 * MS);
    assert_eq!(sent.len(), 20, "a warm upstream has no limit");
    limiter.extend(LATER_US + 5 * SECOND_US);
    sent.extend(send_burst(
        &mut limiter,
        LATER_US + 20 * MS,
        LATER_US + 3 * SECOND_US,
    ));
    assert!(most_per_s(&sent) <= rate().max_per_window());
}

/// Guards against an owner that restarts and sends a second full window right after the first one
/// of its earlier process.
#[test]
fn restart_of_owner() {
    for gap_ms in [0, 1, 40, 500, 999, 1_500] {
        let mut first = limiter(0);
        first.extend(LATER_US + 5 * SECOND_US);
        let restart_us = LATER_US + 100 * MS;
        let mut sent = send_burst(&mut first, LATER_US, restart_us);
        let started_us = restart_us + gap_ms * MS;
        let mut second = limiter(started_us);
        second.extend(LATER_US + 5 * SECOND_US);
        sent.extend(send_burst(
            &mut second,
            started_us,
            started_us + 3 * SECOND_US,
        ));
        assert!(
            most_per_s(&sent) <= rate().max_per_window(),
            "gap {gap_ms} ms: {} calls in a second",
            most_per_s(&sent)
        );
        assert!(sent.len() > rate().max_per_window(), "the window reopens");
    }
}

/// Guards against an owner that holds everything back for a second after a restart of its host,
/// though the instance has started after it and nobody can have sent calls to it.
#[test]
fn instance_started_after_owner() {
    let mut limiter = ColdLimiter::new(LATER_US);
    limiter.set_rate(Some(rate()));
    limiter.extend(LATER_US + 3 * SECOND_US);
    assert!(!limiter.try_send(LATER_US + 100 * MS));
    limiter.upstream_started();
    let sent = send_burst(&mut limiter, LATER_US + 100 * MS, LATER_US + 3 * SECOND_US);
    assert_eq!(most_per_s(&sent), rate().max_per_window());
    assert_eq!(sent[0], LATER_US + 100 * MS);
}

/// Load pattern: a loss of power restarts all owners and upstreams while callers send as usual. Guards
/// against owners that hold all calls back for their first second, though no earlier process can have
/// sent calls to upstreams that started together with them.
#[test]
fn starts_with_owner() {
    for is_rate_known in [true, false] {
        let mut limiter = ColdLimiter::new(LATER_US);
        if is_rate_known {
            limiter.set_rate(Some(rate()));
        }
        limiter.record_first_report(2_900 * MS);
        limiter.extend(LATER_US + 2_950 * MS);
        limiter.set_rate(Some(rate()));
        let sent = send_burst(&mut limiter, LATER_US + 50 * MS, LATER_US + 3 * SECOND_US);
        assert_eq!(sent[0], LATER_US + 50 * MS);
        assert_eq!(most_per_s(&sent), rate().max_per_window());
    }
}

/// Guards against a second full window for an upstream that an earlier owner has sent calls to: its
/// first report to this owner comes late in its cold period, or the period isn't known.
#[test]
fn started_long_before_owner() {
    for (cold_left_us, duration_us) in [
        (2_700 * MS, Some(3 * SECOND_US)),
        (1, Some(3 * SECOND_US)),
        // Longer than after a start.
        (10 * SECOND_US, Some(3 * SECOND_US)),
        (3 * SECOND_US, None),
    ] {
        let mut limiter = ColdLimiter::new(LATER_US);
        limiter.set_rate(Some(ColdRate {
            duration_us,
            ..rate()
        }));
        limiter.record_first_report(cold_left_us);
        limiter.extend(LATER_US + 2 * SECOND_US);
        assert!(!limiter.try_send(LATER_US + 999 * MS));
    }
}

/// Guards against calls that an owner decided on before it was frozen and sends when it continues:
/// at most the one that it was about to send is outside its window.
#[test]
fn pause_of_owner() {
    let mut limiter = limiter(0);
    limiter.extend(LATER_US + 20 * SECOND_US);
    let mut sent = send_burst(&mut limiter, LATER_US, LATER_US + 300 * MS);
    let resumed_us = LATER_US + 4_300 * MS;
    // Decided before the pause and sent after it.
    if limiter.try_send(LATER_US + 1_100 * MS) {
        sent.push(resumed_us);
    }
    sent.extend(send_burst(
        &mut limiter,
        resumed_us,
        resumed_us + 3 * SECOND_US,
    ));
    assert!(most_per_s(&sent) <= rate().max_per_window() + 1);
    assert!(most_per_s(&sent) <= crash_bound(18.0));
}

/// Guards against calls that take up to 200 ms to arrive: the bound holds for arrivals as well.
#[test]
fn delayed_arrivals() {
    let mut limiter = limiter(0);
    limiter.extend(LATER_US + 10 * SECOND_US);
    let sent = send_burst(&mut limiter, LATER_US, LATER_US + 10 * SECOND_US);
    for delay_ms in [0, 20, 60, 200] {
        let delayed =
            |(number, at): (usize, &u64)| at + (number as u64 * 7_919 % (delay_ms + 1)) * MS;
        let mut arrived: Vec<u64> = sent.iter().enumerate().map(delayed).collect();
        arrived.sort_unstable();
        let most = most_per_s(&arrived);
        assert!(most <= crash_bound(18.0), "delay {delay_ms} ms: {most}");
    }
}

/// Guards against a report that arrives late, or a shorter one, and ends the limit early.
#[test]
fn latest_end_applies() {
    let mut limiter = limiter(0);
    limiter.extend(LATER_US + 3 * SECOND_US);
    limiter.extend(LATER_US + SECOND_US);
    assert!(limiter.is_cold(LATER_US + 2 * SECOND_US));
    assert!(!limiter.is_cold(LATER_US + 3 * SECOND_US));
}

/// Guards against the whole load at once at the end of the cold period.
#[test]
fn ramp_after_cold_period() {
    let mut limiter = limiter(0);
    let end_us = LATER_US + 2 * SECOND_US;
    limiter.extend(end_us);
    let sent = send_burst(&mut limiter, LATER_US, end_us + 2 * SECOND_US);
    let in_step = |from_ms: u64, to_ms: u64| {
        let (from_us, to_us) = (end_us + from_ms * MS, end_us + to_ms * MS);
        sent.iter()
            .filter(|at| (from_us..to_us).contains(*at))
            .count()
    };
    let base = rate().max_per_window();
    assert!(in_step(0, 250) <= base);
    assert!(in_step(0, 500) <= 2 * base);
    assert!(in_step(0, 750) <= 4 * base);
    assert_eq!(in_step(1_000, 2_000), 1_000, "no limit after the ramp");
}

/// Guards against a limit on upstreams that are warm or have none, and against an unknown past that
/// holds back calls to a warm upstream.
#[test]
fn warm_upstream_has_no_limit() {
    let mut warm = limiter(0);
    assert_eq!(send_burst(&mut warm, 0, SECOND_US).len(), 1_000);
    let mut unlimited = ColdLimiter::new(0);
    unlimited.extend(5 * SECOND_US);
    assert_eq!(send_burst(&mut unlimited, 0, SECOND_US).len(), 1_000);
}

/// Guards against a limit that a new configuration brings and that knows none of the calls before.
#[test]
fn limit_of_new_configuration() {
    let mut limiter = ColdLimiter::new(0);
    limiter.extend(LATER_US + 5 * SECOND_US);
    let mut sent = send_burst(&mut limiter, LATER_US - 25 * MS, LATER_US);
    limiter.set_rate(Some(rate()));
    sent.extend(send_burst(&mut limiter, LATER_US, LATER_US + 3 * SECOND_US));
    assert!(most_per_s(&sent) <= rate().max_per_window());
}

/// Guards against load signals that invite more calls than the limit allows.
#[test]
fn signal_shows_little_room() {
    let signal = LoadSignal {
        in_flight: 0,
        queued: 0,
        slots: 8,
        service_time_us: 20_000,
        pace_percent: 100,
        sequence: 7,
    };
    let mut limiter = limiter(0);
    assert_eq!(limiter.limit_signal(LATER_US, signal), signal);
    limiter.extend(LATER_US + 5 * SECOND_US);
    let open = limiter.limit_signal(LATER_US, signal);
    assert_eq!(
        (open.slots, open.queued, open.service_time_us),
        (1, 0, 20_000)
    );
    send_burst(&mut limiter, LATER_US, LATER_US + 100 * MS);
    let full = limiter.limit_signal(LATER_US + 100 * MS, signal);
    assert_eq!((full.slots, full.queued), (1, 1));
    assert!(full.service_time_us > 900_000);
}

/// Guards against a limit that comes with a new configuration soon after the start of an upstream and
/// doesn't count the calls that were sent without a limit.
#[test]
fn limit_after_calls() {
    let mut limiter = ColdLimiter::new(LATER_US);
    limiter.record_first_report(2_900 * MS);
    limiter.extend(LATER_US + 2_900 * MS);
    for number in 0..50 {
        assert!(limiter.try_send(LATER_US + number * MS));
    }
    limiter.set_rate(Some(rate()));
    assert!(!limiter.try_send(LATER_US + 60 * MS));
}
