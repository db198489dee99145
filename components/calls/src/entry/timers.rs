//! The part of the call state machine that follows the clock: deadline, hedge and next wake.

use super::{Action, Attempt, DEADLINE_GRACE_US, EntryCall, Pending, State};
use errors::ErrorKind;

impl<U: Copy + Eq> EntryCall<U> {
    pub(super) fn on_time(&mut self, now_us: u64) {
        if now_us >= self.spec.deadline_us {
            self.on_deadline(now_us);
            return;
        }
        for index in 0..self.attempts.len() {
            match self.attempts[index].state {
                State::AskLater(due_us) if due_us <= now_us => {
                    self.attempts[index].state = State::Asked;
                    self.actions.push(Action::QueryStatus(self.id(index)));
                }
                State::HolderWait { holder, due_us } if due_us <= now_us => {
                    self.attempts[index].state = State::HolderAsked(holder);
                    self.actions.push(Action::QueryHolder(holder));
                }
                _ => {}
            }
        }
        if self.hedge_due_us.is_some_and(|due_us| due_us <= now_us) {
            self.hedge_due_us = None;
            self.hedge();
        }
    }

    pub(super) fn hedge(&mut self) {
        let is_waiting = self.pending == Pending::None && self.has_open();
        if is_waiting && !self.crashed && self.may_try_again() {
            self.pending = Pending::HedgeBudget;
            self.actions.push(Action::CheckHedgeBudget);
        }
    }

    pub(super) fn on_deadline(&mut self, now_us: u64) {
        if !self.overdue {
            self.overdue = true;
            self.pending = Pending::None;
            self.cancel_at_deadline();
        }
        if self.done {
            return;
        }
        let is_lost = |a: &Attempt<U>| a.state == State::Cancelling { lost: true };
        if !self.has_open() {
            self.fail(if self.maybe_ran.is_some() {
                ErrorKind::DeadlinePassed
            } else {
                ErrorKind::DeadlineExpired
            });
        } else if now_us >= self.spec.deadline_us + DEADLINE_GRACE_US {
            let kind = if self.attempts.iter().any(is_lost) {
                ErrorKind::OwnerLost
            } else {
                ErrorKind::DeadlinePassed
            };
            self.maybe_ran.get_or_insert(kind);
            self.fail(kind);
        }
    }

    pub(super) fn cancel_at_deadline(&mut self) {
        for index in 0..self.attempts.len() {
            let state = self.attempts[index].state;
            match state {
                State::Claiming => self.attempts[index].state = State::NotRun,
                State::HolderWait { .. } | State::HolderAsked(_) => {
                    self.attempts[index].state = State::NotRun;
                    self.fail(ErrorKind::KeyOutcomeUnknown);
                }
                State::Sent | State::Asked | State::AskLater(_) => {
                    let lost = state != State::Sent;
                    self.attempts[index].state = State::Cancelling { lost };
                    self.actions.push(Action::Cancel(self.id(index)));
                }
                State::Cancelling { .. } | State::NotRun | State::Ended => {}
            }
        }
    }

    pub(super) fn set_wake(&mut self) {
        let limit_us = if self.overdue {
            self.spec.deadline_us + DEADLINE_GRACE_US
        } else {
            self.spec.deadline_us
        };
        let wake_us = self
            .attempts
            .iter()
            .filter_map(|a| a.state.due_us())
            .chain(self.hedge_due_us.filter(|_| !self.overdue))
            .fold(limit_us, u64::min);
        if self.wake_us.replace(wake_us) != Some(wake_us) {
            // First, so that the reply to a later action of the list may set another time.
            self.actions.insert(0, Action::WakeAt(wake_us));
        }
    }
}
