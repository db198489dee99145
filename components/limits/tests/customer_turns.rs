//! Replays one customer at 11 times its usual load beside 20 others, each with 1 % of the load.
//! Guards against others that wait behind its calls or are refused because of them, and against an
//! order that changes where no call has a customer.

use limits::{
    Admission, AdmissionConfig, AdmissionRequest, AdmissionResult, CustomerKey, QueueDecision,
};
use model::{AttemptId, CallId, Priority};
use proptest::{collection::vec, prop_assert_eq, proptest};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

const MS: u64 = 1_000;
const SLOTS: u32 = 6;
const SERVICE_US: u64 = 20 * MS;
const DEADLINE_US: u64 = 2_000 * MS;
const TARGET_US: u64 = 200 * MS;
const QUEUE_LIMIT: u32 = 64;
const RUN_US: u64 = 20_000 * MS;
/// Calls per second that the slots can serve.
const CAPACITY_PER_S: f64 = SLOTS as f64 * 1e6 / SERVICE_US as f64;
const SMALL_CUSTOMERS: usize = 20;
const SMALL_SHARE: f64 = 0.01;
/// The large customer's usual load is 30 % of the capacity.
const LARGE_SHARE: f64 = 0.3;
const LARGE_FACTOR: f64 = 11.0;

fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        call: CallId {
            origin: 0,
            sequence,
        },
        attempt: 0,
    }
}

/// Small deterministic generator; the replay needs no statistical quality.
struct Random(u64);

impl Random {
    fn exponential_us(&mut self, per_s: f64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let share = (self.0 >> 33) as f64 / (1_u64 << 31) as f64;
        (-(1.0 - share).ln() / per_s * 1e6) as u64
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish(AttemptId),
    Arrive(usize),
    Expire,
}

struct Replay {
    admission: Admission,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    random: Random,
    rates_per_s: Vec<f64>,
    has_customers: bool,
    /// Customer and arrival of each call.
    calls: Vec<(usize, u64)>,
    asked: HashMap<usize, u64>,
    latencies_us: HashMap<usize, Vec<u64>>,
}

impl Replay {
    fn run(seed: u64, large_factor: f64, has_customers: bool) -> Self {
        let mut rates_per_s = vec![LARGE_SHARE * large_factor * CAPACITY_PER_S];
        rates_per_s.extend([SMALL_SHARE * CAPACITY_PER_S; SMALL_CUSTOMERS]);
        let mut replay = Replay {
            admission: Admission::new(AdmissionConfig {
                slots: SLOTS,
                urgent_slots: 0,
                queue_limit: 10_000,
            }),
            events: BinaryHeap::new(),
            random: Random(seed),
            rates_per_s,
            has_customers,
            calls: Vec::new(),
            asked: HashMap::new(),
            latencies_us: HashMap::new(),
        };
        (0..replay.rates_per_s.len()).for_each(|customer| replay.schedule_arrival(0, customer));
        replay.events.push(Reverse((0, Event::Expire)));
        while let Some(Reverse((now_us, event))) = replay.events.pop() {
            if now_us >= RUN_US {
                break;
            }
            replay.handle(now_us, event);
        }
        replay
    }

    fn schedule_arrival(&mut self, now_us: u64, customer: usize) {
        let gap_us = self.random.exponential_us(self.rates_per_s[customer]);
        self.events
            .push(Reverse((now_us + gap_us, Event::Arrive(customer))));
    }

    fn handle(&mut self, now_us: u64, event: Event) {
        let decisions = match event {
            Event::Arrive(customer) => {
                self.schedule_arrival(now_us, customer);
                return self.arrive(now_us, customer);
            }
            Event::Finish(attempt) => {
                let (customer, arrived_us) = self.calls[attempt.call.sequence as usize];
                let latencies_us = self.latencies_us.entry(customer).or_default();
                latencies_us.push(now_us - arrived_us);
                self.admission.finish(now_us, attempt, SERVICE_US)
            }
            Event::Expire => {
                self.events.push(Reverse((now_us + MS, Event::Expire)));
                self.admission.expire(now_us)
            }
        };
        for decision in decisions {
            if let QueueDecision::Start(attempt) = decision {
                self.start(now_us, attempt);
            }
        }
    }

    fn arrive(&mut self, now_us: u64, customer: usize) {
        let id = attempt(self.calls.len() as u64);
        self.calls.push((customer, now_us));
        *self.asked.entry(customer).or_default() += 1;
        let request = AdmissionRequest {
            attempt: id,
            priority: Priority::Normal,
            deadline_us: now_us + DEADLINE_US,
            start_by_us: now_us + TARGET_US - SERVICE_US,
            expected_us: SERVICE_US,
            target_us: now_us + TARGET_US,
            start_now: false,
            queue_limit: QUEUE_LIMIT,
            customer: self
                .has_customers
                .then(|| CustomerKey::of(&format!("customer-{customer}"))),
            done_us: 0,
        };
        if self.admission.admit(now_us, request) == AdmissionResult::Start {
            self.start(now_us, id);
        }
    }

    fn start(&mut self, now_us: u64, attempt: AttemptId) {
        self.events
            .push(Reverse((now_us + SERVICE_US, Event::Finish(attempt))));
    }

    /// Share of the small customers' calls that were served, and their p99 in milliseconds.
    fn small_customers(&self) -> (f64, f64) {
        let asked: u64 = (1..=SMALL_CUSTOMERS).map(|c| self.asked[&c]).sum();
        let mut latencies_us: Vec<u64> = (1..=SMALL_CUSTOMERS)
            .filter_map(|customer| self.latencies_us.get(&customer))
            .flatten()
            .copied()
            .collect();
        latencies_us.sort_unstable();
        let served = latencies_us.len() as f64 / asked as f64;
        let p99_us = latencies_us[latencies_us.len() * 99 / 100];
        (served, p99_us as f64 / 1e3)
    }
}

/// A small customer's call waits at most for the running calls, for one turn of each customer and
/// for its own service: its latency doesn't grow with the load of the large one.
#[test]
fn small_customers_keep_their_latency() {
    for seed in 1..=5 {
        let (_, usual_ms) = Replay::run(seed, 1.0, true).small_customers();
        let (served, p99_ms) = Replay::run(seed, LARGE_FACTOR, true).small_customers();
        let (served_before, before_ms) = Replay::run(seed, LARGE_FACTOR, false).small_customers();
        println!(
            "seed {seed}: usual p99 {usual_ms:.0} ms, served {served:.3}, p99 {p99_ms:.0} ms; \
             without customers served {served_before:.3}, p99 {before_ms:.0} ms"
        );
        assert!(served >= 0.99);
        let round_ms = 3.0 * SERVICE_US as f64 / 1e3;
        assert!(p99_ms <= usual_ms + round_ms);
    }
}

/// The large customer still gets what the others leave.
#[test]
fn no_capacity_is_lost() {
    let replay = Replay::run(7, LARGE_FACTOR, true);
    let served: usize = replay.latencies_us.values().map(Vec::len).sum();
    let capacity = CAPACITY_PER_S * RUN_US as f64 / 1e6;
    assert!(served as f64 >= 0.98 * capacity, "{served} of {capacity}");
}

fn log_of(steps: &[(u64, u8, u8, u8)], customer: Option<CustomerKey>) -> Vec<String> {
    let mut admission = Admission::new(AdmissionConfig {
        slots: 2,
        urgent_slots: 1,
        queue_limit: 12,
    });
    let (mut now_us, mut running, mut log) = (0, Vec::new(), Vec::new());
    for (sequence, (gap_us, priority, target, queue_limit)) in (0..).zip(steps) {
        now_us += gap_us;
        if priority % 2 == 0 && !running.is_empty() {
            let id = running.remove(usize::from(*target) % running.len());
            for decision in admission.finish(now_us, id, SERVICE_US) {
                log.push(format!("{decision:?}"));
                if let QueueDecision::Start(id) = decision {
                    running.push(id);
                }
            }
        }
        let request = AdmissionRequest {
            attempt: attempt(sequence),
            priority: [Priority::Low, Priority::Normal, Priority::High][usize::from(priority % 3)],
            deadline_us: now_us + DEADLINE_US,
            start_by_us: now_us + DEADLINE_US,
            expected_us: u64::from(*priority + 1) * MS,
            target_us: now_us + u64::from(*target) * MS,
            start_now: false,
            queue_limit: u32::from(*queue_limit),
            customer,
            done_us: 0,
        };
        let result = admission.admit(now_us, request);
        if result == AdmissionResult::Start {
            running.push(request.attempt);
        }
        log.push(format!("{result:?}"));
    }
    log
}

proptest! {
    /// One customer alone has the order of calls without customers.
    #[test]
    fn one_customer_as_none(
        steps in vec((0u64..30_000, 0u8..12, 0u8..200, 0u8..20), 1..120)
    ) {
        let customer = Some(CustomerKey::of("only"));
        prop_assert_eq!(log_of(&steps, customer), log_of(&steps, None));
    }
}
