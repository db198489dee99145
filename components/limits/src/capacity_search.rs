//! How long a call looks for an upstream with room.
//!
//! Answers a service that is full everywhere, as after a restart of all hosts: each owner refuses at
//! once, and calls that try one owner after the other fill links and processors with messages.

use model::AttemptId;
use std::collections::HashSet;

/// Owners that may refuse to let a call wait. Each was the one with the shortest wait by the
/// freshest figures, so further ones would only add messages.
const MAX_WAIT_REFUSALS: u32 = 2;

/// Refusals of one call for want of room.
#[derive(Clone, Debug, Default)]
pub struct CapacitySearch {
    /// Attempts that don't wait at the owner, because another upstream seemed to have room.
    start_now: HashSet<AttemptId>,
    wait_refusals: u32,
    is_over: bool,
}

impl CapacitySearch {
    /// Notes an attempt that starts at once or is refused.
    pub fn record_start_now(&mut self, attempt: AttemptId) {
        self.start_now.insert(attempt);
    }

    /// Notes that an owner had no room. Past the target of the call that is the last word.
    pub fn record_refusal(&mut self, attempt: AttemptId, is_past_target: bool) {
        if !self.start_now.contains(&attempt) {
            self.wait_refusals += 1;
        }
        self.is_over = is_past_target || self.wait_refusals >= MAX_WAIT_REFUSALS;
    }

    /// Whether the call is to be refused instead of moved on.
    pub fn is_exhausted(&self) -> bool {
        self.is_over
    }
}
