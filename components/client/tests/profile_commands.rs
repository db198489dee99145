//! Profile commands: the requests they send, the results they show and the checks before sending.

mod support;

use std::fs;
use support::{
    FakeOperatorPort, PROFILE_ENTRY, accepted_change, error_response, response, run_command,
};

#[test]
fn whole_session() {
    let list = format!(r#"{{"revision":{{"term":2,"number":5}},"profiles":[{PROFILE_ENTRY}]}}"#);
    let fake = FakeOperatorPort::start(vec![
        accepted_change(4),
        response(200, PROFILE_ENTRY),
        response(200, PROFILE_ENTRY),
        accepted_change(5),
        response(200, &list),
        accepted_change(6),
        response(200, &list),
    ]);
    let mut text = String::new();
    for line in [
        "profile add browse --idempotent true --deadline-ms 800 --change-id c-1",
        "profile show browse",
        "profile change browse --hedge true --priority high --change-id c-2",
        "profile list",
        "profile retire browse --successor plain --expect-revision 5 --change-id c-3 --output json",
        "--output json profile list",
    ] {
        text += &run_command(&[fake.address], line);
        text.push('\n');
    }
    text += &fake.requests().join("\n");
    insta::assert_snapshot!(text);
}

#[test]
fn refused_change() {
    let fake = FakeOperatorPort::start(vec![
        response(200, PROFILE_ENTRY),
        error_response(
            409,
            "conflict",
            "profile browse is at revision 7, changed by c-9",
        ),
        error_response(401, "unauthorized", ""),
        error_response(404, "unknown-profile", "nosuch"),
    ]);
    let mut text = run_command(
        &[fake.address],
        "profile change browse --attempts 2 --change-id c-4",
    );
    text += &run_command(&[fake.address], "profile list");
    text += &run_command(&[fake.address], "--output json profile show nosuch");
    insta::assert_snapshot!(text);
    // A refusal is final and must not be sent again.
    assert_eq!(fake.requests().len(), 4);
}

#[test]
fn profile_file() {
    let path = std::env::temp_dir().join(format!("gyard-client-{}.toml", std::process::id()));
    fs::write(&path, "name = \"browse\"\ndeadline_ms = 700\n").unwrap();
    let fake = FakeOperatorPort::start(vec![accepted_change(8)]);
    let shown = path.display().to_string();
    let lines = [
        format!("profile change --file {shown} --attempts 2 --change-id c-5"),
        format!("profile add other --file {shown}"),
        format!("profile add --file {shown} --hedge true"),
    ];
    let text: String = lines
        .iter()
        .map(|line| run_command(&[fake.address], line))
        .collect();
    fs::remove_file(&path).unwrap();
    let text = text.replace(&shown, "FILE") + &fake.requests().join("\n");
    insta::assert_snapshot!(text);
}

#[test]
fn wrong_usage() {
    let fake = FakeOperatorPort::start(vec![response(200, PROFILE_ENTRY)]);
    let mut text = String::new();
    for line in [
        "",
        "profile",
        "profile add",
        "profile add a b",
        "profile add Browse",
        "profile add browse --deadline-ms 0 --hedge true",
        "profile add browse --measure often",
        "profile add browse --no-such-flag",
        "profile add browse --change-id",
        "profile change browse",
        "--output xml profile list",
        "--control-operator nowhere status",
        "--output json drain",
    ] {
        text += &run_command(&[fake.address], line);
    }
    text += &run_command(&[], "status");
    insta::assert_snapshot!(text);
    assert_eq!(fake.requests().len(), 1);
}

#[test]
fn help_pages() {
    let mut text = run_command(&[], "--help");
    text += &run_command(&[], "profile change --help");
    insta::assert_snapshot!(text);
}
