//! Guards against a call that is taken for one of the local instance although it is not, and against
//! a table that grows with what callers send.

use calls::{ParentCall, ParentCalls};
use model::{AttemptId, CallId, Priority};

fn parent(sequence: u64) -> ParentCall {
    ParentCall {
        attempt: AttemptId {
            call: CallId {
                origin: 0,
                sequence,
            },
            attempt: 0,
        },
        started_us: 10,
        deadline_us: 1_000,
        priority: Priority::High,
        customer: Some("customer-1".into()),
    }
}

#[test]
fn children_of_running_calls() {
    let mut calls = ParentCalls::default();
    calls.start("a", parent(1));
    calls.start("a.2", parent(2));
    assert_eq!(calls.parent_of("a.1"), Some(&parent(1)));
    assert_eq!(calls.parent_of("a.2.7"), Some(&parent(2)), "nested twice");
    for other in ["a", "a.", "a.-", "a.1 ", "b.1", ".1", "", "a.1.1"] {
        assert_eq!(calls.parent_of(other), None, "{other:?}");
    }
    calls.end("a", parent(9).attempt);
    assert!(calls.parent_of("a.1").is_some(), "another attempt ended");
    calls.end("a", parent(1).attempt);
    assert_eq!(calls.parent_of("a.1"), None, "the parent has ended");
}

/// Guards against calls that are not recognised because the caller's part of the id is not a number.
#[test]
fn random_suffix() {
    let mut calls = ParentCalls::default();
    calls.start("4a8840340c76113e", parent(1));
    let child = calls.parent_of("4a8840340c76113e.b7291fc9d3f89456");
    assert_eq!(child, Some(&parent(1)));
}

#[test]
fn bounded_table() {
    let mut calls = ParentCalls::default();
    calls.start("", parent(0));
    assert_eq!(calls.parent_of(".1"), None);
    let long = "x".repeat(300);
    calls.start(&long, parent(0));
    assert_eq!(calls.parent_of(&format!("{long}.1")), None);
    (0..5_000).for_each(|n| calls.start(&format!("id-{n}"), parent(n)));
    let known = (0..5_000).filter(|n| calls.parent_of(&format!("id-{n}.0")).is_some());
    assert_eq!(known.count(), 4_096);
}
