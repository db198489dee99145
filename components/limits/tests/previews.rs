//! Guards against previews of admission that take a slot, shed a waiting call, take a customer's turn or
//! advance the load signal, and against previews that tell another result than the next one.

use limits::{
    Admission, AdmissionConfig, AdmissionOrder, AdmissionRequest, AdmissionResult, CustomerKey,
};
use model::{AttemptId, CallId, Priority};

const PREVIEWS: usize = 10;

fn request(sequence: u64, now_us: u64) -> AdmissionRequest {
    let priority = [Priority::Low, Priority::Normal, Priority::High][sequence as usize % 3];
    AdmissionRequest {
        attempt: AttemptId {
            call: CallId {
                origin: 0,
                sequence,
            },
            attempt: 0,
        },
        priority,
        deadline_us: now_us + 60_000,
        start_by_us: now_us + 20_000 + sequence % 5 * 10_000,
        expected_us: 0,
        target_us: now_us + 30_000,
        start_now: sequence.is_multiple_of(13),
        queue_limit: 4,
        customer: sequence
            .is_multiple_of(2)
            .then(|| CustomerKey::of(["one", "two"][sequence as usize % 7 % 2])),
        done_us: sequence % 4 * 500,
    }
}

/// Results of requests, and the other decisions and load signals, of an overloaded upstream, whose running calls end in order. `before` runs before
/// each request.
fn session(
    order: AdmissionOrder,
    mut before: impl FnMut(&Admission, u64, AdmissionRequest),
) -> (Vec<AdmissionResult>, Vec<String>) {
    let config = AdmissionConfig {
        slots: 3,
        urgent_slots: 1,
        queue_limit: 100,
    };
    let mut admission = Admission::new(config).with_order(order);
    let (mut results, mut others) = (Vec::new(), Vec::new());
    for sequence in 0..1_000 {
        let now_us = sequence * 1_000;
        let request = request(sequence, now_us);
        if sequence % 200 == 150 {
            admission.hold(now_us, 5_000);
        }
        others.push(format!("{:?}", admission.expire(now_us)));
        before(&admission, now_us, request);
        results.push(admission.admit(now_us, request));
        if sequence >= 6 {
            let ended = self::request(sequence - 6, now_us).attempt;
            others.push(format!("{:?}", admission.finish(now_us, ended, 6_000)));
        }
        others.push(format!("{:?}", admission.next_load_signal(now_us)));
    }
    (results, others)
}

#[test]
fn tell_and_leave_next_decision() {
    for order in [AdmissionOrder::Deadline, AdmissionOrder::Cost] {
        let mut told = Vec::new();
        let with = session(order, |admission, now_us, request| {
            for _ in 0..PREVIEWS {
                let _ = admission.upcoming_load_signal(now_us);
                let _ = admission.preview(now_us, request);
            }
            told.push(admission.preview(now_us, request));
        });
        assert!(session(order, |_, _, _| ()) == with, "{order:?}");
        assert_eq!(told, with.0, "{order:?}");
        let is_refused = |result: &AdmissionResult| matches!(result, AdmissionResult::Refused(_));
        assert!(told.iter().any(is_refused), "{order:?}");
        assert!(told.contains(&AdmissionResult::Queued), "{order:?}");
    }
}
