//! Guards against a wrong order of calls at a fully loaded upstream. Calls that can still meet
//! their targets start first, short targets before long ones; calls above the lowest priority use
//! the urgent slots; no call starts while the host is slow.

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

fn request(sequence: u64, priority: Priority, target_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        attempt: attempt(sequence),
        priority,
        deadline_us: 2_000 * MS,
        start_by_us: 2_000 * MS,
        expected_us: 50 * MS,
        target_us: target_ms * MS,
        start_now: false,
        queue_limit: 64,
        customer: None,
        done_us: 0,
    }
}

fn admission() -> Admission {
    Admission::new(AdmissionConfig {
        slots: 1,
        urgent_slots: 1,
        queue_limit: 64,
    })
}

/// Guards against a burst that makes every answer late, as a first-in, first-out queue would.
#[test]
fn reachable_targets_first() {
    let mut admission = admission();
    assert_eq!(
        admission.admit(0, request(1, Priority::Low, 400)),
        AdmissionResult::Start
    );
    for (sequence, target_ms) in [(2, 90), (3, 600), (4, 300)] {
        let result = admission.admit(0, request(sequence, Priority::Low, target_ms));
        assert_eq!(result, AdmissionResult::Queued);
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

/// Guards against urgent calls that wait behind calls of the lowest priority.
#[test]
fn urgent_slots_for_urgent_calls() {
    let mut admission = admission();
    assert_eq!(
        admission.admit(0, request(1, Priority::Low, 400)),
        AdmissionResult::Start
    );
    assert_eq!(
        admission.admit(0, request(2, Priority::Low, 400)),
        AdmissionResult::Queued
    );
    let urgent = admission.admit(0, request(3, Priority::Normal, 80));
    assert_eq!(
        urgent,
        AdmissionResult::Start,
        "ahead of a waiting call of lower priority"
    );
    assert_eq!(
        admission.admit(0, request(4, Priority::Normal, 80)),
        AdmissionResult::Queued
    );
}

/// Guards against a call that is queued although the entry requested an immediate start, because
/// another upstream may have a free slot.
#[test]
fn start_now_or_refuse() {
    let mut admission = admission();
    assert_eq!(
        admission.admit(0, request(1, Priority::Low, 400)),
        AdmissionResult::Start
    );
    let immediate = AdmissionRequest {
        start_now: true,
        ..request(2, Priority::Low, 400)
    };
    assert_eq!(
        admission.admit(0, immediate),
        AdmissionResult::Refused(ErrorKind::Overloaded)
    );
    assert_eq!(admission.queued(), 0);
}

/// Guards against calls that start on a slow host: a call that starts there stays slow to its end.
#[test]
fn slow_host_holds_calls() {
    let mut admission = admission();
    admission.hold(0, 100 * MS);
    assert_eq!(
        admission.admit(MS, request(1, Priority::Low, 400)),
        AdmissionResult::Queued
    );
    assert_eq!(admission.expire(50 * MS), [], "held");
    assert_eq!(admission.next_expiry_us(), Some(100 * MS));
    assert_eq!(
        admission.expire(100 * MS),
        [QueueDecision::Start(attempt(1))]
    );

    admission.hold(200 * MS, 100 * MS);
    let held = admission.admit(201 * MS, request(2, Priority::High, 800));
    assert_eq!(held, AdmissionResult::Queued);
    assert_eq!(
        admission.resume(210 * MS),
        [QueueDecision::Start(attempt(2))]
    );
}
