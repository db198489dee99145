//! Calls that a deployment tolerates beyond the limits of its customers.

use crate::customer::CustomerLimit;
use std::collections::VecDeque;

/// Slots into which a window is divided.
const SLOTS: u64 = 50;

/// Calls that a customer may have beyond `rate x window + burst` in any window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the window in seconds.
    pub window_s: f64,
    /// Share of `rate x window + burst`, in percent.
    pub overage_percent: f64,
    /// Additional calls.
    pub slack: f64,
}

impl QuotaTolerance {
    /// Whether nothing is tolerated.
    pub fn is_none(&self) -> bool {
        self.overage_percent <= 0.0 && self.slack <= 0.0
    }

    /// Calls in a window within the limit.
    fn limited(&self, rate_per_s: f64, limit: CustomerLimit) -> f64 {
        rate_per_s * self.window_s + limit.burst
    }

    /// Calls in a window beyond the limit.
    fn beyond(&self, rate_per_s: f64, limit: CustomerLimit) -> f64 {
        self.limited(rate_per_s, limit) * self.overage_percent / 100.0 + self.slack
    }
}

/// Tokens that were released for one customer in the last window, by which its tolerance is used.
///
/// A coordinator uses half of the tolerance. The other half is for its successor, which can't know
/// what was released before: for one window it uses that half and counts the first one as used.
///
/// Workload: a customer whose demand is above its limit for long, and a coordinator that has just
/// taken over and has no tokens yet. What the deployment tolerates is served instead of refused.
#[derive(Clone, Debug)]
pub(crate) struct ToleranceWindow {
    tolerance: QuotaTolerance,
    /// Tokens by slot, the newest last. There is one slot more than the window has, so that a slot
    /// that is partly in the window counts in full.
    released: VecDeque<f64>,
    /// Number of the newest slot since time zero.
    newest_slot: u64,
    /// End of the time in which tokens of a predecessor are in the window.
    succeeds_until_slot: u64,
}

impl ToleranceWindow {
    /// A window in which nothing was released.
    pub(crate) fn new(now_us: u64, tolerance: QuotaTolerance) -> Self {
        let mut window = ToleranceWindow {
            tolerance,
            released: std::iter::repeat_n(0.0, SLOTS as usize + 1).collect(),
            newest_slot: 0,
            succeeds_until_slot: 0,
        };
        window.newest_slot = window.slot_of(now_us);
        window
    }

    /// A window in which a predecessor may have released all that it could.
    pub(crate) fn after_predecessor(
        now_us: u64,
        tolerance: QuotaTolerance,
        rate_per_s: f64,
        limit: CustomerLimit,
    ) -> Self {
        let mut window = ToleranceWindow::new(now_us, tolerance);
        // The two coordinators together keep the limit, since the bucket of the second starts empty;
        // only burst and tolerance of the first may have been used just now.
        let by_slot = rate_per_s * tolerance.window_s / SLOTS as f64;
        window.released.iter_mut().for_each(|slot| *slot = by_slot);
        window.record(
            now_us,
            limit.burst + tolerance.beyond(rate_per_s, limit) / 2.0,
        );
        window.succeeds_until_slot = window.newest_slot + SLOTS + 1;
        window
    }

    /// Records tokens that were released. They count until their slot has left the window, also if
    /// they are given back.
    pub(crate) fn record(&mut self, now_us: u64, tokens: f64) {
        self.advance(now_us);
        if let Some(newest) = self.released.back_mut() {
            *newest += tokens;
        }
    }

    /// Tokens that may be released beyond those of the bucket, which has `level` and is refilled at
    /// `rate_per_s`: no window that ends from now on may have more than is allowed, also when the
    /// bucket releases everything. `reserve` tokens may be released without a record.
    pub(crate) fn room(
        &mut self,
        now_us: u64,
        rate_per_s: f64,
        limit: CustomerLimit,
        level: f64,
        reserve: f64,
    ) -> f64 {
        self.advance(now_us);
        let beyond = self.tolerance.beyond(rate_per_s, limit);
        let beyond = match self.newest_slot <= self.succeeds_until_slot {
            true => beyond,
            false => beyond / 2.0,
        };
        let allowed = self.tolerance.limited(rate_per_s, limit) + beyond - level.max(0.0) - reserve;
        let slot_s = self.tolerance.window_s / SLOTS as f64;
        let mut in_window: f64 = self.released.iter().sum();
        let mut room = allowed - in_window;
        for (passed, tokens) in (1..).zip(&self.released) {
            in_window -= tokens;
            let refilled = rate_per_s * slot_s * f64::from(passed);
            room = room.min(allowed - in_window - refilled);
        }
        room.max(0.0)
    }

    fn advance(&mut self, now_us: u64) {
        let slot = self.slot_of(now_us);
        let passed = slot.saturating_sub(self.newest_slot).min(SLOTS + 1);
        for _ in 0..passed {
            self.released.pop_front();
            self.released.push_back(0.0);
        }
        self.newest_slot = self.newest_slot.max(slot);
    }

    fn slot_of(&self, now_us: u64) -> u64 {
        let slot_us = (self.tolerance.window_s * 1e6 / SLOTS as f64).max(1.0);
        (now_us as f64 / slot_us) as u64
    }
}
