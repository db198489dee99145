//! Retry budget as a share of the successful calls.

use crate::TokenBucket;

/// Units per retry, so that a percentage of a success is a whole number.
const UNITS_PER_RETRY: u32 = 100;
/// Most retries that successes save up, so that an old surplus can't feed a retry storm.
const MAX_SAVED_RETRIES: u32 = 50;

/// Saved retries that reservations leave for calls that are refused or fail outright.
const KEPT_RETRIES: u32 = 25;

/// Allows retries as a percentage of successes, plus a small constant rate.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    saved: u32,
    floor: TokenBucket,
}

impl RetryBudget {
    /// A budget of `percent` retries per hundred successes and `min_per_s` besides.
    pub fn new(percent: u8, min_per_s: u32) -> Self {
        RetryBudget {
            percent: u32::from(percent),
            saved: 0,
            floor: TokenBucket::new(min_per_s, min_per_s),
        }
    }

    /// Credits a call that succeeded.
    pub fn on_success(&mut self, _now_us: u64) {
        self.saved = (self.saved + self.percent).min(MAX_SAVED_RETRIES * UNITS_PER_RETRY);
    }

    /// Takes one saved retry, but none of the last few, ahead of an attempt that its owner may refuse for waiting, so that
    /// the refusal can't end the call.
    pub fn try_reserve(&mut self) -> bool {
        self.take_above(KEPT_RETRIES)
    }

    /// Returns a reserved retry that was not needed.
    pub fn release(&mut self) {
        self.saved = (self.saved + UNITS_PER_RETRY).min(MAX_SAVED_RETRIES * UNITS_PER_RETRY);
    }

    /// Takes one retry from the budget.
    pub fn try_retry(&mut self, now_us: u64) -> bool {
        self.take_above(0) || self.floor.try_take(now_us, 1)
    }

    fn take_above(&mut self, kept_retries: u32) -> bool {
        let has_retry = self.saved >= (kept_retries + 1) * UNITS_PER_RETRY;
        if has_retry {
            self.saved -= UNITS_PER_RETRY;
        }
        has_retry
    }
}
