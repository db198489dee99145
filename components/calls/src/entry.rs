//! The entry's call state machine: attempts, hedges, fates and the flow of a keyed call.

use crate::{Fate, Holder};
use errors::ErrorKind;
use model::{AttemptId, CallId};
use std::sync::Arc;

/// How long after the deadline the entry waits for the owner's reply to its cancel request: a
/// few round trips between availability zones, short against any useful deadline.
pub const DEADLINE_GRACE_US: u64 = 100_000;

/// What the state machine must know of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallSpec {
    /// The call.
    pub call: CallId,
    /// Whether running it twice has the effect of running it once.
    pub idempotent: bool,
    /// Whether it has an idempotency key; ignored if `idempotent`.
    pub keyed: bool,
    /// Whether `Suspects::verdict` was `Suspected`: one run, no hedge.
    pub suspected: bool,
    /// When the whole call must have ended.
    pub deadline_us: u64,
    /// Most attempts, the first and hedges included.
    pub attempts: u16,
    /// Delay after which an idempotent call is hedged.
    pub hedge_after_us: Option<u64>,
}

/// What happened to a call. `U` is the entry's key of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<U> {
    /// Reply to `Route`.
    Routed(U),
    /// Reply to `Route`: no upstream.
    NoRoute(ErrorKind),
    /// Reply to `Claim`: a majority of keepers granted it.
    Claimed(AttemptId),
    /// Reply to `Claim`: another attempt holds the key for the same request.
    ClaimHeld(AttemptId, Holder),
    /// Reply to `Claim`: `KeyReused` or `KeyUnconfirmed`.
    ClaimFailed(AttemptId, ErrorKind),
    /// Nothing of the attempt left this host.
    SendFailed(AttemptId),
    /// The upstream's complete answer.
    Answered(AttemptId, Arc<[u8]>),
    /// The owner did not and will not run the attempt.
    Refused(AttemptId, ErrorKind),
    /// The attempt may have run and ended without an answer.
    Failed(AttemptId, ErrorKind),
    /// The connection was lost after the attempt may have been sent.
    ConnectionLost(AttemptId),
    /// Reply to `AskFate` or `Cancel`, or the owner's reply to a duplicate.
    Fate(AttemptId, Fate),
    /// No reply to `AskFate` or `Cancel`.
    FateUnavailable(AttemptId),
    /// Reply to `AskHolder`.
    HolderFate(AttemptId, Fate),
    /// No reply to `AskHolder`.
    HolderUnavailable(AttemptId),
    /// Reply to `AskRetryBudget`.
    RetryAllowed(bool),
    /// Reply to `AskHedgeBudget`.
    HedgeAllowed(bool),
    /// The time of the last `WakeAt` has come.
    Tick,
    /// The caller closed its connection.
    CallerGone,
}

/// What the entry must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<U> {
    /// Choose an upstream, not one of `exclude` if there is another.
    Route {
        /// Upstreams tried already.
        exclude: Vec<U>,
    },
    /// Run a `ClaimRound` for the attempt at the owner of `upstream`.
    Claim {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream chosen for it.
        upstream: U,
        /// Attempts confirmed as never to start.
        over: Vec<AttemptId>,
    },
    /// Send the attempt.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream chosen for it.
        upstream: U,
    },
    /// Ask the owner to cancel the attempt; the reply is an `Event::Fate`.
    Cancel(AttemptId),
    /// Ask the owner, over a fresh connection, for the fate of the attempt.
    AskFate(AttemptId),
    /// Ask the owner of another call's attempt for its fate.
    AskHolder(Holder),
    /// Ask the service's retry budget.
    AskRetryBudget,
    /// Ask the service's hedge budget.
    AskHedgeBudget,
    /// Send `Event::Tick` at this time; replaces the earlier time.
    WakeAt(u64),
    /// Give the caller this answer; the call has ended.
    Deliver(AttemptId, Arc<[u8]>),
    /// Give the caller this error; the call has ended.
    Fail(ErrorKind),
}

/// One call at its entry.
#[derive(Debug)]
pub struct EntryCall<U> {
    spec: CallSpec,
    upstreams: Vec<U>,
    done: bool,
}

impl<U: Copy + Eq> EntryCall<U> {
    /// A call that has not begun.
    pub fn new(spec: CallSpec) -> Self {
        EntryCall {
            spec,
            upstreams: Vec::new(),
            done: false,
        }
    }

    /// Begins the call.
    pub fn start(&mut self, _now_us: u64) -> Vec<Action<U>> {
        let exclude = self.upstreams.clone();
        vec![
            Action::WakeAt(self.spec.deadline_us),
            Action::Route { exclude },
        ]
    }

    /// Takes an event. Late and duplicate events have no effect.
    pub fn on_event(&mut self, _now_us: u64, event: Event<U>) -> Vec<Action<U>> {
        if self.done {
            return Vec::new();
        }
        match event {
            Event::Routed(upstream) => self.send(upstream),
            Event::Answered(attempt, answer) => self.end(Action::Deliver(attempt, answer)),
            Event::Refused(_, kind) | Event::Failed(_, kind) | Event::NoRoute(kind) => {
                self.end(Action::Fail(kind))
            }
            Event::Tick => self.end(Action::Fail(ErrorKind::DeadlinePassed)),
            _ => Vec::new(),
        }
    }

    /// Whether the call has ended.
    pub fn is_done(&self) -> bool {
        self.done
    }

    fn send(&mut self, upstream: U) -> Vec<Action<U>> {
        let number = u16::try_from(self.upstreams.len()).unwrap_or(u16::MAX);
        self.upstreams.push(upstream);
        let attempt = AttemptId {
            call: self.spec.call,
            attempt: number,
        };
        vec![Action::Send { attempt, upstream }]
    }

    fn end(&mut self, action: Action<U>) -> Vec<Action<U>> {
        self.done = true;
        vec![action]
    }
}
