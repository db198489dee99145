//! Holds calls that arrive while the node starts.
//!
//! After a restart the node gets its configuration, and the proof for the keys of customers, within
//! a few hundred milliseconds. Callers that are refused in this time use up their few retries.

use std::{
    sync::{
        Condvar, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// Holds calls until the node can decide about them, or the time after its start is over.
#[derive(Debug)]
pub(crate) struct StartWait {
    until: Instant,
    /// Whether the node could decide about a call before; later calls are not held.
    has_started: AtomicBool,
    lock: Mutex<()>,
    changed: Condvar,
}

impl StartWait {
    /// Holds calls for this time from now on.
    pub(crate) fn new(longest: Duration) -> Self {
        StartWait {
            until: Instant::now() + longest,
            has_started: AtomicBool::new(false),
            lock: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Checks the held calls again, since the node may be able to decide about them now.
    pub(crate) fn notify(&self) {
        // Under the lock, so that a call which has just been checked doesn't miss it.
        let _guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        self.changed.notify_all();
    }

    /// Waits until `can_decide`; returns at once if that was the case for an earlier call.
    pub(crate) fn hold(&self, can_decide: impl Fn() -> bool) {
        if self.has_started.load(Ordering::Acquire) {
            return;
        }
        let mut guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if can_decide() {
                self.has_started.store(true, Ordering::Release);
                return;
            }
            let left = self.until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.changed.wait_timeout(guard, left);
            (guard, _) = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::StartWait;
    use std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    };

    /// Longer than any test runs, so that only the notification ends a wait.
    const LONG: Duration = Duration::from_secs(600);

    /// Guards against calls that stay held although the node can decide about them.
    #[test]
    fn released_on_notification() {
        let wait = StartWait::new(LONG);
        let can_decide = AtomicBool::new(false);
        thread::scope(|scope| {
            let held: Vec<_> = (0..8)
                .map(|_| scope.spawn(|| wait.hold(|| can_decide.load(Ordering::Acquire))))
                .collect();
            can_decide.store(true, Ordering::Release);
            wait.notify();
            held.into_iter().for_each(|call| call.join().unwrap());
        });
    }

    /// Guards against waits of calls that arrive after the start, such as in an outage of the
    /// control group: they must be refused at once.
    #[test]
    fn no_wait_after_start() {
        let wait = StartWait::new(LONG);
        wait.hold(|| true);
        wait.hold(|| false);
        let over = StartWait::new(Duration::ZERO);
        let start = Instant::now();
        over.hold(|| false);
        assert!(start.elapsed() < LONG);
    }
}
