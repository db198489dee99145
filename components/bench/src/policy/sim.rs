//! Virtual-time simulation of one policy on one workload.

use super::{
    chooser::{CallKind, Chosen, Entry, Policy, View},
    instance::Instance,
    report::Stats,
    scenario::{Arrival, Disturbance, Scenario, Workload, exponential},
    settings::Settings,
};
use errors::ErrorKind;
use limits::{AdmissionRequest, AdmissionResult, CancelResult, QueueDecision};
use model::{AttemptId, CallId, LoadSignal, Priority, UpstreamState};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use routing::{AttemptResult, UpstreamKey};
use std::{cmp::Reverse, collections::BinaryHeap};

/// Most attempts of one call, as in a profile's default.
pub(crate) const MAX_ATTEMPTS: usize = 3;
/// One-way delay within a host, in microseconds.
const LOCAL_US: f64 = 30.0;
/// One-way delay within an availability zone, in microseconds.
const ZONE_US: f64 = 150.0;
/// Mean of the random part of each delay between hosts, in microseconds.
const NETWORK_JITTER_US: f64 = 50.0;
/// Time between an instance's load reports, in microseconds.
const REPORT_GAP_US: u64 = 50_000;
/// Shortest and longest delay of a load report or of gossip, in microseconds.
const REPORT_DELAY_US: (u64, u64) = (5_000, 200_000);

/// Stats of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Latency of each call in microseconds; the deadline for a call that failed.
    pub(crate) latencies_us: Vec<u32>,
    pub(crate) errors: u64,
    pub(crate) retries: u64,
    pub(crate) hedges: u64,
    pub(crate) messages: u64,
    /// Most measuring messages of one entry in any one second.
    pub(crate) peak_messages: u64,
    /// Summary, filled in once the run is over.
    pub(crate) figures: Stats,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    instance: usize,
    key: Option<UpstreamKey>,
    sent_us: u64,
    pending: bool,
    /// Whether a retry is reserved in case the owner refuses the attempt for waiting.
    reserved: bool,
    /// Whether a cancellation overtook the attempt on its way to the owner.
    cancelled: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Call {
    attempts: [Option<Attempt>; MAX_ATTEMPTS],
    count: usize,
    done: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(usize),
    Offer(AttemptId, Option<u64>),
    End {
        instance: usize,
        generation: u64,
    },
    Expire(usize),
    Response {
        attempt: AttemptId,
        finish: AttemptResult,
        stopping: bool,
        signal: LoadSignal,
    },
    Deadline(usize),
    Hedge(usize),
    Cancel(AttemptId, usize),
    Probe {
        entry: usize,
        instance: usize,
        sent_us: u64,
    },
    ProbeReply {
        entry: usize,
        key: UpstreamKey,
        signal: LoadSignal,
        sent_us: u64,
    },
    Report(usize),
    ReportArrived {
        entry: usize,
        instance: usize,
        load: u32,
    },
    Disturb(usize),
    Gossip {
        entry: usize,
        instance: usize,
        restarts: u64,
        state: UpstreamState,
    },
}

struct Scheduled {
    at_us: u64,
    order: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.order).cmp(&(other.at_us, other.order))
    }
}

struct Sim<'a> {
    policy: Policy,
    scenario: &'a Scenario,
    settings: &'a Settings,
    workload: &'a Workload,
    now_us: u64,
    heap: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    instances: Vec<Instance>,
    entries: Vec<Entry>,
    calls: Vec<Call>,
    /// Mean one-way delays, by entry and instance.
    network_us: Vec<Vec<f64>>,
    rng: Pcg64Mcg,
    outcome: Outcome,
}

/// Runs one policy on one workload.
pub(crate) fn simulate(
    policy: Policy,
    scenario: &Scenario,
    settings: &Settings,
    workload: &Workload,
) -> Outcome {
    let seed = workload.seed;
    let entries = (0..scenario.entries)
        .map(|i| Entry::new(i, scenario, settings, seed))
        .collect();
    let mut sim = Sim {
        policy,
        scenario,
        settings,
        workload,
        now_us: 0,
        heap: BinaryHeap::new(),
        order: 0,
        instances: vec![Instance::new(scenario.slots, settings.queue_limit); scenario.instances],
        entries,
        calls: vec![Call::default(); workload.arrivals.len()],
        network_us: network(scenario),
        rng: Pcg64Mcg::seed_from_u64(seed.wrapping_add(0x9e37_79b9)),
        outcome: Outcome::default(),
    };
    sim.run();
    sim.outcome
}

fn network(scenario: &Scenario) -> Vec<Vec<f64>> {
    let delay = |entry: usize, instance: usize| {
        if scenario.sidecar && entry == instance {
            LOCAL_US
        } else if entry % scenario.zones == instance % scenario.zones {
            ZONE_US + NETWORK_JITTER_US
        } else {
            scenario.cross_zone_us + NETWORK_JITTER_US
        }
    };
    (0..scenario.entries)
        .map(|entry| (0..scenario.instances).map(|i| delay(entry, i)).collect())
        .collect()
}

impl Sim<'_> {
    fn run(&mut self) {
        for index in 0..self.workload.disturbances.len() {
            self.schedule(self.workload.disturbances[index].0, Event::Disturb(index));
        }
        if self.policy == Policy::TwoReported {
            for instance in 0..self.instances.len() {
                self.schedule(0, Event::Report(instance));
            }
        }
        if let Some(first) = self.workload.arrivals.first() {
            self.schedule(first.at_us, Event::Arrive(0));
        }
        while self.outcome.latencies_us.len() < self.calls.len() {
            let Some(Reverse(next)) = self.heap.pop() else {
                break;
            };
            self.now_us = next.at_us;
            self.handle(next.event);
        }
        let peaks = self
            .entries
            .iter()
            .map(|entry| peak_probes(&entry.probe_times_us) * 2);
        self.outcome.peak_messages = peaks.max().unwrap_or(0);
        self.outcome.messages = self
            .entries
            .iter()
            .map(|entry| entry.probe_times_us.len() as u64 * 2)
            .sum();
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.order += 1;
        self.heap.push(Reverse(Scheduled {
            at_us,
            order: self.order,
            event,
        }));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::Offer(attempt, patience_us) => self.offer(attempt, patience_us),
            Event::End {
                instance,
                generation,
            } => self.end(instance, generation),
            Event::Expire(instance) => {
                let steps = self.instances[instance].admission.expire(self.now_us);
                self.steps(instance, steps);
            }
            Event::Response {
                attempt,
                finish,
                stopping,
                signal,
            } => {
                self.response(attempt, finish, stopping, signal);
            }
            Event::Deadline(index) => self.deadline(index),
            Event::Hedge(index) => self.hedge(index),
            Event::Cancel(attempt, instance) => self.cancel(attempt, instance),
            Event::Probe {
                entry,
                instance,
                sent_us,
            } => {
                let signal = self.instances[instance].signal(self.now_us);
                let key = self.entries[entry].key(instance);
                let at_us = self.now_us + self.delay_us(entry, instance);
                self.schedule(
                    at_us,
                    Event::ProbeReply {
                        entry,
                        key,
                        signal,
                        sent_us,
                    },
                );
            }
            Event::ProbeReply {
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
            Event::Report(instance) => self.report(instance),
            Event::ReportArrived {
                entry,
                instance,
                load,
            } => {
                self.entries[entry].reported(instance, load);
            }
            Event::Disturb(index) => self.disturb(index),
            Event::Gossip {
                entry,
                instance,
                restarts,
                state,
            } => {
                let scenario = self.scenario;
                self.entries[entry].state_changed(self.now_us, scenario, instance, restarts, state);
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let workload = self.workload;
        if let Some(next) = workload.arrivals.get(index + 1) {
            self.schedule(next.at_us, Event::Arrive(index + 1));
        }
        self.schedule(
            self.now_us + self.settings.deadline_us,
            Event::Deadline(index),
        );
        if self.policy.is_ours() && self.settings.hedge_percent > 0 {
            self.plan_hedge(index);
        }
        if !self.attempt(index, false) {
            self.fail(index);
        }
    }

    fn spec(&self, index: usize) -> Arrival {
        self.workload.arrivals[index]
    }

    fn plan_hedge(&mut self, index: usize) {
        let spec = self.spec(index);
        let entry = &mut self.entries[spec.entry];
        entry.hedges.on_success(self.now_us);
        let quantile_us = entry
            .router
            .latency_quantile_us(self.settings.hedge_quantile);
        if let Some(delay_us) = quantile_us.filter(|_| spec.idempotent) {
            self.schedule(self.now_us + delay_us, Event::Hedge(index));
        }
    }

    /// Sends one more attempt; false if no instance is left for it.
    fn attempt(&mut self, index: usize, hedge: bool) -> bool {
        let spec = self.spec(index);
        let call = &self.calls[index];
        let number = call.count;
        let used: Vec<usize> = call.attempts.iter().flatten().map(|a| a.instance).collect();
        let local = (self.scenario.sidecar && self.policy.is_ours())
            .then(|| (spec.entry, self.instances[spec.entry].signal(self.now_us)));
        let view = View {
            instances: &self.instances,
            network_us: &self.network_us[spec.entry],
            local,
        };
        let kind = CallKind {
            idempotent: spec.idempotent,
            hedge,
        };
        let entry = &mut self.entries[spec.entry];
        let Some(chosen) = entry.choose(self.now_us, self.policy, &used, kind, &view) else {
            return false;
        };
        entry.sent(self.now_us, chosen);
        let may_move = self.settings.patience && number + 1 < MAX_ATTEMPTS;
        let patience_us = chosen
            .patience_us
            .filter(|_| may_move && entry.retries.try_reserve());
        self.probe(spec.entry);
        self.send(index, number, chosen, patience_us);
        true
    }

    fn send(&mut self, index: usize, number: usize, chosen: Chosen, patience_us: Option<u64>) {
        let entry = self.spec(index).entry;
        let call = &mut self.calls[index];
        call.attempts[number] = Some(Attempt {
            instance: chosen.instance,
            key: chosen.key,
            sent_us: self.now_us,
            pending: true,
            reserved: patience_us.is_some(),
            cancelled: false,
        });
        call.count += 1;
        self.instances[chosen.instance].in_transit += 1;
        let id = attempt_id(entry, index, number);
        let at_us = self.now_us + self.delay_us(entry, chosen.instance);
        self.schedule(at_us, Event::Offer(id, patience_us));
    }

    fn probe(&mut self, entry: usize) {
        if !self.policy.is_ours() {
            return;
        }
        for key in self.entries[entry].router.take_due_probes(self.now_us) {
            self.entries[entry].probe_times_us.push(self.now_us);
            let Some(instance) = self.entries[entry].instance_of(key) else {
                continue;
            };
            let at_us = self.now_us + self.delay_us(entry, instance);
            self.schedule(
                at_us,
                Event::Probe {
                    entry,
                    instance,
                    sent_us: self.now_us,
                },
            );
        }
    }

    fn offer(&mut self, id: AttemptId, patience_us: Option<u64>) {
        let index = id.call.sequence as usize;
        let Some(attempt) = self.calls[index].attempts[usize::from(id.attempt)] else {
            return;
        };
        let spec = self.spec(index);
        let deadline_us = spec.at_us + self.settings.deadline_us;
        let ticket = AdmissionRequest {
            attempt: id,
            priority: Priority::Normal,
            deadline_us,
            start_by_us: patience_us.map_or(deadline_us, |patience| self.now_us + patience),
            expected_us: 0,
            target_us: u64::MAX,
            start_now: false,
            queue_limit: self.settings.queue_limit,
        };
        let instance = &mut self.instances[attempt.instance];
        instance.in_transit -= 1;
        if attempt.cancelled {
            return;
        }
        match instance.admission.admit(self.now_us, ticket) {
            AdmissionResult::Start => {
                instance.start(self.now_us, id, spec.work_us);
                self.reschedule_end(attempt.instance);
            }
            AdmissionResult::Queued | AdmissionResult::QueuedInstead(_) => {
                let at_us = ticket.start_by_us.min(deadline_us);
                self.schedule(at_us, Event::Expire(attempt.instance));
            }
            AdmissionResult::Refused(kind) => self.refuse(attempt.instance, id, kind),
        }
    }

    fn end(&mut self, instance: usize, generation: u64) {
        if self.instances[instance].generation != generation {
            return;
        }
        for ended in self.instances[instance].ended(self.now_us) {
            let service_us = if ended.failed {
                self.settings.deadline_us
            } else {
                ended.service_us
            };
            let admission = &mut self.instances[instance].admission;
            let steps = admission.finish(self.now_us, ended.attempt, service_us);
            let finish = if ended.failed {
                AttemptResult::Failed
            } else {
                AttemptResult::Ok
            };
            self.respond(instance, ended.attempt, finish, false);
            self.steps(instance, steps);
        }
        self.reschedule_end(instance);
    }

    fn reschedule_end(&mut self, instance: usize) {
        let Some(at_us) = self.instances[instance].next_end_us() else {
            return;
        };
        let generation = self.instances[instance].generation;
        self.schedule(
            at_us.max(self.now_us),
            Event::End {
                instance,
                generation,
            },
        );
    }

    fn steps(&mut self, instance: usize, steps: Vec<QueueDecision>) {
        for step in steps {
            match step {
                QueueDecision::Start(id) => {
                    let work_us = self.spec(id.call.sequence as usize).work_us;
                    self.instances[instance].start(self.now_us, id, work_us);
                    self.reschedule_end(instance);
                }
                QueueDecision::Refuse(id, kind) => self.refuse(instance, id, kind),
            }
        }
    }

    fn refuse(&mut self, instance: usize, id: AttemptId, kind: ErrorKind) {
        self.respond(
            instance,
            id,
            AttemptResult::Refused,
            kind == ErrorKind::Stopping,
        );
    }

    fn respond(
        &mut self,
        instance: usize,
        attempt: AttemptId,
        finish: AttemptResult,
        stopping: bool,
    ) {
        let signal = self.instances[instance].signal(self.now_us);
        let at_us = self.now_us + self.delay_us(attempt.call.origin as usize, instance);
        self.schedule(
            at_us,
            Event::Response {
                attempt,
                finish,
                stopping,
                signal,
            },
        );
    }

    fn response(
        &mut self,
        id: AttemptId,
        finish: AttemptResult,
        stopping: bool,
        signal: LoadSignal,
    ) {
        let index = id.call.sequence as usize;
        let spec = self.spec(index);
        let Some(attempt) = self.settle(index, usize::from(id.attempt), finish, Some(signal))
        else {
            return;
        };
        if stopping {
            let (now_us, scenario) = (self.now_us, self.scenario);
            let restarts = self.instances[attempt.instance].restarts;
            let state = UpstreamState::Draining;
            let entry = &mut self.entries[spec.entry];
            entry.state_changed(now_us, scenario, attempt.instance, restarts, state);
        }
        if self.calls[index].done {
            return;
        }
        if finish == AttemptResult::Ok {
            self.entries[spec.entry].retries.on_success(self.now_us);
            self.complete(index, self.now_us - spec.at_us);
            return;
        }
        let may_repeat = finish == AttemptResult::Refused || spec.idempotent;
        self.retry(index, may_repeat, attempt.reserved);
    }

    fn retry(&mut self, index: usize, may_repeat: bool, reserved: bool) {
        let entry = self.spec(index).entry;
        let retries = &mut self.entries[entry].retries;
        let may_retry = may_repeat
            && self.calls[index].count < MAX_ATTEMPTS
            && (reserved || retries.try_retry(self.now_us));
        if may_retry && self.attempt(index, false) {
            self.outcome.retries += 1;
            return;
        }
        if reserved {
            self.entries[entry].retries.release();
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

    fn hedge(&mut self, index: usize) {
        let call = &self.calls[index];
        if call.done || call.count >= MAX_ATTEMPTS {
            return;
        }
        let entry = self.spec(index).entry;
        if !self.entries[entry].hedges.try_retry(self.now_us) {
            return;
        }
        if self.attempt(index, true) {
            self.outcome.hedges += 1;
        } else {
            self.entries[entry].hedges.release();
        }
    }

    /// Takes an attempt off the entry's books; `None` if that has happened before.
    fn settle(
        &mut self,
        index: usize,
        number: usize,
        finish: AttemptResult,
        signal: Option<LoadSignal>,
    ) -> Option<Attempt> {
        let entry = &mut self.entries[self.workload.arrivals[index].entry];
        let attempt = self.calls[index].attempts[number]
            .as_mut()
            .filter(|a| a.pending)?;
        attempt.pending = false;
        entry.settled(attempt.instance);
        if attempt.reserved && finish != AttemptResult::Refused && finish != AttemptResult::Failed {
            entry.retries.release();
        }
        if let Some(key) = attempt.key {
            let latency_us = self.now_us - attempt.sent_us;
            entry
                .router
                .record_result(self.now_us, key, finish, latency_us, signal);
        }
        Some(*attempt)
    }

    fn deadline(&mut self, index: usize) {
        if self.calls[index].done {
            return;
        }
        self.abandon(index, AttemptResult::TimedOut);
        self.fail(index);
    }

    fn complete(&mut self, index: usize, latency_us: u64) {
        self.calls[index].done = true;
        let deadline_us = self.settings.deadline_us;
        self.outcome
            .latencies_us
            .push(latency_us.min(deadline_us) as u32);
        self.abandon(index, AttemptResult::Cancelled);
    }

    fn fail(&mut self, index: usize) {
        self.outcome.errors += 1;
        self.complete(index, self.settings.deadline_us);
    }

    /// Cancels the attempts that are still pending.
    fn abandon(&mut self, index: usize, finish: AttemptResult) {
        let entry = self.spec(index).entry;
        for number in 0..self.calls[index].count {
            let Some(attempt) = self.settle(index, number, finish, None) else {
                continue;
            };
            let at_us = self.now_us + self.delay_us(entry, attempt.instance);
            let id = attempt_id(entry, index, number);
            self.schedule(at_us, Event::Cancel(id, attempt.instance));
        }
    }

    fn cancel(&mut self, id: AttemptId, instance: usize) {
        match self.instances[instance].admission.cancel(id) {
            CancelResult::Running => {}
            CancelResult::NotStarted => return,
            CancelResult::Unknown => {
                let call = &mut self.calls[id.call.sequence as usize];
                if let Some(attempt) = &mut call.attempts[usize::from(id.attempt)] {
                    attempt.cancelled = true;
                }
                return;
            }
        }
        self.instances[instance].abort(self.now_us, id);
        let steps = self.instances[instance]
            .admission
            .release_slot(self.now_us, id);
        self.steps(instance, steps);
        self.reschedule_end(instance);
    }

    fn report(&mut self, instance: usize) {
        let signal = self.instances[instance].signal(self.now_us);
        let load = signal.in_flight + signal.queued;
        for entry in 0..self.entries.len() {
            let at_us = self.now_us + self.rng.random_range(REPORT_DELAY_US.0..REPORT_DELAY_US.1);
            self.schedule(
                at_us,
                Event::ReportArrived {
                    entry,
                    instance,
                    load,
                },
            );
        }
        self.schedule(self.now_us + REPORT_GAP_US, Event::Report(instance));
    }

    fn disturb(&mut self, index: usize) {
        let (_, instance, disturbance) = self.workload.disturbances[index];
        let steps = self.instances[instance].disturb(self.now_us, disturbance);
        self.steps(instance, steps);
        self.reschedule_end(instance);
        if !matches!(disturbance, Disturbance::Draining | Disturbance::Restarted) {
            return;
        }
        let Instance {
            restarts, state, ..
        } = self.instances[instance];
        for entry in 0..self.entries.len() {
            let at_us = self.now_us + self.rng.random_range(REPORT_DELAY_US.0..REPORT_DELAY_US.1);
            self.schedule(
                at_us,
                Event::Gossip {
                    entry,
                    instance,
                    restarts,
                    state,
                },
            );
        }
    }

    fn delay_us(&mut self, entry: usize, instance: usize) -> u64 {
        let mean_us = self.network_us[entry][instance];
        if mean_us <= LOCAL_US {
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

/// Most probes in any one second.
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
