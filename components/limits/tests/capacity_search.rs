//! Guards a full service against calls that try every owner.

use limits::CapacitySearch;
use model::{AttemptId, CallId};

fn attempt(attempt: u16) -> AttemptId {
    AttemptId {
        call: CallId {
            origin: 1,
            sequence: 1,
        },
        attempt,
    }
}

#[test]
fn two_full_queues_end_it() {
    let mut search = CapacitySearch::default();
    search.record_refusal(attempt(0), false);
    assert!(!search.is_exhausted(), "another queue may be shorter");
    search.record_refusal(attempt(1), false);
    assert!(search.is_exhausted());
}

#[test]
fn lost_races_do_not_count() {
    let mut search = CapacitySearch::default();
    for number in 0..5 {
        search.record_start_now(attempt(number));
        search.record_refusal(attempt(number), false);
    }
    assert!(!search.is_exhausted(), "others took the free slots first");
}

#[test]
fn late_refusal_is_final() {
    let mut search = CapacitySearch::default();
    search.record_start_now(attempt(0));
    search.record_refusal(attempt(0), true);
    assert!(search.is_exhausted());
}
