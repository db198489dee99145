//! Calls that run at once, and the calls that wait.

use super::lock;
use std::{
    collections::VecDeque,
    sync::{Condvar, Mutex, PoisonError},
    time::Duration,
};

/// How often a waiting call looks whether its caller is gone.
const LOOK_EVERY: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct State {
    running: u32,
    next_ticket: u64,
    waiting: VecDeque<u64>,
}

#[derive(Debug)]
pub(super) struct Slots {
    slots: u32,
    state: Mutex<State>,
    freed: Condvar,
}

/// A slot in use; free again when dropped.
pub(super) struct Slot<'a>(&'a Slots);

pub(super) enum Entered<'a> {
    Slot(Slot<'a>),
    Shed,
    Gone,
}

impl Slots {
    pub(super) fn new(slots: u32) -> Self {
        Slots {
            slots: slots.max(1),
            state: Mutex::default(),
            freed: Condvar::new(),
        }
    }

    /// Takes a slot in order of arrival; a call whose caller is gone while it waits never runs.
    pub(super) fn enter(
        &self,
        sheds: impl Fn() -> bool,
        is_gone: impl Fn() -> bool,
    ) -> Entered<'_> {
        let mut state = lock(&self.state);
        if state.running < self.slots && state.waiting.is_empty() {
            state.running += 1;
            return Entered::Slot(Slot(self));
        }
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.waiting.push_back(ticket);
        loop {
            if state.running < self.slots && state.waiting.front() == Some(&ticket) {
                state.waiting.pop_front();
                state.running += 1;
                self.freed.notify_all();
                return Entered::Slot(Slot(self));
            }
            let (shed, gone) = (sheds(), is_gone());
            if shed || gone {
                state.waiting.retain(|&other| other != ticket);
                self.freed.notify_all();
                return if gone { Entered::Gone } else { Entered::Shed };
            }
            state = self
                .freed
                .wait_timeout(state, LOOK_EVERY)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    /// Lets waiting calls look at the switches.
    pub(super) fn wake(&self) {
        self.freed.notify_all();
    }

    /// Running and waiting calls.
    pub(super) fn running_and_waiting(&self) -> (u32, u32) {
        let state = lock(&self.state);
        (state.running, state.waiting.len() as u32)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        lock(&self.0.state).running -= 1;
        self.0.freed.notify_all();
    }
}
