//! Guards a full service against calls that try every owner.

use limits::RoomSearch;
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
    let mut search = RoomSearch::default();
    search.refused(attempt(0), false);
    assert!(!search.is_over(), "another queue may be shorter");
    search.refused(attempt(1), false);
    assert!(search.is_over());
}

#[test]
fn lost_races_do_not_count() {
    let mut search = RoomSearch::default();
    for number in 0..5 {
        search.sent_to_start_now(attempt(number));
        search.refused(attempt(number), false);
    }
    assert!(!search.is_over(), "others took the free slots first");
}

#[test]
fn late_refusal_is_final() {
    let mut search = RoomSearch::default();
    search.sent_to_start_now(attempt(0));
    search.refused(attempt(0), true);
    assert!(search.is_over());
}
