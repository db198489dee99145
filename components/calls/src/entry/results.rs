//! The part of the call state machine that handles the results of attempts: answers, refusals,
//! failures, lost connections and queried statuses.

use super::{Action, EntryCall, State, backoff_us};
use crate::AttemptStatus;
use errors::{ErrorKind, Outcome};
use model::AttemptId;
use std::sync::Arc;

/// First delay before the status of an attempt is queried again.
const QUERY_BACKOFF_US: u64 = 20_000;

impl<U: Copy + Eq> EntryCall<U> {
    pub(super) fn on_answered(&mut self, attempt: AttemptId, answer: Arc<[u8]>) {
        // An idempotent call also accepts the answer of an attempt whose connection was lost.
        let is_accepted = |s: State| s.is_sent() || matches!(s, State::Lost | State::Ended);
        if self.index_if(attempt, is_accepted).is_some() {
            self.deliver(attempt, answer);
        }
    }

    /// Handles the end of an attempt without an answer. The outcome of the error kind tells whether
    /// the attempt may have run.
    pub(super) fn on_ended(&mut self, now_us: u64, attempt: AttemptId, kind: ErrorKind) {
        match kind.info().outcome {
            Outcome::NotRun => self.on_refused(now_us, attempt, kind),
            Outcome::Unknown => self.on_failed(now_us, attempt, kind),
        }
    }

    pub(super) fn on_send_failed(&mut self, now_us: u64, attempt: AttemptId) {
        // No upstream has received the call, so it counts as a move if moves are allowed.
        let kind = match self.spec.moves {
            0 => ErrorKind::UpstreamRefused,
            _ => ErrorKind::NoUpstream,
        };
        self.on_refused(now_us, attempt, kind);
    }

    fn on_refused(&mut self, now_us: u64, attempt: AttemptId, kind: ErrorKind) {
        let Some(index) = self.index_if(attempt, State::is_sent) else {
            return;
        };
        self.attempts[index].state = State::NotRun;
        self.attempts[index].refusal = Some(kind);
        self.never_started.push(attempt);
        self.last_refusal = kind;
        if self.has_open() || self.is_past_deadline {
            return;
        }
        if is_final_refusal(kind) {
            self.query_lost_or_fail(kind);
        } else {
            self.retry(now_us);
        }
    }

    fn on_failed(&mut self, now_us: u64, attempt: AttemptId, kind: ErrorKind) {
        let Some(index) = self.index_if(attempt, State::is_sent) else {
            return;
        };
        self.attempts[index].state = State::Ended;
        self.record_failure(kind);
        if !self.spec.idempotent {
            self.fail(kind);
        } else if !self.is_past_deadline {
            self.retry(now_us);
        }
    }

    /// Records that an attempt may have run and has no answer so far.
    fn record_failure(&mut self, kind: ErrorKind) {
        self.failure_after_start.get_or_insert(kind);
        self.has_failed_after_crash |= self.has_crashed;
        self.has_crashed |= kind == ErrorKind::UpstreamLost;
    }

    pub(super) fn on_connection_lost(&mut self, now_us: u64, attempt: AttemptId) {
        let cancelling = State::Cancelling {
            disconnected: false,
        };
        if let Some(index) = self.index_if(attempt, |s| s == cancelling) {
            self.attempts[index].state = State::Cancelling { disconnected: true };
            return;
        }
        let Some(index) = self.index_if(attempt, |s| s == State::Sent) else {
            return;
        };
        if self.spec.idempotent {
            self.attempts[index].state = State::Lost;
            self.record_failure(ErrorKind::OwnerLost);
            if !self.is_past_deadline {
                self.retry(now_us);
            }
            return;
        }
        if now_us < self.spec.deadline_us {
            self.query_status(index);
        }
    }

    pub(super) fn on_status(&mut self, now_us: u64, attempt: AttemptId, status: AttemptStatus) {
        let Some(index) = self.index_if(attempt, State::is_sent) else {
            return;
        };
        let state = self.attempts[index].state;
        match status {
            AttemptStatus::NotStarted => {
                self.on_refused(now_us, attempt, ErrorKind::UpstreamRefused);
            }
            AttemptStatus::Answered(answer) => self.deliver(attempt, answer),
            AttemptStatus::Failed(kind) => self.on_failed(now_us, attempt, kind),
            AttemptStatus::Forgotten => self.on_failed(now_us, attempt, ErrorKind::OwnerLost),
            AttemptStatus::Running if state == State::Queried => self.schedule_query(now_us, index),
            AttemptStatus::Running if matches!(state, State::Cancelling { .. }) => {
                self.on_failed(now_us, attempt, ErrorKind::DeadlinePassed);
            }
            AttemptStatus::Running => {}
        }
    }

    pub(super) fn on_status_unavailable(&mut self, now_us: u64, attempt: AttemptId) {
        let Some(index) = self.index_if(attempt, |s| s == State::Queried) else {
            return;
        };
        // The caller of an idempotent call may send it again, so it isn't held until its deadline
        // for an owner that can't be reached.
        if self.spec.idempotent {
            self.on_failed(now_us, attempt, ErrorKind::OwnerLost);
        } else {
            self.schedule_query(now_us, index);
        }
    }

    /// Queries the status of an attempt at its owner.
    pub(super) fn query_status(&mut self, index: usize) {
        self.attempts[index].state = State::Queried;
        self.actions
            .push(Action::QueryStatus(self.attempt_id(index)));
    }

    /// Repeats the status query after the backoff.
    fn schedule_query(&mut self, now_us: u64, index: usize) {
        let due_us = now_us + backoff_us(QUERY_BACKOFF_US, self.attempts[index].queries);
        self.attempts[index].queries += 1;
        self.attempts[index].state = State::QueryDueAt(due_us);
    }
}

/// Whether every other owner would refuse the call for the same reason, so that a retry is useless.
fn is_final_refusal(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::MalformedRequest
            | ErrorKind::BadDeadline
            | ErrorKind::BodyTooLarge
            | ErrorKind::HeadTooLarge
            | ErrorKind::DeadlineExpired
            | ErrorKind::Cancelled
            | ErrorKind::CrashSuspect
            | ErrorKind::CrashHold
            | ErrorKind::KeyReused
    )
}
