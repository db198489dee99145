//! Upstreams, requests and load signals for the tests.

#![allow(dead_code, reason = "each test file uses its part")]

use model::{
    AvailabilityZone, HostName, LoadSignal, NodeId, ProbeMode, ProfileName, ServiceName, Upstream,
    UpstreamName, UpstreamState, ZonePreference,
};
use routing::{AttemptResult, RouteRequest, Router, RouterConfig, UpstreamKey};
use std::sync::Arc;

pub(crate) const MS: u64 = 1_000;

pub(crate) fn zone(name: &str) -> AvailabilityZone {
    AvailabilityZone::parse(name).expect("a valid name")
}

pub(crate) fn upstream(index: u16) -> Upstream {
    Upstream {
        name: UpstreamName::parse(format!("u{index}")).expect("a valid name"),
        service: ServiceName::parse("browse").expect("a valid name"),
        availability_zone: zone("a"),
        host: HostName::parse("h").expect("a valid name"),
        node: NodeId {
            mesh: ([127, 0, 0, 1], 1_000 + index).into(),
            incarnation: 1,
        },
        address: ([127, 0, 0, 1], 2_000 + index).into(),
        slots: 4,
        connections: 100,
        state: UpstreamState::Serving,
        announced_ms: 1,
        default_profile: ProfileName::parse("p").expect("a valid name"),
        rules: Arc::from([]),
        version: 1,
    }
}

/// A router with `count` upstreams whose cold-start ramp has ended at `10_000 * MS`.
pub(crate) fn router(count: u16, seed: u64) -> (Router, Vec<UpstreamKey>) {
    let mut router = Router::new(
        RouterConfig {
            probe_budget_per_s: 100,
        },
        seed,
    );
    let keys = (0..count)
        .map(|index| router.upsert(0, &upstream(index)))
        .collect();
    (router, keys)
}

pub(crate) fn request(zone: &AvailabilityZone) -> RouteRequest<'_> {
    RouteRequest {
        zone,
        exclude: &[],
        measure: ProbeMode::Economical,
        zone_preference: ZonePreference::Prefer,
        idempotent: true,
        hedge: false,
    }
}

pub(crate) fn signal(in_flight: u32, service_time_us: u32, sequence: u64) -> LoadSignal {
    LoadSignal {
        in_flight,
        queued: 0,
        slots: 4,
        service_time_us,
        pace_percent: 0,
        sequence,
    }
}

/// Chooses an upstream for one call, and sends and ends the call with the result and latency of
/// `result_of`.
pub(crate) fn call(
    router: &mut Router,
    now_us: u64,
    result_of: impl Fn(UpstreamKey) -> (AttemptResult, u64),
) -> UpstreamKey {
    let zone = zone("a");
    let key = router
        .choose(now_us, &request(&zone))
        .expect("an upstream")
        .upstream;
    router.record_sent(now_us, key);
    let (result, latency_us) = result_of(key);
    router.record_result(now_us + latency_us, key, result, latency_us, None);
    key
}
