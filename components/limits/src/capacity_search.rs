//! Limit on the number of owners that one call tries while it looks for an upstream with capacity.
//!
//! It matters when all upstreams of a service are at capacity, as after a restart of all hosts.
//! Every owner then refuses at once, and calls that try one owner after the other load the network
//! and the processors with messages.

use model::AttemptId;
use std::collections::HashSet;

/// Number of owners that may refuse to queue a call. Each of them was expected to have the shortest
/// wait by the latest load signals, so trying more would only add messages.
const MAX_WAIT_REFUSALS: u32 = 2;

/// Refusals of one call for lack of capacity.
#[derive(Clone, Debug, Default)]
pub struct CapacitySearch {
    /// Attempts that were sent with `start_now`, because another upstream seemed to have a free
    /// slot.
    start_now: HashSet<AttemptId>,
    wait_refusals: u32,
    is_exhausted: bool,
}

impl CapacitySearch {
    /// Records an attempt that the owner starts at once or refuses.
    pub fn record_start_now(&mut self, attempt: AttemptId) {
        self.start_now.insert(attempt);
    }

    /// Records that an owner refused an attempt for lack of capacity. Past the latency target of
    /// the call, the first refusal ends the search.
    pub fn record_refusal(&mut self, attempt: AttemptId, is_past_target: bool) {
        if !self.start_now.contains(&attempt) {
            self.wait_refusals += 1;
        }
        self.is_exhausted = is_past_target || self.wait_refusals >= MAX_WAIT_REFUSALS;
    }

    /// Whether the call must be refused instead of sent to another owner.
    pub fn is_exhausted(&self) -> bool {
        self.is_exhausted
    }
}
