//! Wake-up times of the thread that checks the timers of all connections.

use std::{
    sync::{
        Condvar, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Lets the timer thread sleep until the earliest requested time.
#[derive(Debug)]
pub(crate) struct Timer {
    /// Earliest requested time.
    wake_us: AtomicU64,
    sleeping: Mutex<()>,
    condvar: Condvar,
}

impl Timer {
    pub(crate) fn new() -> Self {
        Timer {
            wake_us: AtomicU64::new(u64::MAX),
            sleeping: Mutex::new(()),
            condvar: Condvar::new(),
        }
    }

    /// Requests a check at that time. Wakes the thread only if its next check would be later.
    pub(crate) fn wake_at(&self, at_us: u64) {
        if self.wake_us.fetch_min(at_us, Ordering::AcqRel) > at_us {
            drop(self.sleeping.lock().unwrap_or_else(PoisonError::into_inner));
            self.condvar.notify_one();
        }
    }

    /// Clears the requested time. Called before a check, so that requests made during the check are
    /// kept.
    pub(crate) fn clear(&self) {
        self.wake_us.store(u64::MAX, Ordering::Release);
    }

    /// Sleeps until the earliest requested time. Returns by how much the thread woke up too late.
    pub(crate) fn sleep(&self, now_us: impl Fn() -> u64) -> u64 {
        let mut sleeping = self.sleeping.lock().unwrap_or_else(PoisonError::into_inner);
        let mut late_us = 0;
        loop {
            let started_us = now_us();
            let left = self
                .wake_us
                .load(Ordering::Acquire)
                .saturating_sub(started_us);
            if left == 0 {
                return late_us;
            }
            // The limit keeps the wait in the range of the condition variable; the loop goes on.
            let wait_us = left.min(60_000_000);
            sleeping = self
                .condvar
                .wait_timeout(sleeping, Duration::from_micros(wait_us))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
            late_us = now_us().saturating_sub(started_us + wait_us);
        }
    }
}
