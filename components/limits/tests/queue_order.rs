//! Guards the order of the queue, early refusal and the load signal, as one golden session.

use limits::{Admission, AdmissionConfig, AdmissionRequest};
use model::{AttemptId, CallId, Priority, UpstreamState};
use std::fmt::Write;

fn ticket(sequence: u64, priority: Priority) -> AdmissionRequest {
    AdmissionRequest {
        attempt: AttemptId {
            call: CallId {
                origin: 0,
                sequence,
            },
            attempt: 0,
        },
        priority,
        deadline_us: 100_000,
        start_by_us: 100_000,
        expected_us: 0,
        target_us: u64::MAX,
        start_now: false,
        queue_limit: 2,
    }
}

#[test]
fn golden_session() {
    let mut admission = Admission::new(AdmissionConfig {
        slots: 1,
        urgent_slots: 0,
        queue_limit: 10,
    });
    let mut log = String::new();
    let mut note = |text: String| writeln!(log, "{text}").expect("a string");
    let low = ticket(1, Priority::Low);
    note(format!("first: {:?}", admission.admit(0, low)));
    note(format!(
        "low waits: {:?}",
        admission.admit(0, ticket(2, Priority::Low))
    ));
    note(format!(
        "normal waits: {:?}",
        admission.admit(0, ticket(3, Priority::Normal))
    ));
    note(format!(
        "no room for low: {:?}",
        admission.admit(0, ticket(4, Priority::Low))
    ));
    note(format!(
        "high sheds low: {:?}",
        admission.admit(0, ticket(5, Priority::High))
    ));
    note(format!(
        "running call is overdue: {:?}",
        admission.next_load_signal(20_000)
    ));
    note(format!(
        "high goes first: {:?}",
        admission.finish(20_000, low.attempt, 20_000)
    ));
    let hasty = AdmissionRequest {
        start_by_us: 30_000,
        queue_limit: 10,
        ..ticket(6, Priority::Normal)
    };
    note(format!(
        "hasty can't start in time: {:?}",
        admission.admit(25_000, hasty)
    ));
    let late = AdmissionRequest {
        deadline_us: 50_000,
        queue_limit: 10,
        ..ticket(7, Priority::Normal)
    };
    note(format!(
        "late can't finish in time: {:?}",
        admission.admit(25_000, late)
    ));
    note(format!("next: {:?}", admission.next_expiry_us()));
    note(format!(
        "drain: {:?}",
        admission.set_state(UpstreamState::Draining)
    ));
    note(format!(
        "refused: {:?}",
        admission.admit(30_000, ticket(8, Priority::High))
    ));
    insta::assert_snapshot!(log);
}
