//! Calls of several kinds whose demand varies in waves, for scenarios of insufficient capacity.

use super::scenario::{Arrival, Scenario, exponential};
use model::Priority;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Deviation of the demand in one availability zone from its mean.
const WAVE: f64 = 0.55;
/// Length of one wave in microseconds.
const WAVE_US: f64 = 5e6;
/// Lowest and highest work of a call, as a share of the mean of its kind.
const WORK_SPREAD: (f64, f64) = (0.7, 1.3);
/// Length of a slow period of an instance, in microseconds.
pub(super) const SLOW_US: f64 = 150_000.0;
/// Mean time between the slow periods of an instance, which is slow a quarter of the time.
pub(super) const SLOW_GAP_US: f64 = 450_000.0;
/// Speed of an instance on average, five times slower a quarter of the time.
const MEAN_SPEED: f64 = 0.75 + 0.25 / 5.0;

/// One kind of call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallKind {
    pub(crate) priority: Priority,
    share: f64,
    /// Mean service time on an undisturbed instance, in microseconds.
    pub(crate) mean_us: u64,
    /// Latency target in microseconds.
    pub(crate) target_us: u64,
    /// Value of an answer within the target.
    pub(crate) value: f64,
}

const KINDS: [CallKind; 4] = [
    kind(Priority::High, 0.15, 30_000, 300_000, 6.0),
    kind(Priority::Normal, 0.35, 15_000, 300_000, 1.0),
    kind(Priority::Normal, 0.2, 60_000, 600_000, 1.0),
    kind(Priority::Normal, 0.3, 30_000, 600_000, 1.0),
];

const fn kind(
    priority: Priority,
    share: f64,
    mean_us: u64,
    target_us: u64,
    value: f64,
) -> CallKind {
    CallKind {
        priority,
        share,
        mean_us,
        target_us,
        value,
    }
}

/// Draws the arrivals of a scenario with mixed calls.
pub(super) fn draw_arrivals(
    scenario: &Scenario,
    load: f64,
    end_us: f64,
    rng: &mut Pcg64Mcg,
) -> Vec<Arrival> {
    let slots = scenario.instances as f64 * f64::from(scenario.slots);
    let mean_us: f64 = KINDS.iter().map(|k| k.share * k.mean_us as f64).sum();
    let gap_us = mean_us / (slots * MEAN_SPEED * load * (1.0 + WAVE));
    let mut arrivals = Vec::new();
    let mut at_us = exponential(rng, gap_us);
    while at_us < end_us {
        let entry = rng.random_range(0..scenario.entries);
        let phase = (entry % scenario.zones) as f64 / scenario.zones as f64;
        let wave = (at_us / WAVE_US + phase) * std::f64::consts::TAU;
        if rng.random_bool((1.0 + WAVE * wave.sin()) / (1.0 + WAVE)) {
            let kind = draw_kind(rng);
            arrivals.push(Arrival {
                at_us: at_us as u64,
                entry,
                work_us: kind.mean_us as f64 * rng.random_range(WORK_SPREAD.0..WORK_SPREAD.1),
                idempotent: true,
                kind: Some(kind),
            });
        }
        at_us += exponential(rng, gap_us);
    }
    arrivals
}

fn draw_kind(rng: &mut Pcg64Mcg) -> CallKind {
    let mut rest: f64 = rng.random();
    let drawn = KINDS.iter().find(|kind| {
        rest -= kind.share;
        rest < 0.0
    });
    *drawn.unwrap_or(&KINDS[KINDS.len() - 1])
}

/// Value asked for and lost in a run, and calls of the highest priority.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ValueCount {
    total: f64,
    lost: f64,
    high: u64,
    high_lost: u64,
}

impl ValueCount {
    /// Counts a call that ended; one that failed has its deadline as latency.
    pub(super) fn record(&mut self, kind: &CallKind, latency_us: u64) {
        let is_lost = latency_us > kind.target_us;
        let lost = f64::from(u8::from(is_lost));
        self.total += kind.value;
        self.lost += lost * kind.value;
        if kind.priority == Priority::High {
            self.high += 1;
            self.high_lost += u64::from(is_lost);
        }
    }

    /// Lost share of the value, in percent.
    pub(super) fn lost_percent(&self) -> f64 {
        self.lost * 100.0 / self.total.max(f64::MIN_POSITIVE)
    }

    /// Lost share of the calls of the highest priority, in percent.
    pub(super) fn high_lost_percent(&self) -> f64 {
        self.high_lost as f64 * 100.0 / self.high.max(1) as f64
    }
}
