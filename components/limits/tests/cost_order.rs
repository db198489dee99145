//! Replays demand in waves of plus and minus 55 % at an instance that is five times slower for 150 ms
//! at a time, a quarter of the time. One kind of call has six times the value of the others and the
//! highest priority. Guards against value that is lost because cheap calls take the slots, against
//! high priorities that lower ones starve, and against a priority that gets nothing at all.

use limits::{
    Admission, AdmissionConfig, AdmissionOrder, AdmissionRequest, AdmissionResult, QueueDecision,
};
use model::{AttemptId, CallId, Priority};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashSet},
};

const MS: u64 = 1_000;
const SLOTS: u32 = 6;
const RUN_US: u64 = 20_000 * MS;
const WAVE_US: f64 = 5e6;
const WAVE: f64 = 0.55;
/// The instance is slow for 150 ms of every 600 ms on average.
const SLOW_US: u64 = 150 * MS;
const SLOW_SHARE: f64 = 0.25;
const SLOW_FACTOR: f64 = 5.0;
/// Lost value may be this much over the oracle's.
const LOST_OF_ORACLE: f64 = 1.25;
/// Share of the calls of the highest priority that are served at 150 %.
const HIGH_SERVED: f64 = 0.97;
const SEEDS: u64 = 5;

struct Kind {
    priority: Priority,
    share: f64,
    work_us: u64,
    target_us: u64,
    value: f64,
}

const KINDS: [Kind; 4] = [
    kind(Priority::High, 0.15, 30, 300, 6.0),
    kind(Priority::Normal, 0.35, 15, 300, 1.0),
    kind(Priority::Normal, 0.2, 60, 600, 1.0),
    kind(Priority::Normal, 0.3, 30, 600, 1.0),
];

const fn kind(priority: Priority, share: f64, work_ms: u64, target_ms: u64, value: f64) -> Kind {
    Kind {
        priority,
        share,
        work_us: work_ms * MS,
        target_us: target_ms * MS,
        value,
    }
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

#[derive(Clone, Copy)]
struct Call {
    kind: usize,
    at_us: u64,
    work_us: f64,
}

/// Calls and slow periods of one run, the same for all orders.
struct Workload {
    calls: Vec<Call>,
    slow: Vec<bool>,
}

impl Workload {
    fn new(load: f64, seed: u64) -> Self {
        let mut random = Random(seed);
        let periods = (RUN_US / SLOW_US) as usize + 20;
        let slow: Vec<bool> = (0..periods).map(|_| random.share() < SLOW_SHARE).collect();
        let speed = 1.0 - SLOW_SHARE + SLOW_SHARE / SLOW_FACTOR;
        let mean_us: f64 = KINDS.iter().map(|k| k.share * k.work_us as f64).sum();
        let per_us = load * f64::from(SLOTS) * speed / mean_us;
        let (mut at_us, mut calls) = (0.0, Vec::new());
        while at_us < RUN_US as f64 {
            at_us -= (1.0 - random.share()).ln() / (per_us * (1.0 + WAVE));
            let wave = 1.0 + WAVE * (at_us / WAVE_US * std::f64::consts::TAU).sin();
            if random.share() > wave / (1.0 + WAVE) {
                continue;
            }
            let mut rest = random.share();
            let kind = KINDS.iter().position(|k| {
                rest -= k.share;
                rest < 0.0
            });
            let kind = kind.unwrap_or(KINDS.len() - 1);
            let work_us = KINDS[kind].work_us as f64 * (0.7 + 0.6 * random.share());
            calls.push(Call {
                kind,
                at_us: at_us as u64,
                work_us,
            });
        }
        Workload { calls, slow }
    }

    fn speed_at(&self, now_us: u64) -> f64 {
        match self.slow.get((now_us / SLOW_US) as usize) {
            Some(true) => 1.0 / SLOW_FACTOR,
            _ => 1.0,
        }
    }

    /// End of work that starts now.
    fn end_us(&self, start_us: u64, work_us: f64) -> u64 {
        let (mut now_us, mut left_us) = (start_us, work_us);
        loop {
            let period_end_us = (now_us / SLOW_US + 1) * SLOW_US;
            let speed = self.speed_at(now_us);
            let done_us = (period_end_us - now_us) as f64 * speed;
            if done_us >= left_us {
                return now_us + (left_us / speed).ceil() as u64;
            }
            left_us -= done_us;
            now_us = period_end_us;
        }
    }

    /// Calls that an oracle serves in time. It has the same slots and doesn't know future arrivals,
    /// but it knows when each call would end, and takes the call of most value for its work.
    fn oracle(&self) -> HashSet<usize> {
        let mut free_at_us = BinaryHeap::from(vec![Reverse(0); SLOTS as usize]);
        let (mut next, mut waiting, mut served) = (0, Vec::<usize>::new(), HashSet::new());
        while let Some(Reverse(mut now_us)) = free_at_us.pop() {
            if waiting.is_empty() {
                let Some(call) = self.calls.get(next) else {
                    break;
                };
                now_us = now_us.max(call.at_us);
            }
            while self
                .calls
                .get(next)
                .is_some_and(|call| call.at_us <= now_us)
            {
                waiting.push(next);
                next += 1;
            }
            let end_us = |n: usize| self.end_us(now_us, self.calls[n].work_us);
            waiting.retain(|n| end_us(*n) <= self.target_us(*n));
            let value = |n: usize| KINDS[self.calls[n].kind].value / self.calls[n].work_us;
            let best =
                (0..waiting.len()).max_by(|a, b| value(waiting[*a]).total_cmp(&value(waiting[*b])));
            match best.map(|index| waiting.swap_remove(index)) {
                Some(n) => {
                    served.insert(n);
                    free_at_us.push(Reverse(end_us(n)));
                }
                None => free_at_us.push(Reverse(now_us)),
            }
        }
        served
    }

    fn target_us(&self, n: usize) -> u64 {
        let call = &self.calls[n];
        call.at_us + KINDS[call.kind].target_us
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish(usize),
    Arrive(usize),
    Expire,
}

fn attempt(n: usize) -> AttemptId {
    AttemptId {
        call: CallId {
            origin: 0,
            sequence: n as u64,
        },
        attempt: 0,
    }
}

/// Calls that the admission serves in time.
fn replay(workload: &Workload, order: AdmissionOrder) -> HashSet<usize> {
    let mut admission = Admission::new(AdmissionConfig {
        slots: SLOTS,
        urgent_slots: 0,
        queue_limit: 10_000,
    })
    .with_order(order);
    let mut events = BinaryHeap::from([Reverse((0, Event::Expire))]);
    for (n, call) in workload.calls.iter().enumerate() {
        events.push(Reverse((call.at_us, Event::Arrive(n))));
    }
    let mut started_us = vec![0; workload.calls.len()];
    let mut served = HashSet::new();
    while let Some(Reverse((now_us, event))) = events.pop() {
        let mut started = Vec::new();
        let decisions = match event {
            Event::Arrive(n) => {
                let kind = &KINDS[workload.calls[n].kind];
                let target_us = now_us + kind.target_us;
                let request = AdmissionRequest {
                    attempt: attempt(n),
                    priority: kind.priority,
                    deadline_us: target_us + 1_000 * MS,
                    start_by_us: target_us - kind.work_us,
                    expected_us: kind.work_us,
                    target_us,
                    start_now: false,
                    queue_limit: 1_000,
                    customer: None,
                    done_us: 0,
                };
                if admission.admit(now_us, request) == AdmissionResult::Start {
                    started.push(n);
                }
                Vec::new()
            }
            Event::Finish(n) => {
                let call = workload.calls[n];
                if now_us <= call.at_us + KINDS[call.kind].target_us {
                    served.insert(n);
                }
                admission.finish(now_us, attempt(n), now_us - started_us[n])
            }
            Event::Expire if now_us < RUN_US + 2_000 * MS => {
                events.push(Reverse((now_us + 2 * MS, Event::Expire)));
                admission.expire(now_us)
            }
            Event::Expire => Vec::new(),
        };
        started.extend(decisions.iter().filter_map(|decision| match decision {
            QueueDecision::Start(id) => Some(id.call.sequence as usize),
            QueueDecision::Refuse(..) => None,
        }));
        for n in started {
            started_us[n] = now_us;
            let end_us = workload.end_us(now_us, workload.calls[n].work_us);
            events.push(Reverse((end_us, Event::Finish(n))));
        }
    }
    served
}

fn lost_value(workload: &Workload, served: &HashSet<usize>) -> f64 {
    let lost = (0..workload.calls.len()).filter(|n| !served.contains(n));
    lost.map(|n| KINDS[workload.calls[n].kind].value).sum()
}

fn share_served(workload: &Workload, served: &HashSet<usize>, priority: Priority) -> f64 {
    let of_priority: Vec<usize> = (0..workload.calls.len())
        .filter(|n| KINDS[workload.calls[*n].kind].priority == priority)
        .collect();
    let count = of_priority.iter().filter(|n| served.contains(n)).count();
    count as f64 / of_priority.len() as f64
}

struct Outcome {
    load: f64,
    /// Lost value over that of the oracle.
    ratio: f64,
    high: f64,
}

fn outcomes() -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for load in [0.9, 1.1, 1.5] {
        for seed in 1..=SEEDS {
            let workload = Workload::new(load, seed);
            let oracle = lost_value(&workload, &workload.oracle());
            let served = replay(&workload, AdmissionOrder::Cost);
            let before = replay(&workload, AdmissionOrder::Deadline);
            let lost = lost_value(&workload, &served);
            let high = share_served(&workload, &served, Priority::High);
            println!(
                "load {load}, seed {seed}: lost {lost:.0}, by deadline {:.0}, oracle {oracle:.0}; \
                 high {high:.3} (by deadline {:.3})",
                lost_value(&workload, &before),
                share_served(&workload, &before, Priority::High),
            );
            outcomes.push(Outcome {
                load,
                ratio: lost / oracle,
                high,
            });
        }
    }
    outcomes
}

#[test]
fn lost_value_near_oracle() {
    for Outcome { load, ratio, .. } in outcomes() {
        assert!(ratio <= LOST_OF_ORACLE, "load {load}: {ratio:.2}");
    }
}

#[test]
fn high_priority_is_served() {
    for Outcome { load, high, .. } in outcomes() {
        assert!(high >= HIGH_SERVED, "load {load}: {high:.3}");
    }
}

/// More calls than the slots can serve of a higher priority leave a low rate to a lower one, and a
/// lower priority takes no more than that from a higher one.
#[test]
fn starved_priority_gets_some() {
    const WORK_US: u64 = 20 * MS;
    let mut admission = Admission::new(AdmissionConfig {
        slots: 1,
        urgent_slots: 0,
        queue_limit: 10_000,
    })
    .with_order(AdmissionOrder::Cost);
    let mut started = Vec::new();
    let mut running: Option<(AttemptId, u64)> = None;
    // Two calls of high and two of low priority arrive in the time of one call.
    for n in 0..8_000 {
        let now_us = n as u64 * WORK_US / 4;
        let request = AdmissionRequest {
            attempt: attempt(n),
            priority: [Priority::High, Priority::Low][n % 2],
            deadline_us: now_us + 1_000 * MS,
            start_by_us: now_us + 300 * MS,
            expected_us: WORK_US,
            target_us: now_us + 300 * MS,
            start_now: false,
            queue_limit: 1_000,
            customer: None,
            done_us: 0,
        };
        if admission.admit(now_us, request) == AdmissionResult::Start {
            running = Some((attempt(n), now_us + WORK_US));
            started.push(n);
        }
        let mut decisions = admission.expire(now_us);
        if let Some((id, end_us)) = running
            && now_us >= end_us
        {
            running = None;
            decisions.extend(admission.finish(now_us, id, WORK_US));
        }
        for decision in decisions {
            if let QueueDecision::Start(id) = decision {
                running = Some((id, now_us + WORK_US));
                started.push(id.call.sequence as usize);
            }
        }
    }
    let low = started.iter().filter(|n| *n % 2 == 1).count() as f64 / started.len() as f64;
    println!("{low:.4} of {} starts are of low priority", started.len());
    assert!(low > 0.0, "the low priority gets nothing");
    assert!(
        low <= 1.0 - HIGH_SERVED,
        "{low:.3} is taken from the high one"
    );
}

/// Of two equal calls, the one for which work was already done starts first.
#[test]
fn work_done_counts() {
    let mut admission = Admission::new(AdmissionConfig {
        slots: 1,
        urgent_slots: 0,
        queue_limit: 10,
    })
    .with_order(AdmissionOrder::Cost);
    let request = |n: usize, done_us: u64| AdmissionRequest {
        attempt: attempt(n),
        priority: Priority::Normal,
        deadline_us: 1_000 * MS,
        start_by_us: 1_000 * MS,
        expected_us: 20 * MS,
        target_us: 500 * MS,
        start_now: false,
        queue_limit: 10,
        customer: None,
        done_us,
    };
    assert_eq!(admission.admit(0, request(0, 0)), AdmissionResult::Start);
    for (n, done_us) in [(1, 0), (2, 40 * MS)] {
        let result = admission.admit(0, request(n, done_us));
        assert_eq!(result, AdmissionResult::Queued);
    }
    let next = admission.finish(20 * MS, attempt(0), 20 * MS);
    assert_eq!(next, [QueueDecision::Start(attempt(2))]);
}
