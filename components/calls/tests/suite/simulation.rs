//! Simulation of entries, owners and keepers around the real state machines, driven by a list of
//! choices.
//!
//! Choice 0 never causes a fault, so a list that proptest has shrunk contains few faults.

use calls::{
    Action, AttemptStatus, BeginResult, CallRecords, CallSpec, Claim, ClaimConfig, ClaimCopy,
    ClaimReply, ClaimRound, ClaimStart, ClaimTable, EntryCall, Event, IncomingAttempt, KeyHash,
    RecordsConfig, RoundResult, StatusQuery,
};
use errors::{ErrorKind, Outcome};
use model::{AttemptId, CallId, Fingerprint, NodeId};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

const ENTRIES: usize = 2;
const OWNERS: usize = 3;
const KEEPERS: usize = 3;
const SLOTS: usize = 2;
/// The sum of all long pauses stays below the retention of claims, within which a key must not run
/// twice.
const MAX_PAUSES: u32 = 8;
const PAUSE_US: u64 = 35_000_000;

/// A call with its caller and the state that its entry keeps.
struct Caller {
    machine: EntryCall<usize>,
    spec: CallSpec,
    entry: usize,
    key: Option<u8>,
    wake_us: u64,
    /// What the caller got: the attempt whose answer was delivered, or the error.
    result: Option<Result<AttemptId, ErrorKind>>,
    executions: u32,
    /// Owner and its incarnation, by attempt.
    targets: HashMap<AttemptId, (usize, u64)>,
    rounds: Vec<(AttemptId, ClaimRound)>,
}

/// An owner with a simulated upstream that has `SLOTS` slots.
struct Owner {
    records: CallRecords,
    incarnation: u64,
    queue: VecDeque<(AttemptId, usize)>,
    running: Vec<(AttemptId, usize)>,
    is_draining: bool,
}

/// A message that has been sent and not yet delivered. The first number is the call, or the keeper
/// that copies. While the message is on the way, `deadline_us` holds the remaining time.
#[derive(Clone)]
enum Message {
    Attempt(usize, usize, IncomingAttempt),
    Query(usize, usize, StatusQuery, RequestKind),
    ToEntry(usize, Event<usize>),
    Claim(usize, usize, usize, Claim),
    ClaimReply(usize, usize, usize, Option<ClaimReply>),
    CopyRequest(usize, usize, Option<KeyHash>, u64),
    Copy(usize, usize, ClaimCopy, u64),
}

/// Kind of an entry's request to an owner.
#[derive(Clone, Copy, PartialEq)]
enum RequestKind {
    Attempt,
    Status,
    Cancel,
    Holder,
}

/// Function that makes a fault occur in the simulation.
type Fault = fn(&mut Simulation);

/// Faults that a run chooses from: all; keepers that restart one after the other while claims are
/// copied; or duplicates and lost connections around the time when records expire.
const FAULT_MIXES: [[Fault; 9]; 3] = [
    [
        Simulation::lose_any_connection,
        Simulation::lose_any_connection,
        Simulation::restart_any_owner,
        Simulation::crash_upstream,
        Simulation::restart_any_keeper,
        Simulation::copy_claims,
        Simulation::toggle_any_drain,
        Simulation::disconnect_any_caller,
        Simulation::pause,
    ],
    [
        Simulation::restart_any_keeper,
        Simulation::restart_any_keeper,
        Simulation::restart_any_keeper,
        Simulation::copy_claims,
        Simulation::copy_claims,
        Simulation::copy_claims,
        Simulation::copy_claims,
        Simulation::wait_for_copies,
        Simulation::lose_any_connection,
    ],
    [
        Simulation::duplicate,
        Simulation::duplicate,
        Simulation::duplicate,
        Simulation::duplicate,
        Simulation::lose_any_connection,
        Simulation::lose_any_connection,
        Simulation::pause,
        Simulation::pause,
        Simulation::finish_any,
    ],
];

/// Simulated entries, owners, keepers and the network between them. It records a log and the first
/// violation of the guarantees of the crate.
pub(crate) struct Simulation {
    choices: VecDeque<u16>,
    fault_mix: usize,
    now_us: u64,
    callers: Vec<Caller>,
    owners: Vec<Owner>,
    keepers: Vec<ClaimTable>,
    generations: [[u64; OWNERS]; ENTRIES],
    /// Open requests of entries, which fail when the connection is lost: call, owner, attempt,
    /// kind.
    requests: Vec<(usize, usize, AttemptId, RequestKind)>,
    network: Vec<Message>,
    pauses: u32,
    log: Vec<String>,
    violation: Option<String>,
    /// Numbers of executions, of calls that ended not-run, of answers recovered by status queries,
    /// and of answers of another call with the same key.
    counts: [u64; 4],
}

impl Simulation {
    pub(crate) fn new(choices: impl IntoIterator<Item = u16>) -> Self {
        let now_us = 1_000_000;
        let keeper = |k| {
            ClaimTable::new(
                keeper_clock(now_us, k),
                ClaimConfig::default(),
                ClaimStart::NewGroup,
            )
        };
        Simulation {
            choices: choices.into_iter().collect(),
            fault_mix: 0,
            now_us,
            callers: Vec::new(),
            owners: (0..OWNERS).map(|_| new_owner(1)).collect(),
            keepers: (0..KEEPERS).map(keeper).collect(),
            generations: [[0; OWNERS]; ENTRIES],
            requests: Vec::new(),
            network: Vec::new(),
            pauses: 0,
            log: Vec::new(),
            violation: None,
            counts: [0; 4],
        }
    }

    /// Performs the choices, then lets every call end without further faults. Panics on a
    /// violation; returns the counts.
    pub(crate) fn run(mut self) -> [u64; 4] {
        self.fault_mix = self.choose(FAULT_MIXES.len());
        self.start_random_call();
        while !self.choices.is_empty() {
            self.step();
        }
        let is_done = |simulation: &Self| simulation.callers.iter().all(|c| c.machine.is_done());
        for _ in 0..10_000 {
            if self.network.is_empty() && is_done(&self) {
                break;
            }
            self.deliver_or_advance();
        }
        self.check(is_done(&self), "a call never ended");
        if self.violation.is_some() {
            self.trace();
        }
        self.counts
    }

    /// The log of the run with short names. Panics on a violation.
    pub(crate) fn trace(&self) -> String {
        let mut log = self.log.join("\n");
        if let Some(violation) = &self.violation {
            panic!("{violation}\n{log}");
        }
        for caller in &self.callers {
            let call = caller.spec.call;
            for attempt in (0..4).map(|attempt| AttemptId { call, attempt }) {
                let name = format!("{}.{}", call.sequence, attempt.attempt);
                let answer = format!("{:?}", answer_of(attempt, caller.key).as_bytes());
                log = log
                    .replace(&format!("{attempt:?}"), &name)
                    .replace(&attempt.to_string(), &name)
                    .replace(&answer, &format!("answer of {name}"));
            }
        }
        for key in 0..2 {
            let bytes = [key; 16];
            log = log.replace(&format!("{:?}", Fingerprint(bytes)), &key.to_string());
            log = log.replace(&format!("{bytes:?}"), &key.to_string());
        }
        log.replace("NodeId { mesh: 127.0.0.1:", "Node { number: ")
    }

    /// Records a violation unless `holds`.
    fn check(&mut self, holds: bool, rule: &str) {
        if !holds {
            self.violation.get_or_insert(rule.to_owned());
        }
    }

    fn log_line(&mut self, text: impl AsRef<str>) {
        self.log
            .push(format!("{:>10} {}", self.now_us, text.as_ref()));
    }

    /// The next choice, from 0 to `options - 1`; 0 if there are no more.
    fn choose(&mut self, options: usize) -> usize {
        usize::from(self.choices.pop_front().unwrap_or(0)) % options
    }

    /// Whether a fault occurs; true in one of `rate` cases.
    fn has_fault(&mut self, rate: usize) -> bool {
        self.choose(rate) == rate - 1
    }

    /// Performs one random operation: a normal step of the system or a fault.
    fn step(&mut self) {
        match self.choose(32) {
            0..=13 => self.deliver_or_advance(),
            14..=16 => self.finish_any(),
            17..=19 => self.start_random_call(),
            20 => self.advance(),
            21 => self.duplicate(),
            22 => self.pause(),
            fault => FAULT_MIXES[self.fault_mix][fault - 23](self),
        }
    }

    // Messages and time.

    /// Delivers a message, finishes a call or advances the time.
    fn deliver_or_advance(&mut self) {
        if !self.network.is_empty() {
            // Any of the first twelve messages may be next; early ones are likelier.
            let window = self.network.len().min(1 + self.choose(12));
            let index = self.choose(window);
            self.deliver_at(index);
        } else if self.owners.iter().any(|o| !o.running.is_empty()) && !self.has_fault(3) {
            self.finish_any();
        } else {
            self.advance();
        }
    }

    pub(crate) fn deliver_at(&mut self, index: usize) {
        let message = self.network.remove(index);
        self.now_us += 200;
        self.deliver(message);
    }

    /// Delivers the messages from `index` on and those that follow from them.
    pub(crate) fn deliver_from(&mut self, index: usize) {
        while self.network.len() > index {
            self.deliver_at(index);
        }
    }

    pub(crate) fn deliver_all(&mut self) {
        self.deliver_from(0);
    }

    pub(crate) fn drop_message(&mut self, index: usize) {
        self.network.remove(index);
    }

    pub(crate) fn drop_all(&mut self) {
        self.network.clear();
    }

    fn duplicate(&mut self) {
        if !self.network.is_empty() {
            let index = self.choose(self.network.len());
            let copy = self.network[index].clone();
            if !matches!(copy, Message::ClaimReply(..) | Message::Copy(..)) {
                self.network.push(copy);
            }
        }
    }

    /// Advances to the next time that a call or a round waits for.
    pub(crate) fn advance(&mut self) {
        let calls = self.callers.iter().filter(|c| !c.machine.is_done());
        let next = calls
            .flat_map(|c| c.rounds.iter().map(|r| r.1.ends_us()).chain([c.wake_us]))
            .filter(|&at| at > self.now_us)
            .min();
        let next_us = next.unwrap_or(self.now_us + 10_000);
        self.wait(next_us - self.now_us);
    }

    /// Advances the time, with ticks for all running processes.
    pub(crate) fn wait(&mut self, time_us: u64) {
        self.now_us += time_us;
        for (index, owner) in self.owners.iter_mut().enumerate() {
            owner.records.tick(owner_clock(self.now_us, index));
        }
        for call in 0..self.callers.len() {
            if self.callers[call].wake_us <= self.now_us {
                self.handle_event(call, Event::Tick);
            }
            for round in 0..self.callers[call].rounds.len() {
                let result = self.callers[call].rounds[round].1.tick(self.now_us);
                self.on_round_result(call, round, result.as_ref());
            }
        }
    }

    /// Advances the time, with the processes running or paused without ticks.
    fn pause(&mut self) {
        if self.pauses >= MAX_PAUSES {
            return;
        }
        self.pauses += 1;
        match self.choose(3) {
            0 => self.now_us += 2_500_000,
            1 => self.now_us += PAUSE_US,
            _ => (0..PAUSE_US / 1_000_000).for_each(|_| self.wait(1_000_000)),
        }
    }

    /// Lets the time pass after which a restarted keeper may copy claims.
    fn wait_for_copies(&mut self) {
        self.now_us += 2_000_000;
    }

    // Callers and entries.

    fn start_random_call(&mut self) {
        let kind = match self.fault_mix {
            1 => [3, 3, 3, 7][self.choose(4)],
            _ => self.choose(8),
        };
        let entry = self.choose(ENTRIES);
        let key = (kind >= 3).then_some(u8::from(kind == 7));
        let remaining_us = [300_000, 1_000_000, 40_000_000][self.choose(3)];
        self.start_call(entry, kind == 2, key, remaining_us);
    }

    /// Starts a call with `remaining_us` until its deadline.
    pub(crate) fn start_call(
        &mut self,
        entry: usize,
        idempotent: bool,
        key: Option<u8>,
        remaining_us: u64,
    ) {
        self.start_limited_call(entry, idempotent, key, remaining_us, 4);
    }

    /// Like `start_call`, with at most `attempts` attempts.
    pub(crate) fn start_limited_call(
        &mut self,
        entry: usize,
        idempotent: bool,
        key: Option<u8>,
        remaining_us: u64,
        attempts: u16,
    ) {
        let number = self.callers.len();
        let spec = CallSpec {
            call: CallId {
                origin: entry as u64,
                sequence: number as u64,
            },
            idempotent,
            keyed: key.is_some(),
            suspected: false,
            deadline_us: self.now_us + remaining_us,
            attempts,
            moves: 0,
            hedge_after_us: Some(20_000),
        };
        let mut machine = EntryCall::new(spec);
        let actions = machine.start(self.now_us);
        self.callers.push(Caller {
            machine,
            spec,
            entry,
            key,
            wake_us: u64::MAX,
            result: None,
            executions: 0,
            targets: HashMap::new(),
            rounds: Vec::new(),
        });
        self.log_line(format!("call {number} at entry {entry}, key {key:?}"));
        self.perform(number, actions);
    }

    fn handle_event(&mut self, call: usize, event: Event<usize>) {
        if event != Event::Tick {
            self.log_line(format!("call {call} <- {event:?}"));
        }
        let actions = self.callers[call].machine.on_event(self.now_us, event);
        self.perform(call, actions);
    }

    fn perform(&mut self, call: usize, actions: Vec<Action<usize>>) {
        for action in actions {
            if !matches!(action, Action::WakeAt(_)) {
                self.log_line(format!("call {call} -> {action:?}"));
            }
            match action {
                Action::Route { exclude } => self.route(call, &exclude),
                Action::Claim {
                    attempt,
                    upstream,
                    never_started,
                } => self.start_round(call, attempt, upstream, &never_started),
                Action::Send { attempt, upstream } => self.send(call, attempt, upstream),
                Action::Cancel(attempt) => self.query(call, attempt, RequestKind::Cancel),
                Action::QueryStatus(attempt) => self.query(call, attempt, RequestKind::Status),
                Action::QueryHolder(holder) => {
                    let owner = usize::from(holder.owner.mesh.port());
                    let target = (owner, holder.owner.incarnation);
                    self.push_query(call, target, holder.attempt, RequestKind::Holder);
                }
                Action::CheckRetryBudget => {
                    let allowed = !self.has_fault(12);
                    self.handle_event(call, Event::RetryAllowed(allowed));
                }
                Action::CheckHedgeBudget => {
                    let allowed = !self.has_fault(4);
                    self.handle_event(call, Event::HedgeAllowed(allowed));
                }
                Action::WakeAt(at_us) => self.callers[call].wake_us = at_us,
                Action::Deliver(attempt, answer) => self.on_delivered(call, attempt, &answer),
                Action::Fail(kind) => self.on_failed(call, kind),
            }
        }
    }

    fn route(&mut self, call: usize, exclude: &[usize]) {
        let mut free: Vec<usize> = (0..OWNERS).filter(|o| !exclude.contains(o)).collect();
        if free.is_empty() {
            free = (0..OWNERS).collect();
        }
        let event = if self.has_fault(24) {
            Event::NoRoute(ErrorKind::NoUpstream)
        } else {
            Event::Routed(free[self.choose(free.len())])
        };
        self.handle_event(call, event);
    }

    fn start_round(
        &mut self,
        call: usize,
        attempt: AttemptId,
        upstream: usize,
        never_started: &[AttemptId],
    ) {
        let incarnation = self.owners[upstream].incarnation;
        let caller = &mut self.callers[call];
        caller.targets.insert(attempt, (upstream, incarnation));
        let key = [caller.key.unwrap_or(0); 16];
        let round = caller.rounds.len();
        let state = ClaimRound::new(self.now_us, KEEPERS, Fingerprint(key));
        caller.rounds.push((attempt, state));
        let mesh = ([127, 0, 0, 1], upstream as u16).into();
        let claim = Claim {
            key,
            fingerprint: Fingerprint(key),
            attempt,
            owner: NodeId { mesh, incarnation },
            never_started: never_started.to_vec(),
        };
        for keeper in 0..KEEPERS {
            let message = if self.has_fault(12) {
                Message::ClaimReply(call, round, keeper, None)
            } else {
                Message::Claim(call, round, keeper, claim.clone())
            };
            self.network.push(message);
        }
    }

    fn on_round_result(&mut self, call: usize, round: usize, result: Option<&RoundResult>) {
        let attempt = self.callers[call].rounds[round].0;
        let event = match result {
            None => return,
            Some(RoundResult::Granted) => Event::Claimed(attempt),
            Some(RoundResult::Held(holder)) => Event::ClaimHeld(attempt, *holder),
            Some(RoundResult::Reused) => Event::ClaimFailed(attempt, ErrorKind::KeyReused),
            Some(RoundResult::Unconfirmed) => {
                Event::ClaimFailed(attempt, ErrorKind::KeyUnconfirmed)
            }
        };
        self.handle_event(call, event);
    }

    fn send(&mut self, call: usize, attempt: AttemptId, owner: usize) {
        if self.has_fault(16) {
            self.handle_event(call, Event::SendFailed(attempt));
            return;
        }
        let incarnation = self.owners[owner].incarnation;
        let caller = &mut self.callers[call];
        let target = caller
            .targets
            .entry(attempt)
            .or_insert((owner, incarnation));
        let incoming = IncomingAttempt {
            attempt,
            target: target.1,
            generation: self.generations[caller.entry][owner],
            deadline_us: caller.spec.deadline_us - self.now_us,
            keyed: caller.key.is_some(),
            keep_answer: !caller.spec.idempotent,
        };
        self.requests
            .push((call, owner, attempt, RequestKind::Attempt));
        self.network.push(Message::Attempt(call, owner, incoming));
    }

    fn query(&mut self, call: usize, attempt: AttemptId, kind: RequestKind) {
        let target = self.callers[call].targets[&attempt];
        self.push_query(call, target, attempt, kind);
    }

    fn push_query(&mut self, call: usize, at: (usize, u64), attempt: AttemptId, kind: RequestKind) {
        let (owner, target) = at;
        let caller = &self.callers[call];
        let generation = self.generations[caller.entry][owner];
        let query = StatusQuery {
            attempt,
            target,
            generation: (kind != RequestKind::Holder).then_some(generation),
            deadline_us: caller.spec.deadline_us.saturating_sub(self.now_us),
            keyed: caller.key.is_some(),
        };
        self.requests.push((call, owner, attempt, kind));
        self.network.push(Message::Query(call, owner, query, kind));
    }

    pub(crate) fn disconnect_caller(&mut self, call: usize) {
        self.handle_event(call, Event::CallerDisconnected);
    }

    fn disconnect_any_caller(&mut self) {
        let call = self.choose(self.callers.len());
        self.disconnect_caller(call);
    }

    fn on_delivered(&mut self, call: usize, attempt: AttemptId, answer: &[u8]) {
        let caller = &mut self.callers[call];
        let is_first = caller.result.replace(Ok(attempt)).is_none();
        let is_own_answer = answer == answer_of(attempt, caller.key).as_bytes();
        self.counts[3] += u64::from(attempt.call != caller.spec.call);
        self.check(is_first, "a call ended twice");
        self.check(is_own_answer, "a caller got another call's answer");
    }

    fn on_failed(&mut self, call: usize, kind: ErrorKind) {
        let caller = &mut self.callers[call];
        let is_first = caller.result.replace(Err(kind)).is_none();
        let is_not_run = kind.info().outcome == Outcome::NotRun;
        let has_run = caller.executions > 0;
        self.counts[1] += u64::from(is_not_run);
        self.check(is_first, "a call ended twice");
        self.check(!(is_not_run && has_run), "a call ran before not-run");
    }

    // Owners and keepers.

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Attempt(call, owner, incoming) => self.on_attempt(call, owner, incoming),
            Message::Query(call, owner, query, kind) => self.on_query(call, owner, query, kind),
            Message::ToEntry(call, event) => {
                let is_recovered = matches!(event, Event::Status(_, AttemptStatus::Answered(_)));
                self.counts[2] += u64::from(is_recovered);
                self.handle_event(call, event);
            }
            Message::Claim(call, round, keeper, claim) => {
                let now_us = keeper_clock(self.now_us, keeper);
                let reply = self.keepers[keeper].claim(now_us, &claim);
                self.log_line(format!("keeper {keeper}: {} {reply:?}", claim.attempt));
                let reply = (!self.has_fault(16)).then_some(reply);
                self.network
                    .push(Message::ClaimReply(call, round, keeper, reply));
            }
            Message::ClaimReply(call, round, keeper, reply) => {
                let now_us = self.now_us;
                let state = &mut self.callers[call].rounds[round].1;
                let result = state.on_reply(now_us, keeper, reply);
                self.on_round_result(call, round, result.as_ref());
            }
            Message::CopyRequest(to, from, after, requested_us) => {
                let copy = self.keepers[from].export(keeper_clock(self.now_us, from), after, 1);
                self.network
                    .push(Message::Copy(to, from, copy, requested_us));
            }
            Message::Copy(to, from, copy, requested_us) => {
                let now_us = keeper_clock(self.now_us, to);
                self.keepers[to].import(now_us, requested_us, from, &copy);
                if copy.next.is_some() {
                    self.network
                        .push(Message::CopyRequest(to, from, copy.next, requested_us));
                }
            }
        }
    }

    fn on_attempt(&mut self, call: usize, owner: usize, mut incoming: IncomingAttempt) {
        let now_us = owner_clock(self.now_us, owner);
        let attempt = incoming.attempt;
        incoming.deadline_us += now_us;
        let state = &mut self.owners[owner];
        let begin = state.records.begin(now_us, &incoming);
        let line = format!("owner {owner}: {attempt} {begin:?}");
        let event = match begin {
            BeginResult::Duplicate(status) => Event::Status(attempt, status),
            BeginResult::Refused(kind) => Event::Refused(attempt, kind),
            BeginResult::New if state.is_draining => match state.records.refuse(now_us, attempt) {
                AttemptStatus::NotStarted => Event::Refused(attempt, ErrorKind::Stopping),
                status => Event::Status(attempt, status),
            },
            BeginResult::New => {
                state.queue.push_back((attempt, call));
                self.log_line(line);
                self.start_queued(owner);
                return;
            }
        };
        self.log_line(line);
        self.network.push(Message::ToEntry(call, event));
    }

    fn on_query(&mut self, call: usize, owner: usize, mut query: StatusQuery, kind: RequestKind) {
        let now_us = owner_clock(self.now_us, owner);
        let attempt = query.attempt;
        query.deadline_us += now_us;
        let Owner {
            records, running, ..
        } = &mut self.owners[owner];
        // A cancelled attempt stays in the queue: `try_start` must stop it.
        let status = match kind {
            RequestKind::Cancel => records.cancel(now_us, &query),
            _ => records.query_status(now_us, &query),
        };
        if kind == RequestKind::Cancel && status == AttemptStatus::Running {
            running.retain(|r| r.0 != attempt);
            records.fail(now_us, attempt, ErrorKind::UpstreamLost);
        }
        self.log_line(format!("owner {owner}: asked for {attempt}: {status:?}"));
        let event = match kind {
            RequestKind::Holder => Event::HolderStatus(attempt, status),
            _ => Event::Status(attempt, status),
        };
        self.network.push(Message::ToEntry(call, event));
        self.start_queued(owner);
    }

    fn start_queued(&mut self, owner: usize) {
        while self.owners[owner].running.len() < SLOTS {
            let now_us = owner_clock(self.now_us, owner);
            let state = &mut self.owners[owner];
            let Some((attempt, call)) = state.queue.pop_front() else {
                return;
            };
            if state.records.try_start(now_us, attempt) {
                state.running.push((attempt, call));
                self.on_executed(owner, call, attempt);
            } else {
                let status = state.records.refuse(now_us, attempt);
                self.network
                    .push(Message::ToEntry(call, Event::Status(attempt, status)));
            }
        }
    }

    fn on_executed(&mut self, owner: usize, call: usize, attempt: AttemptId) {
        self.log_line(format!("owner {owner}: runs {attempt}"));
        self.counts[0] += 1;
        let caller = &mut self.callers[call];
        caller.executions += 1;
        let is_once = caller.spec.idempotent || caller.executions == 1;
        let result = caller.result;
        let was_not_run = matches!(result, Some(Err(k)) if k.info().outcome == Outcome::NotRun);
        let key = caller.key;
        let same_key = self
            .callers
            .iter()
            .filter(|c| key.is_some() && c.key == key);
        let key_runs: u32 = same_key.map(|c| c.executions).sum();
        self.check(!was_not_run, "a call ran after not-run");
        self.check(is_once, "a call ran twice");
        self.check(key_runs <= 1, "a key ran twice");
    }

    fn finish_any(&mut self) {
        let is_busy = |&o: &usize| !self.owners[o].running.is_empty();
        let busy: Vec<usize> = (0..OWNERS).filter(is_busy).collect();
        if !busy.is_empty() {
            let owner = busy[self.choose(busy.len())];
            let index = self.choose(self.owners[owner].running.len());
            self.finish(owner, index);
        }
    }

    pub(crate) fn finish(&mut self, owner: usize, index: usize) {
        let (attempt, call) = self.owners[owner].running.remove(index);
        let answer: Arc<[u8]> = answer_of(attempt, self.callers[call].key)
            .into_bytes()
            .into();
        self.now_us += 1_000;
        let now_us = owner_clock(self.now_us, owner);
        let records = &mut self.owners[owner].records;
        records.finish(now_us, attempt, Arc::clone(&answer));
        self.network
            .push(Message::ToEntry(call, Event::Answered(attempt, answer)));
        self.start_queued(owner);
    }

    // Faults.

    /// Loses the connection from an entry to an owner. Open requests fail, but their messages may
    /// still arrive.
    pub(crate) fn lose_connection(&mut self, entry: usize, owner: usize) {
        self.log_line(format!(
            "entry {entry} loses its connection to owner {owner}"
        ));
        self.generations[entry][owner] += 1;
        let callers = &self.callers;
        let is_lost = |r: &mut (usize, usize, _, _)| r.1 == owner && callers[r.0].entry == entry;
        let lost: Vec<_> = self.requests.extract_if(.., is_lost).collect();
        for (call, _, attempt, kind) in lost {
            if self.callers[call].machine.is_done() {
                continue;
            }
            let event = match kind {
                RequestKind::Attempt => Event::ConnectionLost(attempt),
                RequestKind::Holder => Event::HolderStatusUnavailable(attempt),
                RequestKind::Status | RequestKind::Cancel => Event::StatusUnavailable(attempt),
            };
            self.handle_event(call, event);
        }
    }

    fn lose_any_connection(&mut self) {
        let entry = self.choose(ENTRIES);
        let owner = self.choose(OWNERS);
        self.lose_connection(entry, owner);
    }

    pub(crate) fn restart_owner(&mut self, owner: usize) {
        self.log_line(format!("owner {owner} restarts"));
        self.owners[owner] = new_owner(self.owners[owner].incarnation + 1);
        for entry in 0..ENTRIES {
            self.lose_connection(entry, owner);
        }
    }

    fn restart_any_owner(&mut self) {
        let owner = self.choose(OWNERS);
        self.restart_owner(owner);
    }

    pub(crate) fn toggle_drain(&mut self, owner: usize) {
        self.owners[owner].is_draining ^= true;
    }

    fn toggle_any_drain(&mut self) {
        let owner = self.choose(OWNERS);
        self.toggle_drain(owner);
    }

    fn crash_upstream(&mut self) {
        let owner = self.choose(OWNERS);
        self.log_line(format!("upstream {owner} crashes"));
        let now_us = owner_clock(self.now_us, owner);
        let kind = ErrorKind::UpstreamLost;
        for (attempt, call) in std::mem::take(&mut self.owners[owner].running) {
            self.owners[owner].records.fail(now_us, attempt, kind);
            self.network
                .push(Message::ToEntry(call, Event::Failed(attempt, kind)));
        }
        self.start_queued(owner);
    }

    pub(crate) fn restart_keeper(&mut self, keeper: usize) {
        self.log_line(format!("keeper {keeper} restarts"));
        let now_us = keeper_clock(self.now_us, keeper);
        self.keepers[keeper] =
            ClaimTable::new(now_us, ClaimConfig::default(), ClaimStart::Restarted);
    }

    fn restart_any_keeper(&mut self) {
        let keeper = self.choose(KEEPERS);
        self.restart_keeper(keeper);
    }

    /// Every warming keeper that may already do so requests copies from the others.
    pub(crate) fn copy_claims(&mut self) {
        for to in 0..KEEPERS {
            let now_us = keeper_clock(self.now_us, to);
            let from_us = self.keepers[to].copy_from_us();
            if from_us.is_some_and(|from_us| from_us <= now_us) {
                let others = (0..KEEPERS).filter(|&from| from != to);
                let requests = others.map(|from| Message::CopyRequest(to, from, None, now_us));
                self.network.extend(requests);
            }
        }
    }
}

/// The answer names its attempt and key, so that the answer of another call is detected.
fn answer_of(attempt: AttemptId, key: Option<u8>) -> String {
    format!("{attempt} for {key:?}")
}

fn new_owner(incarnation: u64) -> Owner {
    Owner {
        records: CallRecords::new(RecordsConfig {
            incarnation,
            max_records: 12,
            ..RecordsConfig::default()
        }),
        incarnation,
        queue: VecDeque::new(),
        running: Vec::new(),
        is_draining: false,
    }
}

/// Clocks of different processes start at different times.
fn owner_clock(now_us: u64, owner: usize) -> u64 {
    now_us + 7_000_000_000 * owner as u64
}

fn keeper_clock(now_us: u64, keeper: usize) -> u64 {
    now_us + 90_000_000_000 * keeper as u64
}
