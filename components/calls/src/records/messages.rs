//! What an owner receives from entries about attempts, and its reply to a request to run one.

use crate::AttemptStatus;
use errors::ErrorKind;
use model::AttemptId;

/// An entry's request to run an attempt, as the owner receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncomingAttempt {
    /// Attempt that the entry asks to run.
    pub attempt: AttemptId,
    /// Incarnation of the owner that the entry addressed.
    pub target: u64,
    /// Entry's counter of its connections to this owner; it grows each time one is lost.
    pub generation: u64,
    /// Deadline on the owner's clock, from the remaining time in the message.
    pub deadline_us: u64,
    /// Whether the call has an idempotency key and is not idempotent.
    pub keyed: bool,
    /// Whether the answer is kept for status queries from the start; that of an idempotent call is
    /// kept only once its status has been queried.
    pub keep_answer: bool,
}

/// An entry's status query or cancel request, as the owner receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusQuery {
    /// Attempt whose status is queried or that is to be cancelled.
    pub attempt: AttemptId,
    /// Incarnation of the owner that the attempt was sent to.
    pub target: u64,
    /// As in `IncomingAttempt` if the query is from the attempt's own entry; `None` if it is from
    /// another entry that wants the key which the attempt holds.
    pub generation: Option<u64>,
    /// Deadline of the attempt on the owner's clock, from the remaining time in the query.
    pub deadline_us: u64,
    /// As in `IncomingAttempt`.
    pub keyed: bool,
}

/// Result of [`CallRecords::begin`](crate::CallRecords::begin): whether an attempt may enter the owner's queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// New; it may be queued and, once `try_start` has returned true, run.
    New,
    /// Already known; reply with this status and don't run it.
    Duplicate(AttemptStatus),
    /// Has not run and will never run.
    Refused(ErrorKind),
}
