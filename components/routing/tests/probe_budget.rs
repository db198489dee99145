//! Guards against more probe messages than the limits per call and per second allow.

mod common;

use common::{MS, request, router, zone};
use model::ProbeMode;
use routing::RouteRequest;

/// Number of probe messages for `calls` calls that are `gap_us` apart, and the highest number in
/// any one second.
fn probe_messages(measure: ProbeMode, calls: u64, gap_us: u64) -> (u64, usize) {
    let (mut router, _) = router(5, 1);
    let zone = zone("a");
    let mut times_us = Vec::new();
    for i in 0..calls {
        let now_us = i * gap_us;
        let call = RouteRequest {
            measure,
            ..request(&zone)
        };
        router.choose(now_us, &call).expect("an upstream");
        for key in router.take_due_probes(now_us) {
            times_us.extend([now_us; 2]);
            router.record_probe_loss(now_us, key);
        }
    }
    let peak = times_us.iter().map(|&start| {
        times_us
            .iter()
            .filter(|&&at| (start..start + 1_000 * MS).contains(&at))
            .count()
    });
    (times_us.len() as u64, peak.max().unwrap_or(0))
}

#[test]
fn per_call() {
    assert_eq!(probe_messages(ProbeMode::None, 1_000, 20 * MS).0, 0);
    let (economical, _) = probe_messages(ProbeMode::Economical, 1_000, 20 * MS);
    assert!(
        (90..=100).contains(&economical),
        "{economical} messages for 1000 calls"
    );
    let (fast, _) = probe_messages(ProbeMode::Fast, 1_000, 20 * MS);
    assert!(
        (900..=1_000).contains(&fast),
        "{fast} messages for 1000 calls"
    );
}

#[test]
fn per_second() {
    // Ten thousand calls per second earn far more than the budget of 100 messages.
    let (_, peak) = probe_messages(ProbeMode::Fast, 20_000, 100);
    assert!((80..=100).contains(&peak), "{peak} messages in one second");
}

#[test]
fn retries_earn_nothing() {
    let (mut router, keys) = router(5, 2);
    let zone = zone("a");
    for i in 0..1_000 {
        let retry = RouteRequest {
            measure: ProbeMode::Fast,
            exclude: &keys[..1],
            ..request(&zone)
        };
        router.choose(i * MS, &retry).expect("an upstream");
        assert!(
            router.take_due_probes(i * MS).is_empty(),
            "the retry of a call earned a probe"
        );
    }
}
