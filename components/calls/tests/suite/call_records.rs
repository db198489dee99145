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

fn arrival(sequence: u64, deadline_us: u64) -> IncomingAttempt {
    IncomingAttempt {
        attempt: attempt(sequence),
        target: 1,
        generation: 1,
        deadline_us,
        keyed: false,
        keep_answer: true,
    }
}

fn ask(sequence: u64) -> StatusQuery {
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

fn run(records: &mut CallRecords, now_us: u64, sequence: u64, answer: &[u8]) {
    assert_eq!(
        records.begin(now_us, &arrival(sequence, now_us + SECOND_US)),
        BeginResult::New
    );
    assert!(records.try_start(now_us, attempt(sequence)));
    records.finish(now_us, attempt(sequence), Arc::from(answer));
}

/// Lets the owner run from one time to another.
fn pass(records: &mut CallRecords, from_us: u64, to_us: u64) {
    for now_us in (from_us..=to_us).step_by(SECOND_US as usize) {
        records.tick(now_us);
    }
}

/// Guards against an evicted or expired answer that reads as not started, and against its message
/// arriving again when even the mark is gone.
#[test]
fn answers_forgotten() {
    let mut records = records(100, 10);
    run(&mut records, 0, 1, b"12345678");
    run(&mut records, 0, 2, b"12345678");
    assert_eq!(
        records.query_status(0, &ask(1)),
        AttemptStatus::Forgotten,
        "evicted by bytes"
    );
    assert_eq!(
        records.query_status(0, &ask(2)),
        AttemptStatus::Answered(Arc::from(&b"12345678"[..]))
    );
    assert_eq!(records.answer_bytes(), 8);
    pass(&mut records, 0, 31 * SECOND_US);
    assert!(records.is_empty());
    assert_eq!(records.answer_bytes(), 0);
    assert_eq!(
        records.query_status(31 * SECOND_US, &ask(2)),
        AttemptStatus::Forgotten
    );
    let again = records.begin(31 * SECOND_US, &arrival(2, 32 * SECOND_US));
    assert_eq!(again, BeginResult::Duplicate(AttemptStatus::Forgotten));
    assert_eq!(
        records.query_status(31 * SECOND_US, &ask(3)),
        AttemptStatus::NotStarted,
        "a later call"
    );
}

/// Guards against a tombstone that is dropped for a new call, and against a refused or tombstoned
/// message that starts once the table has room again.
#[test]
fn full_table() {
    let mut records = records(2, 100);
    run(&mut records, 0, 1, b"1");
    assert_eq!(records.query_status(0, &ask(5)), AttemptStatus::NotStarted);
    let busy = BeginResult::Refused(ErrorKind::Busy);
    assert_eq!(records.begin(0, &arrival(6, 90 * SECOND_US)), busy);
    assert_eq!(records.query_status(0, &ask(7)), AttemptStatus::NotStarted);
    assert_eq!(records.len(), 2);
    pass(&mut records, 0, 40 * SECOND_US);
    assert!(records.is_empty());
    for sequence in 5..=7 {
        let late = records.begin(40 * SECOND_US, &arrival(sequence, 90 * SECOND_US));
        assert_eq!(late, busy, "call {sequence}");
    }
    let fresh = records.begin(40 * SECOND_US, &arrival(8, 90 * SECOND_US));
    assert_eq!(fresh, BeginResult::New);
}

/// Guards against a start after a cancel or after the deadline.
#[test]
fn cancelled_while_queued() {
    let mut records = records(10, 100);
    records.begin(0, &arrival(1, SECOND_US));
    assert_eq!(
        records.query_status(0, &ask(1)),
        AttemptStatus::Running,
        "a fate request cancels nothing"
    );
    assert_eq!(records.cancel(0, &ask(1)), AttemptStatus::NotStarted);
    assert!(!records.try_start(0, attempt(1)));
    records.begin(0, &arrival(2, SECOND_US));
    assert!(!records.try_start(SECOND_US, attempt(2)));
    assert_eq!(
        records.query_status(SECOND_US, &ask(2)),
        AttemptStatus::NotStarted
    );
    records.begin(0, &arrival(3, 2 * SECOND_US));
    assert!(records.try_start(SECOND_US, attempt(3)));
    assert_eq!(records.cancel(SECOND_US, &ask(3)), AttemptStatus::Running);
}

/// Guards against messages of a connection that the entry gave up, however late the kernel
/// delivers them.
#[test]
fn older_generation() {
    let mut records = records(10, 100);
    let newer = StatusQuery {
        generation: Some(2),
        ..ask(1)
    };
    records.query_status(0, &newer);
    let old = records.begin(0, &arrival(2, SECOND_US));
    assert_eq!(old, BeginResult::Refused(ErrorKind::Busy));
    let foreign = StatusQuery {
        generation: None,
        ..ask(1)
    };
    assert_eq!(records.query_status(0, &foreign), AttemptStatus::NotStarted);
}

/// Guards against tombstones that expire while the process is paused, before it reads the messages
/// that waited for it.
#[test]
fn paused_owner() {
    let mut records = records(10, 100);
    records.query_status(0, &ask(1));
    let late_us = 3_600 * SECOND_US;
    let late = records.begin(late_us, &arrival(1, late_us + SECOND_US));
    assert_eq!(late, BeginResult::Duplicate(AttemptStatus::NotStarted));
}

/// Guards against a keyed attempt that reads as not started while its claim lives, and against
/// keyed marks that keep new calls out.
#[test]
fn keyed_marks() {
    let mut records = records(2, 100);
    for sequence in 1..=2 {
        let keyed = IncomingAttempt {
            keyed: true,
            ..arrival(sequence, SECOND_US)
        };
        records.begin(0, &keyed);
        records.try_start(0, attempt(sequence));
        records.finish(0, attempt(sequence), Arc::from(&b"1"[..]));
    }
    pass(&mut records, 0, 600 * SECOND_US);
    assert_eq!(records.len(), 2);
    let keyed_ask = StatusQuery {
        keyed: true,
        ..ask(1)
    };
    assert_eq!(
        records.query_status(600 * SECOND_US, &keyed_ask),
        AttemptStatus::Forgotten
    );
    run(&mut records, 600 * SECOND_US, 3, b"1");
    assert_eq!(
        records.query_status(600 * SECOND_US, &keyed_ask),
        AttemptStatus::Forgotten
    );
}
