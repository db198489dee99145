//! The part of the call state machine that ends the call and cancels its attempts.

use super::{Action, EntryCall, State};
use errors::{ErrorKind, Outcome};
use model::AttemptId;
use std::sync::Arc;

impl<U: Copy + Eq> EntryCall<U> {
    /// Ends the call with an answer.
    pub(super) fn deliver(&mut self, attempt: AttemptId, answer: Arc<[u8]>) {
        self.cancel_sent(Some(attempt));
        self.actions.push(Action::Deliver(attempt, answer));
        self.is_done = true;
    }

    /// Ends the call with an error. If an attempt may have run, a kind with the outcome not-run is
    /// replaced by the kind of that attempt.
    pub(super) fn fail(&mut self, kind: ErrorKind) {
        self.cancel_sent(None);
        let kind = match (kind.info().outcome, self.failure_after_start) {
            (Outcome::NotRun, Some(failure)) => failure,
            _ => kind,
        };
        self.actions.push(Action::Fail(kind));
        self.is_done = true;
    }

    /// Cancels a call whose caller has disconnected. A keyed call runs on, so that the caller's
    /// retry gets its answer.
    pub(super) fn on_caller_disconnected(&mut self) {
        if !self.spec.keyed {
            self.cancel_sent(None);
        }
        self.is_done = true;
    }

    /// Cancels all attempts that may be running, except one.
    fn cancel_sent(&mut self, except: Option<AttemptId>) {
        for index in 0..self.attempts.len() {
            let attempt = self.attempt_id(index);
            let state = self.attempts[index].state;
            let is_cancelled = matches!(state, State::Cancelling { .. });
            if state.is_sent() && !is_cancelled && Some(attempt) != except {
                self.actions.push(Action::Cancel(attempt));
            }
        }
    }
}
