//! Guards against changes in the order of the queue, early refusal and the load signal, by the log
//! of one fixed session.

use limits::{Admission, AdmissionConfig, AdmissionRequest};
use model::{AttemptId, CallId, Priority, UpstreamState};
use std::fmt::Write;

fn request(sequence: u64, priority: Priority) -> AdmissionRequest {
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
        customer: None,
        done_us: 0,
    }
}

#[test]
fn fixed_session() {
    let mut admission = Admission::new(AdmissionConfig {
        slots: 1,
        urgent_slots: 0,
        queue_limit: 10,
    });
    let mut log = String::new();
    let mut log_line = |text: String| writeln!(log, "{text}").expect("a string");
    let low = request(1, Priority::Low);
    log_line(format!("first: {:?}", admission.admit(0, low)));
    log_line(format!(
        "low waits: {:?}",
        admission.admit(0, request(2, Priority::Low))
    ));
    log_line(format!(
        "normal waits: {:?}",
        admission.admit(0, request(3, Priority::Normal))
    ));
    log_line(format!(
        "no room for low: {:?}",
        admission.admit(0, request(4, Priority::Low))
    ));
    log_line(format!(
        "high sheds low: {:?}",
        admission.admit(0, request(5, Priority::High))
    ));
    log_line(format!(
        "running call is overdue: {:?}",
        admission.next_load_signal(20_000)
    ));
    log_line(format!(
        "high goes first: {:?}",
        admission.finish(20_000, low.attempt, 20_000)
    ));
    let hasty = AdmissionRequest {
        start_by_us: 30_000,
        queue_limit: 10,
        ..request(6, Priority::Normal)
    };
    log_line(format!(
        "hasty can't start in time: {:?}",
        admission.admit(25_000, hasty)
    ));
    let late = AdmissionRequest {
        deadline_us: 50_000,
        queue_limit: 10,
        ..request(7, Priority::Normal)
    };
    log_line(format!(
        "late can't finish in time: {:?}",
        admission.admit(25_000, late)
    ));
    log_line(format!("next: {:?}", admission.next_expiry_us()));
    log_line(format!(
        "drain: {:?}",
        admission.set_state(UpstreamState::Draining)
    ));
    log_line(format!(
        "refused: {:?}",
        admission.admit(30_000, request(8, Priority::High))
    ));
    insta::assert_snapshot!(log);
}
