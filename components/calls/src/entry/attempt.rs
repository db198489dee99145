//! One attempt of a call, as its entry knows it.

use crate::Holder;
use errors::ErrorKind;

/// What the entry knows of one of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Not sent; the replies of the keepers to its claim are pending.
    Claiming,
    /// Not sent; another attempt holds the key, and its status is queried at `due_us`.
    HolderWait { holder: Holder, due_us: u64 },
    /// Not sent; the status of the holder has been queried.
    HolderQueried(Holder),
    /// Sent to its owner; may be running.
    Sent,
    /// The connection was lost, and the status has been queried at the owner.
    Queried,
    /// As `Queried`, without a final status yet; the query is repeated at this time.
    QueryDueAt(u64),
    /// The deadline has passed, and the owner has been asked to cancel the attempt.
    Cancelling { disconnected: bool },
    /// Did not and will not run.
    NotRun,
    /// The connection was lost, and the idempotent call has gone on to another upstream. The status
    /// is queried if no other attempt may be sent.
    Lost,
    /// May have run; no answer is expected any more.
    Ended,
}

impl State {
    /// Whether an owner may be running the attempt and may still answer.
    pub(super) fn is_sent(self) -> bool {
        matches!(
            self,
            State::Sent | State::Queried | State::QueryDueAt(_) | State::Cancelling { .. }
        )
    }

    /// Whether the attempt may still lead to an answer.
    pub(super) fn is_open(self) -> bool {
        !matches!(self, State::NotRun | State::Lost | State::Ended)
    }

    /// Time at which the state changes without an event, if any.
    pub(super) fn due_us(self) -> Option<u64> {
        match self {
            State::HolderWait { due_us, .. } | State::QueryDueAt(due_us) => Some(due_us),
            _ => None,
        }
    }
}

#[derive(Debug)]
pub(super) struct Attempt<U> {
    pub(super) upstream: U,
    pub(super) state: State,
    /// Why its owner did not run it.
    pub(super) refusal: Option<ErrorKind>,
    /// Number of status queries about it or about holders of its key, for the backoff.
    pub(super) queries: u32,
}

impl<U> Attempt<U> {
    /// Whether it counts as a move: no upstream has received the call.
    pub(super) fn is_move(&self) -> bool {
        self.refusal.is_some_and(|kind| {
            is_lack_of_capacity(kind) || matches!(kind, ErrorKind::Stopping | ErrorKind::NoUpstream)
        })
    }
}

/// Whether an owner refused an attempt because it could not run it in time at its load.
pub(super) fn is_lack_of_capacity(refusal: ErrorKind) -> bool {
    matches!(refusal, ErrorKind::Overloaded | ErrorKind::QueueFull)
}
