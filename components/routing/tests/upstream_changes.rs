//! Guards against choices of draining, excluded or removed upstreams, and against a wrong weight of
//! cold or remote ones.

mod common;

use common::{MS, request, router, signal, upstream, zone};
use errors::ErrorKind;
use model::UpstreamState;
use routing::{AttemptResult, RouteRequest};

#[test]
fn draining_upstream() {
    let (mut router, keys) = router(2, 1);
    let zone = zone("a");
    let mut draining = upstream(0);
    draining.state = UpstreamState::Draining;
    assert_eq!(router.upsert(MS, &draining), keys[0]);
    for i in 0..50 {
        let choice = router
            .choose(10_000 * MS + i, &request(&zone))
            .expect("an upstream");
        assert_eq!(choice.upstream, keys[1], "a draining upstream got a call");
    }
    router.remove(&upstream(1).name);
    assert_eq!(
        router.choose(10_001 * MS, &request(&zone)),
        Err(ErrorKind::NoUpstream)
    );
}

#[test]
fn excluded_upstream() {
    let (mut router, keys) = router(2, 2);
    let zone = zone("a");
    let retry = RouteRequest {
        exclude: &keys[..1],
        ..request(&zone)
    };
    assert_eq!(
        router.choose(MS, &retry).expect("the other one").upstream,
        keys[1]
    );
    let last = RouteRequest {
        exclude: &keys,
        ..request(&zone)
    };
    assert_eq!(router.choose(MS, &last), Err(ErrorKind::NoUpstream));
}

#[test]
fn stale_key() {
    let (mut router, keys) = router(2, 3);
    router.record_sent(MS, keys[0]);
    let mut restarted = upstream(0);
    restarted.node.incarnation = 2;
    let key = router.upsert(2 * MS, &restarted);
    assert_ne!(
        key, keys[0],
        "a restarted upstream must not keep its earlier state"
    );
    router.record_result(3 * MS, keys[0], AttemptResult::Failed, MS, None);
    assert!(router.upstream(keys[0]).is_none());
    assert_eq!(router.upstream(key), Some(&restarted));
}

#[test]
fn cold_start() {
    let (mut router, _) = router(1, 4);
    let zone = zone("a");
    let warm = router.key(&upstream(0).name).expect("the first one");
    let now_us = 10_000 * MS;
    let cold = router.upsert(now_us, &upstream(1));
    for key in [warm, cold] {
        router.record_signal(now_us, key, signal(2, 8_000, 1));
    }
    router.choose(now_us, &request(&zone)).expect("an upstream");
    let expected = |key| {
        let candidate = router.candidates().iter().find(|c| c.upstream == key);
        candidate.expect("a candidate").expected_us
    };
    assert!(
        expected(cold) > expected(warm),
        "a cold upstream must count for fewer slots"
    );
}

#[test]
fn full_hedge() {
    let (mut router, keys) = router(2, 5);
    let zone = zone("a");
    let now_us = 10_000 * MS;
    let hedge = RouteRequest {
        exclude: &keys[..1],
        hedge: true,
        ..request(&zone)
    };
    router.record_signal(now_us, keys[1], signal(1, 8_000, 1));
    assert!(router.choose(now_us, &hedge).is_ok());
    router.record_signal(now_us, keys[1], signal(4, 8_000, 2));
    assert_eq!(router.choose(now_us, &hedge), Err(ErrorKind::Overloaded));
}

#[test]
fn other_zone() {
    let (mut router, keys) = router(1, 6);
    let mut remote = upstream(1);
    remote.availability_zone = zone("b");
    let remote_key = router.upsert(0, &remote);
    let zone = zone("a");
    let now_us = 10_000 * MS;
    router.record_signal(now_us, keys[0], signal(1, 8_000, 1));
    router.record_signal(now_us, remote_key, signal(1, 8_000, 1));
    let local = router.choose(now_us, &request(&zone)).expect("an upstream");
    assert_eq!(
        local.upstream, keys[0],
        "of equal upstreams, the one in the own zone must be chosen"
    );
    router.record_signal(now_us, keys[0], signal(8, 8_000, 2));
    let fast = router.choose(now_us, &request(&zone)).expect("an upstream");
    assert_eq!(
        fast.upstream, remote_key,
        "zone preference must not increase latency"
    );
}
