//! One thread that wakes when a connection needs a look.

use std::{
    sync::{
        Condvar, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Sleeps until the earliest time that anyone asked for.
#[derive(Debug)]
pub(crate) struct Timer {
    wanted_us: AtomicU64,
    sleeping: Mutex<()>,
    wake: Condvar,
}

impl Timer {
    pub(crate) fn new() -> Self {
        Timer {
            wanted_us: AtomicU64::new(u64::MAX),
            sleeping: Mutex::new(()),
            wake: Condvar::new(),
        }
    }

    /// Asks for a look at that time; wakes the thread only if it would come too late.
    pub(crate) fn want(&self, at_us: u64) {
        if self.wanted_us.fetch_min(at_us, Ordering::AcqRel) > at_us {
            drop(self.sleeping.lock().unwrap_or_else(PoisonError::into_inner));
            self.wake.notify_one();
        }
    }

    /// Forgets earlier wishes; to be called before the look that serves them.
    pub(crate) fn begin(&self) {
        self.wanted_us.store(u64::MAX, Ordering::Release);
    }

    /// Sleeps until the earliest time asked for.
    pub(crate) fn sleep(&self, now_us: impl Fn() -> u64) {
        let mut sleeping = self.sleeping.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let left = self
                .wanted_us
                .load(Ordering::Acquire)
                .saturating_sub(now_us());
            if left == 0 {
                return;
            }
            // Times further away need no precision; the limit keeps the wait in range.
            let wait = Duration::from_micros(left.min(60_000_000));
            sleeping = self
                .wake
                .wait_timeout(sleeping, wait)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}
