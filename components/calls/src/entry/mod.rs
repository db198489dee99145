//! The entry's state machine of one call: its attempts, retries and hedges, queries of attempt
//! statuses, and the claim of its idempotency key.

mod attempt;
mod ending;
mod keyed;
mod messages;
mod results;
mod retries;
mod routing;
mod timers;

pub use messages::{Action, CallSpec, Event};
pub use timers::DEADLINE_GRACE_US;

use crate::MAX_KEYED_CALL_MS;
use attempt::{Attempt, State};
use errors::ErrorKind;
use model::AttemptId;

/// Longest delay between two queries: short compared to the silence limit of a connection (750 ms).
const MAX_BACKOFF_US: u64 = 320_000;

/// The action of the call as a whole whose reply is pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pending {
    None,
    Route,
    RetryBudget,
    HedgeBudget,
}

/// State machine of one call at its entry. The user of this type performs the returned actions in
/// order. It must reply with an event to each `Route`, `Claim`, `Send`, `QueryStatus`,
/// `QueryHolder`, `CheckRetryBudget` and `CheckHedgeBudget`.
#[derive(Debug)]
pub struct EntryCall<U> {
    spec: CallSpec,
    attempts: Vec<Attempt<U>>,
    pending: Pending,
    /// Own attempts and holders of the key that are confirmed as never to start.
    never_started: Vec<AttemptId>,
    /// First failure of an attempt that may have run; once set, the outcome of the call is unknown.
    failure_after_start: Option<ErrorKind>,
    last_refusal: ErrorKind,
    /// Whether an upstream was lost during an attempt; it may have crashed because of the request.
    has_crashed: bool,
    /// Whether another attempt has failed after that.
    has_failed_after_crash: bool,
    hedge_due_us: Option<u64>,
    is_past_deadline: bool,
    /// Time of the last `WakeAt`.
    wake_us: Option<u64>,
    is_done: bool,
    actions: Vec<Action<U>>,
}

impl<U: Copy + Eq> EntryCall<U> {
    /// A call that has not started yet.
    pub fn new(spec: CallSpec) -> Self {
        let spec = CallSpec {
            keyed: spec.keyed && !spec.idempotent,
            ..spec
        };
        EntryCall {
            spec,
            attempts: Vec::new(),
            pending: Pending::None,
            never_started: Vec::new(),
            failure_after_start: None,
            last_refusal: ErrorKind::NoUpstream,
            has_crashed: false,
            has_failed_after_crash: false,
            hedge_due_us: None,
            is_past_deadline: false,
            wake_us: None,
            is_done: false,
            actions: Vec::new(),
        }
    }

    /// Starts the call. The deadline of a keyed call is limited to `MAX_KEYED_CALL_MS`.
    pub fn start(&mut self, now_us: u64) -> Vec<Action<U>> {
        if self.spec.keyed {
            let limit_us = now_us + MAX_KEYED_CALL_MS * 1_000;
            self.spec.deadline_us = self.spec.deadline_us.min(limit_us);
        }
        if now_us < self.spec.deadline_us {
            self.route();
        }
        self.finish_event(now_us)
    }

    /// Handles an event and returns the actions that follow. Late and duplicate events have no
    /// effect.
    pub fn on_event(&mut self, now_us: u64, event: Event<U>) -> Vec<Action<U>> {
        if self.is_done {
            return Vec::new();
        }
        self.handle(now_us, event);
        self.finish_event(now_us)
    }

    /// Whether the call has ended. After `CallerDisconnected` it ends without `Deliver` or `Fail`.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Deadline of the call, after the limit for keyed calls.
    pub fn deadline_us(&self) -> u64 {
        self.spec.deadline_us
    }

    fn handle(&mut self, now_us: u64, event: Event<U>) {
        match event {
            Event::Routed(upstream) => self.on_routed(now_us, upstream),
            Event::NoRoute(kind) => self.on_no_route(kind),
            Event::Claimed(attempt) => self.on_claimed(now_us, attempt),
            Event::ClaimHeld(attempt, holder) => self.on_claim_held(now_us, attempt, holder),
            Event::ClaimFailed(attempt, kind) => self.on_claim_failed(attempt, kind),
            Event::SendFailed(attempt) => self.on_send_failed(now_us, attempt),
            Event::Answered(attempt, answer) => self.on_answered(attempt, answer),
            Event::Refused(attempt, kind) | Event::Failed(attempt, kind) => {
                self.on_ended(now_us, attempt, kind);
            }
            Event::ConnectionLost(attempt) => self.on_connection_lost(now_us, attempt),
            Event::Status(attempt, status) => self.on_status(now_us, attempt, status),
            Event::StatusUnavailable(attempt) => self.on_status_unavailable(now_us, attempt),
            Event::HolderStatus(holder, status) => self.on_holder_status(holder, status),
            Event::HolderStatusUnavailable(holder) => {
                self.on_holder_status_unavailable(now_us, holder);
            }
            Event::RetryAllowed(allowed) => self.on_retry_allowed(allowed),
            Event::HedgeAllowed(allowed) => self.on_hedge_allowed(now_us, allowed),
            // The tick may have come early, so its sender needs the time again.
            Event::Tick => self.wake_us = None,
            Event::CallerDisconnected => self.on_caller_disconnected(),
        }
    }

    fn finish_event(&mut self, now_us: u64) -> Vec<Action<U>> {
        if !self.is_done {
            self.perform_due(now_us);
        }
        if !self.is_done {
            self.schedule_wake();
        }
        std::mem::take(&mut self.actions)
    }

    /// Ends the wait for the reply to an action of the call as a whole. Returns false if another
    /// reply or none is pending, so that the event is late or a duplicate.
    fn take_pending(&mut self, expected: Pending) -> bool {
        let is_expected = self.pending == expected;
        if is_expected {
            self.pending = Pending::None;
        }
        is_expected
    }

    fn attempt_id(&self, index: usize) -> AttemptId {
        AttemptId {
            call: self.spec.call,
            attempt: u16::try_from(index).unwrap_or(u16::MAX),
        }
    }

    /// Index of one of the call's attempts, if its state is a wanted one.
    fn index_if(&self, attempt: AttemptId, is_wanted: impl Fn(State) -> bool) -> Option<usize> {
        let index = usize::from(attempt.attempt);
        let is_own = attempt.call == self.spec.call;
        let state = self.attempts.get(index).map(|a| a.state)?;
        (is_own && is_wanted(state)).then_some(index)
    }

    fn has_open(&self) -> bool {
        self.attempts.iter().any(|a| a.state.is_open())
    }
}

/// Doubles the delay with each query, up to `MAX_BACKOFF_US`.
fn backoff_us(base_us: u64, queries: u32) -> u64 {
    (base_us << queries.min(8)).min(MAX_BACKOFF_US)
}
