//! Executes the actions of one call's state machine.
//!
//! Events come from the caller's thread and from reader threads of the mesh. The thread that
//! delivers an event also executes the resulting actions and sends the response, which saves the
//! wake-up of another thread.

mod send;

use super::{Entry, call::Prepared, routes::ServiceRoutes};
use calls::{Action, CallSpec, ClaimReply, ClaimRound, EntryCall, Event, RoundResult};
use errors::ErrorKind;
use http::{CallerConnection, EarlyReply, Headers, Response};
use limits::CapacitySearch;
use model::{AttemptId, NodeId, Upstream};
use routing::UpstreamKey;
use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError, TryLockError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};
use wire::{CallRequest, HttpMessage, decode};

/// Time after the call's deadline for which a request to an owner still waits for its reply.
const REPLY_GRACE_US: u64 = 200_000;

/// Event that a call has to handle.
pub(crate) enum Notice {
    /// The call starts.
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

#[derive(Default)]
struct Inbox {
    notices: VecDeque<Notice>,
    result: Option<Result<Response, ErrorKind>>,
}

/// Runs one call from its start to its response.
pub(crate) struct Drive {
    pub(super) entry: Arc<Entry>,
    pub(super) call: Prepared,
    pub(super) routes: Arc<ServiceRoutes>,
    early: EarlyReply,
    state: Mutex<State>,
    inbox: Mutex<Inbox>,
    changed: Condvar,
    wake_us: AtomicU64,
}

pub(super) struct State {
    machine: EntryCall<UpstreamKey>,
    rounds: HashMap<u64, (AttemptId, ClaimRound)>,
    next_round: u64,
    pub(super) owners: HashMap<AttemptId, NodeId>,
    /// Attempts with a bounded queue wait. A retry was reserved for each, since the owner refuses
    /// it when the wait runs out.
    reserved: HashSet<AttemptId>,
    /// Reserved retries whose attempt was refused or failed; the next retry uses one of them.
    freed_retries: u32,
    /// Retries that cost no budget, since no upstream has seen the refused attempt.
    free_retries: u32,
    room: CapacitySearch,
    pub(super) is_hedge: bool,
    /// Upstream of the last choice and the longest queue wait that the choice allows there.
    pub(super) patience: Option<(UpstreamKey, u64)>,
    is_over: bool,
}

impl Drive {
    pub(crate) fn new(entry: &Arc<Entry>, call: Prepared, caller: &CallerConnection) -> Arc<Self> {
        let routes = entry.routes.of(&call.service);
        let hedge_after_us = hedge_delay_us(&call, &routes);
        let spec = CallSpec {
            call: call.call,
            idempotent: call.profile.idempotent,
            keyed: call.key.is_some(),
            suspected: call.suspected,
            deadline_us: call.deadline_us,
            attempts: call.profile.attempts,
            moves: entry.context.kernel.node_settings().moves,
            hedge_after_us,
        };
        routes.count_call(entry.context.kernel.clock.now_us());
        if hedge_after_us.is_some() {
            routes.with_budgets(&call.profile, |budgets| budgets.hedge.on_call());
        }
        Arc::new(Drive {
            entry: Arc::clone(entry),
            early: caller.early_reply(),
            wake_us: AtomicU64::new(call.deadline_us),
            call,
            routes,
            state: Mutex::new(State {
                machine: EntryCall::new(spec),
                rounds: HashMap::new(),
                next_round: 0,
                owners: HashMap::new(),
                reserved: HashSet::new(),
                freed_retries: 0,
                free_retries: 0,
                room: CapacitySearch::default(),
                is_hedge: false,
                patience: None,
                is_over: false,
            }),
            inbox: Mutex::default(),
            changed: Condvar::new(),
        })
    }

    /// Runs the call to its end in the caller's thread. The response may have been sent early, by
    /// the thread that delivered the answer.
    pub(crate) fn run(self: &Arc<Self>, caller: &CallerConnection) -> Result<Response, ErrorKind> {
        self.notify(Notice::Start);
        let drive = Arc::clone(self);
        caller.on_close(move || drive.notify(Notice::Machine(Event::CallerDisconnected)));
        loop {
            if let Some(result) = self.wait() {
                return result;
            }
            if self.now_us() >= self.wake_us() {
                self.notify(Notice::Timer);
            }
        }
    }

    /// Queues an event and handles it in this thread, unless another thread is handling events of
    /// this call, which then handles this one too.
    pub(crate) fn notify(self: &Arc<Self>, notice: Notice) {
        self.lock_inbox().notices.push_back(notice);
        loop {
            // The thread that holds the lock checks the inbox again after it releases the lock.
            let mut state = match self.state.try_lock() {
                Ok(state) => state,
                Err(TryLockError::Poisoned(poisoned)) => poisoned.into_inner(),
                Err(TryLockError::WouldBlock) => return,
            };
            while let Some(notice) = self.next_notice() {
                self.take(&mut state, notice);
            }
            drop(state);
            if self.lock_inbox().notices.is_empty() {
                return;
            }
        }
    }

    fn next_notice(&self) -> Option<Notice> {
        self.lock_inbox().notices.pop_front()
    }

    /// Waits for the result until the wake-up time, which may change during the wait.
    fn wait(&self) -> Option<Result<Response, ErrorKind>> {
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
            inbox = match self.changed.wait_timeout(inbox, pause) {
                Ok((inbox, _)) => inbox,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    fn take(self: &Arc<Self>, state: &mut State, notice: Notice) {
        match notice {
            Notice::Start => {
                let actions = state.machine.start(self.now_us());
                self.carry_out(state, actions);
            }
            Notice::Machine(event) => self.feed(state, event),
            Notice::KeeperReply {
                round,
                keeper,
                reply,
            } => {
                let now_us = self.now_us();
                let result = state
                    .rounds
                    .get_mut(&round)
                    .and_then(|(_, open)| open.on_reply(now_us, keeper, reply));
                if let Some(result) = result {
                    self.end_round(state, round, &result);
                }
            }
            Notice::Timer => self.tick(state),
        }
    }

    fn tick(self: &Arc<Self>, state: &mut State) {
        let now_us = self.now_us();
        let ended: Vec<(u64, RoundResult)> = state
            .rounds
            .iter_mut()
            .filter_map(|(round, (_, open))| Some((*round, open.tick(now_us)?)))
            .collect();
        for (round, result) in ended {
            self.end_round(state, round, &result);
        }
        self.feed(state, Event::Tick);
    }

    fn end_round(self: &Arc<Self>, state: &mut State, round: u64, result: &RoundResult) {
        let Some((attempt, _)) = state.rounds.remove(&round) else {
            return;
        };
        let event = match result {
            RoundResult::Granted => Event::Claimed(attempt),
            RoundResult::Held(holder) => Event::ClaimHeld(attempt, *holder),
            RoundResult::Reused => Event::ClaimFailed(attempt, ErrorKind::KeyReused),
            RoundResult::Unconfirmed => Event::ClaimFailed(attempt, ErrorKind::KeyUnconfirmed),
        };
        self.feed(state, event);
    }

    fn feed(self: &Arc<Self>, state: &mut State, event: Event<UpstreamKey>) {
        if let Event::Refused(attempt, ErrorKind::Overloaded | ErrorKind::QueueFull) = &event {
            let is_past_target = self.now_us() >= self.call.target_us;
            state.room.record_refusal(*attempt, is_past_target);
        }
        let moves_are_free = self.has_moves() && !state.room.is_exhausted();
        state.settle(&event, moves_are_free, || self.release_retry());
        let actions = state.machine.on_event(self.now_us(), event);
        self.carry_out(state, actions);
    }

    fn carry_out(self: &Arc<Self>, state: &mut State, actions: Vec<Action<UpstreamKey>>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            if let Some(event) = self.act(state, action) {
                queue.extend(state.machine.on_event(self.now_us(), event));
            }
        }
        // A call whose caller has disconnected ends without an answer.
        if state.machine.is_done() {
            self.end(state, Err(ErrorKind::Cancelled));
        }
    }

    /// Executes one action. Returns the resulting event if it is known at once.
    fn act(
        self: &Arc<Self>,
        state: &mut State,
        action: Action<UpstreamKey>,
    ) -> Option<Event<UpstreamKey>> {
        match action {
            Action::Route { exclude } => return Some(self.route(state, &exclude)),
            Action::Claim {
                attempt,
                upstream,
                never_started,
            } => {
                return self.claim(state, attempt, upstream, never_started);
            }
            Action::Send { attempt, upstream } => return self.send(state, attempt, upstream),
            Action::Cancel(attempt) => return self.ask(state, attempt, CallRequest::Cancel),
            Action::QueryStatus(attempt) => {
                return self.ask(state, attempt, CallRequest::QueryStatus);
            }
            Action::QueryHolder(holder) => self.ask_holder(holder),
            Action::CheckRetryBudget => return Some(Event::RetryAllowed(self.may_retry(state))),
            Action::CheckHedgeBudget => {
                state.is_hedge = self.may_hedge();
                return Some(Event::HedgeAllowed(state.is_hedge));
            }
            Action::WakeAt(at_us) => self.set_wake(at_us),
            Action::Deliver(_, answer) => {
                let now_us = self.now_us();
                self.routes
                    .with_budgets(&self.call.profile, |b| b.retry.on_success(now_us));
                self.end(state, response_of(&answer));
            }
            Action::Fail(kind) => self.end(state, Err(kind)),
        }
        None
    }

    fn may_retry(&self, state: &mut State) -> bool {
        if state.free_retries > 0 {
            state.free_retries -= 1;
            return true;
        }
        if state.freed_retries > 0 {
            state.freed_retries -= 1;
            return true;
        }
        if self.has_moves() && state.room.is_exhausted() {
            // No upstream has seen the call, so its retry budget is left to other calls.
            return false;
        }
        let now_us = self.now_us();
        let entries = self.entry.context.live_nodes();
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

    fn has_moves(&self) -> bool {
        self.entry.context.kernel.node_settings().moves > 0
    }

    fn may_hedge(&self) -> bool {
        self.routes
            .with_budgets(&self.call.profile, |budgets| budgets.hedge.try_hedge())
    }

    fn release_retry(&self) {
        self.routes
            .with_budgets(&self.call.profile, |budgets| budgets.retry.release());
    }

    /// Ends the call: sends the response, wakes the caller's thread and releases unused retries.
    fn end(&self, state: &mut State, result: Result<Response, ErrorKind>) {
        if std::mem::replace(&mut state.is_over, true) {
            return;
        }
        for _ in 0..state.reserved.len() as u32 + std::mem::take(&mut state.freed_retries) {
            self.release_retry();
        }
        state.reserved.clear();
        if let Ok(response) = &result {
            self.early.send(response);
        }
        self.lock_inbox().result = Some(result);
        self.changed.notify_one();
    }

    /// Sets the wake-up time; wakes the caller's thread if it would sleep past it.
    fn set_wake(&self, at_us: u64) {
        let before_us = self.wake_us.swap(at_us, Ordering::AcqRel);
        if at_us < before_us {
            let _inbox = self.lock_inbox();
            self.changed.notify_one();
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

impl State {
    /// Accounts for the reserved retry of an attempt that has ended: releases it, or keeps it for
    /// the next attempt.
    fn settle(&mut self, event: &Event<UpstreamKey>, moves_are_free: bool, release: impl FnOnce()) {
        match event {
            // A stopping owner is no sign of overload, so sending the call to another costs no
            // budget.
            Event::Refused(attempt, kind) if is_free(*kind, moves_are_free) => {
                if self.reserved.remove(attempt) {
                    release();
                }
                self.free_retries += 1;
            }
            Event::SendFailed(attempt) if moves_are_free => {
                if self.reserved.remove(attempt) {
                    release();
                }
                self.free_retries += 1;
            }
            Event::Refused(attempt, _) | Event::Failed(attempt, _)
                if self.reserved.remove(attempt) =>
            {
                self.freed_retries += 1;
            }
            Event::Answered(attempt, _) if self.reserved.remove(attempt) => release(),
            _ => (),
        }
    }
}

/// Whether another attempt after this refusal costs no retry, since no upstream has seen the call.
fn is_free(kind: ErrorKind, moves_are_free: bool) -> bool {
    match kind {
        ErrorKind::Stopping | ErrorKind::NoUpstream => true,
        ErrorKind::Overloaded | ErrorKind::QueueFull => moves_are_free,
        _ => false,
    }
}

fn hedge_delay_us(call: &Prepared, routes: &ServiceRoutes) -> Option<u64> {
    if !call.profile.hedge.enabled {
        return None;
    }
    routes
        .router()
        .latency_quantile_us(call.profile.hedge.quantile_percent)
}

fn response_of(answer: &[u8]) -> Result<Response, ErrorKind> {
    let message: HttpMessage = decode(answer).map_err(|_| ErrorKind::Internal)?;
    let status = message
        .start_line
        .0
        .parse()
        .map_err(|_| ErrorKind::Internal)?;
    let mut headers = Headers::new();
    for (name, value) in message.headers {
        headers.append(name, value);
    }
    Ok(Response {
        status,
        reason: message.start_line.1,
        headers,
        body: message.body,
    })
}
