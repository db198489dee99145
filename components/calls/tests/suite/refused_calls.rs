//! Calls that an owner refuses.

use crate::world::World;
use calls::{Action, CallSpec, EntryCall, Event};
use errors::ErrorKind;
use model::{AttemptId, CallId};

/// Guards against a lost call when a draining owner refuses it, and against a retry at the same
/// upstream.
#[test]
fn refused_then_retried() {
    let mut world = World::new([]);
    world.toggle_drain(0);
    world.call(0, false, None, 1_000_000);
    world.deliver_all();
    world.finish(1, 0);
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}

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

fn retried(entry: &mut EntryCall<u8>, event: Event<u8>) -> Vec<Action<u8>> {
    let actions = entry.on_event(10, event);
    if actions != [Action::AskRetryBudget] {
        return actions;
    }
    entry.on_event(10, Event::RetryAllowed(true));
    entry.on_event(10, Event::Routed(1))
}

/// Guards against a poison request that reaches one upstream after the other by retries.
#[test]
fn one_retry_after_crash() {
    let lost = ErrorKind::UpstreamLost;
    let (mut entry, call) = sent_call(true, false);
    let actions = retried(
        &mut entry,
        Event::Failed(AttemptId { call, attempt: 0 }, lost),
    );
    assert!(matches!(actions[..], [Action::Send { .. }]));
    let actions = retried(
        &mut entry,
        Event::Failed(AttemptId { call, attempt: 1 }, lost),
    );
    assert_eq!(actions, [Action::Fail(lost)]);

    let (mut entry, call) = sent_call(true, true);
    let actions = retried(
        &mut entry,
        Event::Failed(AttemptId { call, attempt: 0 }, lost),
    );
    assert_eq!(actions, [Action::Fail(lost)], "a suspect runs once");
}

/// Guards against a retry storm, and against not-run for a call that has failed after a start.
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

/// Guards against a second run of a call that may have run.
#[test]
fn failed_once() {
    let (mut entry, call) = sent_call(false, false);
    let lost = Event::Failed(AttemptId { call, attempt: 0 }, ErrorKind::UpstreamLost);
    let actions = entry.on_event(10, lost);
    assert_eq!(actions, [Action::Fail(ErrorKind::UpstreamLost)]);
}

/// Guards against a caller that ticks early, for a claim round, and then never or always again.
#[test]
fn wake_after_tick() {
    let (mut entry, _) = sent_call(false, false);
    let actions = entry.on_event(10, Event::Tick);
    assert_eq!(actions, [Action::WakeAt(1_000_000)]);
}

/// Guards against a cancelled keyed call whose caller comes back for the answer.
#[test]
fn caller_gone() {
    let (mut entry, call) = sent_call(false, false);
    let attempt = AttemptId { call, attempt: 0 };
    let actions = entry.on_event(10, Event::CallerGone);
    assert_eq!(actions, [Action::Cancel(attempt)]);
    assert!(entry.is_done());
    let mut world = World::new([]);
    world.call(0, false, Some(0), 1_000_000);
    world.deliver_all();
    world.caller_gone(0);
    world.finish(0, 0);
    world.deliver_all();
    world.call(1, false, Some(0), 1_000_000);
    world.deliver_all();
    world.advance();
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}
