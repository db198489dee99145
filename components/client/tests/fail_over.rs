//! Failover between replicas: a change whose response is lost is resent with the same change id,
//! and a leader that a follower names is tried next.

mod support;

use support::{
    FakeOperatorPort, PROFILE_ENTRY, accepted_change, closed_address, error_response, response,
    run_command,
};

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
    let fake = FakeOperatorPort::start(vec![accepted_change(4)]);
    let closed = closed_address();
    insta::assert_snapshot!(run_command(&[closed, fake.address], ADD));
}

#[test]
fn lost_response() {
    let first = FakeOperatorPort::start(vec![None]);
    let second = FakeOperatorPort::start(vec![accepted_change(4)]);
    let text = run_command(&[first.address, second.address], ADD);
    assert!(text.contains("exit code 0"), "{text}");
    let ids = change_ids(&[first.requests(), second.requests()].concat());
    assert_eq!(ids.len(), 2);
    assert_eq!(ids[0], ids[1], "a resend must keep its change id");
    assert_eq!(ids[0].len(), 32);
}

#[test]
fn follows_named_leader() {
    let leader = FakeOperatorPort::start(vec![accepted_change(4)]);
    let detail = format!("the leader is {}", leader.address);
    let follower = FakeOperatorPort::start(vec![error_response(503, "not-leader", &detail)]);
    let idle = FakeOperatorPort::start(vec![]);
    let text = run_command(&[follower.address, idle.address], ADD);
    assert!(text.contains("exit code 0"), "{text}");
    assert_eq!(leader.requests().len(), 1);
    assert!(idle.requests().is_empty());
}

#[test]
fn no_quorum() {
    let script = || {
        (0..40)
            .map(|_| error_response(503, "no-quorum", ""))
            .collect()
    };
    let (first, second) = (
        FakeOperatorPort::start(script()),
        FakeOperatorPort::start(script()),
    );
    let line = format!("{ADD} --change-id c-7 --expect-revision 3");
    let text = run_command(&[first.address, second.address], &line);
    insta::assert_snapshot!(text);
    let ids = change_ids(&[first.requests(), second.requests()].concat());
    assert!(
        ids.len() >= 4 && ids.iter().all(|id| id == "c-7"),
        "{ids:?}"
    );
}

#[test]
fn no_leader() {
    // A follower that lost the leader's answer returns the same error, so the change may have been
    // accepted.
    let fake = FakeOperatorPort::start(
        (0..40)
            .map(|_| error_response(503, "not-leader", ""))
            .collect(),
    );
    let text = run_command(&[fake.address], &format!("{ADD} --change-id c-8"));
    assert!(
        text.contains("Resend the same command with --change-id c-8"),
        "{text}"
    );
    assert!(text.contains("exit code 3"), "{text}");
}

#[test]
fn random_ids() {
    let fake = FakeOperatorPort::start(vec![accepted_change(4), accepted_change(5)]);
    run_command(&[fake.address], ADD);
    run_command(&[fake.address], ADD);
    let ids = change_ids(&fake.requests());
    assert_ne!(ids[0], ids[1], "two commands must not share a change id");
}

#[test]
fn nothing_listens() {
    let closed = closed_address();
    insta::assert_snapshot!(run_command(&[closed], ADD));
}

#[test]
fn unreadable_response() {
    let fake = FakeOperatorPort::start(vec![
        response(200, "{\"revision\":"),
        response(200, PROFILE_ENTRY),
        response(502, "<html>"),
        accepted_change(4),
    ]);
    let text = run_command(&[fake.address], ADD);
    assert!(text.contains("accepted as revision 2.4"), "{text}");
    let ids = change_ids(&fake.requests());
    assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
}
