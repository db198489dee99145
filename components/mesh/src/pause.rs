//! Pauses of this process, which must not count as silence of its peers.

use std::sync::atomic::{AtomicU64, Ordering};

/// The last time that the process did not run, as its timer thread noticed it.
///
/// Workload: a host that is suspended or short of processor time for a second, with calls on all its
/// connections. Their peers have answered meanwhile; closing the connections would lose the calls.
#[derive(Debug, Default)]
pub(crate) struct LastPause {
    ended_us: AtomicU64,
    length_us: AtomicU64,
}

impl LastPause {
    /// Records that the timer thread runs at `now_us`, this much too late. Shorter delays than
    /// `shortest_us` are usual and don't count.
    pub(crate) fn record(&self, now_us: u64, late_us: u64, shortest_us: u64) {
        if late_us >= shortest_us {
            self.length_us.store(late_us, Ordering::Relaxed);
            self.ended_us.store(now_us, Ordering::Release);
        }
    }

    /// The part of the pause that lies after `since_us`.
    pub(crate) fn after_us(&self, since_us: u64) -> u64 {
        let ended_us = self.ended_us.load(Ordering::Acquire);
        let length_us = self.length_us.load(Ordering::Relaxed);
        ended_us.saturating_sub(since_us).min(length_us)
    }
}

#[cfg(test)]
#[path = "../tests/inside/pause.rs"]
mod tests;
