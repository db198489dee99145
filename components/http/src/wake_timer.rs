//! Timer that wakes one thread at the earliest requested time.

use std::{
    sync::{Condvar, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Longest single wait. Times further away need no precision and are reached in several waits.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Earliest requested time and the signal to the thread that waits for it.
#[derive(Debug, Default)]
pub(crate) struct WakeTimer {
    next: Mutex<Option<Instant>>,
    changed: Condvar,
}

impl WakeTimer {
    /// Requests a wake-up at `at`. Notifies the thread only if it would otherwise wake later.
    pub(crate) fn wake_at(&self, at: Instant) {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        if next.is_none_or(|earlier| at < earlier) {
            *next = Some(at);
            drop(next);
            self.changed.notify_one();
        }
    }

    /// Blocks until the earliest requested time and clears it.
    pub(crate) fn wait(&self) {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let left = next.map_or(MAX_WAIT, |at| at.saturating_duration_since(Instant::now()));
            if left.is_zero() {
                *next = None;
                return;
            }
            next = self
                .changed
                .wait_timeout(next, left.min(MAX_WAIT))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}
