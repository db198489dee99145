//! What the router knows about one upstream.

use crate::{Finish, ejection::Ejection};
use model::{LoadSignal, Upstream};

/// Age at which a load figure has lost 63 % of its weight, in microseconds.
const SIGNAL_DECAY_US: f64 = 30_000.0;
/// Weight of one observed latency in its average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Length of the cold-start ramp in microseconds.
const RAMP_US: u64 = 2_000_000;
/// Share of its slots that an upstream counts for at the start of the ramp.
const RAMP_START: f64 = 0.2;

/// A load signal and what the entry knew when it arrived.
#[derive(Clone, Copy, Debug)]
struct Seen {
    signal: LoadSignal,
    at_us: u64,
    others: f64,
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) upstream: Upstream,
    pub(crate) ejection: Ejection,
    pub(crate) outstanding: u32,
    pub(crate) probe_sent_us: Option<u64>,
    added_us: u64,
    seen: Option<Seen>,
    latency_us: Option<f64>,
    network_us: f64,
}

impl Member {
    pub(crate) fn new(now_us: u64, upstream: &Upstream) -> Self {
        Member {
            upstream: upstream.clone(),
            ejection: Ejection::default(),
            outstanding: 0,
            probe_sent_us: None,
            added_us: now_us,
            seen: None,
            latency_us: None,
            network_us: 0.0,
        }
    }

    /// Whether `upstream` is a new run of this one, whose history no longer counts.
    pub(crate) fn is_replaced_by(&self, upstream: &Upstream) -> bool {
        self.upstream.node != upstream.node || self.upstream.announced_ms != upstream.announced_ms
    }

    pub(crate) fn finished(&mut self, finish: Finish, latency_us: u64) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if matches!(finish, Finish::Refused | Finish::Cancelled) {
            return;
        }
        let sample = latency_us as f64;
        let average = self.latency_us.unwrap_or(sample);
        self.latency_us = Some(average + (sample - average) * LATENCY_WEIGHT);
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
        let others = (load - f64::from(self.outstanding)).max(0.0);
        self.seen = Some(Seen {
            signal,
            at_us: now_us,
            others,
        });
    }

    pub(crate) fn seen_us(&self) -> u64 {
        self.seen.map_or(0, |seen| seen.at_us)
    }

    /// Estimated load of other entries, or nothing without a signal.
    pub(crate) fn others(&self) -> Option<f64> {
        self.seen.map(|seen| seen.others)
    }

    /// Estimated calls running and waiting; an old signal gives way to the service's average.
    pub(crate) fn load(&self, now_us: u64, average_others: f64) -> f64 {
        let others = self.seen.map_or(average_others, |seen| {
            let age_us = now_us.saturating_sub(seen.at_us) as f64;
            let weight = (-age_us / SIGNAL_DECAY_US).exp();
            seen.others * weight + average_others * (1.0 - weight)
        });
        others + f64::from(self.outstanding)
    }

    /// Expected time from the choice to the response, in microseconds.
    pub(crate) fn expected_us(&self, now_us: u64, load: f64, average_service_us: f64) -> f64 {
        let service_us = self.service_us().unwrap_or(average_service_us);
        let slots = f64::from(self.upstream.slots.max(1)) * self.ramp(now_us);
        let filled = (load + 1.0) / slots;
        let wait = if filled <= 1.0 {
            0.3 * filled.powi(4)
        } else {
            filled - 0.7
        };
        self.network_us + service_us * (1.0 + wait)
    }

    /// The owner's figure, or the observed latency where that is worse than the figure explains.
    pub(crate) fn service_us(&self) -> Option<f64> {
        self.seen
            .map(|seen| f64::from(seen.signal.service_time_us))
            .filter(|&us| us > 0.0)
    }

    fn ramp(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.added_us).min(RAMP_US);
        RAMP_START + (1.0 - RAMP_START) * age_us as f64 / RAMP_US as f64
    }
}
