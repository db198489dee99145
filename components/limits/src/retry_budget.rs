//! Retry budget of one profile at one entry, as a share of its successful calls.

use crate::TokenBucket;

/// Units per retry, so that each success adds a whole number of units.
const UNITS_PER_RETRY: u32 = 100;
/// Maximum number of saved retries, so that a quiet period can't pay for a retry storm.
const MAX_SAVED_RETRIES: u32 = 50;

/// Saved retries that reservations must leave for calls that have been refused or have failed.
const UNRESERVED_RETRIES: u32 = 25;

/// Allows retries for a percentage of the successful calls, and a small constant rate of retries on
/// top.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    /// Saved retries, in units.
    saved: u32,
    constant_rate: TokenBucket,
}

impl RetryBudget {
    /// A budget of `percent` retries per hundred successes and `min_per_s` retries per second.
    pub fn new(percent: u8, min_per_s: u32) -> Self {
        RetryBudget {
            percent: u32::from(percent),
            saved: 0,
            constant_rate: TokenBucket::new(min_per_s, min_per_s),
        }
    }

    /// Counts a call that succeeded.
    pub fn on_success(&mut self, _now_us: u64) {
        self.saved = (self.saved + self.percent).min(MAX_SAVED_RETRIES * UNITS_PER_RETRY);
    }

    /// Reserves a retry for an attempt that its owner refuses if it would wait too long. The call
    /// can then be retried even if the budget is spent at that time. Leaves `UNRESERVED_RETRIES`.
    pub fn try_reserve(&mut self) -> bool {
        self.take_above(UNRESERVED_RETRIES)
    }

    /// Whether `try_reserve` would succeed.
    pub fn can_reserve(&self) -> bool {
        self.has_above(UNRESERVED_RETRIES)
    }

    /// Returns a reserved retry that was not used.
    pub fn release(&mut self) {
        self.saved = (self.saved + UNITS_PER_RETRY).min(MAX_SAVED_RETRIES * UNITS_PER_RETRY);
    }

    /// Takes one retry from the budget.
    pub fn try_retry(&mut self, now_us: u64) -> bool {
        self.take_above(0) || self.constant_rate.try_take(now_us, 1)
    }

    fn has_above(&self, kept_retries: u32) -> bool {
        self.saved >= (kept_retries + 1) * UNITS_PER_RETRY
    }

    /// Takes one saved retry if at least `kept_retries` remain.
    fn take_above(&mut self, kept_retries: u32) -> bool {
        let has_retry = self.has_above(kept_retries);
        if has_retry {
            self.saved -= UNITS_PER_RETRY;
        }
        has_retry
    }
}
