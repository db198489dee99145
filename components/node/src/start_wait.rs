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

    /// Waits until the node `has_started`, so that it can decide about every call, or `can_decide`
    /// about this one, at most until its `deadline` as far as that is known. Returns at once if it had
    /// started when an earlier call came.
    pub(crate) fn hold(
        &self,
        deadline: impl Fn() -> Option<Instant>,
        has_started: impl Fn() -> bool,
        can_decide: impl Fn() -> bool,
    ) {
        if self.has_started.load(Ordering::Acquire) {
            return;
        }
        let mut guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if has_started() {
                self.has_started.store(true, Ordering::Release);
                return;
            }
            let until = deadline().map_or(self.until, |at| at.min(self.until));
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || can_decide() {
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
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
            mpsc::{Receiver, channel},
        },
        thread,
        time::{Duration, Instant},
    };

    /// Longer than any test runs, so that only the notification ends a wait.
    const LONG: Duration = Duration::from_secs(600);
    /// Time in which a call that is not held returns, on a slow machine too.
    const RETURN_TIME: Duration = Duration::from_secs(30);
    /// Time in which a call that is wrongly not held returns on a usual machine.
    const HELD_TIME: Duration = Duration::from_millis(200);

    /// A call in a thread of its own, which a failed test leaves behind. The channel tells its end.
    fn start_call(
        wait: &Arc<StartWait>,
        has_started: impl Fn() -> bool + Send + 'static,
        can_decide: bool,
    ) -> Receiver<()> {
        let (sender, end) = channel();
        let wait = Arc::clone(wait);
        thread::spawn(move || {
            wait.hold(|| None, has_started, || can_decide);
            // Fails if the test is over.
            let _ = sender.send(());
        });
        end
    }

    fn assert_returned(end: &Receiver<()>) {
        assert_eq!(end.recv_timeout(RETURN_TIME), Ok(()), "the call is held");
    }

    /// Guards against calls that stay held although the node can decide about them.
    #[test]
    fn released_on_notification() {
        let wait = Arc::new(StartWait::new(LONG));
        let has_started = Arc::new(AtomicBool::new(false));
        let (checked, checks) = channel();
        let calls: Vec<_> = (0..8)
            .map(|_| {
                let (has_started, checked) = (Arc::clone(&has_started), checked.clone());
                let check = move || {
                    let _ = checked.send(());
                    has_started.load(Ordering::Acquire)
                };
                start_call(&wait, check, false)
            })
            .collect();
        // Each call has checked once and waits, or will before the notification gets the lock.
        calls.iter().for_each(|_| assert_returned(&checks));
        has_started.store(true, Ordering::Release);
        wait.notify();
        calls.iter().for_each(assert_returned);
    }

    /// Guards against waits of calls that arrive after the start, such as in an outage of the
    /// control group: they must be refused at once.
    #[test]
    fn no_wait_after_start() {
        let wait = Arc::new(StartWait::new(LONG));
        assert_returned(&start_call(&wait, || true, false));
        assert_returned(&start_call(&wait, || false, false));
        let over = Arc::new(StartWait::new(Duration::ZERO));
        assert_returned(&start_call(&over, || false, false));
    }

    /// Guards against calls to public routes that wait for the proof for keys, and against other calls
    /// that are not held after one of them.
    #[test]
    fn no_wait_without_key() {
        let wait = Arc::new(StartWait::new(LONG));
        assert_returned(&start_call(&wait, || false, true));
        let held = start_call(&wait, || false, false);
        assert!(
            held.recv_timeout(HELD_TIME).is_err(),
            "the call is not held"
        );
    }
    /// Guards against calls that are held beyond their own deadline, also if that becomes known only
    /// with the configuration.
    #[test]
    fn held_until_deadline() {
        let wait = Arc::new(StartWait::new(LONG));
        let deadline = Arc::new(Mutex::new(None));
        let (sender, end) = channel();
        let (checked, checks) = channel();
        thread::spawn({
            let (wait, deadline) = (Arc::clone(&wait), Arc::clone(&deadline));
            move || {
                let has_started = || {
                    let _ = checked.send(());
                    false
                };
                wait.hold(|| *deadline.lock().unwrap(), has_started, || false);
                // Fails if the test is over.
                let _ = sender.send(());
            }
        });
        assert_returned(&checks);
        *deadline.lock().unwrap() = Some(Instant::now());
        wait.notify();
        assert_returned(&end);
    }
}
