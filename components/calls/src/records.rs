//! The owner's records of attempts: which may start, which ran, and their answers.

use crate::{
    AttemptStatus, DEADLINE_GRACE_US,
    entry_states::{AwakeClock, Origins},
};
use errors::{ErrorKind, Outcome};
use model::AttemptId;
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
};

/// Longest delay of a message on a connection that its sender still uses: connect timeout (1 s),
/// silence limit (750 ms) and as much again for queues in both processes. Messages of connections
/// that were given up may come later; their generation and the bounds in `Origin` stop them.
const MESSAGE_DELAY_US: u64 = 5_000_000;

/// An attempt's message as it reaches the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncomingAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Incarnation of the owner that the entry addressed.
    pub target: u64,
    /// Entry's counter of its connections to this owner; grows each time one is lost.
    pub generation: u64,
    /// Deadline on the owner's clock, from the remaining time in the message.
    pub deadline_us: u64,
    /// Whether the call has an idempotency key and is not repeatable.
    pub keyed: bool,
    /// Whether the answer is kept for fate requests; not needed for idempotent calls.
    pub keep_answer: bool,
}

/// A fate or cancel request as it reaches the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusQuery {
    /// The attempt.
    pub attempt: AttemptId,
    /// Incarnation of the owner that the attempt was sent to.
    pub target: u64,
    /// As in `IncomingAttempt` if the attempt's own entry asks; `None` if another entry asks for a key.
    pub generation: Option<u64>,
    /// Deadline of the attempt on the owner's clock, from the remaining time in the request.
    pub deadline_us: u64,
    /// As in `IncomingAttempt`.
    pub keyed: bool,
}

/// Whether an attempt may enter the owner's queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// New; it may be queued and, after `try_start` returns true, run.
    New,
    /// Known already; reply with this fate and don't run it.
    Duplicate(AttemptStatus),
    /// Not run and never to be run.
    Refused(ErrorKind),
}

/// Limits of the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordsConfig {
    /// Incarnation of this owner.
    pub incarnation: u64,
    /// How long a finished answer is kept.
    pub retention_ms: u64,
    /// How long the mark of an ended keyed attempt is kept; at least the life of a claim.
    pub keyed_retention_ms: u64,
    /// Most records, marks and tombstones.
    pub max_records: usize,
    /// Most bytes of kept answers.
    pub max_bytes: usize,
    /// Most entries that are remembered.
    pub max_origins: usize,
}

impl Default for RecordsConfig {
    fn default() -> Self {
        RecordsConfig {
            incarnation: 0,
            retention_ms: 30_000,
            keyed_retention_ms: 660_000,
            max_records: 200_000,
            max_bytes: 64 << 20,
            max_origins: 8_192,
        }
    }
}

#[derive(Debug)]
enum State {
    Queued,
    Running,
    Answered(Arc<[u8]>),
    Failed(ErrorKind),
    /// Ran, and only this mark is left.
    Forgotten,
    /// Tombstone.
    NotStarted,
}

impl State {
    fn status(&self) -> AttemptStatus {
        match self {
            State::Queued | State::Running => AttemptStatus::Running,
            State::Answered(answer) => AttemptStatus::Answered(Arc::clone(answer)),
            State::Failed(kind) => AttemptStatus::Failed(*kind),
            State::Forgotten => AttemptStatus::Forgotten,
            State::NotStarted => AttemptStatus::NotStarted,
        }
    }
}

/// Times are awake times, except `deadline_us`.
#[derive(Debug)]
struct Record {
    state: State,
    keyed: bool,
    keep_answer: bool,
    deadline_us: u64,
    /// No message about the attempt matters after this time.
    settled_us: u64,
    /// End of the mark of a keyed attempt.
    mark_ends_us: u64,
    /// Next change by time, if any; an element of `timers` or `spare`.
    due_us: Option<u64>,
}

/// Records of one owner.
#[derive(Debug)]
pub struct CallRecords {
    config: RecordsConfig,
    clock: AwakeClock,
    origins: Origins,
    records: HashMap<AttemptId, Record>,
    timers: BTreeSet<(u64, AttemptId)>,
    /// Marks of keyed attempts that may be dropped early if the table is full.
    spare: BTreeSet<(u64, AttemptId)>,
    /// Attempts with kept answers, oldest first.
    answers: VecDeque<AttemptId>,
    answer_bytes: usize,
}

impl CallRecords {
    /// Empty records.
    pub fn new(config: RecordsConfig) -> Self {
        CallRecords {
            config,
            clock: AwakeClock::default(),
            origins: Origins::new(config.max_origins),
            records: HashMap::new(),
            timers: BTreeSet::new(),
            spare: BTreeSet::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Takes an attempt's message. After `New` the caller must end the record by `finish`,
    /// `fail`, `refuse` or `cancel`.
    pub fn begin(&mut self, now_us: u64, arrival: &IncomingAttempt) -> BeginResult {
        let awake_us = self.advance(now_us);
        let call = arrival.attempt.call;
        if arrival.target != self.config.incarnation {
            return BeginResult::Duplicate(AttemptStatus::Forgotten);
        }
        if let Some(record) = self.records.get(&arrival.attempt) {
            return BeginResult::Duplicate(record.state.status());
        }
        let Some(origin) = self.origins.touch(awake_us, call.origin) else {
            return BeginResult::Refused(ErrorKind::Busy);
        };
        if call.sequence < origin.forgotten_below[usize::from(arrival.keyed)] {
            return BeginResult::Duplicate(AttemptStatus::Forgotten);
        }
        if arrival.generation < origin.generation || call.sequence < origin.refused_below {
            return BeginResult::Refused(ErrorKind::Busy);
        }
        origin.generation = arrival.generation;
        if arrival.deadline_us <= now_us {
            self.bury(
                awake_us,
                arrival.attempt,
                arrival.deadline_us,
                arrival.keyed,
            );
            return BeginResult::Refused(ErrorKind::DeadlineExpired);
        }
        if !self.make_room() {
            self.refuse_below(awake_us, arrival.attempt);
            return BeginResult::Refused(ErrorKind::Busy);
        }
        self.insert(arrival, State::Queued);
        BeginResult::New
    }

    /// Asks, right before the request goes to the upstream, whether the attempt may start. False
    /// if it was cancelled or refused meanwhile, or if its deadline has passed.
    pub fn try_start(&mut self, now_us: u64, attempt: AttemptId) -> bool {
        let awake_us = self.advance(now_us);
        let Some(record) = self.records.get_mut(&attempt) else {
            return false;
        };
        if !matches!(record.state, State::Queued) {
            return false;
        }
        if now_us >= record.deadline_us {
            self.end(awake_us, attempt, State::NotStarted);
            return false;
        }
        record.state = State::Running;
        true
    }

    /// Keeps the complete answer of a started attempt.
    pub fn finish(&mut self, now_us: u64, attempt: AttemptId, answer: Arc<[u8]>) {
        let awake_us = self.advance(now_us);
        let Some(record) = self.running(attempt) else {
            return;
        };
        if !record.keep_answer {
            self.end(awake_us, attempt, State::Forgotten);
            return;
        }
        self.answer_bytes += answer.len();
        self.answers.push_back(attempt);
        self.end(awake_us, attempt, State::Answered(answer));
        self.limit_bytes();
    }

    /// Ends a started attempt without an answer; a not-run kind means nothing reached the upstream.
    pub fn fail(&mut self, now_us: u64, attempt: AttemptId, kind: ErrorKind) {
        let awake_us = self.advance(now_us);
        if self.running(attempt).is_none() {
            return;
        }
        let state = match kind.info().outcome {
            Outcome::NotRun => State::NotStarted,
            Outcome::Unknown => State::Failed(kind),
        };
        self.end(awake_us, attempt, state);
    }

    /// Marks a queued attempt as never to start; returns what is true of it afterwards.
    pub fn refuse(&mut self, now_us: u64, attempt: AttemptId) -> AttemptStatus {
        let awake_us = self.advance(now_us);
        if self.is_queued(attempt) {
            self.end(awake_us, attempt, State::NotStarted);
        }
        self.records
            .get(&attempt)
            .map_or(AttemptStatus::Forgotten, |r| r.state.status())
    }

    /// Takes a cancel request: an attempt that has not started will never start. After `Running`
    /// the caller aborts the exchange with the upstream.
    pub fn cancel(&mut self, now_us: u64, ask: &StatusQuery) -> AttemptStatus {
        let awake_us = self.advance(now_us);
        if ask.target == self.config.incarnation && self.is_queued(ask.attempt) {
            self.end(awake_us, ask.attempt, State::NotStarted);
        }
        self.query_status(now_us, ask)
    }

    /// Takes a fate request. An unknown attempt gets a tombstone: its message may still be on the
    /// way over a lost connection and must find the attempt refused.
    pub fn query_status(&mut self, now_us: u64, ask: &StatusQuery) -> AttemptStatus {
        let awake_us = self.advance(now_us);
        let call = ask.attempt.call;
        if ask.target != self.config.incarnation {
            return AttemptStatus::Forgotten;
        }
        let Some(origin) = self.origins.touch(awake_us, call.origin) else {
            return AttemptStatus::Forgotten;
        };
        origin.generation = origin.generation.max(ask.generation.unwrap_or(0));
        if let Some(record) = self.records.get(&ask.attempt) {
            return record.state.status();
        }
        if call.sequence < origin.forgotten_below[usize::from(ask.keyed)] {
            return AttemptStatus::Forgotten;
        }
        if call.sequence >= origin.refused_below {
            self.bury(awake_us, ask.attempt, ask.deadline_us, ask.keyed);
        }
        AttemptStatus::NotStarted
    }

    /// Drops what is no longer needed. Called at least once per second: longer gaps count as
    /// pauses of the process and prolong what is kept.
    pub fn tick(&mut self, now_us: u64) {
        self.advance(now_us);
    }

    /// Number of records, marks and tombstones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes of kept answers.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    fn is_queued(&self, attempt: AttemptId) -> bool {
        self.records
            .get(&attempt)
            .is_some_and(|r| matches!(r.state, State::Queued))
    }

    fn running(&self, attempt: AttemptId) -> Option<&Record> {
        self.records
            .get(&attempt)
            .filter(|r| matches!(r.state, State::Running))
    }

    fn insert(&mut self, arrival: &IncomingAttempt, state: State) {
        let settled_us = self.clock.at(arrival.deadline_us) + DEADLINE_GRACE_US + MESSAGE_DELAY_US;
        let record = Record {
            state,
            keyed: arrival.keyed,
            keep_answer: arrival.keep_answer,
            deadline_us: arrival.deadline_us,
            settled_us,
            mark_ends_us: 0,
            due_us: None,
        };
        self.records.insert(arrival.attempt, record);
        self.origins.added(arrival.attempt.call.origin);
    }

    /// Leaves a tombstone, or raises the bound of the entry if the table is full.
    fn bury(&mut self, awake_us: u64, attempt: AttemptId, deadline_us: u64, keyed: bool) {
        if !self.make_room() {
            self.refuse_below(awake_us, attempt);
            return;
        }
        let arrival = IncomingAttempt {
            attempt,
            target: self.config.incarnation,
            generation: 0,
            deadline_us,
            keyed,
            keep_answer: false,
        };
        self.insert(&arrival, State::Queued);
        self.end(awake_us, attempt, State::NotStarted);
    }

    fn refuse_below(&mut self, awake_us: u64, attempt: AttemptId) {
        if let Some(origin) = self.origins.touch(awake_us, attempt.call.origin) {
            origin.refused_below = origin.refused_below.max(attempt.call.sequence + 1);
        }
    }

    /// Makes room for one record; tombstones and records that still matter stay.
    fn make_room(&mut self) -> bool {
        if self.records.len() < self.config.max_records {
            return true;
        }
        let Some((_, attempt)) = self.spare.pop_first() else {
            return false;
        };
        self.drop_record(attempt);
        true
    }

    /// Ends a record and sets the time of its next change.
    fn end(&mut self, awake_us: u64, attempt: AttemptId, state: State) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let retention_us = self.config.retention_ms * 1_000;
        let due_us = match state {
            State::Answered(_) => awake_us + retention_us,
            State::NotStarted => record.settled_us.max(awake_us + MESSAGE_DELAY_US),
            _ => record.settled_us.max(awake_us + retention_us),
        };
        record.state = state;
        record.mark_ends_us = awake_us + self.config.keyed_retention_ms * 1_000;
        self.schedule(attempt, due_us);
    }

    fn schedule(&mut self, attempt: AttemptId, due_us: u64) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if let Some(old_us) = record.due_us.replace(due_us) {
            self.timers.remove(&(old_us, attempt));
        }
        self.timers.insert((due_us, attempt));
    }

    /// Moves the clock and applies all changes that are due.
    fn advance(&mut self, now_us: u64) -> u64 {
        let awake_us = self.clock.advance(now_us);
        while let Some(&(due_us, attempt)) = self.timers.first() {
            if due_us > awake_us {
                break;
            }
            self.timers.pop_first();
            self.on_due(awake_us, attempt);
        }
        while let Some(&(due_us, attempt)) = self.spare.first() {
            if due_us > awake_us {
                break;
            }
            self.spare.pop_first();
            self.drop_record(attempt);
        }
        awake_us
    }

    /// Drops an expired answer first, then the mark, unless a claim may still name the attempt.
    fn on_due(&mut self, awake_us: u64, attempt: AttemptId) {
        self.forget_answer(attempt);
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        record.due_us = None;
        if awake_us < record.settled_us {
            let due_us = record.settled_us;
            self.schedule(attempt, due_us);
            return;
        }
        let not_started = matches!(record.state, State::NotStarted);
        if record.keyed && !not_started && awake_us < record.mark_ends_us {
            record.state = State::Forgotten;
            self.spare.insert((record.mark_ends_us, attempt));
            return;
        }
        self.drop_record(attempt);
    }

    fn drop_record(&mut self, attempt: AttemptId) {
        if let Some(record) = self.records.remove(&attempt) {
            let started = !matches!(record.state, State::NotStarted);
            let call = attempt.call;
            self.origins
                .dropped(call.origin, call.sequence, started, record.keyed);
        }
    }

    /// Replaces a kept answer by a mark.
    fn forget_answer(&mut self, attempt: AttemptId) {
        if let Some(record) = self.records.get_mut(&attempt)
            && let State::Answered(answer) = &record.state
        {
            self.answer_bytes -= answer.len();
            record.state = State::Forgotten;
        }
        while let Some(front) = self.answers.front() {
            let kept = self
                .records
                .get(front)
                .is_some_and(|r| matches!(r.state, State::Answered(_)));
            if kept {
                break;
            }
            self.answers.pop_front();
        }
    }

    /// Drops the oldest answers over the byte limit; their marks stay.
    fn limit_bytes(&mut self) {
        while self.answer_bytes > self.config.max_bytes {
            let Some(&oldest) = self.answers.front() else {
                return;
            };
            self.forget_answer(oldest);
        }
    }
}
