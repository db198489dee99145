//! Retry budget of a service that all entries share without asking one another.
//!
//! The budget of the whole service in any window is a share of its calls and a constant. Each entry
//! takes the same share of its own calls and its part of the constant, so that the sum over all
//! entries stays within the whole however the calls are spread. An entry that restarts begins
//! without counts and can use its part of the constant once more; that is the worst case.

use std::collections::VecDeque;

/// Parts of a window in which calls and retries are counted.
const BUCKETS_PER_WINDOW: u64 = 20;

/// Limits of the whole service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedRetryLimits {
    /// Length of the sliding window in microseconds.
    pub window_us: u64,
    /// Retries allowed per thousand calls.
    pub per_mille: u32,
    /// Retries allowed besides, in each window.
    pub slack: u32,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    calls: u32,
    retries: u32,
}

/// One entry's part of the budget.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    limits: SharedRetryLimits,
    buckets: VecDeque<Bucket>,
}

impl SharedRetryBudget {
    /// A budget without history.
    pub fn new(limits: SharedRetryLimits) -> Self {
        SharedRetryBudget {
            limits,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a call.
    pub fn on_call(&mut self, now_us: u64) {
        self.bucket(now_us).calls += 1;
    }

    /// Takes one retry; `entries` is the number of entries that share the budget.
    pub fn try_retry(&mut self, now_us: u64, entries: u32) -> bool {
        self.bucket(now_us);
        let (calls, retries) = self
            .buckets
            .iter()
            .fold((0, 0), |(calls, retries), bucket| {
                (calls + bucket.calls, retries + bucket.retries)
            });
        let of_calls = u64::from(calls) * u64::from(self.limits.per_mille);
        let of_slack = u64::from(self.limits.slack) * 1_000 / u64::from(entries.max(1));
        let allowed = (of_calls + of_slack) / 1_000;
        if u64::from(retries) >= allowed {
            return false;
        }
        self.bucket(now_us).retries += 1;
        true
    }

    fn bucket(&mut self, now_us: u64) -> &mut Bucket {
        let number = now_us / (self.limits.window_us / BUCKETS_PER_WINDOW).max(1);
        // One bucket more than a window, so that each span of that length is covered whole.
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
