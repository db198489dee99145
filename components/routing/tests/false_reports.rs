//! Guards against choices that trust load signals which are false, old or out of order.

mod common;

use common::{MS, request, router, signal, zone};
use routing::{AttemptResult, UpstreamKey};
use std::collections::{HashMap, VecDeque};

/// An upstream that reports no load and a short service time, but is slow, must not get most calls.
#[test]
fn false_report() {
    let (mut router, keys) = router(4, 5);
    let zone = zone("a");
    let false_reporter = keys[0];
    let mut running: VecDeque<(u64, u64, UpstreamKey)> = VecDeque::new();
    let mut counts: HashMap<UpstreamKey, u32> = HashMap::new();
    let start_us = 10_000 * MS;
    for i in 0..2_000 {
        let now_us = start_us + i * MS;
        while let Some(&(sent_us, end_us, key)) = running.front().filter(|r| r.1 <= now_us) {
            running.pop_front();
            let (load, service_us) = if key == false_reporter {
                (0, 1_000)
            } else {
                (2, 8_000)
            };
            let load_signal = Some(signal(load, service_us, i + 1));
            router.record_result(
                end_us,
                key,
                AttemptResult::Ok,
                end_us - sent_us,
                load_signal,
            );
        }
        let key = router
            .choose(now_us, &request(&zone))
            .expect("an upstream")
            .upstream;
        router.record_sent(now_us, key);
        *counts.entry(key).or_default() += 1;
        // The false reporter takes 40 ms but reports no load and 1 ms.
        let latency_us = if key == false_reporter {
            40 * MS
        } else {
            8 * MS
        };
        running.push_back((now_us, now_us + latency_us, key));
        running.make_contiguous().sort_by_key(|r| r.1);
    }
    assert!(
        counts[&false_reporter] < 2_000 / 4,
        "{} of 2000 calls went to the false reporter",
        counts[&false_reporter]
    );
}

/// The load in an old signal must no longer make a difference.
#[test]
fn old_report() {
    let (mut router, keys) = router(2, 6);
    let zone = zone("a");
    let start_us = 10_000 * MS;
    router.record_signal(start_us, keys[0], signal(4, 8_000, 1));
    router.record_signal(start_us, keys[1], signal(0, 8_000, 1));
    router
        .choose(start_us, &request(&zone))
        .expect("an upstream");
    let fresh: Vec<f32> = router.candidates().iter().map(|c| c.load).collect();
    router
        .choose(start_us + 5_000 * MS, &request(&zone))
        .expect("an upstream");
    let old: Vec<f32> = router.candidates().iter().map(|c| c.load).collect();
    assert_eq!(fresh, [4.0, 0.0]);
    assert!(
        (old[0] - old[1]).abs() < 0.01,
        "old load signals still affect the choice: {old:?}"
    );
}

/// A signal that arrives late must not replace a newer one.
#[test]
fn reordered_signals() {
    let (mut router, keys) = router(1, 7);
    let zone = zone("a");
    router.record_signal(10_000 * MS, keys[0], signal(1, 8_000, 9));
    router.record_signal(10_000 * MS, keys[0], signal(4, 8_000, 8));
    router
        .choose(10_000 * MS, &request(&zone))
        .expect("an upstream");
    assert_eq!(
        router.candidates()[0].load,
        1.0,
        "an older signal replaced a newer one"
    );
}
