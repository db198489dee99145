//! Limits the log lines about refused calls.

/// Interval of the lines about refused calls.
const INTERVAL_US: u64 = 1_000_000;

/// Time of the next line, and the refusals without a line.
#[derive(Debug, Default)]
pub(super) struct RefusalLog {
    next_us: u64,
    suppressed: u64,
}

impl RefusalLog {
    /// The number of refusals without a line since the last one, if a line is due now.
    pub(super) fn take_turn(&mut self, now_us: u64) -> Option<u64> {
        if now_us < self.next_us {
            self.suppressed += 1;
            return None;
        }
        self.next_us = now_us + INTERVAL_US;
        Some(std::mem::take(&mut self.suppressed))
    }
}
