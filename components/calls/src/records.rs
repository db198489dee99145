//! The owner's records of attempts: which may start, which have run, and their answers.
//!
//! A tombstone is the record of an attempt that must never start. A mark is the record of an
//! attempt that has ended and whose answer was not kept or has been dropped.

use crate::{
    AttemptStatus, DEADLINE_GRACE_US,
    entry_states::{AwakeClock, EntryStates},
};
use errors::{ErrorKind, Outcome};
use model::AttemptId;
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
};

/// Longest delay of a message on a connection that its sender still uses: connect timeout (1 s),
/// silence limit (750 ms) and as much again for queues in both processes. Messages of connections
/// that were given up may come later; their generation and the bounds in `EntryState` stop them.
const MESSAGE_DELAY_US: u64 = 5_000_000;

/// An entry's request to run an attempt, as the owner receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncomingAttempt {
    /// Attempt that the entry asks to run.
    pub attempt: AttemptId,
    /// Incarnation of the owner that the entry addressed.
    pub target: u64,
    /// Entry's counter of its connections to this owner; it grows each time one is lost.
    pub generation: u64,
    /// Deadline on the owner's clock, from the remaining time in the message.
    pub deadline_us: u64,
    /// Whether the call has an idempotency key and is not idempotent.
    pub keyed: bool,
    /// Whether the answer is kept for status queries from the start; that of an idempotent call is
    /// kept only once its status has been queried.
    pub keep_answer: bool,
}

/// An entry's status query or cancel request, as the owner receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusQuery {
    /// Attempt whose status is queried or that is to be cancelled.
    pub attempt: AttemptId,
    /// Incarnation of the owner that the attempt was sent to.
    pub target: u64,
    /// As in `IncomingAttempt` if the query is from the attempt's own entry; `None` if it is from
    /// another entry that wants the key which the attempt holds.
    pub generation: Option<u64>,
    /// Deadline of the attempt on the owner's clock, from the remaining time in the query.
    pub deadline_us: u64,
    /// As in `IncomingAttempt`.
    pub keyed: bool,
}

/// Result of [`CallRecords::begin`]: whether an attempt may enter the owner's queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// New; it may be queued and, once `try_start` has returned true, run.
    New,
    /// Already known; reply with this status and don't run it.
    Duplicate(AttemptStatus),
    /// Has not run and will never run.
    Refused(ErrorKind),
}

/// Settings of [`CallRecords`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordsConfig {
    /// Incarnation of this owner.
    pub incarnation: u64,
    /// How long a finished answer is kept.
    pub retention_ms: u64,
    /// How long the mark of an ended keyed attempt is kept; at least the retention of claims.
    pub keyed_retention_ms: u64,
    /// Maximum number of records, marks and tombstones included.
    pub max_records: usize,
    /// Maximum size of all kept answers in bytes.
    pub max_bytes: usize,
    /// Maximum number of entries whose state is kept.
    pub max_entries: usize,
}

impl Default for RecordsConfig {
    fn default() -> Self {
        RecordsConfig {
            incarnation: 0,
            retention_ms: 30_000,
            keyed_retention_ms: 660_000,
            max_records: 200_000,
            max_bytes: 64 << 20,
            max_entries: 8_192,
        }
    }
}

/// What the owner knows of one attempt.
#[derive(Debug)]
enum State {
    Queued,
    Running,
    Answered(Arc<[u8]>),
    Failed(ErrorKind),
    /// Mark: may have run, and its answer is not kept.
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

/// The record of one attempt. Its times are of the `AwakeClock`, except `deadline_us`.
#[derive(Debug)]
struct Record {
    state: State,
    keyed: bool,
    keep_answer: bool,
    deadline_us: u64,
    /// Messages about the attempt may arrive until this time.
    messages_until_us: u64,
    /// End of the mark of a keyed attempt.
    mark_ends_us: u64,
    /// Time of the attempt's element in `timers`, if it has one.
    due_us: Option<u64>,
}

/// Records of all attempts that reached one owner. They decide which attempt may start, so that no
/// attempt runs twice even if messages are repeated, delayed or lost.
#[derive(Debug)]
pub struct CallRecords {
    config: RecordsConfig,
    clock: AwakeClock,
    entries: EntryStates,
    records: HashMap<AttemptId, Record>,
    timers: BTreeSet<(u64, AttemptId)>,
    /// Marks of keyed attempts, which may be dropped early if the table is full.
    evictable_marks: BTreeSet<(u64, AttemptId)>,
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
            entries: EntryStates::new(config.max_entries),
            records: HashMap::new(),
            timers: BTreeSet::new(),
            evictable_marks: BTreeSet::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Handles a request to run an attempt. After `New` the caller must end the record by `finish`,
    /// `fail`, `refuse` or `cancel`.
    pub fn begin(&mut self, now_us: u64, incoming: &IncomingAttempt) -> BeginResult {
        let awake_us = self.advance(now_us);
        let call = incoming.attempt.call;
        if incoming.target != self.config.incarnation {
            return BeginResult::Duplicate(AttemptStatus::Forgotten);
        }
        if let Some(record) = self.records.get(&incoming.attempt) {
            return BeginResult::Duplicate(record.state.status());
        }
        let Some(entry) = self.entries.get_or_insert(awake_us, call.origin) else {
            return BeginResult::Refused(ErrorKind::Busy);
        };
        if call.sequence < entry.forgotten_below[usize::from(incoming.keyed)] {
            return BeginResult::Duplicate(AttemptStatus::Forgotten);
        }
        if incoming.generation < entry.generation || call.sequence < entry.refused_below {
            return BeginResult::Refused(ErrorKind::Busy);
        }
        entry.generation = incoming.generation;
        if incoming.deadline_us <= now_us {
            self.add_tombstone(
                awake_us,
                incoming.attempt,
                incoming.deadline_us,
                incoming.keyed,
            );
            return BeginResult::Refused(ErrorKind::DeadlineExpired);
        }
        if !self.make_room() {
            self.refuse_up_to(awake_us, incoming.attempt);
            return BeginResult::Refused(ErrorKind::Busy);
        }
        self.insert(incoming, State::Queued);
        BeginResult::New
    }

    /// Marks a queued attempt as running; called right before its request goes to the upstream.
    /// Returns false if it must not start: it was cancelled or refused meanwhile, or its deadline
    /// has passed.
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

    /// Ends a started attempt and keeps its complete answer, if `keep_answer` is set.
    pub fn finish(&mut self, now_us: u64, attempt: AttemptId, answer: Arc<[u8]>) {
        let awake_us = self.advance(now_us);
        let Some(record) = self.running_record(attempt) else {
            return;
        };
        if !record.keep_answer {
            self.end(awake_us, attempt, State::Forgotten);
            return;
        }
        self.answer_bytes += answer.len();
        self.answers.push_back(attempt);
        self.end(awake_us, attempt, State::Answered(answer));
        self.limit_answer_bytes();
    }

    /// Ends a started attempt without an answer. A kind with the outcome not-run means that nothing
    /// reached the upstream.
    pub fn fail(&mut self, now_us: u64, attempt: AttemptId, kind: ErrorKind) {
        let awake_us = self.advance(now_us);
        if self.running_record(attempt).is_none() {
            return;
        }
        let state = match kind.info().outcome {
            Outcome::NotRun => State::NotStarted,
            Outcome::Unknown => State::Failed(kind),
        };
        self.end(awake_us, attempt, state);
    }

    /// Makes sure that a queued attempt never starts; returns its status afterwards.
    pub fn refuse(&mut self, now_us: u64, attempt: AttemptId) -> AttemptStatus {
        let awake_us = self.advance(now_us);
        if self.is_queued(attempt) {
            self.end(awake_us, attempt, State::NotStarted);
        }
        self.records
            .get(&attempt)
            .map_or(AttemptStatus::Forgotten, |r| r.state.status())
    }

    /// Handles a cancel request: an attempt that has not started will never start. If the status is
    /// `Running`, the caller aborts the exchange with the upstream.
    pub fn cancel(&mut self, now_us: u64, query: &StatusQuery) -> AttemptStatus {
        let awake_us = self.advance(now_us);
        if query.target == self.config.incarnation && self.is_queued(query.attempt) {
            self.end(awake_us, query.attempt, State::NotStarted);
        }
        self.status_or_tombstone(awake_us, query)
    }

    /// Handles a status query. An unknown attempt gets a tombstone, because its message may still
    /// be on the way over a lost connection and must not start it after this reply.
    pub fn query_status(&mut self, now_us: u64, query: &StatusQuery) -> AttemptStatus {
        let awake_us = self.advance(now_us);
        if let Some(record) = self.records.get_mut(&query.attempt) {
            // The entry has lost the connection for the reply; a later query fetches the answer.
            record.keep_answer = true;
        }
        self.status_or_tombstone(awake_us, query)
    }

    fn status_or_tombstone(&mut self, awake_us: u64, query: &StatusQuery) -> AttemptStatus {
        let call = query.attempt.call;
        if query.target != self.config.incarnation {
            return AttemptStatus::Forgotten;
        }
        let Some(entry) = self.entries.get_or_insert(awake_us, call.origin) else {
            return AttemptStatus::Forgotten;
        };
        entry.generation = entry.generation.max(query.generation.unwrap_or(0));
        if let Some(record) = self.records.get(&query.attempt) {
            return record.state.status();
        }
        if call.sequence < entry.forgotten_below[usize::from(query.keyed)] {
            return AttemptStatus::Forgotten;
        }
        if call.sequence >= entry.refused_below {
            self.add_tombstone(awake_us, query.attempt, query.deadline_us, query.keyed);
        }
        AttemptStatus::NotStarted
    }

    /// Drops records that have expired. Must be called at least once per second: longer gaps count
    /// as pauses of the process and prolong the retention.
    pub fn tick(&mut self, now_us: u64) {
        self.advance(now_us);
    }

    /// Number of records, marks and tombstones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
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

    fn running_record(&self, attempt: AttemptId) -> Option<&Record> {
        self.records
            .get(&attempt)
            .filter(|r| matches!(r.state, State::Running))
    }

    fn insert(&mut self, incoming: &IncomingAttempt, state: State) {
        let messages_until_us =
            self.clock.awake_at_us(incoming.deadline_us) + DEADLINE_GRACE_US + MESSAGE_DELAY_US;
        let record = Record {
            state,
            keyed: incoming.keyed,
            keep_answer: incoming.keep_answer,
            deadline_us: incoming.deadline_us,
            messages_until_us,
            mark_ends_us: 0,
            due_us: None,
        };
        self.records.insert(incoming.attempt, record);
        self.entries.add_record(incoming.attempt.call.origin);
    }

    /// Adds a tombstone, or raises the bound of the entry if the table is full.
    fn add_tombstone(&mut self, awake_us: u64, attempt: AttemptId, deadline_us: u64, keyed: bool) {
        if !self.make_room() {
            self.refuse_up_to(awake_us, attempt);
            return;
        }
        let incoming = IncomingAttempt {
            attempt,
            target: self.config.incarnation,
            generation: 0,
            deadline_us,
            keyed,
            keep_answer: false,
        };
        self.insert(&incoming, State::Queued);
        self.end(awake_us, attempt, State::NotStarted);
    }

    /// Refuses all unknown attempts of the entry up to this call.
    fn refuse_up_to(&mut self, awake_us: u64, attempt: AttemptId) {
        if let Some(entry) = self.entries.get_or_insert(awake_us, attempt.call.origin) {
            entry.refused_below = entry.refused_below.max(attempt.call.sequence + 1);
        }
    }

    /// Makes room for one record, by evicting a mark of a keyed attempt if the table is full.
    /// Tombstones and records that messages may still refer to stay.
    fn make_room(&mut self) -> bool {
        if self.records.len() < self.config.max_records {
            return true;
        }
        let Some((_, attempt)) = self.evictable_marks.pop_first() else {
            return false;
        };
        self.drop_record(attempt);
        true
    }

    /// Sets the final state of an attempt and schedules the expiry of its record.
    fn end(&mut self, awake_us: u64, attempt: AttemptId, state: State) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let retention_us = self.config.retention_ms * 1_000;
        let due_us = match state {
            State::Answered(_) => awake_us + retention_us,
            State::NotStarted => record.messages_until_us.max(awake_us + MESSAGE_DELAY_US),
            _ => record.messages_until_us.max(awake_us + retention_us),
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

    /// Advances the clock to `now_us`, applies all expiries that are due and returns the awake
    /// time.
    fn advance(&mut self, now_us: u64) -> u64 {
        let awake_us = self.clock.advance(now_us);
        while let Some(&(due_us, attempt)) = self.timers.first() {
            if due_us > awake_us {
                break;
            }
            self.timers.pop_first();
            self.on_expired(awake_us, attempt);
        }
        while let Some(&(due_us, attempt)) = self.evictable_marks.first() {
            if due_us > awake_us {
                break;
            }
            self.evictable_marks.pop_first();
            self.drop_record(attempt);
        }
        awake_us
    }

    /// Drops the answer of an expired record, then the record itself. The mark of a keyed attempt
    /// stays, because a claim may still name the attempt.
    fn on_expired(&mut self, awake_us: u64, attempt: AttemptId) {
        self.drop_answer(attempt);
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        record.due_us = None;
        if awake_us < record.messages_until_us {
            let due_us = record.messages_until_us;
            self.schedule(attempt, due_us);
            return;
        }
        let is_tombstone = matches!(record.state, State::NotStarted);
        if record.keyed && !is_tombstone && awake_us < record.mark_ends_us {
            record.state = State::Forgotten;
            self.evictable_marks.insert((record.mark_ends_us, attempt));
            return;
        }
        self.drop_record(attempt);
    }

    fn drop_record(&mut self, attempt: AttemptId) {
        if let Some(record) = self.records.remove(&attempt) {
            let started = !matches!(record.state, State::NotStarted);
            let call = attempt.call;
            self.entries
                .drop_record(call.origin, call.sequence, started, record.keyed);
        }
    }

    /// Drops a kept answer and leaves a mark.
    fn drop_answer(&mut self, attempt: AttemptId) {
        if let Some(record) = self.records.get_mut(&attempt)
            && let State::Answered(answer) = &record.state
        {
            self.answer_bytes -= answer.len();
            record.state = State::Forgotten;
        }
        while let Some(front) = self.answers.front() {
            let is_kept = self
                .records
                .get(front)
                .is_some_and(|r| matches!(r.state, State::Answered(_)));
            if is_kept {
                break;
            }
            self.answers.pop_front();
        }
    }

    /// Drops the oldest answers while they exceed the byte limit; their marks stay.
    fn limit_answer_bytes(&mut self) {
        while self.answer_bytes > self.config.max_bytes {
            let Some(&oldest) = self.answers.front() else {
                return;
            };
            self.drop_answer(oldest);
        }
    }
}
