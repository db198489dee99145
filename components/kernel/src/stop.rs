//! Stop requests, from signals or from the code that started the kernel.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::{
    io,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Interval at which a wait checks the flag that a signal handler sets.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A flag that is raised once and wakes the threads that wait for it.
#[derive(Clone, Debug, Default)]
pub struct StopSignal {
    raised: Arc<AtomicBool>,
    /// Flag of the signal that this one was made from.
    parent_raised: Option<Arc<AtomicBool>>,
    sighup_received: Arc<AtomicBool>,
    wake: Arc<(Mutex<()>, Condvar)>,
}

impl StopSignal {
    /// A signal that has not been raised.
    pub fn new() -> Self {
        Self::default()
    }

    /// A signal that is raised with this one, and may be raised on its own.
    pub(crate) fn child(&self) -> Self {
        StopSignal {
            raised: Arc::default(),
            parent_raised: Some(Arc::clone(&self.raised)),
            sighup_received: Arc::clone(&self.sighup_received),
            wake: Arc::clone(&self.wake),
        }
    }

    /// Raises the signal when the process receives SIGTERM or SIGINT. SIGHUP, which would end the
    /// process by default, is only recorded.
    pub fn raise_on_signals(&self) -> io::Result<()> {
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&self.raised))?;
        }
        signal_hook::flag::register(SIGHUP, Arc::clone(&self.sighup_received))?;
        Ok(())
    }

    /// Whether the process received SIGHUP since the last call of this function.
    pub fn take_sighup(&self) -> bool {
        self.sighup_received.swap(false, Ordering::AcqRel)
    }

    /// Raises the signal and wakes all threads that wait for it.
    pub fn raise(&self) {
        self.raised.store(true, Ordering::Release);
        self.wake.1.notify_all();
    }

    /// Whether the signal has been raised.
    pub fn is_raised(&self) -> bool {
        let is_set = |flag: &Arc<AtomicBool>| flag.load(Ordering::Acquire);
        is_set(&self.raised) || self.parent_raised.as_ref().is_some_and(is_set)
    }

    /// Waits until the signal is raised, at most for `period`; returns whether it is raised.
    pub fn wait(&self, period: Duration) -> bool {
        let mut remaining = period;
        let mut guard = lock(&self.wake.0);
        while !self.is_raised() && !remaining.is_zero() {
            let step = remaining.min(SIGNAL_POLL_INTERVAL);
            guard = match self.wake.1.wait_timeout(guard, step) {
                Ok((guard, _)) => guard,
                Err(poisoned) => poisoned.into_inner().0,
            };
            remaining -= step;
        }
        self.is_raised()
    }
}

/// Locks a mutex. Poisoning is ignored, since a panic leaves every state here consistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
