//! The last refusal of a call by an owner, which tells why a call ends that is not retried.

use super::CallDriver;
use errors::ErrorKind;
use std::sync::{MutexGuard, PoisonError};

/// Why an owner refused an attempt.
#[derive(Clone, Copy)]
pub(super) struct LastRefusal {
    kind: ErrorKind,
    /// Time at which the owner expects to admit such calls, if it said so.
    until_us: Option<u64>,
}

impl CallDriver {
    /// Records that an owner refused an attempt, if the owner said for how long or this node admits by
    /// the capacity downstream. Nothing else reads it.
    pub(crate) fn record_refusal(&self, kind: ErrorKind, until_us: Option<u64>) {
        if until_us.is_some() || self.entry.context.downstream.is_some() {
            *self.lock_last_refusal() = Some(LastRefusal { kind, until_us });
        }
    }

    /// The cause of a call's end: the refusal of the last attempt, if the call could not be retried.
    pub(crate) fn cause(&self, kind: ErrorKind) -> ErrorKind {
        match (kind, *self.lock_last_refusal()) {
            (ErrorKind::RetryBudgetSpent, Some(last)) => last.kind,
            _ => kind,
        }
    }

    /// Time at which the owner of the recorded refusal expects to admit the call, if it said so and the
    /// call ended because of that refusal.
    pub(crate) fn refused_until_us(&self, kind: ErrorKind) -> Option<u64> {
        let last = (*self.lock_last_refusal())?;
        last.until_us.filter(|_| self.cause(kind) == last.kind)
    }

    fn lock_last_refusal(&self) -> MutexGuard<'_, Option<LastRefusal>> {
        self.last_refusal
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
