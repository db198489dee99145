//! Choice of upstreams for one service at one entry.

use crate::{
    AttemptResult, Candidate, CandidateFigures, Choice, ChoicePreview, ChoiceReason, RouteRequest,
    RouterConfig, UpstreamKey,
    latency::RecentLatency,
    probes::ProbeBudget,
    tracked_upstream::{TrackedUpstream, TypicalValues},
};
use errors::ErrorKind;
use model::{LoadSignal, Upstream, UpstreamName, ZonePreference};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

/// Highest share of the upstreams that may be ejected at once, as a divisor.
const EJECTED_DIVISOR: usize = 2;
/// Range of the random factor on the expected time, so that entries with the same information don't
/// all choose the same one of several nearly equal upstreams.
const JITTER: f64 = 0.05;
/// Factor on the expected time of an upstream in the entry's zone that has a free slot, for calls
/// with `ZonePreference::Local`: traffic between zones costs money, and a free slot in the own zone
/// costs callers nothing.
const LOCAL_ZONE_FACTOR: f64 = 0.6;
/// Service time that is assumed before the first load signal, in microseconds.
const DEFAULT_SERVICE_US: f64 = 5_000.0;
/// Time after which an unanswered probe no longer prevents the next one, in microseconds.
const PROBE_TIMEOUT_US: u64 = 1_000_000;

/// Chooses the upstream with the lowest expected time to a response, from load signals, probes and
/// the results of earlier attempts.
#[derive(Clone, Debug)]
pub struct Router {
    upstreams: SlotMap<UpstreamKey, TrackedUpstream>,
    probes: ProbeBudget,
    latency: RecentLatency,
    rng: Pcg64Mcg,
    candidates: Vec<Candidate>,
    /// Buffer for the median of the service times.
    service_times_us: Vec<f64>,
}

impl Router {
    /// A router without upstreams; with different `seed`s, entries make different random choices.
    pub fn new(config: RouterConfig, seed: u64) -> Self {
        Router {
            upstreams: SlotMap::with_key(),
            probes: ProbeBudget::new(config.probe_budget_per_s),
            latency: RecentLatency::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            candidates: Vec::new(),
            service_times_us: Vec::new(),
        }
    }

    /// Adds or updates an upstream; a restarted one begins a new cold-start ramp.
    pub fn upsert(&mut self, now_us: u64, upstream: &Upstream) -> UpstreamKey {
        let Some(key) = self.key(&upstream.name) else {
            return self
                .upstreams
                .insert(TrackedUpstream::new(now_us, upstream));
        };
        if self.upstreams[key].is_replaced_by(upstream) {
            self.upstreams.remove(key);
            return self
                .upstreams
                .insert(TrackedUpstream::new(now_us, upstream));
        }
        self.upstreams[key].upstream = upstream.clone();
        key
    }

    /// Removes an upstream; later results of its attempts are ignored.
    pub fn remove(&mut self, name: &UpstreamName) {
        if let Some(key) = self.key(name) {
            self.upstreams.remove(key);
        }
    }

    /// The key of the upstream with this name.
    pub fn key(&self, name: &UpstreamName) -> Option<UpstreamKey> {
        self.upstreams
            .iter()
            .find(|(_, tracked)| tracked.upstream.name == *name)
            .map(|(key, _)| key)
    }

    /// The upstream with this key.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key).map(|tracked| &tracked.upstream)
    }

    /// Chooses an upstream for one attempt; `record_sent` must follow if the attempt is sent.
    pub fn choose(&mut self, now_us: u64, request: &RouteRequest) -> Result<Choice, ErrorKind> {
        if request.exclude.is_empty() {
            self.probes.add_credit(request.measure);
        }
        let choice = self.decide(now_us, request)?;
        if choice.reason == ChoiceReason::Trial {
            self.upstreams[choice.upstream].ejection.start_trial();
        }
        Ok(choice)
    }

    /// The choice that `choose` would make now, with the figures behind it. Works on a copy, so that
    /// the next choice draws the same random factors as without it.
    pub fn preview(&self, now_us: u64, request: &RouteRequest) -> ChoicePreview {
        let mut copy = self.clone();
        let choice = copy.decide(now_us, request);
        let estimates = copy.candidates.iter().map(|candidate| CandidateFigures {
            candidate: *candidate,
            has_free_slot: copy.has_free_slot(now_us, candidate),
            usable_slots: copy.upstreams[candidate.upstream].usable_slots(now_us),
            outstanding: copy.upstreams[candidate.upstream].outstanding(),
            signal: copy.upstreams[candidate.upstream].signal(),
            signal_age_us: copy.signal_age_us(candidate.upstream, now_us),
        });
        ChoicePreview {
            choice,
            candidates: estimates.collect(),
        }
    }

    /// Weighs the upstreams and decides which one is chosen. Changes only buffers and the state of
    /// the random numbers.
    fn decide(&mut self, now_us: u64, request: &RouteRequest) -> Result<Choice, ErrorKind> {
        let typical = self.typical_values();
        self.estimate_candidates(now_us, request, typical);
        if let Some(trial) = self.due_trial(now_us, request) {
            return Ok(trial);
        }
        let has_healthy = self.candidates.iter().any(|candidate| !candidate.ejected);
        let best = *self
            .candidates
            .iter()
            .filter(|candidate| !candidate.ejected || !has_healthy)
            .min_by_key(|candidate| candidate.expected_us)
            .ok_or(ErrorKind::NoUpstream)?;
        if request.hedge && !self.has_free_slot(now_us, &best) {
            return Err(ErrorKind::Overloaded);
        }
        let reason = match (has_healthy, self.candidates.len()) {
            (false, _) => ChoiceReason::Fallback,
            (true, 1) => ChoiceReason::Only,
            (true, _) => ChoiceReason::Expected,
        };
        let max_queue_wait_us = self
            .has_free_alternative(now_us, best.upstream)
            .then_some(typical.service_us as u64);
        Ok(Choice {
            upstream: best.upstream,
            reason,
            max_queue_wait_us,
        })
    }

    /// Age of the last load signal of an upstream, in microseconds; `None` if there is none.
    pub fn signal_age_us(&self, key: UpstreamKey, now_us: u64) -> Option<u64> {
        let received_us = self.upstreams.get(key)?.signal_received_us();
        (received_us > 0).then(|| now_us.saturating_sub(received_us))
    }

    /// Shortest expected time to a response among the candidates of the last choice, in
    /// microseconds.
    pub fn shortest_expected_us(&self) -> Option<u64> {
        let expected_us = self.candidates.iter().map(|c| u64::from(c.expected_us));
        expected_us.min()
    }

    /// The candidates of the last choice, for the decision log.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, now_us: u64, key: UpstreamKey) {
        let candidate = self
            .candidates
            .iter()
            .find(|candidate| candidate.upstream == key);
        let predicted_us = candidate.map_or(0.0, |candidate| f64::from(candidate.expected_us));
        if let Some(tracked) = self.upstreams.get_mut(key) {
            tracked.record_sent(now_us, predicted_us);
        }
    }

    /// Records the result of an attempt, with the load signal of the response or refusal.
    pub fn record_result(
        &mut self,
        now_us: u64,
        key: UpstreamKey,
        result: AttemptResult,
        latency_us: u64,
        signal: Option<LoadSignal>,
    ) {
        let may_eject = self.may_eject();
        let Some(tracked) = self.upstreams.get_mut(key) else {
            return;
        };
        tracked.record_result(now_us, result, latency_us);
        tracked.ejection.record_result(now_us, result, may_eject);
        if let Some(signal) = signal {
            tracked.record_signal(now_us, signal);
        }
        if result == AttemptResult::Ok {
            self.latency.record(latency_us);
        }
    }

    /// Records a load signal that came without a message, such as that of the owner in this
    /// process.
    pub fn record_signal(&mut self, now_us: u64, key: UpstreamKey, signal: LoadSignal) {
        if let Some(tracked) = self.upstreams.get_mut(key) {
            tracked.record_signal(now_us, signal);
        }
    }

    /// The upstreams to probe now; called after each choice. Takes the probes from the budget.
    pub fn take_due_probes(&mut self, now_us: u64) -> Vec<UpstreamKey> {
        let mut due = Vec::new();
        while let Some(key) = self.next_to_probe(now_us) {
            if !self.probes.try_probe(now_us) {
                break;
            }
            self.upstreams[key].probe_sent_us = Some(now_us);
            due.push(key);
        }
        due
    }

    /// Records the reply to a probe.
    pub fn record_probe_reply(
        &mut self,
        now_us: u64,
        key: UpstreamKey,
        signal: LoadSignal,
        round_trip_us: u64,
    ) {
        if let Some(tracked) = self.upstreams.get_mut(key) {
            tracked.probe_sent_us = None;
            tracked.record_round_trip(round_trip_us);
            tracked.record_signal(now_us, signal);
        }
    }

    /// Records that a probe got no reply, so that the next one may be sent.
    pub fn record_probe_loss(&mut self, _now_us: u64, key: UpstreamKey) {
        if let Some(tracked) = self.upstreams.get_mut(key) {
            tracked.probe_sent_us = None;
        }
    }

    /// Quantile of the recent latency of successful attempts, for hedging.
    pub fn latency_quantile_us(&self, percent: u8) -> Option<u64> {
        self.latency.quantile_us(percent)
    }

    /// Typical values over the upstreams: the mean load of other entries, and the lower median of
    /// the service times, because slow upstreams must not count as typical.
    fn typical_values(&mut self) -> TypicalValues {
        self.service_times_us.clear();
        self.service_times_us.extend(
            self.upstreams
                .values()
                .filter_map(TrackedUpstream::service_us),
        );
        let middle = self.service_times_us.len().saturating_sub(1) / 2;
        let service_us = if self.service_times_us.is_empty() {
            DEFAULT_SERVICE_US
        } else {
            *self
                .service_times_us
                .select_nth_unstable_by(middle, f64::total_cmp)
                .1
        };
        TypicalValues {
            other_load: average(
                self.upstreams
                    .values()
                    .filter_map(TrackedUpstream::other_load),
            ),
            service_us,
        }
    }

    /// Estimates all upstreams that accept calls and are not excluded.
    fn estimate_candidates(&mut self, now_us: u64, request: &RouteRequest, typical: TypicalValues) {
        self.candidates.clear();
        for (key, tracked) in &self.upstreams {
            if request.exclude.contains(&key) || !tracked.upstream.state.accepts_calls() {
                continue;
            }
            let is_same_zone = request.zone_preference == ZonePreference::None
                || tracked.upstream.availability_zone == *request.zone;
            let estimate = tracked.estimate(now_us, typical, is_same_zone);
            let is_local_and_free = request.zone_preference == ZonePreference::Local
                && is_same_zone
                && estimate.load + 1.0 <= tracked.usable_slots(now_us);
            let zone_factor = if is_local_and_free {
                LOCAL_ZONE_FACTOR
            } else {
                1.0
            };
            let jitter = 1.0 + JITTER * self.rng.random::<f64>();
            self.candidates.push(Candidate {
                upstream: key,
                expected_us: (estimate.expected_us * jitter * zone_factor) as u32,
                load: estimate.load as f32,
                ejected: tracked.ejection.is_ejected(),
            });
        }
    }

    /// Whether another upstream than `chosen` seems to have a free slot.
    fn has_free_alternative(&self, now_us: u64, chosen: UpstreamKey) -> bool {
        self.candidates.iter().any(|candidate| {
            candidate.upstream != chosen
                && !candidate.ejected
                && self.has_free_slot(now_us, candidate)
        })
    }

    fn has_free_slot(&self, now_us: u64, candidate: &Candidate) -> bool {
        let slots = self.upstreams[candidate.upstream].usable_slots(now_us);
        f64::from(candidate.load) + 1.0 <= slots
    }

    /// Chooses an ejected upstream whose trial is due.
    fn due_trial(&self, now_us: u64, request: &RouteRequest) -> Option<Choice> {
        if request.hedge {
            return None;
        }
        let key = self
            .candidates
            .iter()
            .map(|candidate| candidate.upstream)
            .find(|&key| {
                self.upstreams[key]
                    .ejection
                    .is_trial_due(now_us, request.idempotent)
            })?;
        Some(Choice {
            upstream: key,
            reason: ChoiceReason::Trial,
            max_queue_wait_us: None,
        })
    }

    /// Whether one more upstream may be ejected.
    fn may_eject(&self) -> bool {
        let ejected = self
            .upstreams
            .values()
            .filter(|tracked| tracked.ejection.is_ejected())
            .count();
        (ejected + 1) * EJECTED_DIVISOR <= self.upstreams.len()
    }

    /// The upstream with the oldest load signal, without those that have an open probe.
    fn next_to_probe(&self, now_us: u64) -> Option<UpstreamKey> {
        self.upstreams
            .iter()
            .filter(|(_, tracked)| tracked.upstream.state.accepts_calls())
            .filter(|(_, tracked)| {
                tracked
                    .probe_sent_us
                    .is_none_or(|sent| now_us >= sent + PROBE_TIMEOUT_US)
            })
            .min_by_key(|(_, tracked)| tracked.signal_received_us())
            .map(|(key, _)| key)
    }
}

fn average(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}
