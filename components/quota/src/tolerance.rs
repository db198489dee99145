//! Tolerance that a deployment grants beyond the limits of its customers.

use crate::customer::{CustomerLimit, EXTRA_S, EXTRA_TOKENS};

/// Calls that a customer may have beyond `rate x window + burst` in any window.
///
/// Workload: a customer whose demand is somewhat above its limit for long. What the deployment
/// tolerates is served instead of refused.
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
    /// The limit with a rate that uses the tolerance; the burst is unchanged. The tokens that the
    /// coordinator lends beyond the burst come out of the tolerance as well.
    pub fn apply(&self, limit: CustomerLimit) -> CustomerLimit {
        let Some(rate) = limit.limited_rate() else {
            return limit;
        };
        let in_window = rate * self.window_s + limit.burst;
        let beyond = in_window * self.overage_percent / 100.0 + self.slack;
        let tolerated = (rate * self.window_s + beyond - EXTRA_TOKENS) / (self.window_s + EXTRA_S);
        CustomerLimit {
            rate_per_s: Some(rate.max(tolerated)),
            ..limit
        }
    }
}
