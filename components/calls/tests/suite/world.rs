//! Entries, owners and keepers around the real state machines, driven by a tape of choices.
//!
//! Choice 0 is always the benign one, so a shrunk tape has few faults in it.

use calls::{
    Action, Arrival, Ask, Begin, CallRecords, CallSpec, Claim, ClaimConfig, ClaimCopy, ClaimReply,
    ClaimRound, ClaimStart, ClaimTable, EntryCall, Event, Fate, Key, RecordsConfig, RoundResult,
};
use errors::{ErrorKind, Outcome};
use model::{AttemptId, CallId, NodeId};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

const ENTRIES: usize = 2;
const OWNERS: usize = 3;
const KEEPERS: usize = 3;
const SLOTS: usize = 2;
/// Sum of long pauses stays below the retention of claims, within which a key must not run twice.
const MAX_PAUSES: u32 = 8;
const PAUSE_US: u64 = 35_000_000;

/// The caller's side and the count of executions of one call.
struct Caller {
    call: CallId,
    machine: EntryCall<usize>,
    entry: usize,
    idempotent: bool,
    key: Option<u8>,
    deadline_us: u64,
    wake_us: u64,
    told: Option<Result<AttemptId, ErrorKind>>,
    executions: u32,
    /// Owner and its incarnation, by attempt.
    targets: HashMap<AttemptId, (usize, u64)>,
    rounds: Vec<(AttemptId, ClaimRound)>,
}

/// Which faults a run favours.
#[derive(Clone, Copy)]
enum Mix {
    All,
    Keepers,
    Records,
}

struct Owner {
    records: CallRecords,
    incarnation: u64,
    queue: VecDeque<(AttemptId, usize)>,
    running: Vec<(AttemptId, usize)>,
    drains: bool,
}

#[derive(Clone)]
enum Message {
    Attempt(usize, usize, Arrival, u64),
    Ask(usize, usize, Ask, AskKind, u64),
    ToEntry(usize, Event<usize>),
    Claim(usize, usize, usize, Claim),
    ClaimReply(usize, usize, usize, Option<ClaimReply>),
    CopyRequest(usize, usize, Option<Key>, u64),
    Copy(usize, usize, ClaimCopy, u64),
}

#[derive(Clone, Copy, PartialEq)]
enum AskKind {
    Fate,
    Cancel,
    Holder,
}

/// A request without a reply yet; a lost connection ends it.
struct Request {
    call: usize,
    owner: usize,
    attempt: AttemptId,
    kind: Option<AskKind>,
}

pub(crate) struct World {
    tape: VecDeque<u16>,
    mix: Mix,
    now_us: u64,
    callers: Vec<Caller>,
    owners: Vec<Owner>,
    keepers: Vec<ClaimTable>,
    generations: [[u64; OWNERS]; ENTRIES],
    requests: Vec<Request>,
    net: Vec<Message>,
    pauses: u32,
    log: Vec<String>,
    violation: Option<String>,
    /// What the run exercised: executions, not-run, recovered answers, answers by key.
    pub(crate) counts: [u64; 4],
}

impl World {
    pub(crate) fn new(tape: impl IntoIterator<Item = u16>) -> Self {
        World {
            tape: tape.into_iter().collect(),
            mix: Mix::All,
            now_us: 1_000_000,
            callers: Vec::new(),
            owners: (0..OWNERS).map(|_| new_owner(1)).collect(),
            keepers: (0..KEEPERS)
                .map(|k| {
                    ClaimTable::new(keeper_clock(1_000_000, k), claims(), ClaimStart::NewGroup)
                })
                .collect(),
            generations: [[0; OWNERS]; ENTRIES],
            requests: Vec::new(),
            net: Vec::new(),
            pauses: 0,
            log: Vec::new(),
            violation: None,
            counts: [0; 4],
        }
    }

    /// Takes the mix of steps from the tape, plays the tape, then lets every call end without further faults.
    pub(crate) fn run(mut self) -> [u64; 4] {
        self.mix = [Mix::All, Mix::Keepers, Mix::Records][self.choose(3)];
        self.new_call();
        while !self.tape.is_empty() {
            self.step();
        }
        for _ in 0..10_000 {
            if self.net.is_empty() && self.callers.iter().all(|c| c.machine.is_done()) {
                break;
            }
            self.deliver_or_advance();
        }
        let is_done = self.callers.iter().all(|c| c.machine.is_done());
        self.check(is_done, "a call never ended");
        if self.violation.is_some() {
            self.trace();
        }
        self.counts
    }

    /// The log of the run with short names for attempts and answers; fails on a violation.
    pub(crate) fn trace(&self) -> String {
        let mut log = self.log.join("\n");
        if let Some(violation) = &self.violation {
            panic!("{violation}\n{log}");
        }
        for caller in &self.callers {
            let call = caller.call;
            for attempt in (0..4).map(|attempt| AttemptId { call, attempt }) {
                let name = format!("{}.{}", call.sequence, attempt.attempt);
                let answer = answer_of(attempt, caller.key);
                log = log
                    .replace(&format!("{attempt:?}"), &name)
                    .replace(&attempt.to_string(), &name)
                    .replace(
                        &format!("{:?}", answer.as_bytes()),
                        &format!("answer of {name}"),
                    );
            }
        }
        for key in 0..2 {
            log = log.replace(&format!("{:?}", [key; 16]), &key.to_string());
        }
        log.replace("NodeId { mesh: 127.0.0.1:", "Node { number: ")
    }

    fn check(&mut self, is_right: bool, what: &str) {
        if !is_right {
            self.violation.get_or_insert(what.to_owned());
        }
    }

    fn choose(&mut self, options: usize) -> usize {
        usize::from(self.tape.pop_front().unwrap_or(0)) % options
    }

    /// True in one of `rate` cases.
    fn fault(&mut self, rate: usize) -> bool {
        self.choose(rate) == rate - 1
    }

    fn note(&mut self, text: impl Into<String>) {
        self.log
            .push(format!("{:>10} {}", self.now_us, text.into()));
    }

    fn step(&mut self) {
        match self.choose(32) {
            0..=13 => self.deliver_or_advance(),
            14..=16 => self.finish_one(),
            17..=19 => self.new_call(),
            20 => self.advance(),
            21 => self.duplicate(),
            22 => self.pause(),
            fault => match self.mix {
                Mix::All => self.any_fault(fault),
                Mix::Keepers => self.keeper_fault(fault),
                Mix::Records => self.record_fault(fault),
            },
        }
    }

    fn any_fault(&mut self, fault: usize) {
        match fault {
            23 | 24 => self.lose_connection(),
            25 => {
                let owner = self.choose(OWNERS);
                self.restart_owner(owner);
            }
            26 => self.crash_upstream(),
            27 => {
                let keeper = self.choose(KEEPERS);
                self.restart_keeper(keeper);
            }
            28 => self.copy_claims(),
            29 => {
                let owner = self.choose(OWNERS);
                self.toggle_drain(owner);
            }
            30 => {
                let call = self.choose(self.callers.len());
                self.caller_gone(call);
            }
            _ => self.pause(),
        }
    }

    /// Keepers lost one after the other, with copies under way.
    fn keeper_fault(&mut self, fault: usize) {
        match fault {
            23..=25 => {
                let keeper = self.choose(KEEPERS);
                self.restart_keeper(keeper);
            }
            26..=29 => self.copy_claims(),
            30 => self.now_us += 2_000_000,
            _ => self.lose_connection(),
        }
    }

    /// Duplicates and lost connections around the end of the records' life.
    fn record_fault(&mut self, fault: usize) {
        match fault {
            23..=26 => self.duplicate(),
            27 | 28 => self.lose_connection(),
            29 | 30 => self.pause(),
            _ => self.finish_one(),
        }
    }

    fn deliver_or_advance(&mut self) {
        if self.net.is_empty() {
            if self.owners.iter().any(|o| !o.running.is_empty()) && !self.fault(3) {
                self.finish_one();
            } else {
                self.advance();
            }
            return;
        }
        // Any message may be the next one, early ones are likelier.
        let window = self.net.len().min(1 + self.choose(12));
        let index = self.choose(window);
        self.deliver_at(index);
    }

    pub(crate) fn deliver_at(&mut self, index: usize) {
        let message = self.net.remove(index);
        self.now_us += 200;
        self.deliver(message);
    }

    /// Delivers all messages in order; time passes only by their delays.
    pub(crate) fn deliver_all(&mut self) {
        while !self.net.is_empty() {
            self.deliver_at(0);
        }
    }

    /// Delivers the messages from `index` on and those that follow from them.
    pub(crate) fn deliver_from(&mut self, index: usize) {
        while self.net.len() > index {
            self.deliver_at(index);
        }
    }

    pub(crate) fn drop_message(&mut self, index: usize) {
        self.net.remove(index);
    }

    pub(crate) fn drop_all(&mut self) {
        self.net.clear();
    }

    pub(crate) fn caller_gone(&mut self, call: usize) {
        self.event(call, Event::CallerGone);
    }

    fn duplicate(&mut self) {
        if !self.net.is_empty() {
            let index = self.choose(self.net.len());
            let copy = self.net[index].clone();
            if !matches!(copy, Message::ClaimReply(..) | Message::Copy(..)) {
                self.net.push(copy);
            }
        }
    }

    pub(crate) fn advance(&mut self) {
        let next = self
            .callers
            .iter()
            .filter(|c| !c.machine.is_done())
            .flat_map(|c| std::iter::once(c.wake_us).chain(c.rounds.iter().map(|r| r.1.ends_us())))
            .filter(|&at| at > self.now_us)
            .min();
        self.now_us = next.unwrap_or(self.now_us + 10_000);
        self.tick();
    }

    /// Lets time pass: with the processes running, or paused and without ticks.
    fn pause(&mut self) {
        if self.pauses >= MAX_PAUSES {
            return;
        }
        self.pauses += 1;
        match self.choose(3) {
            0 => self.now_us += 2_500_000,
            1 => self.now_us += PAUSE_US,
            _ => {
                for _ in 0..PAUSE_US / 1_000_000 {
                    self.now_us += 1_000_000;
                    self.tick();
                }
            }
        }
    }

    fn tick(&mut self) {
        for (index, owner) in self.owners.iter_mut().enumerate() {
            owner.records.tick(owner_clock(self.now_us, index));
        }
        for call in 0..self.callers.len() {
            if self.callers[call].wake_us <= self.now_us {
                self.event(call, Event::Tick);
            }
            for round in 0..self.callers[call].rounds.len() {
                let now_us = self.now_us;
                let (attempt, state) = &mut self.callers[call].rounds[round];
                let attempt = *attempt;
                let result = state.tick(now_us);
                self.round_result(call, attempt, result.as_ref());
            }
        }
    }

    // Callers and entries.

    fn new_call(&mut self) {
        let kind = match self.mix {
            Mix::Keepers => [3, 3, 3, 7][self.choose(4)],
            _ => self.choose(8),
        };
        let entry = self.choose(ENTRIES);
        let key = (kind >= 3).then_some(u8::from(kind == 7));
        let rest_us = [300_000, 1_000_000, 40_000_000][self.choose(3)];
        self.call(entry, kind == 2, key, rest_us);
    }

    /// Begins a call and returns its number.
    pub(crate) fn call(
        &mut self,
        entry: usize,
        idempotent: bool,
        key: Option<u8>,
        rest_us: u64,
    ) -> usize {
        let number = self.callers.len();
        let call = CallId {
            origin: entry as u64,
            sequence: number as u64,
        };
        let deadline_us = self.now_us + rest_us;
        let mut machine = EntryCall::new(CallSpec {
            call,
            idempotent,
            keyed: key.is_some(),
            suspected: false,
            deadline_us,
            attempts: 4,
            hedge_after_us: Some(20_000),
        });
        let actions = machine.start(self.now_us);
        self.callers.push(Caller {
            call,
            machine,
            entry,
            idempotent,
            key,
            deadline_us,
            wake_us: u64::MAX,
            told: None,
            executions: 0,
            targets: HashMap::new(),
            rounds: Vec::new(),
        });
        self.note(format!("call {number} at entry {entry}, key {key:?}"));
        self.perform(number, actions);
        number
    }

    fn event(&mut self, call: usize, event: Event<usize>) {
        if event != Event::Tick {
            self.note(format!("call {call} <- {event:?}"));
        }
        let actions = self.callers[call].machine.on_event(self.now_us, event);
        self.perform(call, actions);
    }

    fn perform(&mut self, call: usize, actions: Vec<Action<usize>>) {
        for action in actions {
            if !matches!(action, Action::WakeAt(_)) {
                self.note(format!("call {call} -> {action:?}"));
            }
            match action {
                Action::Route { exclude } => self.route(call, &exclude),
                Action::Claim {
                    attempt,
                    upstream,
                    over,
                } => self.claim(call, attempt, upstream, over),
                Action::Send { attempt, upstream } => self.send(call, attempt, upstream),
                Action::Cancel(attempt) => self.ask(call, attempt, AskKind::Cancel),
                Action::AskFate(attempt) => self.ask(call, attempt, AskKind::Fate),
                Action::AskHolder(holder) => {
                    let owner = usize::from(holder.owner.mesh.port());
                    let target = holder.owner.incarnation;
                    self.push_ask(call, owner, target, holder.attempt, AskKind::Holder);
                }
                Action::AskRetryBudget => {
                    let allowed = !self.fault(12);
                    self.event(call, Event::RetryAllowed(allowed));
                }
                Action::AskHedgeBudget => {
                    let allowed = !self.fault(4);
                    self.event(call, Event::HedgeAllowed(allowed));
                }
                Action::WakeAt(at_us) => self.callers[call].wake_us = at_us,
                Action::Deliver(attempt, answer) => self.told(call, Ok((attempt, answer))),
                Action::Fail(kind) => self.told(call, Err(kind)),
            }
        }
    }

    fn route(&mut self, call: usize, exclude: &[usize]) {
        let free: Vec<usize> = (0..OWNERS).filter(|o| !exclude.contains(o)).collect();
        let event = if self.fault(24) {
            Event::NoRoute(ErrorKind::NoUpstream)
        } else if free.is_empty() {
            Event::Routed(self.choose(OWNERS))
        } else {
            Event::Routed(free[self.choose(free.len())])
        };
        self.event(call, event);
    }

    fn claim(&mut self, call: usize, attempt: AttemptId, upstream: usize, over: Vec<AttemptId>) {
        let target = self.owners[upstream].incarnation;
        let caller = &mut self.callers[call];
        caller.targets.insert(attempt, (upstream, target));
        let key = caller.key.unwrap_or(0);
        let round = caller.rounds.len();
        let state = ClaimRound::new(self.now_us, KEEPERS, [key; 16]);
        caller.rounds.push((attempt, state));
        let claim = Claim {
            key: [key; 16],
            fingerprint: [key; 16],
            attempt,
            owner: node(upstream, target),
            over,
        };
        for keeper in 0..KEEPERS {
            let message = if self.fault(12) {
                Message::ClaimReply(call, round, keeper, None)
            } else {
                Message::Claim(call, round, keeper, claim.clone())
            };
            self.net.push(message);
        }
    }

    fn round_result(&mut self, call: usize, attempt: AttemptId, result: Option<&RoundResult>) {
        let event = match result {
            None => return,
            Some(RoundResult::Granted) => Event::Claimed(attempt),
            Some(RoundResult::Held(holder)) => Event::ClaimHeld(attempt, *holder),
            Some(RoundResult::Reused) => Event::ClaimFailed(attempt, ErrorKind::KeyReused),
            Some(RoundResult::Unconfirmed) => {
                Event::ClaimFailed(attempt, ErrorKind::KeyUnconfirmed)
            }
        };
        self.event(call, event);
    }

    fn send(&mut self, call: usize, attempt: AttemptId, owner: usize) {
        if self.fault(16) {
            self.event(call, Event::SendFailed(attempt));
            return;
        }
        let incarnation = self.owners[owner].incarnation;
        let caller = &mut self.callers[call];
        let target = caller
            .targets
            .entry(attempt)
            .or_insert((owner, incarnation))
            .1;
        let arrival = Arrival {
            attempt,
            target,
            generation: self.generations[caller.entry][owner],
            deadline_us: 0,
            keyed: caller.key.is_some(),
            keep_answer: !caller.idempotent,
        };
        let remaining_us = caller.deadline_us - self.now_us;
        self.request(call, owner, attempt, None);
        self.net
            .push(Message::Attempt(call, owner, arrival, remaining_us));
    }

    fn ask(&mut self, call: usize, attempt: AttemptId, kind: AskKind) {
        let (owner, target) = self.callers[call].targets[&attempt];
        self.push_ask(call, owner, target, attempt, kind);
    }

    fn push_ask(
        &mut self,
        call: usize,
        owner: usize,
        target: u64,
        attempt: AttemptId,
        kind: AskKind,
    ) {
        let caller = &self.callers[call];
        let generation = self.generations[caller.entry][owner];
        let ask = Ask {
            attempt,
            target,
            generation: (kind != AskKind::Holder).then_some(generation),
            deadline_us: 0,
            keyed: caller.key.is_some(),
        };
        let remaining_us = caller.deadline_us.saturating_sub(self.now_us);
        self.request(call, owner, attempt, Some(kind));
        self.net
            .push(Message::Ask(call, owner, ask, kind, remaining_us));
    }

    fn request(&mut self, call: usize, owner: usize, attempt: AttemptId, kind: Option<AskKind>) {
        self.requests.push(Request {
            call,
            owner,
            attempt,
            kind,
        });
    }

    fn told(&mut self, call: usize, told: Result<(AttemptId, Arc<[u8]>), ErrorKind>) {
        let caller = &mut self.callers[call];
        let (own, key, executions) = (caller.call, caller.key, caller.executions);
        let is_first = caller.told.replace(told.clone().map(|t| t.0)).is_none();
        self.check(is_first, "a call ended twice");
        match told {
            Ok((attempt, answer)) => {
                let is_right = answer.as_ref() == answer_of(attempt, key).as_bytes();
                self.check(is_right, "a caller got another call's answer");
                self.counts[3] += u64::from(attempt.call != own);
            }
            Err(kind) if kind.row().outcome == Outcome::NotRun => {
                self.check(executions == 0, "a call ran before not-run");
                self.counts[1] += 1;
            }
            Err(_) => {}
        }
    }

    // Owners.

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Attempt(call, owner, arrival, remaining_us) => {
                self.on_attempt(call, owner, arrival, remaining_us);
            }
            Message::Ask(call, owner, ask, kind, remaining_us) => {
                self.on_ask(call, owner, ask, kind, remaining_us);
            }
            Message::ToEntry(call, event) => self.reply(call, event),
            Message::Claim(call, round, keeper, claim) => {
                let now_us = keeper_clock(self.now_us, keeper);
                let reply = self.keepers[keeper].claim(now_us, &claim);
                self.note(format!("keeper {keeper}: {} {reply:?}", claim.attempt));
                let reply = (!self.fault(16)).then_some(reply);
                self.net
                    .push(Message::ClaimReply(call, round, keeper, reply));
            }
            Message::ClaimReply(call, round, keeper, reply) => {
                let now_us = self.now_us;
                let (attempt, state) = &mut self.callers[call].rounds[round];
                let attempt = *attempt;
                let result = state.on_reply(now_us, keeper, reply);
                self.round_result(call, attempt, result.as_ref());
            }
            Message::CopyRequest(to, from, after, requested_us) => {
                let copy = self.keepers[from].export(keeper_clock(self.now_us, from), after, 1);
                self.net.push(Message::Copy(to, from, copy, requested_us));
            }
            Message::Copy(to, from, copy, requested_us) => {
                let now_us = keeper_clock(self.now_us, to);
                self.keepers[to].import(now_us, requested_us, from, &copy);
                if copy.next.is_some() {
                    let next = Message::CopyRequest(to, from, copy.next, requested_us);
                    self.net.push(next);
                }
            }
        }
    }

    fn reply(&mut self, call: usize, event: Event<usize>) {
        let attempt = match &event {
            Event::Fate(a, Fate::Answered(_)) => {
                self.counts[2] += 1;
                *a
            }
            Event::Fate(a, _) | Event::HolderFate(a, _) => *a,
            Event::Answered(a, _) | Event::Refused(a, _) | Event::Failed(a, _) => *a,
            _ => return,
        };
        let is_attempt = !matches!(event, Event::Fate(..) | Event::HolderFate(..));
        self.requests
            .retain(|r| r.call != call || r.attempt != attempt || r.kind.is_none() != is_attempt);
        self.event(call, event);
    }

    fn on_attempt(&mut self, call: usize, owner: usize, mut arrival: Arrival, remaining_us: u64) {
        let now_us = owner_clock(self.now_us, owner);
        let attempt = arrival.attempt;
        arrival.deadline_us = now_us + remaining_us;
        let state = &mut self.owners[owner];
        let begin = state.records.begin(now_us, &arrival);
        let noted = format!("owner {owner}: {attempt} {begin:?}");
        let event = match begin {
            Begin::Duplicate(fate) => Event::Fate(attempt, fate),
            Begin::Refused(kind) => Event::Refused(attempt, kind),
            Begin::Fresh if state.drains => match state.records.refused(now_us, attempt) {
                Fate::NotStarted => Event::Refused(attempt, ErrorKind::Stopping),
                fate => Event::Fate(attempt, fate),
            },
            Begin::Fresh => {
                state.queue.push_back((attempt, call));
                self.note(noted);
                self.start_queued(owner);
                return;
            }
        };
        self.note(noted);
        self.net.push(Message::ToEntry(call, event));
    }

    fn on_ask(&mut self, call: usize, owner: usize, mut ask: Ask, kind: AskKind, rest_us: u64) {
        let now_us = owner_clock(self.now_us, owner);
        ask.deadline_us = now_us + rest_us;
        let state = &mut self.owners[owner];
        let attempt = ask.attempt;
        let fate = if kind == AskKind::Cancel {
            let fate = state.records.cancelled(now_us, &ask);
            // A cancelled attempt stays in the queue now and then: `started` must stop it.
            if fate == Fate::Running {
                state.running.retain(|r| r.0 != attempt);
                state
                    .records
                    .failed(now_us, attempt, ErrorKind::UpstreamLost);
            }
            fate
        } else {
            state.records.fate(now_us, &ask)
        };
        self.note(format!("owner {owner}: asked for {attempt}: {fate:?}"));
        let event = if kind == AskKind::Holder {
            Event::HolderFate(attempt, fate)
        } else {
            Event::Fate(attempt, fate)
        };
        self.net.push(Message::ToEntry(call, event));
        self.start_queued(owner);
    }

    fn start_queued(&mut self, owner: usize) {
        while self.owners[owner].running.len() < SLOTS {
            let now_us = owner_clock(self.now_us, owner);
            let state = &mut self.owners[owner];
            let Some((attempt, call)) = state.queue.pop_front() else {
                return;
            };
            if !state.records.started(now_us, attempt) {
                let fate = state.records.refused(now_us, attempt);
                self.net
                    .push(Message::ToEntry(call, Event::Fate(attempt, fate)));
                continue;
            }
            state.running.push((attempt, call));
            self.executes(owner, call, attempt);
        }
    }

    fn executes(&mut self, owner: usize, call: usize, attempt: AttemptId) {
        self.note(format!("owner {owner}: runs {attempt}"));
        self.counts[0] += 1;
        let caller = &mut self.callers[call];
        caller.executions += 1;
        let told = caller.told;
        let is_once = caller.idempotent || caller.executions == 1;
        let key = caller.key;
        let was_not_run = matches!(told, Some(Err(kind)) if kind.row().outcome == Outcome::NotRun);
        let same_key = self
            .callers
            .iter()
            .filter(|c| key.is_some() && c.key == key);
        let key_runs: u32 = same_key.map(|c| c.executions).sum();
        self.check(!was_not_run, "a call ran after not-run");
        self.check(is_once, "a call ran twice");
        self.check(key_runs <= 1, "a key ran twice");
    }

    fn finish_one(&mut self) {
        let busy: Vec<usize> = (0..OWNERS)
            .filter(|&o| !self.owners[o].running.is_empty())
            .collect();
        if busy.is_empty() {
            return;
        }
        let owner = busy[self.choose(busy.len())];
        let index = self.choose(self.owners[owner].running.len());
        self.finish(owner, index);
    }

    pub(crate) fn finish(&mut self, owner: usize, index: usize) {
        let (attempt, call) = self.owners[owner].running.remove(index);
        let answer: Arc<[u8]> = answer_of(attempt, self.callers[call].key)
            .into_bytes()
            .into();
        self.now_us += 1_000;
        let now_us = owner_clock(self.now_us, owner);
        let records = &mut self.owners[owner].records;
        records.finished(now_us, attempt, Arc::clone(&answer));
        self.net
            .push(Message::ToEntry(call, Event::Answered(attempt, answer)));
        self.start_queued(owner);
    }

    // Faults.

    pub(crate) fn toggle_drain(&mut self, owner: usize) {
        self.owners[owner].drains ^= true;
    }

    pub(crate) fn wait(&mut self, time_us: u64) {
        self.now_us += time_us;
        self.tick();
    }

    /// Ends the requests of one entry to one owner; their messages may still arrive.
    fn lose_connection(&mut self) {
        let entry = self.choose(ENTRIES);
        let owner = self.choose(OWNERS);
        self.lose(entry, owner);
    }

    pub(crate) fn lose(&mut self, entry: usize, owner: usize) {
        self.note(format!(
            "entry {entry} loses its connection to owner {owner}"
        ));
        self.generations[entry][owner] += 1;
        let callers = &self.callers;
        let (lost, kept) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|r| r.owner == owner && callers[r.call].entry == entry);
        self.requests = kept;
        let lost: Vec<Request> = lost;
        for request in lost {
            let event = match request.kind {
                None => Event::ConnectionLost(request.attempt),
                Some(AskKind::Holder) => Event::HolderUnavailable(request.attempt),
                Some(_) => Event::FateUnavailable(request.attempt),
            };
            self.event(request.call, event);
        }
    }

    pub(crate) fn restart_owner(&mut self, owner: usize) {
        self.note(format!("owner {owner} restarts"));
        self.owners[owner] = new_owner(self.owners[owner].incarnation + 1);
        for entry in 0..ENTRIES {
            self.lose(entry, owner);
        }
    }

    fn crash_upstream(&mut self) {
        let owner = self.choose(OWNERS);
        self.note(format!("upstream {owner} crashes"));
        let now_us = owner_clock(self.now_us, owner);
        for (attempt, call) in std::mem::take(&mut self.owners[owner].running) {
            let kind = ErrorKind::UpstreamLost;
            self.owners[owner].records.failed(now_us, attempt, kind);
            self.net
                .push(Message::ToEntry(call, Event::Failed(attempt, kind)));
        }
        self.start_queued(owner);
    }

    pub(crate) fn restart_keeper(&mut self, keeper: usize) {
        self.note(format!("keeper {keeper} restarts"));
        let now_us = keeper_clock(self.now_us, keeper);
        self.keepers[keeper] = ClaimTable::new(now_us, claims(), ClaimStart::Restarted);
    }

    /// A warming keeper asks the others for copies as soon as it may.
    pub(crate) fn copy_claims(&mut self) {
        for to in 0..KEEPERS {
            let now_us = keeper_clock(self.now_us, to);
            let Some(from_us) = self.keepers[to].copy_from_us() else {
                continue;
            };
            if now_us < from_us {
                continue;
            }
            for from in (0..KEEPERS).filter(|&k| k != to) {
                self.net.push(Message::CopyRequest(to, from, None, now_us));
            }
        }
    }
}

/// The answer names its attempt and key, so that a foreign answer is noticed.
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
        drains: false,
    }
}

fn claims() -> ClaimConfig {
    ClaimConfig::default()
}

fn node(owner: usize, incarnation: u64) -> NodeId {
    NodeId {
        mesh: ([127, 0, 0, 1], owner as u16).into(),
        incarnation,
    }
}

/// Clocks of different processes have different origins.
fn owner_clock(now_us: u64, owner: usize) -> u64 {
    now_us + 7_000_000_000 * owner as u64
}

fn keeper_clock(now_us: u64, keeper: usize) -> u64 {
    now_us + 90_000_000_000 * keeper as u64
}
