//! What the router knows about one upstream.

use crate::{AttemptResult, ejection::Ejection};
use model::{LoadSignal, Upstream};

/// Age at which the service time of a signal has lost 63 % of its weight, in microseconds.
const SERVICE_DECAY_US: f64 = 150_000.0;
/// Ratio of reported to typical service time that is still taken for chance; following smaller
/// differences makes entries crowd the upstreams that were lucky in their last few calls.
const CHANCE_SERVICE_RATIO: f64 = 2.0;
/// Age at which a figure on the host's pace has lost 63 % of its weight, in microseconds.
const PACE_DECAY_US: f64 = 100_000.0;
/// Age at which distrust has lost 63 % of its weight, in microseconds.
const DISTRUST_DECAY_US: f64 = 300_000.0;
/// Weight of one result in the averages of predicted and observed latency.
const RESULT_WEIGHT: f64 = 0.2;
/// Ratio of observed to predicted latency that is still taken for chance.
const CHANCE_RATIO: f64 = 1.5;
/// Latency that a failure counts as, in microseconds.
const FAILURE_US: f64 = 1_000_000.0;
/// Length of the cold-start ramp in microseconds.
const RAMP_US: u64 = 500_000;
/// Share of its slots that an upstream counts for at the start of the ramp.
const RAMP_START: f64 = 0.5;
/// Round trip within and between availability zones before a probe measures it, in microseconds.
const DEFAULT_ROUND_TRIP_US: (f64, f64) = (300.0, 2_000.0);
/// Weight of one probe in the average round trip.
const ROUND_TRIP_WEIGHT: f64 = 0.2;

/// A load signal and what the entry knew when it arrived.
#[derive(Clone, Copy, Debug)]
struct Seen {
    signal: LoadSignal,
    at_us: u64,
    others: f64,
    /// When the service time last followed from calls rather than from the absence of calls.
    service_at_us: u64,
}

/// An attempt without a result.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    sent_us: u64,
    predicted_us: f64,
}

/// Averages of what was predicted at the choice and observed at the end.
#[derive(Clone, Copy, Debug)]
struct Results {
    predicted_us: f64,
    observed_us: f64,
    at_us: u64,
}

/// Averages over a service's upstreams, which stand in for what is not known of one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Typical {
    pub(crate) others: f64,
    pub(crate) service_us: f64,
}

/// Expected time to a response and the load that it follows from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    pub(crate) load: f64,
    pub(crate) expected_us: f64,
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) upstream: Upstream,
    pub(crate) ejection: Ejection,
    pub(crate) probe_sent_us: Option<u64>,
    added_us: u64,
    outstanding: Vec<Outstanding>,
    seen: Option<Seen>,
    results: Option<Results>,
    round_trip_us: Option<f64>,
}

impl Member {
    pub(crate) fn new(now_us: u64, upstream: &Upstream) -> Self {
        Member {
            upstream: upstream.clone(),
            ejection: Ejection::default(),
            probe_sent_us: None,
            added_us: now_us,
            outstanding: Vec::new(),
            seen: None,
            results: None,
            round_trip_us: None,
        }
    }

    /// Whether `upstream` is a new run of this one, whose history no longer counts.
    pub(crate) fn is_replaced_by(&self, upstream: &Upstream) -> bool {
        self.upstream.node != upstream.node || self.upstream.announced_ms != upstream.announced_ms
    }

    pub(crate) fn sent(&mut self, now_us: u64, predicted_us: f64) {
        self.outstanding.push(Outstanding {
            sent_us: now_us,
            predicted_us,
        });
    }

    pub(crate) fn finished(&mut self, now_us: u64, finish: AttemptResult, latency_us: u64) {
        let sent_us = now_us.saturating_sub(latency_us);
        let closest = (0..self.outstanding.len())
            .min_by_key(|&index| self.outstanding[index].sent_us.abs_diff(sent_us));
        let Some(index) = closest else { return };
        let attempt = self.outstanding.swap_remove(index);
        if finish == AttemptResult::Ok && self.ejection.is_ejected() {
            // The trial succeeded: the failures before it say nothing about the upstream now.
            self.results = None;
            return;
        }
        let observed_us = match finish {
            AttemptResult::Ok => latency_us as f64,
            AttemptResult::Failed | AttemptResult::TimedOut => FAILURE_US.max(latency_us as f64),
            AttemptResult::Cancelled if latency_us as f64 > attempt.predicted_us => {
                latency_us as f64
            }
            AttemptResult::Cancelled | AttemptResult::Refused => return,
        };
        let previous = self.results.unwrap_or(Results {
            predicted_us: attempt.predicted_us,
            observed_us: attempt.predicted_us,
            at_us: now_us,
        });
        // A result after a long gap counts for more, so that an avoided upstream recovers soon.
        let weight = RESULT_WEIGHT.max(1.0 - remaining(now_us, previous.at_us, DISTRUST_DECAY_US));
        self.results = Some(Results {
            predicted_us: approach(previous.predicted_us, attempt.predicted_us, weight),
            observed_us: approach(previous.observed_us, observed_us, weight),
            at_us: now_us,
        });
    }

    /// Stores a signal unless a later one is known.
    pub(crate) fn observe(&mut self, now_us: u64, signal: LoadSignal) {
        if self
            .seen
            .is_some_and(|seen| seen.signal.sequence >= signal.sequence)
        {
            return;
        }
        let load = f64::from(signal.in_flight.saturating_add(signal.queued));
        let others = (load - self.outstanding.len() as f64).max(0.0);
        let is_idle = signal.in_flight == 0;
        let service_at_us = self
            .seen
            .filter(|seen| is_idle && seen.signal.service_time_us == signal.service_time_us)
            .map_or(now_us, |seen| seen.service_at_us);
        self.seen = Some(Seen {
            signal,
            at_us: now_us,
            others,
            service_at_us,
        });
    }

    pub(crate) fn round_trip(&mut self, round_trip_us: u64) {
        let sample_us = round_trip_us as f64;
        let average_us = self.round_trip_us.unwrap_or(sample_us);
        self.round_trip_us = Some(approach(average_us, sample_us, ROUND_TRIP_WEIGHT));
    }

    pub(crate) fn seen_us(&self) -> u64 {
        self.seen.map_or(0, |seen| seen.at_us)
    }

    /// Load of other entries in the last signal.
    pub(crate) fn others(&self) -> Option<f64> {
        self.seen.map(|seen| seen.others)
    }

    /// Service time in the last signal.
    pub(crate) fn service_us(&self) -> Option<f64> {
        self.seen
            .map(|seen| f64::from(seen.signal.service_time_us))
            .filter(|&us| us > 0.0)
    }

    /// Weighs what is known of the upstream against what is typical for the service.
    pub(crate) fn estimate(&self, now_us: u64, typical: Typical, same_zone: bool) -> Estimate {
        let service_us = self.current_service_us(now_us, typical.service_us);
        let slots = f64::from(self.upstream.slots.max(1)) * self.ramp(now_us);
        let (others, weight) = self.seen.map_or((typical.others, 0.0), |seen| {
            // What a signal counted has mostly ended once the calls that it counted are served.
            let turnover_us = service_us * (1.0 + seen.others / slots);
            let weight = remaining(now_us, seen.at_us, turnover_us);
            (approach(typical.others, seen.others, weight), weight)
        });
        let load = others + self.outstanding.len() as f64;
        let variance = 1.0 + (1.0 - weight) * others;
        let wait_us = expected_excess(load + 1.0 - slots, variance) * service_us / slots;
        let expected_us = self.network_us(same_zone) + service_us + wait_us;
        Estimate {
            load,
            expected_us: expected_us * self.distrust(now_us),
        }
    }

    /// The typical service time, raised by what a fresh signal or overdue attempts show.
    fn current_service_us(&self, now_us: u64, typical_us: f64) -> f64 {
        let excess_us = self.seen.map_or(0.0, |seen| {
            let signal_us = f64::from(seen.signal.service_time_us);
            let excess_us = (signal_us - typical_us * CHANCE_SERVICE_RATIO).max(0.0);
            excess_us * remaining(now_us, seen.service_at_us, SERVICE_DECAY_US)
        });
        let pace = self.seen.map_or(1.0, |seen| {
            let pace = f64::from(seen.signal.pace_percent.max(100)) / 100.0;
            1.0 + (pace - 1.0) * remaining(now_us, seen.at_us, PACE_DECAY_US)
        });
        let service_us = (typical_us + excess_us) * pace;
        service_us + self.overdue_us(now_us, service_us)
    }

    fn network_us(&self, same_zone: bool) -> f64 {
        let (within_us, between_us) = DEFAULT_ROUND_TRIP_US;
        self.round_trip_us
            .unwrap_or(if same_zone { within_us } else { between_us })
    }

    /// Mean time by which own attempts are older than twice the service time.
    fn overdue_us(&self, now_us: u64, service_us: f64) -> f64 {
        let overdue_us: f64 = self
            .outstanding
            .iter()
            .map(|attempt| now_us.saturating_sub(attempt.sent_us) as f64 - 2.0 * service_us)
            .filter(|&us| us > 0.0)
            .sum();
        overdue_us / self.outstanding.len().max(1) as f64
    }

    /// Factor by which results were worse than predicted, beyond chance.
    fn distrust(&self, now_us: u64) -> f64 {
        self.results.map_or(1.0, |results| {
            let ratio = results.observed_us / results.predicted_us.max(1.0) / CHANCE_RATIO;
            let excess = (ratio - 1.0).max(0.0);
            1.0 + excess * remaining(now_us, results.at_us, DISTRUST_DECAY_US)
        })
    }

    /// Share of its slots that a cold upstream counts for.
    fn ramp(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.added_us).min(RAMP_US);
        RAMP_START + (1.0 - RAMP_START) * age_us as f64 / RAMP_US as f64
    }
}

/// Weight that a figure of `at_us` still has.
fn remaining(now_us: u64, at_us: u64, decay_us: f64) -> f64 {
    (-(now_us.saturating_sub(at_us) as f64) / decay_us.max(1.0)).exp()
}

fn approach(average: f64, sample: f64, weight: f64) -> f64 {
    average + (sample - average) * weight
}

/// Mean of the positive part of a value with this mean and variance; exact for a normal
/// distribution at zero and far from it.
fn expected_excess(mean: f64, variance: f64) -> f64 {
    const AT_ZERO: f64 = 2.0 / std::f64::consts::PI;
    f64::midpoint(mean, (mean * mean + AT_ZERO * variance).sqrt())
}
