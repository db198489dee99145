//! Executes the actions of one call's state machine.
//!
//! Events come from the caller's thread and from reader threads of the mesh. The thread that
//! delivers an event also executes the resulting actions and sends the response, which saves the
//! wake-up of another thread.

mod answer;
mod refusals;
pub(super) mod send;

use super::{Entry, call::PreparedCall, routes::ServiceRoutes};
use answer::decode_answer;
use calls::{Action, CallSpec, ClaimReply, ClaimRound, EntryCall, Event, RoundResult};
use errors::ErrorKind;
use http::{CallerConnection, EarlyReply, Response};
use limits::CapacitySearch;
use model::{AttemptId, NodeId, Upstream};
use refusals::LastRefusal;
use routing::UpstreamKey;
use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError, TryLockError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Instant,
};
use suspects::Verdict;
use wire::CallRequest;

/// Time after the call's deadline for which a request to an owner still waits for its reply.
const REPLY_GRACE_US: u64 = 200_000;

/// Event that a call has to handle.
pub(crate) enum CallEvent {
    Start,
    /// An event of the state machine.
    Machine(Event<UpstreamKey>),
    /// One keeper's reply in a claim round; `reply` is `None` if the request failed.
    KeeperReply {
        /// Number of the round within the call; an attempt may need several.
        round: u64,
        keeper: usize,
        reply: Option<ClaimReply>,
    },
    /// The wake-up time was reached.
    Timer,
}

/// Events that are not handled yet, and the result once the call has ended.
#[derive(Default)]
struct Inbox {
    events: VecDeque<CallEvent>,
    result: Option<Result<Response, ErrorKind>>,
}

/// Runs one call from its start to its response.
pub(crate) struct CallDriver {
    pub(super) entry: Arc<Entry>,
    pub(super) call: PreparedCall,
    pub(super) routes: Arc<ServiceRoutes>,
    early_reply: EarlyReply,
    state: Mutex<DriverState>,
    inbox: Mutex<Inbox>,
    wake_up: Condvar,
    wake_us: AtomicU64,
    /// Whether the answer is that of another call with the same idempotency key.
    has_stored_answer: AtomicBool,
    last_refusal: Mutex<LastRefusal>,
    has_found_upstream: AtomicBool,
}

/// State of one call, locked by the thread that handles its events.
pub(super) struct DriverState {
    machine: EntryCall<UpstreamKey>,
    claim_rounds: HashMap<u64, (AttemptId, ClaimRound)>,
    next_round: u64,
    /// Owner of each attempt that was sent.
    pub(super) owners: HashMap<AttemptId, NodeId>,
    /// Attempts with a bounded queue wait. A retry was reserved for each, since the owner refuses
    /// it when the wait runs out.
    reserved_retries: HashSet<AttemptId>,
    /// Reserved retries whose attempt was refused or failed; the next retry uses one of them.
    reusable_retries: u32,
    /// Retries that cost no budget, since no upstream has seen the refused attempt.
    free_retries: u32,
    capacity_search: CapacitySearch,
    pub(super) is_hedge: bool,
    /// Upstream of the last choice and the longest queue wait that the choice allows there.
    pub(super) max_queue_wait: Option<(UpstreamKey, u64)>,
    is_finished: bool,
}

impl CallDriver {
    pub(crate) fn new(
        entry: &Arc<Entry>,
        call: PreparedCall,
        caller: &CallerConnection,
    ) -> Arc<Self> {
        let routes = entry.routes.get_or_create(&call.service);
        let hedge_after_us = hedge_delay_us(&call, &routes);
        let spec = CallSpec {
            call: call.call,
            idempotent: call.profile.idempotent,
            keyed: call.key.is_some(),
            suspected: call.verdict != Verdict::Clear,
            deadline_us: call.deadline_us,
            attempts: call.profile.attempts,
            moves: entry.context.kernel.node_settings().moves,
            hedge_after_us,
        };
        routes.count_call(entry.context.kernel.clock.now_us());
        if hedge_after_us.is_some() {
            routes.with_budgets(&call.profile, |budgets| budgets.hedge.on_call());
        }
        Arc::new(CallDriver {
            entry: Arc::clone(entry),
            early_reply: caller.early_reply(),
            wake_us: AtomicU64::new(call.deadline_us),
            has_stored_answer: AtomicBool::new(false),
            last_refusal: Mutex::default(),
            has_found_upstream: AtomicBool::new(false),
            call,
            routes,
            state: Mutex::new(DriverState {
                machine: EntryCall::new(spec),
                claim_rounds: HashMap::new(),
                next_round: 0,
                owners: HashMap::new(),
                reserved_retries: HashSet::new(),
                reusable_retries: 0,
                free_retries: 0,
                capacity_search: CapacitySearch::default(),
                is_hedge: false,
                max_queue_wait: None,
                is_finished: false,
            }),
            inbox: Mutex::default(),
            wake_up: Condvar::new(),
        })
    }

    /// Runs the call to its end in the caller's thread. The response may have been sent early, by
    /// the thread that delivered the answer.
    pub(crate) fn run(self: &Arc<Self>, caller: &CallerConnection) -> Result<Response, ErrorKind> {
        self.dispatch(CallEvent::Start);
        let driver = Arc::clone(self);
        caller.on_close(move || driver.dispatch(CallEvent::Machine(Event::CallerDisconnected)));
        loop {
            if let Some(result) = self.wait_for_result() {
                return result;
            }
            if self.now_us() >= self.wake_us() {
                self.dispatch(CallEvent::Timer);
            }
        }
    }

    /// Whether the call was answered by the response to another call with its idempotency key.
    pub(crate) fn has_stored_answer(&self) -> bool {
        self.has_stored_answer.load(Ordering::Acquire)
    }

    /// Queues an event and handles it in this thread, unless another thread is handling events of
    /// this call, which then handles this one too.
    pub(crate) fn dispatch(self: &Arc<Self>, event: CallEvent) {
        self.lock_inbox().events.push_back(event);
        loop {
            // The thread that holds the lock checks the inbox again after it releases the lock.
            let mut state = match self.state.try_lock() {
                Ok(state) => state,
                Err(TryLockError::Poisoned(poisoned)) => poisoned.into_inner(),
                Err(TryLockError::WouldBlock) => return,
            };
            while let Some(event) = self.next_event() {
                self.handle_event(&mut state, event);
            }
            drop(state);
            if self.lock_inbox().events.is_empty() {
                return;
            }
        }
    }

    fn next_event(&self) -> Option<CallEvent> {
        self.lock_inbox().events.pop_front()
    }

    /// Waits for the result until the wake-up time, which may change during the wait.
    fn wait_for_result(&self) -> Option<Result<Response, ErrorKind>> {
        let mut inbox = self.lock_inbox();
        loop {
            if inbox.result.is_some() {
                return inbox.result.take();
            }
            let until = self.entry.context.kernel.clock.instant(self.wake_us());
            let pause = until.saturating_duration_since(Instant::now());
            if pause.is_zero() {
                return None;
            }
            inbox = match self.wake_up.wait_timeout(inbox, pause) {
                Ok((inbox, _)) => inbox,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    fn handle_event(self: &Arc<Self>, state: &mut DriverState, event: CallEvent) {
        match event {
            CallEvent::Start => {
                let actions = state.machine.start(self.now_us());
                self.execute_all(state, actions);
            }
            CallEvent::Machine(event) => self.advance_machine(state, event),
            CallEvent::KeeperReply {
                round,
                keeper,
                reply,
            } => {
                let now_us = self.now_us();
                let result = state
                    .claim_rounds
                    .get_mut(&round)
                    .and_then(|(_, claim_round)| claim_round.on_reply(now_us, keeper, reply));
                if let Some(result) = result {
                    self.finish_claim_round(state, round, &result);
                }
            }
            CallEvent::Timer => self.handle_timer(state),
        }
    }

    /// Ends claim rounds that have timed out and advances the state machine.
    fn handle_timer(self: &Arc<Self>, state: &mut DriverState) {
        let now_us = self.now_us();
        let finished: Vec<(u64, RoundResult)> = state
            .claim_rounds
            .iter_mut()
            .filter_map(|(round, (_, claim_round))| Some((*round, claim_round.tick(now_us)?)))
            .collect();
        for (round, result) in finished {
            self.finish_claim_round(state, round, &result);
        }
        self.advance_machine(state, Event::Tick);
    }

    fn finish_claim_round(
        self: &Arc<Self>,
        state: &mut DriverState,
        round: u64,
        result: &RoundResult,
    ) {
        let Some((attempt, _)) = state.claim_rounds.remove(&round) else {
            return;
        };
        let event = match result {
            RoundResult::Granted => Event::Claimed(attempt),
            RoundResult::Held(holder) => Event::ClaimHeld(attempt, *holder),
            RoundResult::Reused => Event::ClaimFailed(attempt, ErrorKind::KeyReused),
            RoundResult::Unconfirmed => Event::ClaimFailed(attempt, ErrorKind::KeyUnconfirmed),
        };
        self.advance_machine(state, event);
    }

    /// Passes an event to the state machine and executes the resulting actions.
    fn advance_machine(self: &Arc<Self>, state: &mut DriverState, event: Event<UpstreamKey>) {
        if let Event::Refused(attempt, ErrorKind::Overloaded | ErrorKind::QueueFull) = &event {
            let is_past_target = self.now_us() >= self.call.target_us;
            state
                .capacity_search
                .record_refusal(*attempt, is_past_target);
        }
        let moves_are_free = self.has_moves() && !state.capacity_search.is_exhausted();
        state.settle_retry(&event, moves_are_free, || self.release_retry());
        let actions = state.machine.on_event(self.now_us(), event);
        self.execute_all(state, actions);
    }

    /// Executes actions, including those that follow from their results.
    fn execute_all(self: &Arc<Self>, state: &mut DriverState, actions: Vec<Action<UpstreamKey>>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            if let Some(event) = self.execute(state, action) {
                queue.extend(state.machine.on_event(self.now_us(), event));
            }
        }
        // A call whose caller has disconnected ends without an answer.
        if state.machine.is_done() {
            self.finish(state, Err(ErrorKind::Cancelled));
        }
    }

    /// Executes one action. Returns the resulting event if it is known at once.
    fn execute(
        self: &Arc<Self>,
        state: &mut DriverState,
        action: Action<UpstreamKey>,
    ) -> Option<Event<UpstreamKey>> {
        match action {
            Action::Route { exclude } => return Some(self.choose_upstream(state, &exclude)),
            Action::Claim {
                attempt,
                upstream,
                never_started,
            } => {
                return self.claim_key(state, attempt, upstream, never_started);
            }
            Action::Send { attempt, upstream } => {
                return self.send_attempt(state, attempt, upstream);
            }
            Action::Cancel(attempt) => {
                return self.send_to_owner(state, attempt, CallRequest::Cancel);
            }
            Action::QueryStatus(attempt) => {
                return self.send_to_owner(state, attempt, CallRequest::QueryStatus);
            }
            Action::QueryHolder(holder) => self.query_holder(holder),
            Action::CheckRetryBudget => {
                return Some(Event::RetryAllowed(self.try_take_retry(state)));
            }
            Action::CheckHedgeBudget => {
                state.is_hedge = self.try_take_hedge();
                return Some(Event::HedgeAllowed(state.is_hedge));
            }
            Action::WakeAt(at_us) => self.set_wake_time(at_us),
            Action::Deliver(attempt, answer) => {
                let is_stored = attempt.call != self.call.call;
                self.has_stored_answer.store(is_stored, Ordering::Release);
                let now_us = self.now_us();
                self.routes
                    .with_budgets(&self.call.profile, |b| b.retry.on_success(now_us));
                self.finish(state, decode_answer(&answer));
            }
            Action::Fail(kind) => self.finish(state, Err(kind)),
        }
        None
    }

    /// Takes a retry: a free or reusable one if there is one, else from the retry budget. Returns
    /// whether the call may retry.
    fn try_take_retry(&self, state: &mut DriverState) -> bool {
        if state.free_retries > 0 {
            state.free_retries -= 1;
            return true;
        }
        if state.reusable_retries > 0 {
            state.reusable_retries -= 1;
            return true;
        }
        if self.has_moves() && state.capacity_search.is_exhausted() {
            // No upstream has seen the call, so its retry budget is left to other calls.
            return false;
        }
        let now_us = self.now_us();
        let entries = self.entry.context.budget_node_count();
        let allowed = match self.routes.try_shared_retry(now_us, entries) {
            Some(allowed) => allowed,
            None => self
                .routes
                .with_budgets(&self.call.profile, |b| b.retry.try_retry(now_us)),
        };
        if !allowed {
            log::warn!(
                "entry: call {} is not retried; the retry budget of {} is spent.",
                self.call.call,
                self.call.service
            );
        }
        allowed
    }

    /// Whether the settings allow moves, which send a call to another owner after one refused it.
    fn has_moves(&self) -> bool {
        self.entry.context.kernel.node_settings().moves > 0
    }

    fn try_take_hedge(&self) -> bool {
        self.routes
            .with_budgets(&self.call.profile, |budgets| budgets.hedge.try_hedge())
    }

    fn release_retry(&self) {
        self.routes
            .with_budgets(&self.call.profile, |budgets| budgets.retry.release());
    }

    /// Ends the call: sends the response, wakes the caller's thread and releases unused retries.
    fn finish(&self, state: &mut DriverState, result: Result<Response, ErrorKind>) {
        if std::mem::replace(&mut state.is_finished, true) {
            return;
        }
        for _ in
            0..state.reserved_retries.len() as u32 + std::mem::take(&mut state.reusable_retries)
        {
            self.release_retry();
        }
        state.reserved_retries.clear();
        if let Ok(response) = &result {
            self.early_reply.send(response);
        }
        self.lock_inbox().result = Some(result);
        self.wake_up.notify_one();
    }

    /// Sets the wake-up time; wakes the caller's thread if it would sleep past it.
    fn set_wake_time(&self, at_us: u64) {
        let before_us = self.wake_us.swap(at_us, Ordering::AcqRel);
        if at_us < before_us {
            let _inbox = self.lock_inbox();
            self.wake_up.notify_one();
        }
    }

    fn upstream(&self, key: UpstreamKey) -> Option<Upstream> {
        self.routes.router().upstream(key).cloned()
    }

    fn wake_us(&self) -> u64 {
        self.wake_us.load(Ordering::Acquire)
    }

    pub(super) fn now_us(&self) -> u64 {
        self.entry.context.kernel.clock.now_us()
    }

    fn lock_inbox(&self) -> MutexGuard<'_, Inbox> {
        self.inbox.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DriverState {
    /// Accounts for the reserved retry of an attempt that has ended: releases it, or keeps it for
    /// the next attempt.
    fn settle_retry(
        &mut self,
        event: &Event<UpstreamKey>,
        moves_are_free: bool,
        release: impl FnOnce(),
    ) {
        match event {
            // A stopping owner is no sign of overload, so sending the call to another costs no
            // budget.
            Event::Refused(attempt, kind) if is_free_move(*kind, moves_are_free) => {
                if self.reserved_retries.remove(attempt) {
                    release();
                }
                self.free_retries += 1;
            }
            Event::SendFailed(attempt) if moves_are_free => {
                if self.reserved_retries.remove(attempt) {
                    release();
                }
                self.free_retries += 1;
            }
            Event::Refused(attempt, _) | Event::Failed(attempt, _)
                if self.reserved_retries.remove(attempt) =>
            {
                self.reusable_retries += 1;
            }
            Event::Answered(attempt, _) if self.reserved_retries.remove(attempt) => release(),
            _ => (),
        }
    }
}

/// Whether another attempt after this refusal costs no retry, since no upstream has seen the call.
fn is_free_move(kind: ErrorKind, moves_are_free: bool) -> bool {
    match kind {
        ErrorKind::Stopping | ErrorKind::NoUpstream => true,
        ErrorKind::Overloaded | ErrorKind::QueueFull => moves_are_free,
        _ => false,
    }
}

fn hedge_delay_us(call: &PreparedCall, routes: &ServiceRoutes) -> Option<u64> {
    if !call.profile.hedge.enabled {
        return None;
    }
    routes
        .router()
        .latency_quantile_us(call.profile.hedge.quantile_percent)
}
