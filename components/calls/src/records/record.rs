//! The record of one attempt.

use crate::AttemptStatus;
use errors::ErrorKind;
use std::sync::Arc;

/// What the owner knows of one attempt.
#[derive(Debug)]
pub(super) enum State {
    Queued,
    Running,
    Answered(Arc<[u8]>),
    Failed(ErrorKind),
    /// Mark: may have run, and its answer is not kept.
    Forgotten,
    /// Tombstone.
    NotStarted,
}

impl State {
    pub(super) fn status(&self) -> AttemptStatus {
        match self {
            State::Queued | State::Running => AttemptStatus::Running,
            State::Answered(answer) => AttemptStatus::Answered(Arc::clone(answer)),
            State::Failed(kind) => AttemptStatus::Failed(*kind),
            State::Forgotten => AttemptStatus::Forgotten,
            State::NotStarted => AttemptStatus::NotStarted,
        }
    }
}

/// The record of one attempt. Its times are of the `AwakeClock`, except `deadline_us`.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) state: State,
    pub(super) keyed: bool,
    pub(super) keep_answer: bool,
    pub(super) deadline_us: u64,
    /// Messages about the attempt may arrive until this time.
    pub(super) messages_until_us: u64,
    /// End of the mark of a keyed attempt.
    pub(super) mark_ends_us: u64,
    /// Time of the attempt's element in `timers`, if it has one.
    pub(super) due_us: Option<u64>,
}
