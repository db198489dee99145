//! The part of the call state machine that decides about retries and hedges.

use super::{Action, EntryCall, Pending, State, attempt::is_lack_of_capacity};
use errors::ErrorKind;

impl<U: Copy + Eq> EntryCall<U> {
    pub(super) fn retry(&mut self, now_us: u64) {
        if self.has_open() || self.pending != Pending::None || now_us >= self.spec.deadline_us {
            return;
        }
        if !self.may_send_another() {
            self.query_lost_or_fail(self.last_refusal);
            return;
        }
        self.pending = Pending::RetryBudget;
        self.actions.push(Action::CheckRetryBudget);
    }

    /// Whether another attempt may be sent. After a crash at most one more attempt runs, and a
    /// suspected request runs only once: a request that crashes upstreams must not reach all of
    /// them by retries.
    pub(super) fn may_send_another(&self) -> bool {
        let may_have_run = self.failure_after_start.is_some();
        let moves = self.attempts.iter().filter(|a| a.is_move()).count();
        let free_moves = moves.min(usize::from(self.spec.moves));
        self.attempts.len() - free_moves < usize::from(self.spec.attempts)
            && !self.has_failed_after_crash
            && !(self.spec.suspected && may_have_run)
    }

    pub(super) fn on_retry_allowed(&mut self, allowed: bool) {
        if !self.take_pending(Pending::RetryBudget) {
            return;
        }
        if allowed {
            self.route();
            return;
        }
        // The cause is then the lack of capacity; with RetryBudgetSpent the operator would raise
        // the wrong setting.
        let kind = if self.spec.moves > 0 && is_lack_of_capacity(self.last_refusal) {
            self.last_refusal
        } else {
            ErrorKind::RetryBudgetSpent
        };
        self.query_lost_or_fail(kind);
    }

    /// Queries the attempts whose connections were lost, since they may still run and no other may
    /// be sent; fails the call if there are none.
    pub(super) fn query_lost_or_fail(&mut self, kind: ErrorKind) {
        let mut is_queried = false;
        for index in 0..self.attempts.len() {
            if self.attempts[index].state == State::Lost {
                self.query_status(index);
                is_queried = true;
            }
        }
        if !is_queried {
            self.fail(kind);
        }
    }

    pub(super) fn on_hedge_allowed(&mut self, now_us: u64, allowed: bool) {
        if !self.take_pending(Pending::HedgeBudget) {
            return;
        }
        if allowed && self.may_send_another() && !self.has_crashed {
            self.route();
        } else {
            self.retry(now_us);
        }
    }
}
