//! Retry budget of a service that all entries share without exchanging messages.
//!
//! The service may use, in any sliding window, a share of its calls plus a constant number of
//! retries. Each entry may use the same share of its own calls plus an equal part of the constant,
//! so the sum over all entries stays within the limit however the calls are distributed. In the
//! worst case an entry restarts without its counts and uses its part of the constant once more.

use std::collections::VecDeque;

/// Number of buckets per window; calls and retries are counted by bucket.
const BUCKETS_PER_WINDOW: u64 = 20;

/// Limits on the retries of one service by all its entries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedRetryLimits {
    /// Length of the sliding window in microseconds.
    pub window_us: u64,
    /// Retries allowed per thousand calls.
    pub per_mille: u32,
    /// Retries allowed on top, in each window.
    pub slack: u32,
}

/// Calls and retries in one part of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    calls: u32,
    retries: u32,
}

/// One entry's part of the retry budget of a service.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    limits: SharedRetryLimits,
    buckets: VecDeque<Bucket>,
}

impl SharedRetryBudget {
    /// A budget in whose window no calls and no retries have been counted.
    pub fn new(limits: SharedRetryLimits) -> Self {
        SharedRetryBudget {
            limits,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a call.
    pub fn on_call(&mut self, now_us: u64) {
        self.current_bucket(now_us).calls += 1;
    }

    /// Takes one retry if the budget has one; `entries` is the number of entries that share it.
    pub fn try_retry(&mut self, now_us: u64, entries: u32) -> bool {
        self.current_bucket(now_us);
        let (calls, retries) = self
            .buckets
            .iter()
            .fold((0, 0), |(calls, retries), bucket| {
                (calls + bucket.calls, retries + bucket.retries)
            });
        let from_calls = u64::from(calls) * u64::from(self.limits.per_mille);
        let from_slack = u64::from(self.limits.slack) * 1_000 / u64::from(entries.max(1));
        let allowed = (from_calls + from_slack) / 1_000;
        if u64::from(retries) >= allowed {
            return false;
        }
        self.current_bucket(now_us).retries += 1;
        true
    }

    /// The bucket of the current time; drops the buckets that have left the window.
    fn current_bucket(&mut self, now_us: u64) -> &mut Bucket {
        let number = now_us / (self.limits.window_us / BUCKETS_PER_WINDOW).max(1);
        // One bucket more than a window is kept, so that every span of a window's length is covered
        // completely.
        while self
            .buckets
            .front()
            .is_some_and(|oldest| oldest.number + BUCKETS_PER_WINDOW < number)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(Bucket {
                number,
                calls: 0,
                retries: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
