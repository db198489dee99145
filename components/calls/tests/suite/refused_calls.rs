//! Calls that an owner refuses or fails, and the retries that follow.

use crate::simulation::Simulation;
use calls::{Action, CallSpec, EntryCall, Event};
use errors::ErrorKind;
use model::{AttemptId, CallId};

/// Guards against a failed call when a draining owner refuses it, and against a retry at the same
/// upstream.
#[test]
fn refused_then_retried() {
    let mut simulation = Simulation::new([]);
    simulation.toggle_drain(0);
    simulation.start_call(0, false, None, 1_000_000);
    simulation.deliver_all();
    simulation.finish(1, 0);
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// A call whose first attempt has been sent to upstream 0.
fn sent_call(idempotent: bool, suspected: bool) -> (EntryCall<u8>, CallId) {
    let call = CallId {
        origin: 1,
        sequence: 1,
    };
    let mut entry = EntryCall::new(CallSpec {
        call,
        idempotent,
        keyed: false,
        suspected,
        deadline_us: 1_000_000,
        attempts: 4,
        moves: 0,
        hedge_after_us: None,
    });
    entry.start(0);
    entry.on_event(0, Event::Routed(0));
    (entry, call)
}

/// Handles the event and, if the call asks for a retry, allows it and routes it to upstream 1.
fn retry_after(entry: &mut EntryCall<u8>, event: Event<u8>) -> Vec<Action<u8>> {
    let actions = entry.on_event(10, event);
    if actions != [Action::CheckRetryBudget] {
        return actions;
    }
    entry.on_event(10, Event::RetryAllowed(true));
    entry.on_event(10, Event::Routed(1))
}

/// Guards against a request that crashes upstreams and reaches one after the other by retries.
#[test]
fn one_retry_after_crash() {
    let lost = ErrorKind::UpstreamLost;
    let (mut entry, call) = sent_call(true, false);
    let actions = retry_after(
        &mut entry,
        Event::Failed(AttemptId { call, attempt: 0 }, lost),
    );
    assert!(matches!(actions[..], [Action::Send { .. }]));
    let actions = retry_after(
        &mut entry,
        Event::Failed(AttemptId { call, attempt: 1 }, lost),
    );
    assert_eq!(actions, [Action::Fail(lost)]);

    let (mut entry, call) = sent_call(true, true);
    let actions = retry_after(
        &mut entry,
        Event::Failed(AttemptId { call, attempt: 0 }, lost),
    );
    assert_eq!(actions, [Action::Fail(lost)], "a suspect runs once");
}

/// Guards against retries beyond the budget, and against the outcome not-run for a call that has
/// failed after it started.
#[test]
fn spent_retry_budget() {
    for (event, expected) in [
        (ErrorKind::QueueFull, ErrorKind::RetryBudgetSpent),
        (ErrorKind::AnswerTruncated, ErrorKind::AnswerTruncated),
    ] {
        let (mut entry, call) = sent_call(true, false);
        entry.on_event(10, Event::Failed(AttemptId { call, attempt: 0 }, event));
        let actions = entry.on_event(10, Event::RetryAllowed(false));
        assert_eq!(actions, [Action::Fail(expected)]);
    }
}

/// Guards against a second run of a call that is not idempotent and may have run.
#[test]
fn no_retry_after_failure() {
    let (mut entry, call) = sent_call(false, false);
    let lost = Event::Failed(AttemptId { call, attempt: 0 }, ErrorKind::UpstreamLost);
    let actions = entry.on_event(10, lost);
    assert_eq!(actions, [Action::Fail(ErrorKind::UpstreamLost)]);
}

/// Guards against a missing `WakeAt` after a tick that came early, as for a claim round: the call
/// would get no tick at its own time, or too many.
#[test]
fn wake_after_tick() {
    let (mut entry, _) = sent_call(false, false);
    let actions = entry.on_event(10, Event::Tick);
    assert_eq!(actions, [Action::WakeAt(1_000_000)]);
}

/// Guards against the cancellation of a keyed call when its caller disconnects: the caller may
/// repeat the call to get its answer. Calls without a key are cancelled.
#[test]
fn caller_disconnected() {
    let (mut entry, call) = sent_call(false, false);
    let attempt = AttemptId { call, attempt: 0 };
    let actions = entry.on_event(10, Event::CallerDisconnected);
    assert_eq!(actions, [Action::Cancel(attempt)]);
    assert!(entry.is_done());
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.disconnect_caller(0);
    simulation.finish(0, 0);
    simulation.deliver_all();
    simulation.start_call(1, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// An idempotent call with up to three moves and two attempts.
fn moving_call<U: Copy + Eq>(call: CallId) -> EntryCall<U> {
    EntryCall::new(CallSpec {
        call,
        idempotent: true,
        keyed: false,
        suspected: false,
        deadline_us: 1_000_000,
        attempts: 2,
        moves: 3,
        hedge_after_us: None,
    })
}

/// Guards against moves that use up the attempts of a call. A call that owners refuse for lack of
/// capacity has reached no upstream; it may move as often as the settings allow and then still has
/// its attempts.
#[test]
fn moves_cost_no_attempt() {
    let call = CallId {
        origin: 1,
        sequence: 2,
    };
    let mut entry = moving_call(call);
    let attempt = |attempt| AttemptId { call, attempt };
    entry.start(0);
    entry.on_event(0, Event::Routed(0));
    let refusals = [
        Event::Refused(attempt(0), ErrorKind::Overloaded),
        Event::SendFailed(attempt(1)),
        Event::Refused(attempt(2), ErrorKind::Stopping),
    ];
    for refusal in refusals {
        let actions = entry.on_event(0, refusal);
        assert!(actions.contains(&Action::CheckRetryBudget), "{actions:?}");
        entry.on_event(0, Event::RetryAllowed(true));
        entry.on_event(0, Event::Routed(0));
    }
    // The moves are used up: one more attempt, and then the call ends.
    let failed = Event::Failed(attempt(3), ErrorKind::AnswerTruncated);
    let actions = entry.on_event(0, failed);
    assert!(actions.contains(&Action::CheckRetryBudget), "{actions:?}");
    entry.on_event(0, Event::RetryAllowed(true));
    entry.on_event(0, Event::Routed(1));
    let actions = entry.on_event(0, Event::Refused(attempt(4), ErrorKind::Overloaded));
    let is_failure = |action: &Action<u8>| matches!(action, Action::Fail(_));
    assert!(actions.iter().any(is_failure), "{actions:?}");
}

/// Guards against the exclusion of an owner that refused for lack of capacity: it may have some
/// later. An owner that stops stays excluded.
#[test]
fn full_owner_may_be_chosen_again() {
    for (kind, is_excluded) in [(ErrorKind::Overloaded, false), (ErrorKind::Stopping, true)] {
        let call = CallId {
            origin: 1,
            sequence: 3,
        };
        let mut entry = moving_call(call);
        entry.start(0);
        entry.on_event(0, Event::Routed(7u8));
        entry.on_event(0, Event::Refused(AttemptId { call, attempt: 0 }, kind));
        let actions = entry.on_event(0, Event::RetryAllowed(true));
        let expected = Action::Route {
            exclude: if is_excluded { vec![7] } else { vec![] },
        };
        assert!(actions.contains(&expected), "{kind} {actions:?}");
    }
}

/// Guards against the error retry-budget-spent for a call that found no capacity anywhere: the
/// operator would raise the wrong setting.
#[test]
fn missing_capacity_is_reported() {
    let call = CallId {
        origin: 1,
        sequence: 4,
    };
    let mut entry = moving_call(call);
    entry.start(0);
    entry.on_event(0, Event::Routed(7u8));
    let refusal = Event::Refused(AttemptId { call, attempt: 0 }, ErrorKind::Overloaded);
    entry.on_event(0, refusal);
    let actions = entry.on_event(0, Event::RetryAllowed(false));
    assert!(
        actions.contains(&Action::Fail(ErrorKind::Overloaded)),
        "{actions:?}"
    );
}
