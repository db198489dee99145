//! Requests of attempts for a slot, and the decisions on them.

use super::CustomerKey;
use errors::ErrorKind;
use model::{AttemptId, Priority};

/// Limits of the admission to one upstream.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionConfig {
    /// Calls that the upstream can run at once.
    pub slots: u32,
    /// Additional slots for calls above the lowest priority. Calls in them make the upstream
    /// slower, so calls of the lowest priority may not use them.
    pub urgent_slots: u32,
    /// Maximum number of waiting calls, even if the `queue_limit` of their requests is higher.
    pub queue_limit: u32,
}

/// Request of an attempt for a slot.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Attempt that needs a slot.
    pub attempt: AttemptId,
    /// Priority in the queue.
    pub priority: Priority,
    /// Deadline of the call; the attempt doesn't start at or after it.
    pub deadline_us: u64,
    /// Latest start. An attempt that still waits then is refused, so that the entry can send it to
    /// another owner. The deadline or later if the attempt may wait until its deadline.
    pub start_by_us: u64,
    /// Expected service time, or 0 to use the owner's own estimate.
    pub expected_us: u64,
    /// Time until which an answer is fully useful. Calls that would miss it run when no call that
    /// can meet its target waits. The deadline or later if the call has no such target.
    pub target_us: u64,
    /// Whether to refuse the attempt unless it can start at once and the host is not slow.
    pub start_now: bool,
    /// Longest queue that the attempt may join, in calls; with 0 it starts at once or is refused.
    pub queue_limit: u32,
    /// Customer that the call belongs to, if the configuration has customers.
    pub customer: Option<CustomerKey>,
    /// Work that was already done for the call and would be wasted by its refusal, in microseconds;
    /// used by `AdmissionOrder::Cost` only.
    pub done_us: u64,
}

/// Result of an [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionResult {
    /// The attempt has a slot; run it now.
    Start,
    /// The attempt waits; a later [`QueueDecision`] starts or refuses it.
    Queued,
    /// The attempt waits in place of the given one, which is refused as `QueueFull`. That one is of
    /// lower priority or of a customer with more waiting calls.
    QueuedInstead(AttemptId),
    /// The attempt has not run and won't run.
    Refused(ErrorKind),
}

/// Decision on an attempt that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// Run the attempt now.
    Start(AttemptId),
    /// Refuse the attempt; it has not run and won't run.
    Refuse(AttemptId, ErrorKind),
}

/// State in which a cancellation found the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// The attempt was waiting. It has been removed and never starts.
    NotStarted,
    /// The attempt is running and holds its slot until `finish` or `release_slot` is called.
    Running,
    /// The attempt is neither waiting nor running.
    Unknown,
}
