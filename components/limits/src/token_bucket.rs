//! Token bucket that never exceeds its rate in any one-second window.

/// Units per token, so that one microsecond at one token per second adds one unit.
const UNITS_PER_TOKEN: u64 = 1_000_000;
/// Highest rate; above one token per microsecond the window bound no longer holds exactly.
const MAX_RATE_PER_S: u32 = 1_000_000;
/// Share of the rate that may be granted at once, as a divisor.
const BURST_DIVISOR: u32 = 10;

/// Grants at most `rate_per_s` tokens in any one-second window, the burst included.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    refill_per_s: u64,
    capacity: u64,
    /// Available tokens, in units.
    level: u64,
    updated_us: u64,
}

impl TokenBucket {
    /// A full bucket. `burst` is limited to a tenth of the rate, but is at least 1.
    pub fn new(rate_per_s: u32, burst: u32) -> Self {
        let rate = rate_per_s.min(MAX_RATE_PER_S);
        let burst = burst.clamp(1, (rate / BURST_DIVISOR).max(1));
        // A one-second window can contain the burst and the refill of just under one second, which
        // rounds down to one token less than the refill rate.
        let refill_per_s = u64::from((rate + 1).saturating_sub(burst));
        let capacity = if rate == 0 {
            0
        } else {
            u64::from(burst) * UNITS_PER_TOKEN
        };
        TokenBucket {
            refill_per_s,
            capacity,
            level: capacity,
            updated_us: 0,
        }
    }

    /// Takes `n` tokens; takes none and returns false if fewer are available.
    pub fn try_take(&mut self, now_us: u64, n: u32) -> bool {
        self.refill(now_us);
        let cost = u64::from(n) * UNITS_PER_TOKEN;
        if cost > self.level {
            return false;
        }
        self.level -= cost;
        true
    }

    fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.updated_us);
        self.updated_us = self.updated_us.max(now_us);
        let added = elapsed_us.saturating_mul(self.refill_per_s);
        self.level = self.level.saturating_add(added).min(self.capacity);
    }
}
