//! The last refusal of a call by an owner, which tells why a call ends that is not retried.

use super::CallDriver;
use crate::entry::downstream::UnansweredCall;
use errors::ErrorKind;
use std::sync::{MutexGuard, PoisonError, atomic::Ordering};

/// Why an owner refused an attempt.
#[derive(Clone, Copy)]
struct Refusal {
    kind: ErrorKind,
    /// Time at which the owner expects to admit such calls, if it said so.
    until_us: Option<u64>,
}

/// The last refusal of a call by an owner, if any.
#[derive(Default)]
pub(super) struct LastRefusal(Option<Refusal>);

impl LastRefusal {
    /// Replaces the refusal of an earlier owner, also by one without a time.
    fn record(&mut self, kind: ErrorKind, until_us: Option<u64>) {
        self.0 = Some(Refusal { kind, until_us });
    }

    /// The cause of a call's end: the refusal of the last attempt, if the call could not be retried.
    fn cause(&self, kind: ErrorKind) -> ErrorKind {
        match (kind, self.0) {
            (ErrorKind::RetryBudgetSpent, Some(last)) => last.kind,
            _ => kind,
        }
    }

    /// Time at which the owner expects to admit the call, if it said so and the call ended because of
    /// this refusal.
    fn until_us(&self, kind: ErrorKind) -> Option<u64> {
        let last = self.0?;
        last.until_us.filter(|_| self.cause(kind) == last.kind)
    }
}

impl CallDriver {
    /// Records that an owner refused an attempt.
    pub(crate) fn record_refusal(&self, kind: ErrorKind, until_us: Option<u64>) {
        self.lock_last_refusal().record(kind, until_us);
    }

    /// Records that this entry knew an upstream for the call.
    pub(crate) fn record_upstream_found(&self) {
        self.has_found_upstream.store(true, Ordering::Release);
    }

    /// How the call ended, if without an answer.
    pub(crate) fn unanswered(&self, kind: ErrorKind) -> UnansweredCall {
        let last_refusal = self.lock_last_refusal();
        UnansweredCall {
            cause: last_refusal.cause(kind),
            until_us: last_refusal.until_us(kind),
            has_found_upstream: self.has_found_upstream.load(Ordering::Acquire),
        }
    }

    fn lock_last_refusal(&self) -> MutexGuard<'_, LastRefusal> {
        self.last_refusal
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
#[path = "../../../tests/inside/last_refusal.rs"]
mod tests;
