//! `zone`: a resend must carry the id of the first command, and both outputs must show the state.

mod support;

use support::{FakeOperatorPort, error_response, response, run_command};

fn accepted(evacuated: bool) -> Option<(u16, String)> {
    response(
        200,
        &format!(
            r#"{{"zone":"ee-north-a","evacuated":{evacuated},"revision":{{"term":2,"number":6}}}}"#
        ),
    )
}

const ZONES: &str = r#"{"revision":{"term":2,"number":6},"lagging_nodes":1,"zones":[{"zone":"ee-north-a","evacuated":true,"nodes":12},{"zone":"ee-north-b","evacuated":false,"nodes":9}]}"#;

#[test]
fn zone_session() {
    let fake = FakeOperatorPort::start(vec![
        accepted(true),
        accepted(false),
        response(200, ZONES),
        response(200, ZONES),
        error_response(400, "malformed-request", "not a zone"),
    ]);
    let mut text = String::new();
    for line in [
        "zone evacuate ee-north-a --change-id c-1",
        "--output json zone readmit ee-north-a --change-id c-2",
        "zone list",
        "--output json zone list",
        "zone evacuate ee-north-a --change-id c-3",
        "zone evacuate Not-A-Zone",
        "zone evacuate",
        "zone",
    ] {
        text += &run_command(&[fake.address], line);
    }
    text += &fake.requests().join("\n");
    insta::assert_snapshot!(text);
}

/// Guards against a resend with another id, which could undo the command of another operator.
#[test]
fn resend_has_same_id() {
    let fake = FakeOperatorPort::start(vec![None, accepted(true)]);
    run_command(&[fake.address], "zone evacuate ee-north-a");
    let requests = fake.requests();
    assert_eq!(requests.len(), 2, "{requests:?}");
    assert_eq!(requests[0], requests[1]);
    assert!(requests[0].contains("change_id"), "{requests:?}");
}
