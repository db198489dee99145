//! The calls that run at the local instance, or at one that has withdrawn meanwhile.

use http::CancelToken;
use model::AttemptId;
use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Running calls and the handles that cancel them. A call stays here until it ends, whatever becomes
/// of its instance's announcement.
#[derive(Default)]
pub(super) struct RunningCalls(Mutex<HashMap<AttemptId, CancelToken>>);

impl RunningCalls {
    pub(super) fn insert(&self, attempt: AttemptId, cancel: CancelToken) {
        self.lock().insert(attempt, cancel);
    }

    pub(super) fn remove(&self, attempt: AttemptId) {
        self.lock().remove(&attempt);
    }

    /// Cancels the call if it is running.
    pub(super) fn cancel(&self, attempt: AttemptId) {
        let cancel = self.lock().get(&attempt).cloned();
        // Outside the lock: the cancellation may end the call, which then removes itself.
        if let Some(cancel) = cancel {
            cancel.cancel();
        }
    }

    pub(super) fn count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<AttemptId, CancelToken>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
