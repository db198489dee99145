//! The entry's state machine of one call: its attempts, retries and hedges, queries of attempt
//! statuses, and the claim of its idempotency key.

mod keyed;
mod timers;

use crate::{AttemptStatus, Holder, MAX_KEYED_CALL_MS};
use errors::{ErrorKind, Outcome};
use model::{AttemptId, CallId};
use std::sync::Arc;

/// How long after the deadline the entry waits for the owner's reply to its cancel request: a few
/// round trips between availability zones, and short compared to any useful deadline.
pub const DEADLINE_GRACE_US: u64 = 100_000;

/// First delay before the status of an attempt is queried again.
const QUERY_BACKOFF_US: u64 = 20_000;

/// Longest delay between two queries: short compared to the silence limit of a connection (750 ms).
const MAX_BACKOFF_US: u64 = 320_000;

/// First delay before the status of a key's holder is queried: a few round trips between
/// availability zones.
const HOLDER_DELAY_US: u64 = 10_000;

/// Range of the jitter that is added to `HOLDER_DELAY_US`.
const HOLDER_JITTER_US: u64 = 10_000;

/// Odd factor near 2^64 divided by the golden ratio; it spreads the jitter of consecutive calls.
const JITTER_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

/// Maximum number of attempts listed in a claim: own attempts (at most 10) and holders of the key
/// that never started.
const MAX_NEVER_STARTED: usize = 24;

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

/// What the entry knows of one of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
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
    fn is_sent(self) -> bool {
        matches!(
            self,
            State::Sent | State::Queried | State::QueryDueAt(_) | State::Cancelling { .. }
        )
    }

    /// Whether the attempt may still lead to an answer.
    fn is_open(self) -> bool {
        !matches!(self, State::NotRun | State::Lost | State::Ended)
    }

    /// Time at which the state changes without an event, if any.
    fn due_us(self) -> Option<u64> {
        match self {
            State::HolderWait { due_us, .. } | State::QueryDueAt(due_us) => Some(due_us),
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
    /// Number of status queries about it or about holders of its key, for the backoff.
    queries: u32,
}

impl<U> Attempt<U> {
    /// Whether it counts as a move: no upstream has received the call.
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
            Event::ClaimHeld(attempt, holder) => self.on_held(now_us, attempt, holder),
            Event::ClaimFailed(attempt, kind) => self.on_claim_failed(attempt, kind),
            Event::SendFailed(attempt) => {
                // No upstream has received the call, so it counts as a move if moves are allowed.
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

    // Routing and sending.

    fn route(&mut self) {
        self.pending = Pending::Route;
        let mut exclude: Vec<U> = Vec::new();
        for attempt in &self.attempts {
            // An owner without capacity may have some by now; the choice decides by the load signal
            // that came with its refusal.
            let may_be_chosen_again = self.spec.moves > 0
                && matches!(
                    attempt.refusal,
                    Some(ErrorKind::Overloaded | ErrorKind::QueueFull)
                );
            if !may_be_chosen_again && !exclude.contains(&attempt.upstream) {
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
            queries: 0,
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
            self.query_lost_or_fail(kind);
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

    // Results of attempts.

    fn on_answered(&mut self, attempt: AttemptId, answer: Arc<[u8]>) {
        // An idempotent call also accepts the answer of an attempt whose connection was lost.
        if self
            .index_in(attempt, |s| {
                s.is_sent() || matches!(s, State::Lost | State::Ended)
            })
            .is_some()
        {
            self.deliver(attempt, answer);
        }
    }

    /// Handles the end of an attempt without an answer. The outcome of the error kind tells whether
    /// the attempt may have run.
    fn on_ended(&mut self, now_us: u64, attempt: AttemptId, kind: ErrorKind) {
        match kind.info().outcome {
            Outcome::NotRun => self.on_refused(now_us, attempt, kind),
            Outcome::Unknown => self.on_failed(now_us, attempt, kind),
        }
    }

    fn on_refused(&mut self, now_us: u64, attempt: AttemptId, kind: ErrorKind) {
        let Some(index) = self.index_in(attempt, State::is_sent) else {
            return;
        };
        self.attempts[index].state = State::NotRun;
        self.attempts[index].refusal = Some(kind);
        self.never_started.push(attempt);
        self.last_refusal = kind;
        if self.has_open() || self.is_past_deadline {
            return;
        }
        if is_final(kind) {
            self.query_lost_or_fail(kind);
        } else {
            self.retry(now_us);
        }
    }

    fn on_failed(&mut self, now_us: u64, attempt: AttemptId, kind: ErrorKind) {
        let Some(index) = self.index_in(attempt, State::is_sent) else {
            return;
        };
        self.attempts[index].state = State::Ended;
        self.record_failure(kind);
        if !self.spec.idempotent {
            self.fail(kind);
        } else if !self.is_past_deadline {
            self.retry(now_us);
        }
    }

    /// Records that an attempt may have run and has no answer so far.
    fn record_failure(&mut self, kind: ErrorKind) {
        self.failure_after_start.get_or_insert(kind);
        self.has_failed_after_crash |= self.has_crashed;
        self.has_crashed |= kind == ErrorKind::UpstreamLost;
    }

    fn on_connection_lost(&mut self, now_us: u64, attempt: AttemptId) {
        if let Some(index) = self.index_in(attempt, |s| {
            s == State::Cancelling {
                disconnected: false,
            }
        }) {
            self.attempts[index].state = State::Cancelling { disconnected: true };
            return;
        }
        let Some(index) = self.index_in(attempt, |s| s == State::Sent) else {
            return;
        };
        if self.spec.idempotent {
            self.attempts[index].state = State::Lost;
            self.record_failure(ErrorKind::OwnerLost);
            if !self.is_past_deadline {
                self.retry(now_us);
            }
            return;
        }
        if now_us < self.spec.deadline_us {
            self.attempts[index].state = State::Queried;
            self.actions.push(Action::QueryStatus(attempt));
        }
    }

    fn on_status(&mut self, now_us: u64, attempt: AttemptId, status: AttemptStatus) {
        let Some(index) = self.index_in(attempt, State::is_sent) else {
            return;
        };
        let state = self.attempts[index].state;
        match status {
            AttemptStatus::NotStarted => {
                self.on_refused(now_us, attempt, ErrorKind::UpstreamRefused);
            }
            AttemptStatus::Answered(answer) => self.deliver(attempt, answer),
            AttemptStatus::Failed(kind) => self.on_failed(now_us, attempt, kind),
            AttemptStatus::Forgotten => self.on_failed(now_us, attempt, ErrorKind::OwnerLost),
            AttemptStatus::Running if state == State::Queried => self.schedule_query(now_us, index),
            AttemptStatus::Running if matches!(state, State::Cancelling { .. }) => {
                self.on_failed(now_us, attempt, ErrorKind::DeadlinePassed);
            }
            AttemptStatus::Running => {}
        }
    }

    fn on_status_unavailable(&mut self, now_us: u64, attempt: AttemptId) {
        let Some(index) = self.index_in(attempt, |s| s == State::Queried) else {
            return;
        };
        // The caller of an idempotent call may send it again, so it isn't held until its deadline
        // for an owner that can't be reached.
        if self.spec.idempotent {
            self.on_failed(now_us, attempt, ErrorKind::OwnerLost);
        } else {
            self.schedule_query(now_us, index);
        }
    }

    /// Repeats the status query after the backoff.
    fn schedule_query(&mut self, now_us: u64, index: usize) {
        let due_us = now_us + backoff_us(QUERY_BACKOFF_US, self.attempts[index].queries);
        self.attempts[index].queries += 1;
        self.attempts[index].state = State::QueryDueAt(due_us);
    }

    // Retries and hedges.

    fn retry(&mut self, now_us: u64) {
        if self.has_open() || self.pending != Pending::None || now_us >= self.spec.deadline_us {
            return;
        }
        if !self.may_send_another() {
            self.query_lost_or_fail(self.last_refusal);
            return;
        }
        self.pending = Pending::RetryBudget;
        self.actions.push(Action::CheckRetryBudget);
    }

    /// Whether another attempt may be sent. After a crash at most one more attempt runs, and a
    /// suspected request runs only once: a request that crashes upstreams must not reach all of
    /// them by retries.
    fn may_send_another(&self) -> bool {
        let may_have_run = self.failure_after_start.is_some();
        let moves = self.attempts.iter().filter(|a| a.is_move()).count();
        let free_moves = moves.min(usize::from(self.spec.moves));
        self.attempts.len() - free_moves < usize::from(self.spec.attempts)
            && !self.has_failed_after_crash
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
        // The cause is then the lack of capacity; with RetryBudgetSpent the operator would raise
        // the wrong setting.
        let kind = match self.last_refusal {
            kind @ (ErrorKind::Overloaded | ErrorKind::QueueFull) if self.spec.moves > 0 => kind,
            _ => ErrorKind::RetryBudgetSpent,
        };
        self.query_lost_or_fail(kind);
    }

    /// Queries the attempts whose connections were lost, since they may still run and no other may
    /// be sent; fails the call if there are none.
    fn query_lost_or_fail(&mut self, kind: ErrorKind) {
        let mut is_queried = false;
        for index in 0..self.attempts.len() {
            if self.attempts[index].state == State::Lost {
                self.attempts[index].state = State::Queried;
                self.actions.push(Action::QueryStatus(self.id(index)));
                is_queried = true;
            }
        }
        if !is_queried {
            self.fail(kind);
        }
    }

    fn on_hedge_allowed(&mut self, now_us: u64, allowed: bool) {
        if self.pending != Pending::HedgeBudget {
            return;
        }
        self.pending = Pending::None;
        if allowed && self.may_send_another() && !self.has_crashed {
            self.route();
        } else {
            self.retry(now_us);
        }
    }

    // The end of the call.

    /// Ends the call with an answer.
    fn deliver(&mut self, attempt: AttemptId, answer: Arc<[u8]>) {
        self.cancel_sent(Some(attempt));
        self.actions.push(Action::Deliver(attempt, answer));
        self.is_done = true;
    }

    /// Ends the call with an error. If an attempt may have run, a kind with the outcome not-run is
    /// replaced by the kind of that attempt.
    fn fail(&mut self, kind: ErrorKind) {
        self.cancel_sent(None);
        let kind = match (kind.info().outcome, self.failure_after_start) {
            (Outcome::NotRun, Some(failure)) => failure,
            _ => kind,
        };
        self.actions.push(Action::Fail(kind));
        self.is_done = true;
    }

    /// Cancels a call whose caller has disconnected. A keyed call runs on, so that the caller's
    /// retry gets its answer.
    fn on_caller_disconnected(&mut self) {
        if !self.spec.keyed {
            self.cancel_sent(None);
        }
        self.is_done = true;
    }

    /// Cancels all attempts that may be running, except one.
    fn cancel_sent(&mut self, except: Option<AttemptId>) {
        for index in 0..self.attempts.len() {
            let attempt = self.id(index);
            let state = self.attempts[index].state;
            let is_cancelled = matches!(state, State::Cancelling { .. });
            if state.is_sent() && !is_cancelled && Some(attempt) != except {
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

    /// Index of one of the call's attempts, if its state is a wanted one.
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

/// Doubles the delay with each query, up to `MAX_BACKOFF_US`.
fn backoff_us(base_us: u64, queries: u32) -> u64 {
    (base_us << queries.min(8)).min(MAX_BACKOFF_US)
}

/// Whether every other owner would refuse the call for the same reason, so that a retry is useless.
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
            | ErrorKind::CrashHold
            | ErrorKind::KeyReused
    )
}
