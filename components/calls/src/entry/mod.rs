//! The entry's call state machine: attempts, hedges, fates and the flow of a keyed call.

mod keyed;
mod timers;

use crate::{AttemptStatus, Holder, MAX_KEYED_CALL_MS};
use errors::{ErrorKind, Outcome};
use model::{AttemptId, CallId};
use std::sync::Arc;

/// How long after the deadline the entry waits for the owner's reply to its cancel request: a
/// few round trips between availability zones, short against any useful deadline.
pub const DEADLINE_GRACE_US: u64 = 100_000;

/// Delay before an owner is asked again for a fate.
const FATE_BACKOFF_US: u64 = 20_000;

/// Longest delay between two questions: short against the silence limit of a connection (750 ms).
const MAX_BACKOFF_US: u64 = 320_000;

/// Delay before the holder of a key is asked for: a few round trips between availability zones.
const HOLDER_DELAY_US: u64 = 10_000;

/// Range of the jitter of `HOLDER_DELAY_US`.
const HOLDER_JITTER_US: u64 = 10_000;

/// Odd factor near 2^64 divided by the golden ratio; spreads consecutive calls over the jitter.
const JITTER_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

/// Most attempts listed in a claim: own attempts (at most 10) and holders of lost races.
const MAX_OVER: usize = 24;

/// What the state machine must know of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallSpec {
    /// The call.
    pub call: CallId,
    /// Whether running it twice has the effect of running it once.
    pub idempotent: bool,
    /// Whether it has an idempotency key; ignored if `idempotent`.
    pub keyed: bool,
    /// Whether `CrashSuspects::verdict` was `Suspected`: one run, no hedge.
    pub suspected: bool,
    /// When the whole call must have ended.
    pub deadline_us: u64,
    /// Most attempts, the first and hedges included.
    pub attempts: u16,
    /// Most refusals by owners for want of room that don't count as attempts, because no upstream
    /// has seen the call.
    pub moves: u16,
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
    /// Reply to `QueryStatus` or `Cancel`, or the owner's reply to a duplicate.
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
    /// The time of the last `WakeAt` has come.
    Tick,
    /// The caller closed its connection.
    CallerDisconnected,
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
        never_started: Vec<AttemptId>,
    },
    /// Send the attempt.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream chosen for it.
        upstream: U,
    },
    /// Ask the owner to cancel the attempt; the reply is an `Event::Status`.
    Cancel(AttemptId),
    /// Ask the owner, over a fresh connection, for the fate of the attempt.
    QueryStatus(AttemptId),
    /// Ask the owner of another call's attempt for its fate.
    QueryHolder(Holder),
    /// Ask the service's retry budget.
    CheckRetryBudget,
    /// Ask the service's hedge budget.
    CheckHedgeBudget,
    /// Send `Event::Tick` at this time; replaces the earlier time. Follows every tick.
    WakeAt(u64),
    /// Give the caller this answer; the call has ended.
    Deliver(AttemptId, Arc<[u8]>),
    /// Give the caller this error; the call has ended.
    Fail(ErrorKind),
}

/// What the entry knows of one of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waits for the keepers.
    Claiming,
    /// Another attempt holds the key; its owner is asked at `due_us`.
    HolderWait { holder: Holder, due_us: u64 },
    /// The holder's owner has been asked.
    HolderAsked(Holder),
    /// May be running.
    Sent,
    /// The connection was lost and the owner has been asked.
    Asked,
    /// As `Asked`; the owner is asked again at the time.
    AskLater(u64),
    /// The deadline has passed and the owner has been asked to cancel.
    Cancelling { lost: bool },
    /// Did not and will not run.
    NotRun,
    /// May have run; no answer is expected any more.
    Ended,
}

impl State {
    /// Whether an owner may be running the attempt and may still answer.
    fn is_out(self) -> bool {
        matches!(
            self,
            State::Sent | State::Asked | State::AskLater(_) | State::Cancelling { .. }
        )
    }

    fn is_open(self) -> bool {
        !matches!(self, State::NotRun | State::Ended)
    }

    /// Time of the next own step, if any.
    fn due_us(self) -> Option<u64> {
        match self {
            State::HolderWait { due_us, .. } | State::AskLater(due_us) => Some(due_us),
            _ => None,
        }
    }
}

#[derive(Debug)]
struct Attempt<U> {
    upstream: U,
    state: State,
    /// Why its owner did not run it.
    refusal: Option<ErrorKind>,
    /// Questions about its fate, or about holders of its key, for the backoff.
    asks: u32,
}

impl<U> Attempt<U> {
    /// Whether its owner refused it without offering it to the upstream.
    fn is_move(&self) -> bool {
        matches!(
            self.refusal,
            Some(
                ErrorKind::Overloaded
                    | ErrorKind::QueueFull
                    | ErrorKind::Stopping
                    | ErrorKind::NoUpstream
            )
        )
    }
}

/// The question that the call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pending {
    None,
    Route,
    RetryBudget,
    HedgeBudget,
}

/// One call at its entry. The caller performs the actions in order and must reply to each `Route`, `Claim`,
/// `Send`, `QueryStatus`, `QueryHolder` and budget question with one of their events.
#[derive(Debug)]
pub struct EntryCall<U> {
    spec: CallSpec,
    attempts: Vec<Attempt<U>>,
    pending: Pending,
    /// Attempts under the key that are known never to start.
    never_started: Vec<AttemptId>,
    /// First failure of an attempt that may have run; from then on the outcome is unknown.
    maybe_ran: Option<ErrorKind>,
    last_refusal: ErrorKind,
    crashed: bool,
    ran_after_crash: bool,
    hedge_due_us: Option<u64>,
    overdue: bool,
    wake_us: Option<u64>,
    done: bool,
    actions: Vec<Action<U>>,
}

impl<U: Copy + Eq> EntryCall<U> {
    /// A call that has not begun.
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
            maybe_ran: None,
            last_refusal: ErrorKind::NoUpstream,
            crashed: false,
            ran_after_crash: false,
            hedge_due_us: None,
            overdue: false,
            wake_us: None,
            done: false,
            actions: Vec::new(),
        }
    }

    /// Begins the call. A keyed call gets at most `MAX_KEYED_CALL_MS`.
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

    /// Takes an event. Late and duplicate events have no effect.
    pub fn on_event(&mut self, now_us: u64, event: Event<U>) -> Vec<Action<U>> {
        if self.done {
            return Vec::new();
        }
        self.handle(now_us, event);
        self.finish_event(now_us)
    }

    /// Whether the call has ended. After `CallerDisconnected` it ends without a last action.
    pub fn is_done(&self) -> bool {
        self.done
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
            Event::ClaimHeld(attempt, holder) => self.on_held(now_us, attempt, holder),
            Event::ClaimFailed(attempt, kind) => self.on_claim_failed(attempt, kind),
            Event::SendFailed(attempt) => {
                // No upstream has seen the call, so with moves it costs no attempt.
                let kind = match self.spec.moves {
                    0 => ErrorKind::UpstreamRefused,
                    _ => ErrorKind::NoUpstream,
                };
                self.on_refused(now_us, attempt, kind);
            }
            Event::Answered(attempt, answer) => self.on_answered(attempt, answer),
            Event::Refused(attempt, kind) | Event::Failed(attempt, kind) => {
                self.on_ended(now_us, attempt, kind);
            }
            Event::ConnectionLost(attempt) => self.on_connection_lost(now_us, attempt),
            Event::Status(attempt, fate) => self.on_fate(now_us, attempt, fate),
            Event::StatusUnavailable(attempt) => self.on_fate_unavailable(now_us, attempt),
            Event::HolderStatus(holder, fate) => self.on_holder_fate(holder, fate),
            Event::HolderStatusUnavailable(holder) => self.on_holder_unavailable(now_us, holder),
            Event::RetryAllowed(allowed) => self.on_retry_allowed(allowed),
            Event::HedgeAllowed(allowed) => self.on_hedge_allowed(now_us, allowed),
            // A caller that ticks for a reason of its own needs the time again.
            Event::Tick => self.wake_us = None,
            Event::CallerDisconnected => self.on_caller_gone(),
        }
    }

    fn finish_event(&mut self, now_us: u64) -> Vec<Action<U>> {
        if !self.done {
            self.on_time(now_us);
        }
        if !self.done {
            self.set_wake();
        }
        std::mem::take(&mut self.actions)
    }

    // Routing and sending.

    fn route(&mut self) {
        self.pending = Pending::Route;
        let mut exclude: Vec<U> = Vec::new();
        for attempt in &self.attempts {
            // The refusal came with fresh figures, which the choice weighs.
            let may_have_room_later = self.spec.moves > 0
                && matches!(
                    attempt.refusal,
                    Some(ErrorKind::Overloaded | ErrorKind::QueueFull)
                );
            if !may_have_room_later && !exclude.contains(&attempt.upstream) {
                exclude.push(attempt.upstream);
            }
        }
        self.actions.push(Action::Route { exclude });
    }

    fn on_routed(&mut self, now_us: u64, upstream: U) {
        if self.pending != Pending::Route || now_us >= self.spec.deadline_us {
            return;
        }
        self.pending = Pending::None;
        let index = self.attempts.len();
        self.attempts.push(Attempt {
            upstream,
            state: State::Claiming,
            refusal: None,
            asks: 0,
        });
        if self.spec.keyed {
            self.claim(index);
        } else {
            self.send(now_us, index);
        }
    }

    fn on_no_route(&mut self, kind: ErrorKind) {
        if self.pending != Pending::Route {
            return;
        }
        self.pending = Pending::None;
        if !self.has_open() {
            self.fail(kind);
        }
    }

    fn send(&mut self, now_us: u64, index: usize) {
        if index == 0 && self.spec.idempotent && !self.spec.suspected {
            self.hedge_due_us = self.spec.hedge_after_us.map(|after_us| now_us + after_us);
        }
        let attempt = self.id(index);
        let upstream = self.attempts[index].upstream;
        self.attempts[index].state = State::Sent;
        self.actions.push(Action::Send { attempt, upstream });
    }

    // Ends of attempts.

    fn on_answered(&mut self, attempt: AttemptId, answer: Arc<[u8]>) {
        // A lost attempt of an idempotent call may still answer and is welcome.
        if self
            .index_in(attempt, |s| s.is_out() || s == State::Ended)
            .is_some()
        {
            self.deliver(attempt, answer);
        }
    }

    /// The kind decides: the owner answers for whether the attempt has run.
    fn on_ended(&mut self, now_us: u64, attempt: AttemptId, kind: ErrorKind) {
        match kind.info().outcome {
            Outcome::NotRun => self.on_refused(now_us, attempt, kind),
            Outcome::Unknown => self.on_failed(now_us, attempt, kind),
        }
    }

    fn on_refused(&mut self, now_us: u64, attempt: AttemptId, kind: ErrorKind) {
        let Some(index) = self.index_in(attempt, State::is_out) else {
            return;
        };
        self.attempts[index].state = State::NotRun;
        self.attempts[index].refusal = Some(kind);
        self.never_started.push(attempt);
        self.last_refusal = kind;
        if self.has_open() || self.overdue {
            return;
        }
        if is_final(kind) {
            self.fail(kind);
        } else {
            self.retry(now_us);
        }
    }

    fn on_failed(&mut self, now_us: u64, attempt: AttemptId, kind: ErrorKind) {
        let Some(index) = self.index_in(attempt, State::is_out) else {
            return;
        };
        self.attempts[index].state = State::Ended;
        self.maybe_ran.get_or_insert(kind);
        self.ran_after_crash |= self.crashed;
        self.crashed |= kind == ErrorKind::UpstreamLost;
        if !self.spec.idempotent {
            self.fail(kind);
        } else if !self.overdue {
            self.retry(now_us);
        }
    }

    fn on_connection_lost(&mut self, now_us: u64, attempt: AttemptId) {
        if let Some(index) = self.index_in(attempt, |s| s == State::Cancelling { lost: false }) {
            self.attempts[index].state = State::Cancelling { lost: true };
            return;
        }
        let Some(index) = self.index_in(attempt, |s| s == State::Sent) else {
            return;
        };
        if self.spec.idempotent {
            self.on_failed(now_us, attempt, ErrorKind::OwnerLost);
            return;
        }
        if now_us < self.spec.deadline_us {
            self.attempts[index].state = State::Asked;
            self.actions.push(Action::QueryStatus(attempt));
        }
    }

    fn on_fate(&mut self, now_us: u64, attempt: AttemptId, fate: AttemptStatus) {
        let Some(index) = self.index_in(attempt, State::is_out) else {
            return;
        };
        let state = self.attempts[index].state;
        match fate {
            AttemptStatus::NotStarted => {
                self.on_refused(now_us, attempt, ErrorKind::UpstreamRefused)
            }
            AttemptStatus::Answered(answer) => self.deliver(attempt, answer),
            AttemptStatus::Failed(kind) => self.on_failed(now_us, attempt, kind),
            AttemptStatus::Forgotten => self.on_failed(now_us, attempt, ErrorKind::OwnerLost),
            AttemptStatus::Running if state == State::Asked => self.ask_later(now_us, index),
            AttemptStatus::Running if matches!(state, State::Cancelling { .. }) => {
                self.on_failed(now_us, attempt, ErrorKind::DeadlinePassed);
            }
            AttemptStatus::Running => {}
        }
    }

    fn on_fate_unavailable(&mut self, now_us: u64, attempt: AttemptId) {
        if let Some(index) = self.index_in(attempt, |s| s == State::Asked) {
            self.ask_later(now_us, index);
        }
    }

    fn ask_later(&mut self, now_us: u64, index: usize) {
        let due_us = now_us + backoff_us(FATE_BACKOFF_US, self.attempts[index].asks);
        self.attempts[index].asks += 1;
        self.attempts[index].state = State::AskLater(due_us);
    }

    // Retries and hedges.

    fn retry(&mut self, now_us: u64) {
        if self.has_open() || self.pending != Pending::None || now_us >= self.spec.deadline_us {
            return;
        }
        if !self.may_try_again() {
            self.fail(self.last_refusal);
            return;
        }
        self.pending = Pending::RetryBudget;
        self.actions.push(Action::CheckRetryBudget);
    }

    /// After a crash, and for a suspect, at most one more attempt runs: a poison request must not
    /// reach every upstream by retries.
    fn may_try_again(&self) -> bool {
        let may_have_run = self.maybe_ran.is_some();
        let moves = self.attempts.iter().filter(|a| a.is_move()).count();
        let uncounted = moves.min(usize::from(self.spec.moves));
        self.attempts.len() - uncounted < usize::from(self.spec.attempts)
            && !self.ran_after_crash
            && !(self.spec.suspected && may_have_run)
    }

    fn on_retry_allowed(&mut self, allowed: bool) {
        if self.pending != Pending::RetryBudget {
            return;
        }
        self.pending = Pending::None;
        if allowed {
            self.route();
            return;
        }
        // Owners without room are the reason then, whatever the budget.
        let kind = match self.last_refusal {
            kind @ (ErrorKind::Overloaded | ErrorKind::QueueFull) if self.spec.moves > 0 => kind,
            _ => ErrorKind::RetryBudgetSpent,
        };
        self.fail(kind);
    }

    fn on_hedge_allowed(&mut self, now_us: u64, allowed: bool) {
        if self.pending != Pending::HedgeBudget {
            return;
        }
        self.pending = Pending::None;
        if allowed && self.may_try_again() && !self.crashed {
            self.route();
        } else {
            self.retry(now_us);
        }
    }

    // Ends of the call.

    fn deliver(&mut self, attempt: AttemptId, answer: Arc<[u8]>) {
        self.cancel_out(Some(attempt));
        self.actions.push(Action::Deliver(attempt, answer));
        self.done = true;
    }

    /// Ends the call. A not-run kind is replaced if an attempt may have run.
    fn fail(&mut self, kind: ErrorKind) {
        self.cancel_out(None);
        let kind = match (kind.info().outcome, self.maybe_ran) {
            (Outcome::NotRun, Some(unknown)) => unknown,
            _ => kind,
        };
        self.actions.push(Action::Fail(kind));
        self.done = true;
    }

    /// Cancels a call without a caller. A keyed call runs on, so that the caller's retry finds
    /// its answer.
    fn on_caller_gone(&mut self) {
        if !self.spec.keyed {
            self.cancel_out(None);
        }
        self.done = true;
    }

    fn cancel_out(&mut self, except: Option<AttemptId>) {
        for index in 0..self.attempts.len() {
            let attempt = self.id(index);
            let state = self.attempts[index].state;
            let is_cancelled = matches!(state, State::Cancelling { .. });
            if state.is_out() && !is_cancelled && Some(attempt) != except {
                self.actions.push(Action::Cancel(attempt));
            }
        }
    }

    // Attempts.

    fn id(&self, index: usize) -> AttemptId {
        AttemptId {
            call: self.spec.call,
            attempt: u16::try_from(index).unwrap_or(u16::MAX),
        }
    }

    fn index_in(&self, attempt: AttemptId, is_wanted: impl Fn(State) -> bool) -> Option<usize> {
        let index = usize::from(attempt.attempt);
        let is_own = attempt.call == self.spec.call;
        let state = self.attempts.get(index).map(|a| a.state)?;
        (is_own && is_wanted(state)).then_some(index)
    }

    fn has_open(&self) -> bool {
        self.attempts.iter().any(|a| a.state.is_open())
    }
}

/// Doubles the delay with each question, up to `MAX_BACKOFF_US`.
fn backoff_us(base_us: u64, asks: u32) -> u64 {
    (base_us << asks.min(8)).min(MAX_BACKOFF_US)
}

/// Kinds that any other upstream would repeat.
fn is_final(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::MalformedRequest
            | ErrorKind::BadDeadline
            | ErrorKind::BodyTooLarge
            | ErrorKind::HeadTooLarge
            | ErrorKind::DeadlineExpired
            | ErrorKind::Cancelled
            | ErrorKind::CrashSuspect
            | ErrorKind::KeyReused
    )
}
