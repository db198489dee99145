//! Discrete-event simulation of one policy on one workload in virtual time.

use super::{
    chooser::{Entry, Policy},
    entry::Call,
    event::{Event, ScheduledEvent},
    instance::Instance,
    mix::ValueCount,
    network::mean_delays_us,
    report::Stats,
    scenario::{Scenario, Workload},
    settings::Settings,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::{cmp::Reverse, collections::BinaryHeap};

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

impl Simulation<'_> {
    fn run(&mut self) {
        self.schedule_first_events();
        while self.result.latencies_us.len() < self.calls.len() {
            let Some(Reverse(next)) = self.events.pop() else {
                break;
            };
            self.now_us = next.at_us;
            self.handle_event(next.event);
        }
        self.count_messages();
    }

    fn schedule_first_events(&mut self) {
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
    }

    /// Sums up the probe messages of all entries at the end of the run.
    fn count_messages(&mut self) {
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
            } => self.handle_response(attempt, result, stopping, signal),
            Event::Deadline(index) => self.handle_deadline(index),
            Event::HedgeTimer(index) => self.send_hedge(index),
            Event::CancelArrived(attempt, instance) => self.handle_cancel(attempt, instance),
            Event::ProbeArrived {
                entry,
                instance,
                sent_us,
            } => self.handle_probe(entry, instance, sent_us),
            Event::ProbeReplyArrived {
                entry,
                key,
                signal,
                sent_us,
            } => self.handle_probe_reply(entry, key, signal, sent_us),
            Event::SendReport(instance) => self.send_report(instance),
            Event::ReportArrived {
                entry,
                instance,
                load,
            } => self.entries[entry].record_reported_load(instance, load),
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
