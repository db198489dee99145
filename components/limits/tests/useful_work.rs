//! Guards what a full instance does next: calls that can still be useful go first, short targets
//! before long ones, urgent calls use the slots above the knee, and a slow host holds calls back.

use errors::ErrorKind;
use limits::{Admission, AdmissionConfig, AdmissionRequest, AdmissionResult, QueueDecision};
use model::{AttemptId, CallId, Priority};

const MS: u64 = 1_000;

fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        call: CallId {
            origin: 0,
            sequence,
        },
        attempt: 0,
    }
}

fn ticket(sequence: u64, priority: Priority, target_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        attempt: attempt(sequence),
        priority,
        deadline_us: 2_000 * MS,
        start_by_us: 2_000 * MS,
        expected_us: 50 * MS,
        target_us: target_ms * MS,
        start_now: false,
        queue_limit: 64,
    }
}

fn admission() -> Admission {
    Admission::new(AdmissionConfig {
        slots: 1,
        urgent_slots: 1,
        queue_limit: 64,
    })
}

/// A burst fills the queue; first in, first out would make every answer late.
#[test]
fn useful_calls_first() {
    let mut admission = admission();
    assert_eq!(
        admission.admit(0, ticket(1, Priority::Low, 400)),
        AdmissionResult::Start
    );
    for (sequence, target_ms) in [(2, 90), (3, 600), (4, 300)] {
        let offer = admission.admit(0, ticket(sequence, Priority::Low, target_ms));
        assert_eq!(offer, AdmissionResult::Queued);
    }
    let mut order = Vec::new();
    let (mut now_us, mut running) = (60 * MS, attempt(1));
    while let [QueueDecision::Start(next)] = admission.finish(now_us, running, 50 * MS)[..] {
        order.push(next.call.sequence);
        (now_us, running) = (now_us + 50 * MS, next);
    }
    assert_eq!(
        order,
        [4, 3, 2],
        "the target of 2 had passed when a slot was free"
    );
}

#[test]
fn urgent_slots_for_urgent_calls() {
    let mut admission = admission();
    assert_eq!(
        admission.admit(0, ticket(1, Priority::Low, 400)),
        AdmissionResult::Start
    );
    assert_eq!(
        admission.admit(0, ticket(2, Priority::Low, 400)),
        AdmissionResult::Queued
    );
    let urgent = admission.admit(0, ticket(3, Priority::Normal, 80));
    assert_eq!(
        urgent,
        AdmissionResult::Start,
        "past a waiting call of lower priority"
    );
    assert_eq!(
        admission.admit(0, ticket(4, Priority::Normal, 80)),
        AdmissionResult::Queued
    );
}

/// Other instances may have room at once, so the entry asks not to wait.
#[test]
fn start_now_or_not_at_all() {
    let mut admission = admission();
    assert_eq!(
        admission.admit(0, ticket(1, Priority::Low, 400)),
        AdmissionResult::Start
    );
    let now = AdmissionRequest {
        start_now: true,
        ..ticket(2, Priority::Low, 400)
    };
    assert_eq!(
        admission.admit(0, now),
        AdmissionResult::Refused(ErrorKind::Overloaded)
    );
    assert_eq!(admission.queued(), 0);
}

/// Work that starts on a slow host stays slow to its end.
#[test]
fn slow_host_holds_calls() {
    let mut admission = admission();
    admission.hold(0, 100 * MS);
    assert_eq!(
        admission.admit(MS, ticket(1, Priority::Low, 400)),
        AdmissionResult::Queued
    );
    assert_eq!(admission.expire(50 * MS), [], "held");
    assert_eq!(admission.next_expiry_us(), Some(100 * MS));
    assert_eq!(
        admission.expire(100 * MS),
        [QueueDecision::Start(attempt(1))]
    );

    admission.hold(200 * MS, 100 * MS);
    let held = admission.admit(201 * MS, ticket(2, Priority::High, 800));
    assert_eq!(held, AdmissionResult::Queued);
    assert_eq!(
        admission.resume(210 * MS),
        [QueueDecision::Start(attempt(2))]
    );
}
