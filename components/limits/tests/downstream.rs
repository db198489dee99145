//! Replays instances of service A that call service B, while B has a third of its capacity for two
//! seconds. Guards against calls of A that run although B will refuse their calls, against lost calls
//! that B could have served, and against refusals that go on after the shortage.

use limits::{DownstreamCapacity, DownstreamOutcome, RefusalCause, retry_after_ms};
use model::{AttemptId, CallId, Priority, ProfileName, ServiceName};
use std::{cmp::Reverse, collections::BinaryHeap};

const MS: u64 = 1_000;
const RUN_US: u64 = 12_000 * MS;
const SHORT_FROM_US: u64 = 5_000 * MS;
const SHORT_UNTIL_US: u64 = 7_000 * MS;
/// Calls of A, over all its nodes; B can serve 240 per second, and 80 while it is short.
const CALLS_PER_S: u64 = 160;
const NODES: usize = 4;
/// Time for which an instance of A works on a call before it calls B.
const WORK_US: u64 = 20 * MS;
const B_SERVICE_US: u64 = 1_000_000 / 240;
const B_SHORT_FACTOR: u64 = 3;
/// Owners of B refuse calls that would wait longer.
const B_MAX_WAIT_US: u64 = 60 * MS;
const TARGET_MS: u64 = 400;
const SEEDS: u64 = 5;
/// Time after the shortage within which all calls of A are served again.
const RECOVERY_US: u64 = 250 * MS;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    CallToB,
    Answer,
}

#[derive(Debug, Default)]
struct Counts {
    served: u64,
    wasted: u64,
    refused: u64,
    last_lost_us: u64,
}

/// Small deterministic generator; the replay needs no statistical quality.
struct Random(u64);

impl Random {
    fn share(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) as f64 / (1_u64 << 31) as f64
    }
}

fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        call: CallId {
            origin: 1,
            sequence,
        },
        attempt: 0,
    }
}

fn profile() -> ProfileName {
    ProfileName::parse("browse").unwrap()
}

fn service(name: &str) -> ServiceName {
    ServiceName::parse(name).unwrap()
}

fn replay(seed: u64, has_rule: bool) -> Counts {
    let mut random = Random(seed);
    let (profile, callee) = (profile(), service("b"));
    let mut nodes = vec![DownstreamCapacity::default(); NODES];
    let mut events = BinaryHeap::new();
    let mut at_us = 0;
    for call in 0..RUN_US / 1_000_000 * CALLS_PER_S {
        at_us += (2e6 / CALLS_PER_S as f64 * random.share()) as u64;
        events.push(Reverse((at_us, Event::Arrival, call, at_us)));
    }
    let mut result = Counts::default();
    let mut b_free_us = 0_u64;
    while let Some(Reverse((now_us, event, call, sent_us))) = events.pop() {
        let node = &mut nodes[call as usize % NODES];
        let is_short = (SHORT_FROM_US..SHORT_UNTIL_US).contains(&now_us);
        match event {
            Event::Arrival => {
                if has_rule && node.admit(now_us, &profile, Priority::Normal).is_err() {
                    result.refused += 1;
                    result.last_lost_us = now_us;
                    continue;
                }
                node.start(attempt(call));
                events.push(Reverse((now_us + WORK_US, Event::CallToB, call, now_us)));
            }
            Event::CallToB => {
                node.record_call(attempt(call), &callee);
                let wait_us = b_free_us.saturating_sub(now_us);
                if wait_us > B_MAX_WAIT_US {
                    let cause = RefusalCause::NoCapacity {
                        expected_ms: wait_us / MS,
                    };
                    let retry_ms = retry_after_ms(cause, TARGET_MS, random.share());
                    let outcome = DownstreamOutcome::Overloaded {
                        retry_after_us: (retry_ms * MS as f64) as u64,
                    };
                    node.record_outcome(now_us, now_us, &callee, Priority::Normal, outcome);
                    node.end(now_us, attempt(call), &profile, true);
                    result.wasted += 1;
                    result.last_lost_us = now_us;
                    continue;
                }
                let factor = if is_short { B_SHORT_FACTOR } else { 1 };
                b_free_us = b_free_us.max(now_us) + B_SERVICE_US * factor;
                events.push(Reverse((b_free_us, Event::Answer, call, now_us)));
            }
            Event::Answer => {
                let answered = DownstreamOutcome::Answered;
                node.record_outcome(now_us, sent_us, &callee, Priority::Normal, answered);
                node.end(now_us, attempt(call), &profile, true);
                result.served += 1;
            }
        }
    }
    result
}

#[test]
fn third_of_capacity() {
    for seed in 1..=SEEDS {
        let (without, with) = (replay(seed, false), replay(seed, true));
        let case = format!("seed {seed}: without {without:?}, with {with:?}");
        assert_eq!(without.refused, 0, "{case}");
        assert!(with.wasted * 3 <= without.wasted, "{case}");
        assert!(with.served * 100 >= without.served * 97, "{case}");
        assert!(with.last_lost_us <= SHORT_UNTIL_US + RECOVERY_US, "{case}");
    }
}
