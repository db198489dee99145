//! Guards against a table of customers without those that are refused calls, without a limit, or
//! whose figures are incomplete, and against ages of proofs that look alike with and without a proof.

mod support;

use support::{FakeOperatorPort, error_response, response, run_command};

const LIST: &str = r#"{"revision":{"term":2,"number":5},"customers":[
    {"name":"busy","keys":2,"rank":1,"rate_per_s":60.0,"burst":60.0,"admitted":358,"over_limit":4107,
    "unconfirmed":2,"shares":[{"node":"10.0.0.1:1","calls_per_s":16.0},
    {"node":"10.0.0.1:2","calls_per_s":15.875}]},
    {"name":"free","keys":0,"rank":null,"rate_per_s":null,"burst":0.0,"admitted":0,"over_limit":0,"unconfirmed":0,
    "shares":[]}],"silent_nodes":["10.0.0.1:3"],
    "nodes":[{"node":"10.0.0.1:1","host":"host-1","proof_age_ms":431},
    {"node":"10.0.0.1:2","host":"host-2","proof_age_ms":null}]}"#;
const EMPTY: &str =
    r#"{"revision":{"term":2,"number":5},"customers":[],"silent_nodes":[],"nodes":[]}"#;

#[test]
fn customer_table() {
    let fake = FakeOperatorPort::start(vec![
        response(200, LIST),
        response(200, LIST),
        response(200, EMPTY),
        error_response(401, "unauthorized", ""),
    ]);
    let mut text = run_command(&[fake.address], "customers");
    text += &run_command(&[fake.address], "--output json customers");
    text += &run_command(&[fake.address], "customers");
    text += &run_command(&[fake.address], "customers");
    text += &fake.requests()[..3].join("\n");
    insta::assert_snapshot!(text);
}
