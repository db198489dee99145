//! Discrete-event simulation of one policy on one workload in virtual time.

use super::{
    chooser::{AttemptKind, ChoiceContext, ChosenInstance, Entry, Policy},
    event::{Event, ScheduledEvent},
    instance::Instance,
    mix::ValueCount,
    report::Stats,
    scenario::{Arrival, Scenario, Workload, exponential},
    settings::Settings,
};
use model::{AttemptId, CallId, LoadSignal, UpstreamState};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use routing::{AttemptResult, UpstreamKey};
use std::{cmp::Reverse, collections::BinaryHeap};

/// Most attempts of one call, as a profile has by default.
pub(crate) const MAX_ATTEMPTS: usize = 3;
/// One-way delay within a host, in microseconds.
const LOCAL_DELAY_US: f64 = 30.0;
/// One-way delay within an availability zone, in microseconds.
const ZONE_DELAY_US: f64 = 150.0;
/// Mean of the random part of each delay between hosts, in microseconds.
const NETWORK_JITTER_US: f64 = 50.0;
/// Time between an instance's load reports, in microseconds.
pub(super) const REPORT_INTERVAL_US: u64 = 50_000;
/// Shortest and longest delay of a load report or of gossip, in microseconds.
pub(super) const REPORT_DELAY_US: (u64, u64) = (5_000, 200_000);

/// Latencies and counters of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimulationResult {
    /// Latency of each call in microseconds; the deadline for a call that failed.
    pub(crate) latencies_us: Vec<u32>,
    pub(crate) errors: u64,
    /// Value of mixed calls.
    pub(crate) value: ValueCount,
    pub(crate) retries: u64,
    pub(crate) hedges: u64,
    /// Number of probe messages; a probe and its reply count as two.
    pub(crate) messages: u64,
    /// Highest number of probe messages of one entry in any one second.
    pub(crate) peak_messages: u64,
    /// Statistics, filled in by `summarize` after the run.
    pub(crate) stats: Stats,
}

/// An attempt of a call, as its entry sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) instance: usize,
    /// The router's key of the instance, if the router chose it.
    key: Option<UpstreamKey>,
    sent_us: u64,
    /// Whether the entry still waits for the result.
    pending: bool,
    /// Whether a retry is reserved in case the owner refuses the attempt after its longest wait.
    reserved: bool,
    /// Whether a cancellation overtook the attempt on its way to the owner.
    pub(super) cancelled: bool,
}

/// A call, as its entry sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Call {
    pub(super) attempts: [Option<Attempt>; MAX_ATTEMPTS],
    attempt_count: usize,
    done: bool,
}

/// State of a run.
pub(super) struct Simulation<'a> {
    pub(super) policy: Policy,
    pub(super) scenario: &'a Scenario,
    pub(super) settings: &'a Settings,
    pub(super) workload: &'a Workload,
    pub(super) now_us: u64,
    pub(super) events: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Sequence number of the event scheduled last.
    pub(super) sequence: u64,
    pub(super) instances: Vec<Instance>,
    pub(super) entries: Vec<Entry>,
    pub(super) calls: Vec<Call>,
    /// Mean one-way delays, by entry and instance.
    pub(super) network_us: Vec<Vec<f64>>,
    pub(super) rng: Pcg64Mcg,
    pub(super) result: SimulationResult,
}

/// Simulates one policy on one workload.
pub(crate) fn simulate(
    policy: Policy,
    scenario: &Scenario,
    settings: &Settings,
    workload: &Workload,
) -> SimulationResult {
    let seed = workload.seed;
    let entries = (0..scenario.entries)
        .map(|i| Entry::new(i, scenario, settings, seed))
        .collect();
    let mut simulation = Simulation {
        policy,
        scenario,
        settings,
        workload,
        now_us: 0,
        events: BinaryHeap::new(),
        sequence: 0,
        instances: vec![
            Instance::new(scenario.slots, settings.queue_limit, settings.order);
            scenario.instances
        ],
        entries,
        calls: vec![Call::default(); workload.arrivals.len()],
        network_us: mean_delays_us(scenario),
        rng: Pcg64Mcg::seed_from_u64(seed.wrapping_add(0x9e37_79b9)),
        result: SimulationResult::default(),
    };
    simulation.run();
    simulation.result
}

/// Mean one-way delays in microseconds, by entry and instance.
fn mean_delays_us(scenario: &Scenario) -> Vec<Vec<f64>> {
    let delay = |entry: usize, instance: usize| {
        if scenario.sidecar && entry == instance {
            LOCAL_DELAY_US
        } else if entry % scenario.zones == instance % scenario.zones {
            ZONE_DELAY_US + NETWORK_JITTER_US
        } else {
            scenario.cross_zone_us + NETWORK_JITTER_US
        }
    };
    (0..scenario.entries)
        .map(|entry| (0..scenario.instances).map(|i| delay(entry, i)).collect())
        .collect()
}

impl Simulation<'_> {
    fn run(&mut self) {
        for index in 0..self.workload.disturbances.len() {
            self.schedule(
                self.workload.disturbances[index].0,
                Event::Disturbance(index),
            );
        }
        if self.policy == Policy::TwoReported {
            for instance in 0..self.instances.len() {
                self.schedule(0, Event::SendReport(instance));
            }
        }
        if let Some(first) = self.workload.arrivals.first() {
            self.schedule(first.at_us, Event::CallArrived(0));
        }
        while self.result.latencies_us.len() < self.calls.len() {
            let Some(Reverse(next)) = self.events.pop() else {
                break;
            };
            self.now_us = next.at_us;
            self.handle_event(next.event);
        }
        let peaks = self
            .entries
            .iter()
            .map(|entry| peak_probes(&entry.probe_times_us) * 2);
        self.result.peak_messages = peaks.max().unwrap_or(0);
        self.result.messages = self
            .entries
            .iter()
            .map(|entry| entry.probe_times_us.len() as u64 * 2)
            .sum();
    }

    pub(super) fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(ScheduledEvent {
            at_us,
            sequence: self.sequence,
            event,
        }));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::CallArrived(index) => self.handle_call(index),
            Event::AttemptArrived(attempt, max_queue_wait_us) => {
                self.admit(attempt, max_queue_wait_us);
            }
            Event::CallFinished {
                instance,
                generation,
            } => self.finish_calls(instance, generation),
            Event::QueueTimer(instance) => {
                let decisions = self.instances[instance].admission.expire(self.now_us);
                self.apply_decisions(instance, decisions);
            }
            Event::ResponseArrived {
                attempt,
                result,
                stopping,
                signal,
            } => {
                self.handle_response(attempt, result, stopping, signal);
            }
            Event::Deadline(index) => self.handle_deadline(index),
            Event::HedgeTimer(index) => self.send_hedge(index),
            Event::CancelArrived(attempt, instance) => self.handle_cancel(attempt, instance),
            Event::ProbeArrived {
                entry,
                instance,
                sent_us,
            } => {
                let signal = self.instances[instance].next_load_signal(self.now_us);
                let key = self.entries[entry].key(instance);
                let at_us = self.now_us + self.draw_delay_us(entry, instance);
                self.schedule(
                    at_us,
                    Event::ProbeReplyArrived {
                        entry,
                        key,
                        signal,
                        sent_us,
                    },
                );
            }
            Event::ProbeReplyArrived {
                entry,
                key,
                signal,
                sent_us,
            } => {
                let round_trip_us = self.now_us - sent_us;
                self.entries[entry].router.record_probe_reply(
                    self.now_us,
                    key,
                    signal,
                    round_trip_us,
                );
            }
            Event::SendReport(instance) => self.send_report(instance),
            Event::ReportArrived {
                entry,
                instance,
                load,
            } => {
                self.entries[entry].record_reported_load(instance, load);
            }
            Event::Disturbance(index) => self.apply_disturbance(index),
            Event::GossipArrived {
                entry,
                instance,
                restarts,
                state,
            } => {
                let scenario = self.scenario;
                self.entries[entry].record_state(self.now_us, scenario, instance, restarts, state);
            }
        }
    }

    /// Starts a call and schedules the next arrival.
    fn handle_call(&mut self, index: usize) {
        let workload = self.workload;
        if let Some(next) = workload.arrivals.get(index + 1) {
            self.schedule(next.at_us, Event::CallArrived(index + 1));
        }
        self.schedule(
            self.now_us + self.settings.deadline_us,
            Event::Deadline(index),
        );
        if self.policy.is_router() && self.settings.hedge_percent > 0 {
            self.schedule_hedge(index);
        }
        if !self.start_attempt(index, false) {
            self.fail(index);
        }
    }

    pub(super) fn arrival(&self, index: usize) -> Arrival {
        self.workload.arrivals[index]
    }

    /// Credits the hedge budget for a call and, if the call is idempotent, schedules its hedge.
    fn schedule_hedge(&mut self, index: usize) {
        let arrival = self.arrival(index);
        let entry = &mut self.entries[arrival.entry];
        entry.hedge_budget.on_success(self.now_us);
        let quantile_us = entry
            .router
            .latency_quantile_us(self.settings.hedge_quantile);
        if let Some(delay_us) = quantile_us.filter(|_| arrival.idempotent) {
            self.schedule(self.now_us + delay_us, Event::HedgeTimer(index));
        }
    }

    /// Sends one more attempt; false if no instance is left for it.
    fn start_attempt(&mut self, index: usize, hedge: bool) -> bool {
        let arrival = self.arrival(index);
        let call = &self.calls[index];
        let number = call.attempt_count;
        let used: Vec<usize> = call.attempts.iter().flatten().map(|a| a.instance).collect();
        let local_signal = (self.scenario.sidecar && self.policy.is_router()).then(|| {
            (
                arrival.entry,
                self.instances[arrival.entry].next_load_signal(self.now_us),
            )
        });
        let context = ChoiceContext {
            instances: &self.instances,
            network_us: &self.network_us[arrival.entry],
            local_signal,
        };
        let kind = AttemptKind {
            idempotent: arrival.idempotent,
            hedge,
        };
        let entry = &mut self.entries[arrival.entry];
        let Some(chosen) = entry.choose(self.now_us, self.policy, &used, kind, &context) else {
            return false;
        };
        entry.record_sent(self.now_us, chosen);
        let may_move = self.settings.limit_queue_wait && number + 1 < MAX_ATTEMPTS;
        let max_queue_wait_us = chosen
            .max_queue_wait_us
            .filter(|_| may_move && entry.retry_budget.try_reserve());
        self.send_due_probes(arrival.entry);
        self.send_attempt(index, number, chosen, max_queue_wait_us);
        true
    }

    fn send_attempt(
        &mut self,
        index: usize,
        number: usize,
        chosen: ChosenInstance,
        max_queue_wait_us: Option<u64>,
    ) {
        let entry = self.arrival(index).entry;
        let call = &mut self.calls[index];
        call.attempts[number] = Some(Attempt {
            instance: chosen.instance,
            key: chosen.key,
            sent_us: self.now_us,
            pending: true,
            reserved: max_queue_wait_us.is_some(),
            cancelled: false,
        });
        call.attempt_count += 1;
        self.instances[chosen.instance].in_transit += 1;
        let id = attempt_id(entry, index, number);
        let at_us = self.now_us + self.draw_delay_us(entry, chosen.instance);
        self.schedule(at_us, Event::AttemptArrived(id, max_queue_wait_us));
    }

    fn send_due_probes(&mut self, entry: usize) {
        if !self.policy.is_router() {
            return;
        }
        for key in self.entries[entry].router.take_due_probes(self.now_us) {
            self.entries[entry].probe_times_us.push(self.now_us);
            let Some(instance) = self.entries[entry].instance_of(key) else {
                continue;
            };
            let at_us = self.now_us + self.draw_delay_us(entry, instance);
            self.schedule(
                at_us,
                Event::ProbeArrived {
                    entry,
                    instance,
                    sent_us: self.now_us,
                },
            );
        }
    }

    fn handle_response(
        &mut self,
        id: AttemptId,
        result: AttemptResult,
        stopping: bool,
        signal: LoadSignal,
    ) {
        let index = id.call.sequence as usize;
        let arrival = self.arrival(index);
        let Some(attempt) =
            self.record_result(index, usize::from(id.attempt), result, Some(signal))
        else {
            return;
        };
        if stopping {
            let (now_us, scenario) = (self.now_us, self.scenario);
            let restarts = self.instances[attempt.instance].restarts;
            let state = UpstreamState::Draining;
            let entry = &mut self.entries[arrival.entry];
            entry.record_state(now_us, scenario, attempt.instance, restarts, state);
        }
        if self.calls[index].done {
            return;
        }
        if result == AttemptResult::Ok {
            self.entries[arrival.entry]
                .retry_budget
                .on_success(self.now_us);
            self.complete(index, self.now_us - arrival.at_us);
            return;
        }
        let may_repeat = result == AttemptResult::Refused || arrival.idempotent;
        self.retry(index, may_repeat, attempt.reserved);
    }

    /// Retries a call if its attempts and the retry budget allow that; a reserved retry needs no
    /// budget. Otherwise fails the call, unless another attempt is pending.
    fn retry(&mut self, index: usize, may_repeat: bool, reserved: bool) {
        let entry = self.arrival(index).entry;
        let retry_budget = &mut self.entries[entry].retry_budget;
        let may_retry = may_repeat
            && self.calls[index].attempt_count < MAX_ATTEMPTS
            && (reserved || retry_budget.try_retry(self.now_us));
        if may_retry && self.start_attempt(index, false) {
            self.result.retries += 1;
            return;
        }
        if reserved {
            self.entries[entry].retry_budget.release();
        }
        let is_pending = self.calls[index]
            .attempts
            .iter()
            .flatten()
            .any(|a| a.pending);
        if !is_pending {
            self.fail(index);
        }
    }

    fn send_hedge(&mut self, index: usize) {
        let call = &self.calls[index];
        if call.done || call.attempt_count >= MAX_ATTEMPTS {
            return;
        }
        let entry = self.arrival(index).entry;
        if !self.entries[entry].hedge_budget.try_retry(self.now_us) {
            return;
        }
        if self.start_attempt(index, true) {
            self.result.hedges += 1;
        } else {
            self.entries[entry].hedge_budget.release();
        }
    }

    /// Records the result of an attempt at its entry; `None` if a result was recorded before. A
    /// reserved retry is kept only for a refused or failed attempt.
    fn record_result(
        &mut self,
        index: usize,
        number: usize,
        result: AttemptResult,
        signal: Option<LoadSignal>,
    ) -> Option<Attempt> {
        let entry = &mut self.entries[self.workload.arrivals[index].entry];
        let attempt = self.calls[index].attempts[number]
            .as_mut()
            .filter(|a| a.pending)?;
        attempt.pending = false;
        entry.record_ended(attempt.instance);
        if attempt.reserved && result != AttemptResult::Refused && result != AttemptResult::Failed {
            entry.retry_budget.release();
        }
        if let Some(key) = attempt.key {
            let latency_us = self.now_us - attempt.sent_us;
            entry
                .router
                .record_result(self.now_us, key, result, latency_us, signal);
        }
        Some(*attempt)
    }

    fn handle_deadline(&mut self, index: usize) {
        if self.calls[index].done {
            return;
        }
        self.cancel_pending(index, AttemptResult::TimedOut);
        self.fail(index);
    }

    /// Records the latency of a call and cancels its other attempts.
    fn complete(&mut self, index: usize, latency_us: u64) {
        self.calls[index].done = true;
        let deadline_us = self.settings.deadline_us;
        if let Some(kind) = &self.arrival(index).kind {
            self.result.value.record(kind, latency_us);
        }
        self.result
            .latencies_us
            .push(latency_us.min(deadline_us) as u32);
        self.cancel_pending(index, AttemptResult::Cancelled);
    }

    /// Counts a call as failed, with the deadline as its latency.
    fn fail(&mut self, index: usize) {
        self.result.errors += 1;
        self.complete(index, self.settings.deadline_us);
    }

    /// Cancels the pending attempts of a call and records the given result for them.
    fn cancel_pending(&mut self, index: usize, result: AttemptResult) {
        let entry = self.arrival(index).entry;
        for number in 0..self.calls[index].attempt_count {
            let Some(attempt) = self.record_result(index, number, result, None) else {
                continue;
            };
            let at_us = self.now_us + self.draw_delay_us(entry, attempt.instance);
            let id = attempt_id(entry, index, number);
            self.schedule(at_us, Event::CancelArrived(id, attempt.instance));
        }
    }

    /// Draws the one-way delay of a message.
    pub(super) fn draw_delay_us(&mut self, entry: usize, instance: usize) -> u64 {
        let mean_us = self.network_us[entry][instance];
        if mean_us <= LOCAL_DELAY_US {
            return mean_us as u64;
        }
        let jitter_us = exponential(&mut self.rng, NETWORK_JITTER_US);
        (mean_us - NETWORK_JITTER_US + jitter_us) as u64
    }
}

fn attempt_id(entry: usize, index: usize, number: usize) -> AttemptId {
    AttemptId {
        call: CallId {
            origin: entry as u64,
            sequence: index as u64,
        },
        attempt: number as u16,
    }
}

/// Highest number of probes in any one second.
fn peak_probes(times_us: &[u64]) -> u64 {
    let mut first = 0;
    let mut peak = 0;
    for (last, &time_us) in times_us.iter().enumerate() {
        while times_us[first] + 1_000_000 <= time_us {
            first += 1;
        }
        peak = peak.max(last - first + 1);
    }
    peak as u64
}
