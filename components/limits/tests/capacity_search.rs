//! Guards against calls that try every owner of a service whose upstreams are all at capacity.

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
fn two_full_queues_end_search() {
    let mut search = CapacitySearch::default();
    search.record_refusal(attempt(0), false);
    assert!(!search.is_exhausted(), "another queue may be shorter");
    search.record_refusal(attempt(1), false);
    assert!(search.is_exhausted());
}

#[test]
fn immediate_starts_do_not_count() {
    let mut search = CapacitySearch::default();
    for number in 0..5 {
        search.record_start_now(attempt(number));
        search.record_refusal(attempt(number), false);
    }
    assert!(
        !search.is_exhausted(),
        "other calls took the free slots first"
    );
}

#[test]
fn refusal_past_target_ends_search() {
    let mut search = CapacitySearch::default();
    search.record_start_now(attempt(0));
    search.record_refusal(attempt(0), true);
    assert!(search.is_exhausted());
}
