//! Guards against a burst that reaches a zone that has just restarted: its cold upstreams must not
//! get more than they can handle, and the other zones must serve the load.

mod common;

use common::{MS, request, upstream, zone};
use limits::{ColdLimiter, ColdRate};
use model::LoadSignal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use routing::{AttemptResult, Router, RouterConfig, UpstreamKey};
use std::{cmp::Reverse, collections::BinaryHeap};

const SECOND_US: u64 = 1_000 * MS;
const UPSTREAMS: u16 = 12;
/// Upstreams of the zone that restarts; the last ones.
const COLD: usize = 4;
const ENTRIES: usize = 6;
const SLOTS: u32 = 4;
const SERVICE_US: u64 = 20 * MS;
/// One way.
const NETWORK_US: u64 = MS;
/// Moves of a call before it fails.
const MOVES: u32 = 5;
const CALLS_PER_S: u64 = 600;
const BURST_PER_S: u64 = 1_000;
/// Start of the burst, at which the zone is back and cold.
const BURST_US: u64 = 10 * SECOND_US;
const COLD_US: u64 = 3 * SECOND_US;
const END_US: u64 = 16 * SECOND_US;
/// Calls in any second from which a cold upstream crashes: 18 x 1.5 + 8.
const CRASH_BOUND: usize = 35;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    New,
    Arrived,
    Finished,
    Replied(AttemptEnd),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptEnd {
    Answered,
    Refused,
}

/// A step of an attempt: time, order, step, entry, upstream, time of sending, attempts so far.
type Event = (u64, u64, Step, usize, usize, u64, u32);

struct Owner {
    limiter: ColdLimiter,
    in_flight: u32,
    sequence: u64,
    arrivals: Vec<u64>,
}

impl Owner {
    fn signal(&mut self, now_us: u64) -> LoadSignal {
        self.sequence += 1;
        let signal = LoadSignal {
            in_flight: self.in_flight,
            queued: 0,
            slots: SLOTS,
            service_time_us: SERVICE_US as u32,
            pace_percent: 0,
            sequence: self.sequence,
        };
        self.limiter.limit_signal(now_us, signal)
    }
}

struct Simulation {
    routers: Vec<(Router, Vec<UpstreamKey>)>,
    owners: Vec<Owner>,
    events: BinaryHeap<Reverse<Event>>,
    order: u64,
    served: u32,
    failed: u32,
}

impl Simulation {
    fn new(seed: u64, is_limited: bool) -> Self {
        let config = || RouterConfig {
            probe_budget_per_s: 100,
        };
        let routers = (0..ENTRIES).map(|entry| {
            let mut router = Router::new(config(), seed * 100 + entry as u64);
            let keys = (0..UPSTREAMS).map(|index| router.upsert(0, &upstream(index)));
            let keys = keys.collect();
            (router, keys)
        });
        let owners = (0..UPSTREAMS).map(|_| {
            let mut limiter = ColdLimiter::new(0);
            limiter.set_rate(is_limited.then_some(ColdRate {
                calls_per_s: 18.0,
                overage_percent: 25,
                slack: 4,
                duration_us: None,
            }));
            Owner {
                limiter,
                in_flight: 0,
                sequence: 0,
                arrivals: Vec::new(),
            }
        });
        Simulation {
            routers: routers.collect(),
            owners: owners.collect(),
            events: BinaryHeap::new(),
            order: 0,
            served: 0,
            failed: 0,
        }
    }

    fn push(&mut self, at_us: u64, step: Step, event: &Event) {
        self.order += 1;
        let (_, _, _, entry, upstream, sent_us, attempts) = *event;
        self.events.push(Reverse((
            at_us, self.order, step, entry, upstream, sent_us, attempts,
        )));
    }

    fn run(&mut self, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut at_us = 5 * SECOND_US;
        while at_us < END_US {
            let is_burst = (BURST_US..BURST_US + COLD_US).contains(&at_us);
            let per_s = if is_burst { BURST_PER_S } else { CALLS_PER_S };
            at_us += rng.random_range(0..2 * SECOND_US / per_s);
            let entry = rng.random_range(0..ENTRIES);
            self.push(at_us, Step::New, &(0, 0, Step::New, entry, 0, 0, 0));
        }
        let mut is_cold = false;
        while let Some(Reverse(event)) = self.events.pop() {
            if !is_cold && event.0 >= BURST_US {
                is_cold = true;
                for owner in self.owners.iter_mut().rev().take(COLD) {
                    owner.limiter.extend(BURST_US + COLD_US);
                }
            }
            self.step(&event);
        }
    }

    fn step(&mut self, event: &Event) {
        let (now_us, _, step, entry, upstream, sent_us, attempts) = *event;
        match step {
            Step::New => self.send(now_us, entry, attempts),
            Step::Arrived => {
                let owner = &mut self.owners[upstream];
                if owner.in_flight < SLOTS && owner.limiter.try_send(now_us) {
                    owner.in_flight += 1;
                    owner.arrivals.push(now_us);
                    return self.push(now_us + SERVICE_US, Step::Finished, event);
                }
                self.reply(now_us, AttemptEnd::Refused, event);
            }
            Step::Finished => {
                self.owners[upstream].in_flight -= 1;
                self.reply(now_us, AttemptEnd::Answered, event);
            }
            Step::Replied(end) => {
                // The attempts are replied to in the order of the signals' sequence numbers or later,
                // so the current signal stands for the one that was sent.
                let signal = self.owners[upstream].signal(now_us);
                let (router, keys) = &mut self.routers[entry];
                let result = match end {
                    AttemptEnd::Answered => AttemptResult::Ok,
                    AttemptEnd::Refused => AttemptResult::Refused,
                };
                let latency_us = now_us - sent_us;
                router.record_result(now_us, keys[upstream], result, latency_us, Some(signal));
                match end {
                    AttemptEnd::Answered => self.served += 1,
                    AttemptEnd::Refused if attempts > MOVES => self.failed += 1,
                    AttemptEnd::Refused => self.send(now_us, entry, attempts),
                }
            }
        }
    }

    fn reply(&mut self, now_us: u64, end: AttemptEnd, event: &Event) {
        self.push(now_us + NETWORK_US, Step::Replied(end), event);
    }

    fn send(&mut self, now_us: u64, entry: usize, attempts: u32) {
        let zone = zone("a");
        let request = request(&zone);
        let (router, keys) = &mut self.routers[entry];
        let key = router
            .choose(now_us, &request)
            .expect("an upstream")
            .upstream;
        router.record_sent(now_us, key);
        let upstream = keys.iter().position(|known| *known == key).unwrap();
        let event = (0, 0, Step::Arrived, entry, upstream, now_us, attempts + 1);
        self.push(now_us + NETWORK_US, Step::Arrived, &event);
    }

    /// Largest number of calls of one cold upstream in a second that begins in its cold period.
    fn most_cold_per_s(&self) -> usize {
        let cold = BURST_US..BURST_US + COLD_US - SECOND_US;
        let most = |owner: &Owner| {
            let starts = owner.arrivals.iter().filter(|at| cold.contains(*at));
            let in_second = |start: &u64| {
                let second = *start..=*start + SECOND_US;
                owner
                    .arrivals
                    .iter()
                    .filter(|at| second.contains(*at))
                    .count()
            };
            starts.map(in_second).max().unwrap_or(0)
        };
        self.owners.iter().rev().take(COLD).map(most).max().unwrap()
    }

    /// Calls to the zone that restarted within a time.
    fn calls_of_zone(&self, from_us: u64, to_us: u64) -> usize {
        let owners = self.owners.iter().rev().take(COLD);
        let calls = owners.flat_map(|owner| &owner.arrivals);
        calls.filter(|at| (from_us..to_us).contains(*at)).count()
    }
}

fn simulate(seed: u64, is_limited: bool) -> Simulation {
    let mut simulation = Simulation::new(seed, is_limited);
    simulation.run(seed);
    simulation
}

#[test]
fn restart_beside_burst() {
    for seed in 1..=5 {
        let simulation = simulate(seed, true);
        let most = simulation.most_cold_per_s();
        assert!(most <= CRASH_BOUND, "seed {seed}: {most} calls in a second");
        let (served, failed) = (simulation.served, simulation.failed);
        assert!(
            f64::from(failed) < 0.01 * f64::from(served),
            "seed {seed}: {failed} failed, {served} served"
        );
        let cold_calls = simulation.calls_of_zone(BURST_US, BURST_US + COLD_US);
        assert!(cold_calls > 0, "seed {seed}: the cold zone is used");
        // A second after the cold period, the zone has a third of the upstreams and of the calls.
        let warm_us = BURST_US + COLD_US + SECOND_US;
        let warm_calls = simulation.calls_of_zone(warm_us, warm_us + SECOND_US);
        assert!(
            warm_calls as u64 > CALLS_PER_S / 6,
            "seed {seed}: {warm_calls} calls after the ramp"
        );
    }
}

/// Shows that the burst would exceed the bound without the limit.
#[test]
fn burst_without_limit() {
    assert!(simulate(1, false).most_cold_per_s() > CRASH_BOUND);
}
