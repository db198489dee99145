//! Bounds that hold in every run.

use super::World;
use quota::CustomerLimit;

impl World {
    /// Bound of the calls in any window: our own, stricter than the required one.
    pub fn bound(limit: CustomerLimit) -> usize {
        let rate = limit.rate_per_s.unwrap_or(0.0);
        ((rate * 5.0 + limit.burst) * 1.05 + 10.0) as usize
    }

    pub fn assert_bounds(&self) {
        for (load, decisions) in self.loads.iter().zip(&self.decisions) {
            let (worst, bound) = (decisions.worst_window(0), World::bound(load.limit));
            assert!(
                worst <= bound,
                "{}: {worst} calls in a window, bound {bound}",
                load.name
            );
        }
    }

    /// Checks, for a single customer whose limit does not change, that the shares in use leave a fifth
    /// of the rate, and that the tokens at the coordinator and at nodes are bounded.
    pub(super) fn assert_shares(&mut self) {
        let ([load], Some(coordinator)) = (&self.loads[..], &mut self.coordinator) else {
            return;
        };
        let Some(rate) = load.limit.rate_per_s.filter(|_| self.checks_shares) else {
            return;
        };
        let live = self.nodes.iter().filter(|node| !node.is_dead);
        let leased = live.filter(|node| node.quota.has_lease(self.now_us));
        let shares: f64 = leased.map(|node| node.quota.shares().1).sum();
        assert!(
            shares <= rate * 0.8,
            "shares of {shares} calls/s are in use, rate {rate}, at {} us",
            self.now_us
        );
        for (_, usage) in coordinator.usage(self.now_us) {
            let tokens = usage.tokens + usage.held as f64;
            let capacity = usage.limit.burst + rate * 0.1 + 7.0;
            assert!(tokens <= capacity, "{tokens} tokens, bound {capacity}");
        }
    }
}
