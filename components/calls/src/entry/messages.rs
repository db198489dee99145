//! What the state machine of a call exchanges with the entry: settings, events and actions.

use crate::{AttemptStatus, Holder};
use errors::ErrorKind;
use model::{AttemptId, CallId};
use std::sync::Arc;

/// Settings of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallSpec {
    /// Identifier of the call, unique over all entries and their restarts.
    pub call: CallId,
    /// Whether running it twice has the effect of running it once.
    pub idempotent: bool,
    /// Whether the call has an idempotency key; ignored if `idempotent`.
    pub keyed: bool,
    /// Whether `CrashSuspects::verdict` was `Suspected`: one run, no hedge.
    pub suspected: bool,
    /// Time at which the whole call must have ended.
    pub deadline_us: u64,
    /// Maximum number of attempts, including the first and hedges.
    pub attempts: u16,
    /// Maximum number of moves. A move sends the call to another owner after one has refused it
    /// without passing it to its upstream, for example for lack of capacity. The refused attempt
    /// doesn't count towards `attempts`, because no upstream has received the call.
    pub moves: u16,
    /// Delay after which an idempotent call is hedged.
    pub hedge_after_us: Option<u64>,
}

/// Input to the state machine: the reply to an [`Action`] or an event from outside. `U` is the
/// entry's key of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<U> {
    /// Reply to `Route`: the chosen upstream.
    Routed(U),
    /// Reply to `Route`: no upstream.
    NoRoute(ErrorKind),
    /// Reply to `Claim`: a majority of keepers granted it.
    Claimed(AttemptId),
    /// Reply to `Claim`: another attempt holds the key for the same request.
    ClaimHeld(AttemptId, Holder),
    /// Reply to `Claim`: `KeyReused` or `KeyUnconfirmed`.
    ClaimFailed(AttemptId, ErrorKind),
    /// The attempt could not be sent, and nothing of it has left this host.
    SendFailed(AttemptId),
    /// The upstream's complete answer.
    Answered(AttemptId, Arc<[u8]>),
    /// The owner did not and will not run the attempt.
    Refused(AttemptId, ErrorKind),
    /// The attempt may have run and ended without an answer.
    Failed(AttemptId, ErrorKind),
    /// The connection was lost after the attempt may have been sent.
    ConnectionLost(AttemptId),
    /// Reply to `QueryStatus` or `Cancel`, or the owner's reply to a duplicate of `Send`.
    Status(AttemptId, AttemptStatus),
    /// No reply to `QueryStatus` or `Cancel`.
    StatusUnavailable(AttemptId),
    /// Reply to `QueryHolder`.
    HolderStatus(AttemptId, AttemptStatus),
    /// No reply to `QueryHolder`.
    HolderStatusUnavailable(AttemptId),
    /// Reply to `CheckRetryBudget`.
    RetryAllowed(bool),
    /// Reply to `CheckHedgeBudget`.
    HedgeAllowed(bool),
    /// The time of the last `WakeAt` has been reached.
    Tick,
    /// The caller closed its connection.
    CallerDisconnected,
}

/// Output of the state machine: what the entry must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<U> {
    /// Choose an upstream that is not in `exclude`, or one of them if there is no other.
    Route {
        /// Upstreams that earlier attempts used.
        exclude: Vec<U>,
    },
    /// Run a `ClaimRound` for the attempt at the owner of `upstream`.
    Claim {
        /// Attempt to claim the key for.
        attempt: AttemptId,
        /// The upstream chosen for it.
        upstream: U,
        /// Attempts that are confirmed as never to start, for
        /// [`Claim::never_started`](crate::Claim).
        never_started: Vec<AttemptId>,
    },
    /// Send the attempt to the owner of `upstream`.
    Send {
        /// Attempt to send.
        attempt: AttemptId,
        /// The upstream chosen for it.
        upstream: U,
    },
    /// Ask the owner to cancel the attempt; the reply is an `Event::Status`.
    Cancel(AttemptId),
    /// Query the status of the attempt at its owner, over a new connection.
    QueryStatus(AttemptId),
    /// Query the status of another call's attempt, which holds the key, at its owner.
    QueryHolder(Holder),
    /// Take a retry from the service's retry budget, if there is one.
    CheckRetryBudget,
    /// Take a hedge from the service's hedge budget, if there is one.
    CheckHedgeBudget,
    /// Send `Event::Tick` at this time, which replaces the earlier time. Every tick is followed by
    /// a new `WakeAt`.
    WakeAt(u64),
    /// Return this answer to the caller; the call has ended.
    Deliver(AttemptId, Arc<[u8]>),
    /// Return this error to the caller; the call has ended.
    Fail(ErrorKind),
}
