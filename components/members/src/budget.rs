//! Byte budgets for updates and for synchronisation.

/// Bytes that may be sent at once after a quiet time, as seconds of the rate. A new node's region
/// of 270 records takes about 50 kB, which the peers that serve it share.
const BURST_S: u32 = 40;

/// Token bucket in bytes. It may go below zero by one datagram.
#[derive(Debug)]
pub(crate) struct Budget {
    rate_per_s: u32,
    burst_bytes: i64,
    tokens: i64,
    /// Fraction of a byte earned so far, in millionths.
    remainder: u64,
    refilled_us: u64,
}

impl Budget {
    pub(crate) fn new(rate_per_s: u32) -> Self {
        let burst_bytes = i64::from(rate_per_s) * i64::from(BURST_S);
        Budget {
            rate_per_s,
            burst_bytes,
            tokens: burst_bytes,
            remainder: 0,
            refilled_us: 0,
        }
    }

    pub(crate) fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_us).min(60_000_000);
        self.refilled_us = self.refilled_us.max(now_us);
        let earned = elapsed_us * u64::from(self.rate_per_s) + self.remainder;
        self.remainder = earned % 1_000_000;
        let bytes = i64::try_from(earned / 1_000_000).unwrap_or(self.burst_bytes);
        self.tokens = (self.tokens + bytes).min(self.burst_bytes);
    }

    pub(crate) fn has_tokens(&self) -> bool {
        self.tokens > 0
    }

    /// Whether more than a quarter of the burst is left. Digests need that; the rest is kept for
    /// records, because digests that find nobody able to answer would use up the whole budget.
    pub(crate) fn has_reserve(&self) -> bool {
        self.tokens > self.burst_bytes / 4
    }

    /// Whether more than half of the burst is left; the other half is kept for urgent updates.
    pub(crate) fn has_plenty(&self) -> bool {
        self.tokens > self.burst_bytes / 2
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        self.tokens -= i64::try_from(bytes).unwrap_or(0);
    }
}
