//! Guards fail-over: lost answers must be resent under one change id, leaders followed.

mod support;

use support::{ENTRY, Fake, accepted, answer, closed_address, refusal, session};

const ADD: &str = "--timeout-ms 1000 profile add browse";

fn change_ids(requests: &[String]) -> Vec<String> {
    let id = |line: &String| {
        let start = line.split(r#""change_id":""#).nth(1).unwrap();
        start.split('"').next().unwrap().to_owned()
    };
    requests.iter().map(id).collect()
}

#[test]
fn next_address() {
    let fake = Fake::start(vec![accepted(4)]);
    let closed = closed_address();
    insta::assert_snapshot!(session(&[closed, fake.address], ADD));
}

#[test]
fn lost_answer() {
    let first = Fake::start(vec![None]);
    let second = Fake::start(vec![accepted(4)]);
    let text = session(&[first.address, second.address], ADD);
    assert!(text.contains("exit code 0"), "{text}");
    let ids = change_ids(&[first.requests(), second.requests()].concat());
    assert_eq!(ids.len(), 2);
    assert_eq!(ids[0], ids[1], "a resend must keep its change id");
    assert_eq!(ids[0].len(), 32);
}

#[test]
fn named_leader() {
    let leader = Fake::start(vec![accepted(4)]);
    let detail = format!("the leader is {}", leader.address);
    let follower = Fake::start(vec![refusal(503, "not-leader", &detail)]);
    let idle = Fake::start(vec![]);
    let text = session(&[follower.address, idle.address], ADD);
    assert!(text.contains("exit code 0"), "{text}");
    assert_eq!(leader.requests().len(), 1);
    assert!(idle.requests().is_empty());
}

#[test]
fn no_quorum() {
    let script = || (0..40).map(|_| refusal(503, "no-quorum", "")).collect();
    let (first, second) = (Fake::start(script()), Fake::start(script()));
    let line = format!("{ADD} --change-id c-7 --expect-revision 3");
    let text = session(&[first.address, second.address], &line);
    insta::assert_snapshot!(text);
    let ids = change_ids(&[first.requests(), second.requests()].concat());
    assert!(
        ids.len() >= 4 && ids.iter().all(|id| id == "c-7"),
        "{ids:?}"
    );
}

#[test]
fn no_leader() {
    // A follower that lost the leader's answer says the same, so that the change may be accepted.
    let fake = Fake::start((0..40).map(|_| refusal(503, "not-leader", "")).collect());
    let text = session(&[fake.address], &format!("{ADD} --change-id c-8"));
    assert!(
        text.contains("Resend the same command with --change-id c-8"),
        "{text}"
    );
    assert!(text.contains("exit code 3"), "{text}");
}

#[test]
fn random_ids() {
    let fake = Fake::start(vec![accepted(4), accepted(5)]);
    session(&[fake.address], ADD);
    session(&[fake.address], ADD);
    let ids = change_ids(&fake.requests());
    assert_ne!(ids[0], ids[1], "two commands must not share a change id");
}

#[test]
fn nothing_listens() {
    let closed = closed_address();
    insta::assert_snapshot!(session(&[closed], ADD));
}

#[test]
fn unreadable_answer() {
    let fake = Fake::start(vec![
        answer(200, "{\"revision\":"),
        answer(200, ENTRY),
        answer(502, "<html>"),
        accepted(4),
    ]);
    let text = session(&[fake.address], ADD);
    assert!(text.contains("accepted as revision 2.4"), "{text}");
    let ids = change_ids(&fake.requests());
    assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
}
