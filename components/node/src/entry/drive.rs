//! Carries out the actions of one call's state machine.

use super::{Entry, call::Prepared, keys::start_claim, routes::ServiceRoutes};
use calls::{
    Action, CallSpec, ClaimReply, ClaimRound, EntryCall, Event, Fate, Holder, RoundResult,
};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use errors::ErrorKind;
use http::{CallerWatch, Headers, Response};
use kernel::KindLabels;
use mesh::{Channel, RequestError};
use model::{AttemptId, NodeId, Upstream};
use routing::{Choice, Finish, RouteRequest, UpstreamKey};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};
use wire::{CallReply, CallRequest, FateRequest, RunCall, RunResult, WireMessage, decode, encode};

/// How often a waiting call looks whether its caller is still there.
const CALLER_CHECK: Duration = Duration::from_millis(50);
/// Time after the deadline that a request to an owner stays open, so that its reply can arrive.
const REPLY_GRACE_US: u64 = 200_000;
/// Longest wait for the reply to a fate request.
const FATE_TIMEOUT_US: u64 = 1_000_000;
/// Lowest status that counts as a failure of the upstream.
const FIRST_FAILURE_STATUS: u16 = 500;

/// What reaches a waiting call from other threads.
pub(crate) enum Notice {
    /// An event for the state machine.
    Event(Event<UpstreamKey>),
    /// The reply of one keeper to a claim round.
    Keeper {
        attempt: AttemptId,
        keeper: usize,
        reply: Option<ClaimReply>,
    },
}

/// One call while it is driven.
struct Drive<'a> {
    entry: &'a Entry,
    call: &'a Prepared,
    routes: Arc<ServiceRoutes>,
    machine: EntryCall<UpstreamKey>,
    rounds: HashMap<AttemptId, ClaimRound>,
    owners: HashMap<AttemptId, NodeId>,
    notices: Sender<Notice>,
    wake_us: u64,
    result: Option<Result<Response, ErrorKind>>,
}

impl Entry {
    /// Runs a call to its end.
    pub(crate) fn drive(
        &self,
        call: &Prepared,
        watch: &CallerWatch<'_>,
    ) -> Result<Response, ErrorKind> {
        let (sender, receiver) = unbounded();
        let routes = self.routes.of(&call.service);
        let hedge_after_us = hedge_delay_us(call, &routes);
        let spec = CallSpec {
            call: call.call,
            idempotent: call.profile.idempotent,
            keyed: call.key.is_some(),
            suspected: call.suspected,
            deadline_us: call.deadline_us,
            attempts: call.profile.attempts,
            hedge_after_us,
        };
        if hedge_after_us.is_some() {
            routes.with_budgets(&call.profile, |budgets| budgets.hedge.on_call());
        }
        let mut drive = Drive {
            entry: self,
            call,
            routes,
            machine: EntryCall::new(spec),
            rounds: HashMap::new(),
            owners: HashMap::new(),
            notices: sender,
            wake_us: call.deadline_us,
            result: None,
        };
        drive.run(&receiver, watch)
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

impl Drive<'_> {
    fn run(
        &mut self,
        notices: &Receiver<Notice>,
        watch: &CallerWatch<'_>,
    ) -> Result<Response, ErrorKind> {
        let actions = self.machine.start(self.now_us());
        self.carry_out(actions);
        let mut is_gone = false;
        loop {
            if let Some(result) = self.result.take() {
                return result;
            }
            let until = self.entry.context.kernel.clock.instant(self.wake_us);
            let pause = until.min(Instant::now() + CALLER_CHECK);
            match notices.recv_deadline(pause) {
                Ok(notice) => self.take(notice),
                Err(RecvTimeoutError::Timeout) if self.now_us() >= self.wake_us => self.tick(),
                Err(RecvTimeoutError::Timeout) if !is_gone && watch.is_gone() => {
                    is_gone = true;
                    self.feed(Event::CallerGone);
                }
                Err(_) => (),
            }
        }
    }

    fn take(&mut self, notice: Notice) {
        match notice {
            Notice::Event(event) => self.feed(event),
            Notice::Keeper {
                attempt,
                keeper,
                reply,
            } => {
                let now_us = self.now_us();
                let result = self
                    .rounds
                    .get_mut(&attempt)
                    .and_then(|r| r.on_reply(now_us, keeper, reply));
                if let Some(result) = result {
                    self.end_round(attempt, &result);
                }
            }
        }
    }

    fn tick(&mut self) {
        let now_us = self.now_us();
        let ended: Vec<(AttemptId, RoundResult)> = self
            .rounds
            .iter_mut()
            .filter_map(|(attempt, round)| Some((*attempt, round.tick(now_us)?)))
            .collect();
        for (attempt, result) in ended {
            self.end_round(attempt, &result);
        }
        self.feed(Event::Tick);
    }

    fn end_round(&mut self, attempt: AttemptId, result: &RoundResult) {
        let event = match result {
            RoundResult::Granted => Event::Claimed(attempt),
            RoundResult::Held(holder) => Event::ClaimHeld(attempt, *holder),
            RoundResult::Reused => Event::ClaimFailed(attempt, ErrorKind::KeyReused),
            RoundResult::Unconfirmed => Event::ClaimFailed(attempt, ErrorKind::KeyUnconfirmed),
        };
        self.rounds.remove(&attempt);
        self.feed(event);
    }

    fn feed(&mut self, event: Event<UpstreamKey>) {
        let actions = self.machine.on_event(self.now_us(), event);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action<UpstreamKey>>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            let reply = self.act(action);
            if let Some(event) = reply {
                let now_us = self.now_us();
                queue.extend(self.machine.on_event(now_us, event));
            }
        }
    }

    /// Carries out one action; the event is the reply of actions that are answered at once.
    fn act(&mut self, action: Action<UpstreamKey>) -> Option<Event<UpstreamKey>> {
        match action {
            Action::Route { exclude } => Some(self.route(&exclude)),
            Action::Claim {
                attempt,
                upstream,
                over,
            } => self.claim(attempt, upstream, over),
            Action::Send { attempt, upstream } => self.send(attempt, upstream),
            Action::Cancel(attempt) => self.ask(attempt, CallRequest::Cancel),
            Action::AskFate(attempt) => self.ask(attempt, CallRequest::Fate),
            Action::AskHolder(holder) => {
                self.ask_holder(holder);
                None
            }
            Action::AskRetryBudget => Some(Event::RetryAllowed(self.may_retry())),
            Action::AskHedgeBudget => Some(Event::HedgeAllowed(self.may_hedge())),
            Action::WakeAt(at_us) => {
                self.wake_us = at_us;
                None
            }
            Action::Deliver(_, answer) => {
                self.deliver(&answer);
                None
            }
            Action::Fail(kind) => {
                self.result = Some(Err(kind));
                None
            }
        }
    }

    fn route(&mut self, exclude: &[UpstreamKey]) -> Event<UpstreamKey> {
        let kernel = &self.entry.context.kernel;
        let request = RouteRequest {
            zone: &kernel.node_settings().availability_zone,
            exclude,
            measure: self.call.profile.measure,
            zone_preference: self.call.profile.zone_preference,
            idempotent: self.call.profile.idempotent,
        };
        let now_us = kernel.clock.now_us();
        let mut router = self.routes.router();
        let choice = match router.choose(now_us, &request) {
            Ok(choice) => choice,
            Err(kind) => {
                log::info!("entry: call {} has no route, {kind}.", self.call.call);
                return Event::NoRoute(kind);
            }
        };
        if self.is_logged(exclude) {
            log_decision(self.call, &router, &choice, exclude.len());
        }
        let due = router.probe_due(now_us);
        let targets: Vec<(UpstreamKey, NodeId)> = due
            .iter()
            .filter_map(|key| Some((*key, router.upstream(*key)?.node)))
            .collect();
        drop(router);
        for (key, node) in targets {
            self.probe(key, node);
        }
        Event::Routed(choice.upstream)
    }

    /// Retries are always logged, first attempts as often as the settings say.
    fn is_logged(&self, exclude: &[UpstreamKey]) -> bool {
        let percent = u64::from(
            self.entry
                .context
                .kernel
                .node_settings()
                .decision_log_percent,
        );
        !exclude.is_empty() || self.call.call.sequence % 100 < percent
    }

    fn probe(&self, key: UpstreamKey, node: NodeId) {
        let context = &self.entry.context;
        let (routes, clock) = (Arc::clone(&self.routes), context.kernel.clock);
        let was_sent = context.probes.ask(
            node.mesh,
            Box::new(move |reply| match reply {
                Some((signal, round_trip_us)) => {
                    routes
                        .router()
                        .probe_reply(clock.now_us(), key, signal, round_trip_us);
                }
                None => routes.router().probe_lost(clock.now_us(), key),
            }),
        );
        if !was_sent {
            self.routes.router().probe_lost(self.now_us(), key);
        }
    }

    fn claim(
        &mut self,
        attempt: AttemptId,
        upstream: UpstreamKey,
        over: Vec<AttemptId>,
    ) -> Option<Event<UpstreamKey>> {
        let Some(target) = self.upstream(upstream) else {
            return Some(Event::SendFailed(attempt));
        };
        let Some(key) = self.call.key else {
            return Some(Event::ClaimFailed(attempt, ErrorKind::Internal));
        };
        let claim = calls::Claim {
            key,
            fingerprint: self.call.fingerprint,
            attempt,
            owner: target.node,
            over,
        };
        let round = start_claim(&self.entry.context, &claim, &self.notices);
        self.wake_us = self.wake_us.min(round.ends_us());
        self.rounds.insert(attempt, round);
        None
    }

    fn send(&mut self, attempt: AttemptId, key: UpstreamKey) -> Option<Event<UpstreamKey>> {
        let Some(upstream) = self.upstream(key) else {
            return Some(Event::SendFailed(attempt));
        };
        let kernel = &self.entry.context.kernel;
        let now_us = kernel.clock.now_us();
        if attempt.attempt > 0 {
            kernel
                .metrics
                .extra_attempts
                .get_or_create(&KindLabels { kind: "attempt" })
                .inc();
        }
        self.owners.insert(attempt, upstream.node);
        let profile = &self.call.profile;
        let message = CallRequest::Run(RunCall {
            attempt,
            owner: upstream.node,
            generation: self.entry.context.generations.current(upstream.node),
            upstream: upstream.name,
            keyed: self.call.key.is_some(),
            idempotent: profile.idempotent,
            priority: profile.priority,
            queue_limit: profile.queue_limit,
            remaining_us: self.call.deadline_us.saturating_sub(now_us),
            fingerprint: self.call.fingerprint,
            request: self.call.request.clone(),
        });
        self.routes.router().sent(now_us, key);
        let reply = RunReply {
            attempt,
            key,
            owner: upstream.node,
            sent_us: now_us,
            deadline_us: self.call.deadline_us,
            routes: Arc::clone(&self.routes),
            notices: self.notices.clone(),
            context: Arc::clone(&self.entry.context),
        };
        kernel.mesh.request(
            upstream.node.mesh,
            Channel::Call,
            encode(&message),
            kernel.clock.instant(self.call.deadline_us + REPLY_GRACE_US),
            move |outcome| reply.take(outcome),
        );
        None
    }

    fn ask(
        &self,
        attempt: AttemptId,
        request: impl Fn(FateRequest) -> CallRequest,
    ) -> Option<Event<UpstreamKey>> {
        let Some(owner) = self.owners.get(&attempt) else {
            return Some(Event::FateUnavailable(attempt));
        };
        let generation = Some(self.entry.context.generations.current(*owner));
        let request = request(self.fate_request(attempt, *owner, generation));
        self.ask_owner(*owner, &request, move |fate| match fate {
            Some(fate) => Event::Fate(attempt, fate),
            None => Event::FateUnavailable(attempt),
        });
        None
    }

    fn ask_holder(&self, holder: Holder) {
        let request = CallRequest::Fate(self.fate_request(holder.attempt, holder.owner, None));
        self.ask_owner(holder.owner, &request, move |fate| match fate {
            Some(fate) => Event::HolderFate(holder.attempt, fate),
            None => Event::HolderUnavailable(holder.attempt),
        });
    }

    fn fate_request(
        &self,
        attempt: AttemptId,
        owner: NodeId,
        generation: Option<u64>,
    ) -> FateRequest {
        FateRequest {
            attempt,
            owner,
            generation,
            remaining_us: self.call.deadline_us.saturating_sub(self.now_us()),
            keyed: self.call.key.is_some(),
        }
    }

    fn ask_owner(
        &self,
        owner: NodeId,
        request: &CallRequest,
        event: impl FnOnce(Option<Fate>) -> Event<UpstreamKey> + Send + 'static,
    ) {
        let kernel = &self.entry.context.kernel;
        let notices = self.notices.clone();
        kernel.mesh.request(
            owner.mesh,
            Channel::Call,
            encode(request),
            kernel
                .clock
                .instant(kernel.clock.now_us() + FATE_TIMEOUT_US),
            move |outcome| {
                let fate = match outcome.map(decode::<CallReply>) {
                    Ok(Ok(CallReply::Fate(fate))) => Some(fate),
                    _ => None,
                };
                // The call may have ended in the meantime.
                let _ = notices.send(Notice::Event(event(fate)));
            },
        );
    }

    fn may_retry(&self) -> bool {
        let now_us = self.now_us();
        let allowed = self
            .routes
            .with_budgets(&self.call.profile, |b| b.retry.try_retry(now_us));
        if !allowed {
            log::warn!(
                "entry: call {} is not retried; the retry budget of {} is spent.",
                self.call.call,
                self.call.service
            );
        }
        allowed
    }

    fn may_hedge(&self) -> bool {
        self.routes
            .with_budgets(&self.call.profile, |budgets| budgets.hedge.try_hedge())
    }

    fn deliver(&mut self, answer: &[u8]) {
        let now_us = self.now_us();
        self.routes
            .with_budgets(&self.call.profile, |b| b.retry.on_success(now_us));
        self.result = Some(response_of(answer));
    }

    fn upstream(&self, key: UpstreamKey) -> Option<Upstream> {
        self.routes.router().upstream(key).cloned()
    }

    fn now_us(&self) -> u64 {
        self.entry.context.kernel.clock.now_us()
    }
}

/// What is needed when the owner's reply to a `Run` arrives, also after the call has ended.
struct RunReply {
    attempt: AttemptId,
    key: UpstreamKey,
    owner: NodeId,
    sent_us: u64,
    deadline_us: u64,
    routes: Arc<ServiceRoutes>,
    notices: Sender<Notice>,
    context: Arc<crate::context::NodeContext>,
}

impl RunReply {
    fn take(self, outcome: Result<Vec<u8>, RequestError>) {
        let now_us = self.context.kernel.clock.now_us();
        let latency_us = now_us - self.sent_us;
        let (finish, signal, event) = match outcome {
            Err(RequestError::NotSent) => (Finish::Failed, None, Event::SendFailed(self.attempt)),
            Err(RequestError::Lost) => {
                self.context.generations.advance(self.owner);
                let finish = if now_us >= self.deadline_us {
                    Finish::TimedOut
                } else {
                    Finish::Failed
                };
                (finish, None, Event::ConnectionLost(self.attempt))
            }
            Ok(bytes) => match decode(bytes) {
                Ok(CallReply::Ran { signal, result }) => {
                    let (finish, event) = self.ended(result, now_us);
                    (finish, Some(signal), event)
                }
                _ => (Finish::Failed, None, Event::ConnectionLost(self.attempt)),
            },
        };
        self.routes
            .router()
            .finished(now_us, self.key, finish, latency_us, signal);
        // The call may have ended in the meantime.
        let _ = self.notices.send(Notice::Event(event));
    }

    fn ended(&self, result: RunResult, now_us: u64) -> (Finish, Event<UpstreamKey>) {
        let attempt = self.attempt;
        match result {
            RunResult::Answer(bytes) => (finish_of(&bytes), Event::Answered(attempt, bytes)),
            RunResult::Refused(ErrorKind::Cancelled) => (
                Finish::Cancelled,
                Event::Refused(attempt, ErrorKind::Cancelled),
            ),
            RunResult::Refused(kind) => (Finish::Refused, Event::Refused(attempt, kind)),
            RunResult::Failed(kind) => {
                let finish = if now_us >= self.deadline_us {
                    Finish::TimedOut
                } else {
                    Finish::Failed
                };
                (finish, Event::Failed(attempt, kind))
            }
            RunResult::Known(fate) => (Finish::Cancelled, Event::Fate(attempt, fate)),
        }
    }
}

/// A response with a failure status must not make its upstream look good.
fn finish_of(answer: &[u8]) -> Finish {
    match status_of(answer) {
        Some(status) if status < FIRST_FAILURE_STATUS => Finish::Ok,
        _ => Finish::Failed,
    }
}

fn status_of(answer: &[u8]) -> Option<u16> {
    let message: WireMessage = decode(answer).ok()?;
    message.start.0.parse().ok()
}

fn response_of(answer: &[u8]) -> Result<Response, ErrorKind> {
    let message: WireMessage = decode(answer).map_err(|_| ErrorKind::Internal)?;
    let status = message.start.0.parse().map_err(|_| ErrorKind::Internal)?;
    let mut headers = Headers::new();
    for (name, value) in message.headers {
        headers.append(name, value);
    }
    Ok(Response {
        status,
        reason: message.start.1,
        headers,
        body: message.body,
    })
}

fn log_decision(
    call: &Prepared,
    router: &routing::Router,
    choice: &Choice,
    earlier_attempts: usize,
) {
    if !log::log_enabled!(log::Level::Info) {
        return;
    }
    let name = |key| {
        router
            .upstream(key)
            .map_or("?", |upstream| upstream.name.as_str())
    };
    let weighed: Vec<String> = router
        .candidates()
        .iter()
        .map(|c| {
            let mark = if c.ejected { " ejected" } else { "" };
            format!("{}={}us{mark}", name(c.upstream), c.expected_us)
        })
        .collect();
    log::info!(
        "entry: call {} service {} profile {} attempt {earlier_attempts} weighed {} chose {}, {:?}.",
        call.call,
        call.service,
        call.profile.name,
        weighed.join(" "),
        name(choice.upstream),
        choice.reason
    );
}
