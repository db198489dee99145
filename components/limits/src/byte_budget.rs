//! Rate limit in bytes for the traffic between nodes.

/// Size of the bucket in seconds of the rate. A new node needs the 270 records of its region, about
/// 50 kB, and the peers that send them share this load.
const BURST_S: u32 = 40;

/// Token bucket in bytes. It may go below zero by one datagram, since `spend` doesn't check.
#[derive(Debug)]
pub struct ByteBudget {
    rate_per_s: u32,
    burst_bytes: i64,
    tokens: i64,
    /// Fraction of a byte carried over to the next refill, in millionths.
    remainder: u64,
    refilled_us: u64,
}

impl ByteBudget {
    /// A full budget that earns `rate_per_s` bytes per second.
    pub fn new(rate_per_s: u32) -> Self {
        let burst_bytes = i64::from(rate_per_s) * i64::from(BURST_S);
        ByteBudget {
            rate_per_s,
            burst_bytes,
            tokens: burst_bytes,
            remainder: 0,
            refilled_us: 0,
        }
    }

    /// Adds what was earned up to `now_us`.
    pub fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_us).min(60_000_000);
        self.refilled_us = self.refilled_us.max(now_us);
        let earned = elapsed_us * u64::from(self.rate_per_s) + self.remainder;
        self.remainder = earned % 1_000_000;
        let bytes = i64::try_from(earned / 1_000_000).unwrap_or(self.burst_bytes);
        self.tokens = (self.tokens + bytes).min(self.burst_bytes);
    }

    /// Bytes left; below 0 if the last message took more than there were.
    pub fn tokens(&self) -> i64 {
        self.tokens
    }

    /// Whether another message may be sent.
    pub fn has_tokens(&self) -> bool {
        self.tokens > 0
    }

    /// Whether more than a quarter of the burst is left. The last quarter is kept for records:
    /// otherwise digests, sent to peers that can't answer either, could use up the whole budget.
    pub fn can_send_digests(&self) -> bool {
        self.tokens > self.burst_bytes / 4
    }

    /// Whether more than half of the burst is left; the other half is kept for urgent updates.
    pub fn can_send_routine_updates(&self) -> bool {
        self.tokens > self.burst_bytes / 2
    }

    /// Charges a sent message.
    pub fn spend(&mut self, bytes: usize) {
        self.tokens -= i64::try_from(bytes).unwrap_or(0);
    }
}
