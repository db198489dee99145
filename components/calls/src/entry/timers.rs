//! The part of the call state machine that depends on the time: repeated queries, the hedge, the
//! deadline and the next wake-up.

use super::{Action, Attempt, EntryCall, Pending, State};
use errors::ErrorKind;

/// How long after the deadline the entry waits for the owner's reply to its cancel request: a few
/// round trips between availability zones, and short compared to any useful deadline.
pub const DEADLINE_GRACE_US: u64 = 100_000;

impl<U: Copy + Eq> EntryCall<U> {
    pub(super) fn perform_due(&mut self, now_us: u64) {
        if now_us >= self.spec.deadline_us {
            self.on_deadline(now_us);
            return;
        }
        for index in 0..self.attempts.len() {
            match self.attempts[index].state {
                State::QueryDueAt(due_us) if due_us <= now_us => {
                    self.query_status(index);
                }
                State::HolderWait { holder, due_us } if due_us <= now_us => {
                    self.attempts[index].state = State::HolderQueried(holder);
                    self.actions.push(Action::QueryHolder(holder));
                }
                _ => {}
            }
        }
        if self.hedge_due_us.is_some_and(|due_us| due_us <= now_us) {
            self.hedge_due_us = None;
            self.request_hedge();
        }
    }

    /// Asks the hedge budget for a second attempt beside an open one.
    fn request_hedge(&mut self) {
        let is_waiting = self.pending == Pending::None && self.has_open();
        if is_waiting && !self.has_crashed && self.may_send_another() {
            self.pending = Pending::HedgeBudget;
            self.actions.push(Action::CheckHedgeBudget);
        }
    }

    fn on_deadline(&mut self, now_us: u64) {
        if !self.is_past_deadline {
            self.is_past_deadline = true;
            self.pending = Pending::None;
            self.cancel_at_deadline();
        }
        if self.is_done {
            return;
        }
        let is_disconnected = |a: &Attempt<U>| a.state == State::Cancelling { disconnected: true };
        if !self.has_open() {
            self.fail(if self.failure_after_start.is_some() {
                ErrorKind::DeadlinePassed
            } else {
                ErrorKind::DeadlineExpired
            });
        } else if now_us >= self.spec.deadline_us + DEADLINE_GRACE_US {
            let kind = if self.attempts.iter().any(is_disconnected) {
                ErrorKind::OwnerLost
            } else {
                ErrorKind::DeadlinePassed
            };
            self.failure_after_start.get_or_insert(kind);
            self.fail(kind);
        }
    }

    /// Cancels every attempt that may be running, and ends those that have not been sent.
    fn cancel_at_deadline(&mut self) {
        for index in 0..self.attempts.len() {
            let state = self.attempts[index].state;
            match state {
                State::Claiming => self.attempts[index].state = State::NotRun,
                State::HolderWait { .. } | State::HolderQueried(_) => {
                    self.attempts[index].state = State::NotRun;
                    self.fail(ErrorKind::KeyOutcomeUnknown);
                }
                State::Sent | State::Queried | State::QueryDueAt(_) => {
                    let disconnected = state != State::Sent;
                    self.attempts[index].state = State::Cancelling { disconnected };
                    self.actions.push(Action::Cancel(self.attempt_id(index)));
                }
                State::Cancelling { .. } | State::NotRun | State::Lost | State::Ended => {}
            }
        }
    }

    /// Adds a `WakeAt` action if the time of the next step has changed.
    pub(super) fn schedule_wake(&mut self) {
        let limit_us = if self.is_past_deadline {
            self.spec.deadline_us + DEADLINE_GRACE_US
        } else {
            self.spec.deadline_us
        };
        let wake_us = self
            .attempts
            .iter()
            .filter_map(|a| a.state.due_us())
            .chain(self.hedge_due_us.filter(|_| !self.is_past_deadline))
            .fold(limit_us, u64::min);
        if self.wake_us.replace(wake_us) != Some(wake_us) {
            // First in the list, because the reply to a later action may set another time.
            self.actions.insert(0, Action::WakeAt(wake_us));
        }
    }
}
