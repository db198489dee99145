//! Limits the calls that run at once; the others wait in order of arrival.

use super::lock;
use std::{
    collections::VecDeque,
    sync::{Condvar, Mutex, PoisonError},
    time::Duration,
};

/// Interval at which a waiting call checks whether its caller has disconnected.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct State {
    running: u32,
    next_ticket: u64,
    /// Tickets of the waiting calls in order of arrival.
    waiting: VecDeque<u64>,
}

/// The slots of a test upstream and the queue for them.
#[derive(Debug)]
pub(super) struct Slots {
    slots: u32,
    state: Mutex<State>,
    changed: Condvar,
}

/// A slot in use; dropping it frees the slot.
pub(super) struct Slot<'a>(&'a Slots);

/// Result of [`Slots::acquire`].
pub(super) enum Acquired<'a> {
    Slot(Slot<'a>),
    /// The upstream sheds load instead of letting calls wait.
    Shed,
    /// The caller disconnected while the call waited.
    Disconnected,
}

impl Slots {
    pub(super) fn new(slots: u32) -> Self {
        Slots {
            slots: slots.max(1),
            state: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Waits for a slot, in order of arrival. A call whose caller disconnects while it waits never
    /// runs.
    pub(super) fn acquire(
        &self,
        is_shedding: impl Fn() -> bool,
        is_disconnected: impl Fn() -> bool,
    ) -> Acquired<'_> {
        let mut state = lock(&self.state);
        if state.running < self.slots && state.waiting.is_empty() {
            state.running += 1;
            return Acquired::Slot(Slot(self));
        }
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.waiting.push_back(ticket);
        loop {
            if state.running < self.slots && state.waiting.front() == Some(&ticket) {
                state.waiting.pop_front();
                state.running += 1;
                self.changed.notify_all();
                return Acquired::Slot(Slot(self));
            }
            let (shed, disconnected) = (is_shedding(), is_disconnected());
            if shed || disconnected {
                state.waiting.retain(|&other| other != ticket);
                self.changed.notify_all();
                return if disconnected {
                    Acquired::Disconnected
                } else {
                    Acquired::Shed
                };
            }
            state = self
                .changed
                .wait_timeout(state, CHECK_INTERVAL)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    /// Wakes the waiting calls, so that they check the switches.
    pub(super) fn wake(&self) {
        self.changed.notify_all();
    }

    /// Numbers of running and of waiting calls.
    pub(super) fn running_and_waiting(&self) -> (u32, u32) {
        let state = lock(&self.state);
        (state.running, state.waiting.len() as u32)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        lock(&self.0.state).running -= 1;
        self.0.changed.notify_all();
    }
}
