//! The owner's records of attempts: which may start, which have run, and their answers.
//!
//! A tombstone is the record of an attempt that must never start. A mark is the record of an
//! attempt that has ended and whose answer was not kept or has been dropped.

mod config;
mod expiry;
mod messages;
mod record;

pub use config::RecordsConfig;
pub use messages::{BeginResult, IncomingAttempt, StatusQuery};

use crate::{
    AttemptStatus, DEADLINE_GRACE_US,
    entry_states::{AwakeClock, EntryStates},
};
use errors::{ErrorKind, Outcome};
use model::AttemptId;
use record::{Record, State};
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
};

/// Longest delay of a message on a connection that its sender still uses: connect timeout (1 s),
/// silence limit (750 ms) and as much again for queues in both processes. Messages of connections
/// that were given up may come later; their generation and the bounds in `EntryState` stop them.
const MESSAGE_DELAY_US: u64 = 5_000_000;

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
        self.insert(incoming);
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
        self.refuse_queued(awake_us, attempt);
        self.records
            .get(&attempt)
            .map_or(AttemptStatus::Forgotten, |r| r.state.status())
    }

    /// Handles a cancel request: an attempt that has not started will never start. If the status is
    /// `Running`, the caller aborts the exchange with the upstream.
    pub fn cancel(&mut self, now_us: u64, query: &StatusQuery) -> AttemptStatus {
        let awake_us = self.advance(now_us);
        if query.target == self.config.incarnation {
            self.refuse_queued(awake_us, query.attempt);
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

    /// Makes sure that an attempt never starts, if it is queued.
    fn refuse_queued(&mut self, awake_us: u64, attempt: AttemptId) {
        let record = self.records.get(&attempt);
        if record.is_some_and(|r| matches!(r.state, State::Queued)) {
            self.end(awake_us, attempt, State::NotStarted);
        }
    }

    fn running_record(&self, attempt: AttemptId) -> Option<&Record> {
        self.records
            .get(&attempt)
            .filter(|r| matches!(r.state, State::Running))
    }

    /// Adds the record of a queued attempt.
    fn insert(&mut self, incoming: &IncomingAttempt) {
        let messages_until_us =
            self.clock.awake_at_us(incoming.deadline_us) + DEADLINE_GRACE_US + MESSAGE_DELAY_US;
        let record = Record {
            state: State::Queued,
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
        self.insert(&incoming);
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
}
