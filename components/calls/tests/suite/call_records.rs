//! Records of attempts at one owner.

use calls::{AttemptStatus, BeginResult, CallRecords, IncomingAttempt, RecordsConfig, StatusQuery};
use errors::ErrorKind;
use model::{AttemptId, CallId};
use std::sync::Arc;

const SECOND_US: u64 = 1_000_000;

fn attempt(sequence: u64) -> AttemptId {
    let call = CallId {
        origin: 1,
        sequence,
    };
    AttemptId { call, attempt: 0 }
}

fn incoming(sequence: u64, deadline_us: u64) -> IncomingAttempt {
    IncomingAttempt {
        attempt: attempt(sequence),
        target: 1,
        generation: 1,
        deadline_us,
        keyed: false,
        keep_answer: true,
    }
}

fn query(sequence: u64) -> StatusQuery {
    StatusQuery {
        attempt: attempt(sequence),
        target: 1,
        generation: Some(1),
        deadline_us: SECOND_US,
        keyed: false,
    }
}

fn records(max_records: usize, max_bytes: usize) -> CallRecords {
    CallRecords::new(RecordsConfig {
        incarnation: 1,
        max_records,
        max_bytes,
        ..RecordsConfig::default()
    })
}

/// Begins, starts and finishes an attempt.
fn run(records: &mut CallRecords, now_us: u64, sequence: u64, answer: &[u8]) {
    assert_eq!(
        records.begin(now_us, &incoming(sequence, now_us + SECOND_US)),
        BeginResult::New
    );
    assert!(records.try_start(now_us, attempt(sequence)));
    records.finish(now_us, attempt(sequence), Arc::from(answer));
}

/// Ticks the records once per second from one time to another, as a running owner does.
fn run_until(records: &mut CallRecords, from_us: u64, to_us: u64) {
    for now_us in (from_us..=to_us).step_by(SECOND_US as usize) {
        records.tick(now_us);
    }
}

/// Guards against an attempt that is reported as not started because its answer was evicted or has
/// expired, and against a second start by a duplicate message after its record has expired.
#[test]
fn answers_forgotten() {
    let mut records = records(100, 10);
    run(&mut records, 0, 1, b"12345678");
    run(&mut records, 0, 2, b"12345678");
    assert_eq!(
        records.query_status(0, &query(1)),
        AttemptStatus::Forgotten,
        "evicted by bytes"
    );
    assert_eq!(
        records.query_status(0, &query(2)),
        AttemptStatus::Answered(Arc::from(&b"12345678"[..]))
    );
    assert_eq!(records.answer_bytes(), 8);
    run_until(&mut records, 0, 31 * SECOND_US);
    assert!(records.is_empty());
    assert_eq!(records.answer_bytes(), 0);
    assert_eq!(
        records.query_status(31 * SECOND_US, &query(2)),
        AttemptStatus::Forgotten
    );
    let again = records.begin(31 * SECOND_US, &incoming(2, 32 * SECOND_US));
    assert_eq!(again, BeginResult::Duplicate(AttemptStatus::Forgotten));
    assert_eq!(
        records.query_status(31 * SECOND_US, &query(3)),
        AttemptStatus::NotStarted,
        "a later call"
    );
}

/// Guards against a full table that evicts a tombstone for a new call, and against a refused
/// attempt that starts when its message arrives again and the table is no longer full.
#[test]
fn full_table() {
    let mut records = records(2, 100);
    run(&mut records, 0, 1, b"1");
    assert_eq!(
        records.query_status(0, &query(5)),
        AttemptStatus::NotStarted
    );
    let busy = BeginResult::Refused(ErrorKind::Busy);
    assert_eq!(records.begin(0, &incoming(6, 90 * SECOND_US)), busy);
    assert_eq!(
        records.query_status(0, &query(7)),
        AttemptStatus::NotStarted
    );
    assert_eq!(records.len(), 2);
    run_until(&mut records, 0, 40 * SECOND_US);
    assert!(records.is_empty());
    for sequence in 5..=7 {
        let late = records.begin(40 * SECOND_US, &incoming(sequence, 90 * SECOND_US));
        assert_eq!(late, busy, "call {sequence}");
    }
    let fresh = records.begin(40 * SECOND_US, &incoming(8, 90 * SECOND_US));
    assert_eq!(fresh, BeginResult::New);
}

/// Guards against a start after a cancel or after the deadline.
#[test]
fn cancelled_while_queued() {
    let mut records = records(10, 100);
    records.begin(0, &incoming(1, SECOND_US));
    assert_eq!(
        records.query_status(0, &query(1)),
        AttemptStatus::Running,
        "a status query cancels nothing"
    );
    assert_eq!(records.cancel(0, &query(1)), AttemptStatus::NotStarted);
    assert!(!records.try_start(0, attempt(1)));
    records.begin(0, &incoming(2, SECOND_US));
    assert!(!records.try_start(SECOND_US, attempt(2)));
    assert_eq!(
        records.query_status(SECOND_US, &query(2)),
        AttemptStatus::NotStarted
    );
    records.begin(0, &incoming(3, 2 * SECOND_US));
    assert!(records.try_start(SECOND_US, attempt(3)));
    assert_eq!(records.cancel(SECOND_US, &query(3)), AttemptStatus::Running);
}

/// Guards against a start by a message of a connection that the entry has given up, however late
/// the kernel delivers it.
#[test]
fn older_generation() {
    let mut records = records(10, 100);
    let newer = StatusQuery {
        generation: Some(2),
        ..query(1)
    };
    records.query_status(0, &newer);
    let old = records.begin(0, &incoming(2, SECOND_US));
    assert_eq!(old, BeginResult::Refused(ErrorKind::Busy));
    let other_entry = StatusQuery {
        generation: None,
        ..query(1)
    };
    assert_eq!(
        records.query_status(0, &other_entry),
        AttemptStatus::NotStarted
    );
}

/// Guards against tombstones that expire while the process is paused, before it reads the messages
/// that arrived during the pause.
#[test]
fn paused_owner() {
    let mut records = records(10, 100);
    records.query_status(0, &query(1));
    let late_us = 3_600 * SECOND_US;
    let late = records.begin(late_us, &incoming(1, late_us + SECOND_US));
    assert_eq!(late, BeginResult::Duplicate(AttemptStatus::NotStarted));
}

/// Guards against a keyed attempt that is reported as not started while its claim exists, and
/// against new calls that are refused because the table is full of marks of keyed attempts.
#[test]
fn keyed_marks() {
    let mut records = records(2, 100);
    for sequence in 1..=2 {
        let keyed = IncomingAttempt {
            keyed: true,
            ..incoming(sequence, SECOND_US)
        };
        records.begin(0, &keyed);
        records.try_start(0, attempt(sequence));
        records.finish(0, attempt(sequence), Arc::from(&b"1"[..]));
    }
    run_until(&mut records, 0, 600 * SECOND_US);
    assert_eq!(records.len(), 2);
    let keyed_query = StatusQuery {
        keyed: true,
        ..query(1)
    };
    assert_eq!(
        records.query_status(600 * SECOND_US, &keyed_query),
        AttemptStatus::Forgotten
    );
    run(&mut records, 600 * SECOND_US, 3, b"1");
    assert_eq!(
        records.query_status(600 * SECOND_US, &keyed_query),
        AttemptStatus::Forgotten
    );
}
