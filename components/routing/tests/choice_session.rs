//! Guards against changes in the choices of a router, by the log of one fixed session.

mod common;

use common::{MS, request, router, signal, zone};
use routing::AttemptResult;
use std::fmt::Write;

#[test]
fn fixed_session() {
    let (mut router, keys) = router(3, 42);
    let zone = zone("a");
    let mut log = String::new();
    let start_us = 10_000 * MS;
    for i in 0..12u64 {
        let now_us = start_us + i * 2 * MS;
        let choice = router.choose(now_us, &request(&zone)).expect("an upstream");
        let name = router
            .upstream(choice.upstream)
            .expect("a known upstream")
            .name
            .clone();
        let candidates: Vec<String> = router
            .candidates()
            .iter()
            .map(|c| format!("{:.1}/{}us", c.load, c.expected_us))
            .collect();
        writeln!(
            log,
            "{:>2} ms: {name} {:?} max wait {:?} of {}",
            i * 2,
            choice.reason,
            choice.max_queue_wait_us,
            candidates.join(" ")
        )
        .expect("a string");
        router.record_sent(now_us, choice.upstream);
        match i {
            3 => router.record_result(
                now_us,
                keys[0],
                AttemptResult::Ok,
                6 * MS,
                Some(signal(3, 6_000, 1)),
            ),
            6 => router.record_signal(now_us, keys[1], signal(4, 30_000, 1)),
            8 => router.record_result(now_us, keys[2], AttemptResult::Failed, 2 * MS, None),
            _ => {}
        }
    }
    insta::assert_snapshot!(log);
}
