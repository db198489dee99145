//! Measures the time that the router takes to choose among twenty upstreams, alone and together
//! with recording that the call was sent and how it ended.
//! Run: `cargo run --release -p bench --example choice_cost`.

use model::{
    AvailabilityZone, HostName, LoadSignal, NodeId, ProbeMode, ProfileName, ServiceName, Upstream,
    UpstreamName, UpstreamState, ZonePreference,
};
use routing::{AttemptResult, RouteRequest, Router, RouterConfig};
use std::{sync::Arc, time::Instant};

const CALLS: u64 = 200_000;
const ROUNDS: u32 = 5;

fn upstream(index: u16) -> Upstream {
    Upstream {
        name: UpstreamName::parse(format!("u{index}")).expect("a valid name"),
        service: ServiceName::parse("browse").expect("a valid name"),
        availability_zone: AvailabilityZone::parse("a").expect("a valid name"),
        host: HostName::parse("h").expect("a valid name"),
        node: NodeId {
            mesh: ([127, 0, 0, 1], 1_000 + index).into(),
            incarnation: 1,
        },
        address: ([127, 0, 0, 1], 2_000 + index).into(),
        slots: 9,
        connections: 260,
        state: UpstreamState::Serving,
        announced_ms: 1,
        default_profile: ProfileName::parse("p").expect("a valid name"),
        rules: Arc::from([]),
        version: 1,
    }
}

fn main() {
    let zone = AvailabilityZone::parse("a").expect("a valid name");
    let request = RouteRequest {
        zone: &zone,
        exclude: &[],
        measure: ProbeMode::Economical,
        zone_preference: ZonePreference::Prefer,
        idempotent: true,
        hedge: false,
    };
    for _ in 0..ROUNDS {
        let mut router = Router::new(
            RouterConfig {
                probe_budget_per_s: 100,
            },
            1,
        );
        for index in 0..20 {
            router.upsert(0, &upstream(index));
        }
        let mut choosing_ns = 0;
        let round_started = Instant::now();
        let mut in_flight = std::collections::VecDeque::new();
        for call in 0..CALLS {
            let now_us = call * 100;
            let choice_started = Instant::now();
            let key = router
                .choose(now_us, &request)
                .expect("an upstream")
                .upstream;
            choosing_ns += choice_started.elapsed().as_nanos();
            router.record_sent(now_us, key);
            in_flight.push_back((now_us, key));
            if in_flight.len() > 80 {
                let (sent_us, key) = in_flight.pop_front().expect("80 calls");
                let signal = LoadSignal {
                    in_flight: (call % 9) as u32,
                    queued: 0,
                    slots: 9,
                    service_time_us: 8_000,
                    pace_percent: 0,
                    sequence: call,
                };
                router.record_result(
                    now_us,
                    key,
                    AttemptResult::Ok,
                    now_us - sent_us,
                    Some(signal),
                );
            }
        }
        println!(
            "choose {} ns; choose, record_sent and record_result {} ns",
            choosing_ns / u128::from(CALLS),
            round_started.elapsed().as_nanos() / u128::from(CALLS)
        );
    }
}
