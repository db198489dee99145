//! Guards against entries whose retries together exceed the retry budget of a whole service.

use limits::{SharedRetryBudget, SharedRetryLimits};
use proptest::prelude::*;

const WINDOW_US: u64 = 10_000_000;
const LIMITS: SharedRetryLimits = SharedRetryLimits {
    window_us: WINDOW_US,
    per_mille: 200,
    slack: 60,
};

#[test]
fn slack_is_divided() {
    let mut retries = SharedRetryBudget::new(LIMITS);
    let allowed = (0..100).filter(|_| retries.try_retry(0, 12)).count();
    assert_eq!(allowed, 5);
    assert!(!retries.try_retry(WINDOW_US / 2, 12));
    assert!(retries.try_retry(2 * WINDOW_US, 12));
}

proptest! {
    /// Every entry takes all retries that it gets; calls are distributed unevenly over the entries.
    #[test]
    fn sum_within_budget(spread in proptest::collection::vec(1u64..200, 2..12), seed in 0u64..1000) {
        let entries = spread.len() as u32;
        let mut budgets: Vec<_> = spread.iter().map(|_| SharedRetryBudget::new(LIMITS)).collect();
        let (mut calls, mut taken) = (Vec::new(), Vec::new());
        for step in 0..30_000u64 {
            let now_us = step * 1_000;
            for (index, every) in spread.iter().enumerate() {
                if (step + seed) % every == 0 {
                    budgets[index].on_call(now_us);
                    calls.push(now_us);
                }
                if budgets[index].try_retry(now_us, entries) {
                    taken.push(now_us);
                }
            }
        }
        let within = |times: &[u64], from: u64, to: u64| {
            times.iter().filter(|at| (from..to).contains(at)).count() as u64
        };
        for end in (WINDOW_US..30_000_000).step_by(500_000) {
            let from = end - WINDOW_US;
            let allowed = within(&calls, from.saturating_sub(WINDOW_US / 2), end) * 200 / 1_000 + 60;
            prop_assert!(within(&taken, from, end) <= allowed);
        }
    }
}
