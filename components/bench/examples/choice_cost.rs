//! Time of one choice among twenty upstreams, with its bookkeeping.

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
        let begin = Instant::now();
        let mut running = std::collections::VecDeque::new();
        for i in 0..CALLS {
            let now_us = i * 100;
            let start = Instant::now();
            let key = router
                .choose(now_us, &request)
                .expect("an upstream")
                .upstream;
            choosing_ns += start.elapsed().as_nanos();
            router.record_sent(now_us, key);
            running.push_back((now_us, key));
            if running.len() > 80 {
                let (sent_us, key) = running.pop_front().expect("80 calls");
                let signal = LoadSignal {
                    in_flight: (i % 9) as u32,
                    queued: 0,
                    slots: 9,
                    service_time_us: 8_000,
                    pace_percent: 0,
                    sequence: i,
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
            "choose {} ns; choose, sent and finished {} ns",
            choosing_ns / u128::from(CALLS),
            begin.elapsed().as_nanos() / u128::from(CALLS)
        );
    }
}
