//! `status`, `drain` and `--wait`: lagging nodes must be distinguished from nodes without reports.

mod support;

use support::{FakeOperatorPort, accepted_change, error_response, response, run_command};

fn node(port: u16, number: u64, is_stale: bool) -> String {
    format!(
        r#"{{"node":"10.0.0.1:{port}","host":"host-{port}","availability_zone":"a",
        "revision":{{"term":2,"number":{number}}},"in_effect":{},"age_ms":1200,"stale":{is_stale},
        "instances":[{{"name":"catalogue-{port}","service":"catalogue","state":"serving",
        "address":"10.0.0.1:80"}}]}}"#,
        number >= 5
    )
}

fn status(leader: &str, nodes: &[String]) -> Option<(u16, String)> {
    let body = format!(
        r#"{{"leader":{leader},"revision":{{"term":2,"number":5}},"replicas":[
        {{"replica":1,"address":"10.0.0.9:7000","role":"leader","disk_id":"00ff","matched":12,
        "reachable":true,"error":null}},
        {{"replica":2,"address":"10.0.0.9:7001","role":"follower","disk_id":null,"matched":null,
        "reachable":false}}],"nodes":[{}]}}"#,
        nodes.join(",")
    );
    response(200, &body)
}

#[test]
fn status_table() {
    let nodes = [node(1, 5, false), node(2, 4, false), node(3, 4, true)];
    let fake = FakeOperatorPort::start(vec![status("1", &nodes), status("null", &[])]);
    let mut text = run_command(&[fake.address], "status");
    text += &run_command(&[fake.address], "--output json status");
    insta::assert_snapshot!(text);
}

#[test]
fn drain_instance() {
    let fake = FakeOperatorPort::start(vec![
        response(200, "{}"),
        error_response(404, "not-found", "no live instance is named nosuch"),
    ]);
    let mut text = run_command(&[fake.address], "drain catalogue-1 --service catalogue");
    text += &run_command(&[fake.address], "drain nosuch");
    text += &fake.requests().join("\n");
    insta::assert_snapshot!(text);
}

#[test]
fn wait_in_effect() {
    let lagging = [node(1, 5, false), node(2, 4, false)];
    // A node without recent reports is not live, so the command must not wait for it.
    let done = [node(1, 5, false), node(2, 5, false), node(3, 4, true)];
    let fake = FakeOperatorPort::start(vec![
        accepted_change(5),
        status("1", &lagging),
        status("1", &done),
    ]);
    let line = "profile add browse --change-id c-1 --wait";
    insta::assert_snapshot!(run_command(&[fake.address], line));
    assert_eq!(fake.requests().len(), 3);
}

#[test]
fn wait_times_out() {
    let lagging = [node(1, 5, false), node(2, 4, false)];
    let script = || {
        let polls = (0..20).map(|_| status("1", &lagging));
        [accepted_change(5)].into_iter().chain(polls).collect()
    };
    let fake = FakeOperatorPort::start(script());
    let line = "profile add browse --change-id c-1 --wait-ms 500";
    let mut text = run_command(&[fake.address], line);
    let fake = FakeOperatorPort::start(script());
    text += &run_command(&[fake.address], &format!("--output json {line}"));
    insta::assert_snapshot!(text);
}
