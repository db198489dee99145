//! Guards against an upstream that fails fast, seems idle because of that, and attracts calls.

mod common;

use common::{MS, call, request, router, zone};
use routing::{AttemptResult, ChoiceReason, RouteRequest};

#[test]
fn failing_upstream() {
    let (mut router, keys) = router(4, 1);
    let failing = keys[2];
    let result_of = |key| {
        if key == failing {
            (AttemptResult::Failed, 100)
        } else {
            (AttemptResult::Ok, 5 * MS)
        }
    };
    let start_us = 10_000 * MS;
    let calls = 1_000;
    let hits =
        (0..calls).filter(|i| call(&mut router, start_us + i * 5 * MS, result_of) == failing);
    // Two failures eject it. The time between trials doubles, which makes about five of them in
    // five seconds.
    assert!(hits.count() <= 10, "a failing upstream got too many calls");
}

/// If all upstreams fail, at most half of them may be ejected, and calls must still be routed.
#[test]
fn whole_service() {
    let (mut router, _) = router(4, 2);
    let start_us = 10_000 * MS;
    for i in 0..200 {
        call(&mut router, start_us + i * MS, |_| {
            (AttemptResult::Failed, 100)
        });
    }
    let zone = zone("a");
    let now_us = start_us + 200 * MS;
    router
        .choose(now_us, &request(&zone))
        .expect("not all upstreams of a service may be ejected");
    let ejected = router
        .candidates()
        .iter()
        .filter(|candidate| candidate.ejected)
        .count();
    assert_eq!(ejected, 2, "at most half of the upstreams may be ejected");
}

/// An ejected upstream must get one idempotent call as a trial, and return after its success.
#[test]
fn trial_call() {
    let (mut router, keys) = router(2, 3);
    let zone = zone("a");
    let start_us = 10_000 * MS;
    for _ in 0..2 {
        router.record_sent(start_us, keys[0]);
        router.record_result(start_us, keys[0], AttemptResult::Failed, 100, None);
    }
    let early = router
        .choose(start_us + 50 * MS, &request(&zone))
        .expect("the other one");
    assert_eq!(early.upstream, keys[1], "an ejected upstream gets no calls");
    let due_us = start_us + 300 * MS;
    let not_idempotent = RouteRequest {
        idempotent: false,
        ..request(&zone)
    };
    let choice = router
        .choose(due_us, &not_idempotent)
        .expect("the other one");
    assert_eq!(
        choice.upstream, keys[1],
        "a call that is not idempotent must not be the first trial"
    );
    let trial = router.choose(due_us, &request(&zone)).expect("the trial");
    assert_eq!(
        (trial.upstream, trial.reason),
        (keys[0], ChoiceReason::Trial)
    );
    let second = router
        .choose(due_us, &request(&zone))
        .expect("the other one");
    assert_eq!(second.upstream, keys[1], "one trial at a time");
    router.record_sent(due_us, keys[0]);
    router.record_result(due_us + 5 * MS, keys[0], AttemptResult::Ok, 5 * MS, None);
    router
        .choose(due_us + 6 * MS, &request(&zone))
        .expect("any");
    assert!(
        router
            .candidates()
            .iter()
            .all(|candidate| !candidate.ejected)
    );
}
