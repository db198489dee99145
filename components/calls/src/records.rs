//! The owner's records of attempts: which may start, which ran, and their answers.

use crate::Fate;
use errors::ErrorKind;
use model::AttemptId;
use std::{collections::HashMap, sync::Arc};

/// An attempt's message as it reaches the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
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
pub struct Ask {
    /// The attempt.
    pub attempt: AttemptId,
    /// Incarnation of the owner that the attempt was sent to.
    pub target: u64,
    /// As in `Arrival` if the attempt's own entry asks; `None` if another entry asks for a key.
    pub generation: Option<u64>,
    /// Deadline of the attempt on the owner's clock, from the remaining time in the request.
    pub deadline_us: u64,
    /// As in `Arrival`.
    pub keyed: bool,
}

/// Whether an attempt may enter the owner's queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// New; it may be queued and, after `started` returns true, run.
    Fresh,
    /// Known already; reply with this fate and don't run it.
    Duplicate(Fate),
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
    /// How long the mark of an ended keyed attempt is kept; the life of a claim.
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

/// Records of one owner.
#[derive(Debug)]
pub struct CallRecords {
    config: RecordsConfig,
    records: HashMap<AttemptId, Fate>,
}

impl CallRecords {
    /// Empty records.
    pub fn new(config: RecordsConfig) -> Self {
        CallRecords {
            config,
            records: HashMap::new(),
        }
    }

    /// Takes an attempt's message.
    pub fn begin(&mut self, _now_us: u64, arrival: &Arrival) -> Begin {
        if let Some(fate) = self.records.get(&arrival.attempt) {
            return Begin::Duplicate(fate.clone());
        }
        if self.records.len() >= self.config.max_records {
            return Begin::Refused(ErrorKind::Busy);
        }
        self.records.insert(arrival.attempt, Fate::Running);
        Begin::Fresh
    }

    /// Asks, right before the request goes to the upstream, whether the attempt may start.
    pub fn started(&mut self, _now_us: u64, attempt: AttemptId) -> bool {
        self.records.get(&attempt) == Some(&Fate::Running)
    }

    /// Keeps the complete answer of a started attempt.
    pub fn finished(&mut self, _now_us: u64, attempt: AttemptId, answer: Arc<[u8]>) {
        self.records.insert(attempt, Fate::Answered(answer));
    }

    /// Ends a started attempt without an answer; a not-run kind means nothing reached the upstream.
    pub fn failed(&mut self, _now_us: u64, attempt: AttemptId, kind: ErrorKind) {
        self.records.insert(attempt, Fate::Failed(kind));
    }

    /// Marks a queued attempt as never to start; returns what is true of it afterwards.
    pub fn refused(&mut self, _now_us: u64, attempt: AttemptId) -> Fate {
        self.records.insert(attempt, Fate::NotStarted);
        Fate::NotStarted
    }

    /// Takes a cancel request: an attempt that has not started will never start.
    pub fn cancelled(&mut self, now_us: u64, ask: &Ask) -> Fate {
        self.fate(now_us, ask)
    }

    /// Takes a fate request; an unknown attempt gets a tombstone and will never start.
    pub fn fate(&mut self, _now_us: u64, ask: &Ask) -> Fate {
        self.records
            .entry(ask.attempt)
            .or_insert(Fate::NotStarted)
            .clone()
    }

    /// Drops what is no longer needed; called at least once per second.
    pub fn tick(&mut self, _now_us: u64) {}

    /// Number of records, marks and tombstones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
