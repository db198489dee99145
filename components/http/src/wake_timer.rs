//! One thread that wakes at the earliest time that anyone asked for.

use std::{
    sync::{Condvar, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Longest sleep; times further away need no precision.
const LONGEST_SLEEP: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
pub(crate) struct WakeTimer {
    wanted: Mutex<Option<Instant>>,
    wake: Condvar,
}

impl WakeTimer {
    /// Asks to be woken at that time; wakes the thread only if it would come too late.
    pub(crate) fn want(&self, at: Instant) {
        let mut wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        if wanted.is_none_or(|earlier| at < earlier) {
            *wanted = Some(at);
            drop(wanted);
            self.wake.notify_one();
        }
    }

    /// Sleeps until the earliest time asked for, and forgets it.
    pub(crate) fn sleep(&self) {
        let mut wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let left = wanted.map_or(LONGEST_SLEEP, |at| {
                at.saturating_duration_since(Instant::now())
            });
            if left.is_zero() {
                *wanted = None;
                return;
            }
            wanted = self
                .wake
                .wait_timeout(wanted, left.min(LONGEST_SLEEP))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}
