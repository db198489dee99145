//! The router's state of one upstream, and its estimate of the time to a response.

use crate::{AttemptResult, ejection::Ejection};
use model::{LoadSignal, Upstream};

/// Age at which the service time of a load signal has lost 63 % of its weight, in microseconds.
const SERVICE_DECAY_US: f64 = 150_000.0;
/// Ratio of reported to typical service time up to which the difference counts as chance. If
/// entries followed smaller differences, they would all choose the upstreams whose last few calls
/// happened to be short.
const CHANCE_SERVICE_RATIO: f64 = 2.0;
/// Age at which the pace of a host has lost 63 % of its weight, in microseconds.
const PACE_DECAY_US: f64 = 100_000.0;
/// Age at which fewer slots than announced have lost 63 % of their weight, in microseconds. With 1 s,
/// entries avoided upstreams for a second after their cold period.
const SLOTS_DECAY_US: f64 = 250_000.0;
/// Age at which the error of predictions has lost 63 % of its weight, in microseconds.
const RESULT_DECAY_US: f64 = 300_000.0;
/// Weight of one result in the averages of predicted and observed latency.
const RESULT_WEIGHT: f64 = 0.2;
/// Ratio of observed to predicted latency up to which the difference counts as chance.
const CHANCE_LATENCY_RATIO: f64 = 1.5;
/// Lowest latency that a failure counts as, in microseconds.
const FAILURE_LATENCY_US: f64 = 1_000_000.0;
/// Duration of the cold-start ramp, in which a new upstream counts for fewer slots, in
/// microseconds.
const RAMP_US: u64 = 500_000;
/// Share of its slots that a new upstream counts for at the start of the ramp.
const RAMP_START: f64 = 0.5;
/// Round trip within and between availability zones until a probe has measured it, in microseconds.
const DEFAULT_ROUND_TRIP_US: (f64, f64) = (300.0, 2_000.0);
/// Weight of one probe in the average round trip.
const ROUND_TRIP_WEIGHT: f64 = 0.2;

/// The latest load signal of an upstream.
#[derive(Clone, Copy, Debug)]
struct ReceivedSignal {
    signal: LoadSignal,
    received_us: u64,
    /// Load of other entries: the load in the signal without this entry's own attempts.
    other_load: f64,
    /// Time of the last signal whose service time came from calls. An idle upstream repeats its
    /// last service time, which must keep aging.
    service_time_at_us: u64,
}

/// An attempt that was sent and has no result yet.
#[derive(Clone, Copy, Debug)]
struct OutstandingAttempt {
    sent_us: u64,
    predicted_us: f64,
}

/// Moving averages of the latency predicted at the choice and observed at the end.
#[derive(Clone, Copy, Debug)]
struct Results {
    predicted_us: f64,
    observed_us: f64,
    updated_us: u64,
}

/// Typical values over a service's upstreams, used for an upstream whose own values are missing or
/// old.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TypicalValues {
    /// Load of other entries.
    pub(crate) other_load: f64,
    pub(crate) service_us: f64,
}

/// Expected time to a response, and the load that the expectation is based on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    pub(crate) load: f64,
    pub(crate) expected_us: f64,
}

/// The router's state of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct TrackedUpstream {
    pub(crate) upstream: Upstream,
    pub(crate) ejection: Ejection,
    pub(crate) probe_sent_us: Option<u64>,
    /// Start of the cold-start ramp.
    added_us: u64,
    outstanding: Vec<OutstandingAttempt>,
    /// Latest load signal.
    received: Option<ReceivedSignal>,
    results: Option<Results>,
    round_trip_us: Option<f64>,
}

impl TrackedUpstream {
    pub(crate) fn new(now_us: u64, upstream: &Upstream) -> Self {
        TrackedUpstream {
            upstream: upstream.clone(),
            ejection: Ejection::default(),
            probe_sent_us: None,
            added_us: now_us,
            outstanding: Vec::new(),
            received: None,
            results: None,
            round_trip_us: None,
        }
    }

    /// Whether `upstream` is this one after a restart, so that this state no longer applies.
    pub(crate) fn is_replaced_by(&self, upstream: &Upstream) -> bool {
        self.upstream.node != upstream.node || self.upstream.announced_ms != upstream.announced_ms
    }

    pub(crate) fn record_sent(&mut self, now_us: u64, predicted_us: f64) {
        self.outstanding.push(OutstandingAttempt {
            sent_us: now_us,
            predicted_us,
        });
    }

    /// Records the result of the outstanding attempt that was sent closest to `latency_us` ago.
    pub(crate) fn record_result(&mut self, now_us: u64, result: AttemptResult, latency_us: u64) {
        let sent_us = now_us.saturating_sub(latency_us);
        let closest = (0..self.outstanding.len())
            .min_by_key(|&index| self.outstanding[index].sent_us.abs_diff(sent_us));
        let Some(index) = closest else { return };
        let attempt = self.outstanding.swap_remove(index);
        if result == AttemptResult::Ok && self.ejection.is_ejected() {
            // The trial succeeded, so the earlier failures no longer apply.
            self.results = None;
            return;
        }
        let observed_us = match result {
            AttemptResult::Ok => latency_us as f64,
            AttemptResult::Failed | AttemptResult::TimedOut => {
                FAILURE_LATENCY_US.max(latency_us as f64)
            }
            AttemptResult::Cancelled if latency_us as f64 > attempt.predicted_us => {
                latency_us as f64
            }
            AttemptResult::Cancelled | AttemptResult::Refused => return,
        };
        let previous = self.results.unwrap_or(Results {
            predicted_us: attempt.predicted_us,
            observed_us: attempt.predicted_us,
            updated_us: now_us,
        });
        // A result after a long gap has more weight, so that an upstream that entries have avoided
        // is soon chosen again once it has recovered.
        let weight =
            RESULT_WEIGHT.max(1.0 - remaining_weight(now_us, previous.updated_us, RESULT_DECAY_US));
        self.results = Some(Results {
            predicted_us: interpolate(previous.predicted_us, attempt.predicted_us, weight),
            observed_us: interpolate(previous.observed_us, observed_us, weight),
            updated_us: now_us,
        });
    }

    /// Stores a load signal unless a later one has been received.
    pub(crate) fn record_signal(&mut self, now_us: u64, signal: LoadSignal) {
        if self
            .received
            .is_some_and(|last| last.signal.sequence >= signal.sequence)
        {
            return;
        }
        let load = f64::from(signal.in_flight.saturating_add(signal.queued));
        let other_load = (load - self.outstanding.len() as f64).max(0.0);
        let is_idle = signal.in_flight == 0;
        let service_time_at_us = self
            .received
            .filter(|last| is_idle && last.signal.service_time_us == signal.service_time_us)
            .map_or(now_us, |last| last.service_time_at_us);
        self.received = Some(ReceivedSignal {
            signal,
            received_us: now_us,
            other_load,
            service_time_at_us,
        });
    }

    pub(crate) fn record_round_trip(&mut self, round_trip_us: u64) {
        let sample_us = round_trip_us as f64;
        let average_us = self.round_trip_us.unwrap_or(sample_us);
        self.round_trip_us = Some(interpolate(average_us, sample_us, ROUND_TRIP_WEIGHT));
    }

    /// Time of the last load signal; 0 if there is none.
    pub(crate) fn signal_received_us(&self) -> u64 {
        self.received.map_or(0, |last| last.received_us)
    }

    /// The last load signal.
    pub(crate) fn signal(&self) -> Option<LoadSignal> {
        self.received.map(|last| last.signal)
    }

    /// Attempts of this entry that have no result yet.
    pub(crate) fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    /// Load of other entries in the last signal.
    pub(crate) fn other_load(&self) -> Option<f64> {
        self.received.map(|last| last.other_load)
    }

    /// Service time in the last signal.
    pub(crate) fn service_us(&self) -> Option<f64> {
        self.received
            .map(|last| f64::from(last.signal.service_time_us))
            .filter(|&us| us > 0.0)
    }

    /// Estimates the time to a response. The fresher the upstream's own values are, the more they
    /// weigh against those that are typical for the service.
    pub(crate) fn estimate(
        &self,
        now_us: u64,
        typical: TypicalValues,
        is_same_zone: bool,
    ) -> Estimate {
        let service_us = self.current_service_us(now_us, typical.service_us);
        let slots = self.usable_slots(now_us).max(1.0) * self.ramp_share(now_us);
        let (other_load, weight) = self.received.map_or((typical.other_load, 0.0), |last| {
            // Most of the calls counted in a signal have ended after the time that it takes to
            // serve them.
            let turnover_us = service_us * (1.0 + last.other_load / slots);
            let weight = remaining_weight(now_us, last.received_us, turnover_us);
            (
                interpolate(typical.other_load, last.other_load, weight),
                weight,
            )
        });
        let load = other_load + self.outstanding.len() as f64;
        let variance = 1.0 + (1.0 - weight) * other_load;
        let wait_us = expected_excess(load + 1.0 - slots, variance) * service_us / slots;
        let expected_us = self.expected_round_trip_us(is_same_zone) + service_us + wait_us;
        Estimate {
            load,
            expected_us: expected_us * self.misprediction_factor(now_us),
        }
    }

    /// Slots that calls can use. A fresh signal with fewer slots than announced means that the owner
    /// limits the calls to its upstream.
    pub(crate) fn usable_slots(&self, now_us: u64) -> f64 {
        let announced = f64::from(self.upstream.slots);
        self.received.map_or(announced, |last| {
            let reported = f64::from(last.signal.slots).min(announced);
            let weight = remaining_weight(now_us, last.received_us, SLOTS_DECAY_US);
            match last.signal.slots {
                0 => announced,
                _ => interpolate(announced, reported, weight),
            }
        })
    }

    /// The typical service time, raised if a fresh signal or overdue attempts show a longer one.
    fn current_service_us(&self, now_us: u64, typical_us: f64) -> f64 {
        let excess_us = self.received.map_or(0.0, |last| {
            let signal_us = f64::from(last.signal.service_time_us);
            let excess_us = (signal_us - typical_us * CHANCE_SERVICE_RATIO).max(0.0);
            excess_us * remaining_weight(now_us, last.service_time_at_us, SERVICE_DECAY_US)
        });
        let pace = self.received.map_or(1.0, |last| {
            let pace = f64::from(last.signal.pace_percent.max(100)) / 100.0;
            1.0 + (pace - 1.0) * remaining_weight(now_us, last.received_us, PACE_DECAY_US)
        });
        let service_us = (typical_us + excess_us) * pace;
        service_us + self.overdue_us(now_us, service_us)
    }

    /// Expected round trip to the owner.
    fn expected_round_trip_us(&self, is_same_zone: bool) -> f64 {
        let (within_us, between_us) = DEFAULT_ROUND_TRIP_US;
        self.round_trip_us
            .unwrap_or(if is_same_zone { within_us } else { between_us })
    }

    /// Mean time by which outstanding attempts exceed twice the service time.
    fn overdue_us(&self, now_us: u64, service_us: f64) -> f64 {
        let overdue_us: f64 = self
            .outstanding
            .iter()
            .map(|attempt| now_us.saturating_sub(attempt.sent_us) as f64 - 2.0 * service_us)
            .filter(|&us| us > 0.0)
            .sum();
        overdue_us / self.outstanding.len().max(1) as f64
    }

    /// Factor by which observed latencies exceeded the predictions, beyond chance. It catches
    /// upstreams whose load signals are wrong.
    fn misprediction_factor(&self, now_us: u64) -> f64 {
        self.results.map_or(1.0, |results| {
            let ratio = results.observed_us / results.predicted_us.max(1.0) / CHANCE_LATENCY_RATIO;
            let excess = (ratio - 1.0).max(0.0);
            1.0 + excess * remaining_weight(now_us, results.updated_us, RESULT_DECAY_US)
        })
    }

    /// Share of its slots that the upstream counts for, which is lower during the cold-start ramp.
    fn ramp_share(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.added_us).min(RAMP_US);
        RAMP_START + (1.0 - RAMP_START) * age_us as f64 / RAMP_US as f64
    }
}

/// Weight that a value of the time `at_us` still has; it decays exponentially.
fn remaining_weight(now_us: u64, at_us: u64, decay_us: f64) -> f64 {
    (-(now_us.saturating_sub(at_us) as f64) / decay_us.max(1.0)).exp()
}

/// Weighted mean of two values, in which `sample` has the given weight.
fn interpolate(average: f64, sample: f64, weight: f64) -> f64 {
    average + (sample - average) * weight
}

/// Mean of the positive part of a random variable with this mean and variance. For a normal
/// distribution it is exact at a mean of zero and far from zero.
fn expected_excess(mean: f64, variance: f64) -> f64 {
    const AT_ZERO: f64 = 2.0 / std::f64::consts::PI;
    f64::midpoint(mean, (mean * mean + AT_ZERO * variance).sqrt())
}
