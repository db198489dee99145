//! Guards calls against leaving their availability zone, which costs money, for a neighbour that
//! slows the host nearby for a moment; and calls without time against waiting for it.

mod common;

use common::{MS, request, router, signal, upstream, zone};
use model::{LoadSignal, ZonePreference};
use routing::RouteRequest;

const START_US: u64 = 10_000 * MS;
const SERVICE_US: u32 = 200_000;

/// Whether the choice is the slowed upstream of the own zone, and whether the call waits there.
fn choice_with(useful_us: u64, in_flight_near: u32) -> (bool, bool) {
    let (mut router, keys) = router(1, 5);
    let mut far = upstream(1);
    far.availability_zone = zone("b");
    let far = router.upsert(0, &far);
    for (key, in_flight, pace_percent) in [(keys[0], in_flight_near, 500), (far, 1, 100)] {
        let signal = LoadSignal {
            pace_percent,
            ..signal(in_flight, SERVICE_US, 1)
        };
        router.observe(START_US, key, signal);
    }
    let own_zone = zone("a");
    let request = RouteRequest {
        zone_preference: ZonePreference::Local,
        useful_us,
        ..request(&own_zone)
    };
    let choice = router.choose(START_US + MS, &request).unwrap();
    (choice.upstream == keys[0], choice.patience_us.is_none())
}

#[test]
fn waits_with_time_left() {
    assert_eq!(choice_with(800 * MS, 1), (true, true));
}

#[test]
fn leaves_without_time() {
    let (is_near, _) = choice_with(400 * MS, 1);
    assert!(!is_near);
}

#[test]
fn leaves_a_full_host() {
    let (is_near, _) = choice_with(800 * MS, 4);
    assert!(!is_near);
}
