//! The last refusal of a call by an owner, which tells why a call ends that is not retried.

use super::CallDriver;
use errors::ErrorKind;
use std::sync::{MutexGuard, PoisonError};

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

    fn cause(&self, kind: ErrorKind) -> ErrorKind {
        match (kind, self.0) {
            (ErrorKind::RetryBudgetSpent, Some(last)) => last.kind,
            _ => kind,
        }
    }

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

    /// The cause of a call's end: the refusal of the last attempt, if the call could not be retried.
    pub(crate) fn cause(&self, kind: ErrorKind) -> ErrorKind {
        self.lock_last_refusal().cause(kind)
    }

    /// Time at which the owner of the last refusal expects to admit the call, if it said so and the
    /// call ended because of that refusal.
    pub(crate) fn refused_until_us(&self, kind: ErrorKind) -> Option<u64> {
        self.lock_last_refusal().until_us(kind)
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
