//! Calls that run at the local instance, by request id, to recognise the calls that the instance
//! makes for them.
//!
//! Workload: an instance serves a call by calling other services. If one of these calls is refused,
//! the work that was already done for its parent is wasted. The request id of such a call is that of
//! its parent, extended by a full stop and letters or digits.

use model::{AttemptId, Priority};
use std::{collections::HashMap, sync::Arc};

/// Maximum number of calls in the table; further ones are not recognised as parents.
const MAX_PARENTS: usize = 4_096;
/// Longest request id of a parent in bytes.
const MAX_ID_BYTES: usize = 256;

/// A call that runs at the local instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParentCall {
    /// Attempt that runs.
    pub attempt: AttemptId,
    /// Time of its start.
    pub started_us: u64,
    /// Its deadline.
    pub deadline_us: u64,
    /// Its priority.
    pub priority: Priority,
    /// Customer that it belongs to.
    pub customer: Option<Arc<str>>,
}

/// Running calls by request id.
#[derive(Clone, Debug, Default)]
pub struct ParentCalls {
    by_id: HashMap<Arc<str>, ParentCall>,
}

impl ParentCalls {
    /// Adds a call that starts. Of two with one id, the later one is known.
    pub fn start(&mut self, request_id: &str, call: ParentCall) {
        let is_usable = !request_id.is_empty() && request_id.len() <= MAX_ID_BYTES;
        if is_usable && (self.by_id.len() < MAX_PARENTS || self.by_id.contains_key(request_id)) {
            self.by_id.insert(request_id.into(), call);
        }
    }

    /// Removes a call that has ended.
    pub fn end(&mut self, request_id: &str, attempt: AttemptId) {
        if self
            .by_id
            .get(request_id)
            .is_some_and(|c| c.attempt == attempt)
        {
            self.by_id.remove(request_id);
        }
    }

    /// The running call that a call with this request id is made for: the id is `PARENT.SUFFIX`.
    pub fn parent_of(&self, request_id: &str) -> Option<&ParentCall> {
        let (parent, suffix) = request_id.rsplit_once('.')?;
        let is_suffix = !suffix.is_empty() && suffix.bytes().all(|b| b.is_ascii_alphanumeric());
        is_suffix.then(|| self.by_id.get(parent)).flatten()
    }
}
