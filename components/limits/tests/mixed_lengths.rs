//! Replays the load of one upstream that is left of three: short calls, which other upstreams make
//! while they run a request, short calls of callers, and long calls that fill the slots. A refused
//! short call wastes the run that made it, so it must not be refused because of long calls that
//! start after it, and the long calls must still get the rest of the slots.

use errors::ErrorKind;
use limits::{Admission, AdmissionConfig, AdmissionRequest, AdmissionResult, QueueDecision};
use model::{AttemptId, CallId, Priority};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

const MS: u64 = 1_000;
const RUN_MS: u64 = 20_000;
const SEEDS: u64 = 8;
/// Shares of the calls that fail, in percent: of a healthy upstream, and of one that fails fast.
/// Their owner counts the whole deadline as service time.
const FAILED_PERCENTS: [u64; 2] = [2, 30];
/// Slots, and additional slots for calls above the lowest priority.
const SLOTS: u32 = 7;
const URGENT_SLOTS: u32 = 2;

/// Calls of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Kind {
    /// Made by an upstream that runs a request.
    Nested,
    /// Short calls of callers.
    Short,
    /// Long calls of callers.
    Long,
}

struct Load {
    kind: Kind,
    per_s: f64,
    work_ms: u64,
    target_ms: u64,
    deadline_ms: u64,
    priority: Priority,
}

fn loads(long_per_s: f64) -> [Load; 3] {
    let load = |kind, per_s, work_ms, target_ms, deadline_ms, priority| Load {
        kind,
        per_s,
        work_ms,
        target_ms,
        deadline_ms,
        priority,
    };
    [
        load(Kind::Nested, 77.0, 30, 120, 400, Priority::Normal),
        load(Kind::Short, 11.5, 48, 150, 600, Priority::Normal),
        load(Kind::Long, long_per_s, 300, 800, 1_500, Priority::Low),
    ]
}

/// Small deterministic generator; the replay needs no statistical quality.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self.0 >> 33
    }

    /// Number from 0 to 1.
    fn share(&mut self) -> f64 {
        self.next() as f64 / (1_u64 << 31) as f64
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish(AttemptId),
    Arrive(usize),
    Expire,
}

#[derive(Default)]
struct Tally {
    asked: HashMap<Kind, f64>,
    in_time: HashMap<Kind, f64>,
}

impl Tally {
    fn share_in_time(&self, kind: Kind) -> f64 {
        self.in_time.get(&kind).copied().unwrap_or(0.0) / self.asked[&kind]
    }
}

struct Call {
    load: usize,
    arrived_us: u64,
    work_us: u64,
}

struct Replay {
    admission: Admission,
    loads: [Load; 3],
    random: Random,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    calls: HashMap<AttemptId, Call>,
    calls_made: u64,
    failed_percent: u64,
    tally: Tally,
}

impl Replay {
    fn new(seed: u64, long_per_s: f64, failed_percent: u64) -> Self {
        let config = AdmissionConfig {
            slots: SLOTS,
            urgent_slots: URGENT_SLOTS,
            queue_limit: 10_000,
        };
        let mut replay = Replay {
            admission: Admission::new(config),
            loads: loads(long_per_s),
            random: Random(seed + 1),
            events: BinaryHeap::new(),
            calls: HashMap::new(),
            calls_made: 0,
            failed_percent,
            tally: Tally::default(),
        };
        (0..replay.loads.len()).for_each(|load| replay.schedule_arrival(0, load));
        replay.schedule(0, Event::Expire);
        replay
    }

    fn run(mut self) -> Tally {
        while let Some(Reverse((now_us, event))) = self.events.pop() {
            if now_us >= RUN_MS * MS {
                break;
            }
            match event {
                Event::Arrive(load) => self.arrive(now_us, load),
                Event::Finish(attempt) => self.finish(now_us, attempt),
                Event::Expire => {
                    let decisions = self.admission.expire(now_us);
                    self.execute(now_us, &decisions);
                    self.schedule(now_us + MS, Event::Expire);
                }
            }
        }
        self.tally
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.events.push(Reverse((at_us, event)));
    }

    fn schedule_arrival(&mut self, now_us: u64, load: usize) {
        let gap_s = -(1.0 - self.random.share()).ln() / self.loads[load].per_s;
        self.schedule(now_us + (gap_s * 1e6) as u64, Event::Arrive(load));
    }

    fn arrive(&mut self, now_us: u64, load: usize) {
        self.schedule_arrival(now_us, load);
        self.calls_made += 1;
        let attempt = AttemptId {
            call: CallId {
                origin: load as u64,
                sequence: self.calls_made,
            },
            attempt: 0,
        };
        let spread = 0.7 + 0.6 * self.random.share();
        let Load {
            kind,
            work_ms,
            target_ms,
            deadline_ms,
            priority,
            ..
        } = self.loads[load];
        *self.tally.asked.entry(kind).or_default() += 1.0;
        let call = Call {
            load,
            arrived_us: now_us,
            work_us: (work_ms as f64 * spread * 1e3) as u64,
        };
        self.calls.insert(attempt, call);
        let expected_us = work_ms * MS;
        let target_us = now_us + target_ms * MS;
        let request = AdmissionRequest {
            attempt,
            priority,
            deadline_us: now_us + deadline_ms * MS,
            start_by_us: target_us - expected_us,
            expected_us,
            target_us,
            start_now: false,
            queue_limit: 1_000,
            customer: None,
            done_us: 0,
        };
        match self.admission.admit(now_us, request) {
            AdmissionResult::Start => self.start(now_us, attempt),
            AdmissionResult::Queued => {}
            AdmissionResult::QueuedInstead(_) => panic!("the queue is full"),
            AdmissionResult::Refused(kind) => assert_eq!(kind, ErrorKind::Overloaded),
        }
    }

    fn start(&mut self, now_us: u64, attempt: AttemptId) {
        let work_us = self.calls[&attempt].work_us;
        self.schedule(now_us + work_us, Event::Finish(attempt));
    }

    fn finish(&mut self, now_us: u64, attempt: AttemptId) {
        let call = self.calls.remove(&attempt).unwrap();
        let load = &self.loads[call.load];
        let has_failed = self.random.next() % 100 < self.failed_percent;
        let counted_us = if has_failed {
            load.deadline_ms * MS
        } else {
            call.work_us
        };
        if now_us <= call.arrived_us + load.target_ms * MS {
            *self.tally.in_time.entry(load.kind).or_default() += 1.0;
        }
        let decisions = self.admission.finish(now_us, attempt, counted_us);
        self.execute(now_us, &decisions);
    }

    fn execute(&mut self, now_us: u64, decisions: &[QueueDecision]) {
        for decision in decisions {
            if let QueueDecision::Start(attempt) = decision {
                self.start(now_us, *attempt);
            }
        }
    }
}

/// Share of the long calls' work that fits the slots which the short calls leave to them.
fn long_share_left(long_per_s: f64) -> f64 {
    let busy = |load: &Load| load.per_s * load.work_ms as f64 / 1e3;
    let [nested, short, long] = loads(long_per_s).map(|load| busy(&load));
    let taken = (nested + short - f64::from(URGENT_SLOTS)).max(0.0);
    ((f64::from(SLOTS) - taken) / long).min(1.0)
}

/// Runs at 60 to 120 % of the slots, of which the short calls need a third.
#[test]
fn short_calls_served_beside_long_ones() {
    for failed_percent in FAILED_PERCENTS {
        for long_per_s in [8.5, 12.0, 18.0, 26.5] {
            for seed in 0..SEEDS {
                let tally = Replay::new(seed, long_per_s, failed_percent).run();
                let [nested, short, long] =
                    [Kind::Nested, Kind::Short, Kind::Long].map(|kind| tally.share_in_time(kind));
                println!(
                    "{failed_percent} % fail, {long_per_s} long calls/s, seed {seed}: nested \
                     {nested:.3}, short {short:.3}, long {long:.3}"
                );
                assert!(nested >= 0.95);
                assert!(short >= 0.95);
                assert!(long >= 0.5 * long_share_left(long_per_s));
            }
        }
    }
}
