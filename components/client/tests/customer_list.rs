//! `customers`: limits, and the age of each node's proof, must be told from missing ones.

mod support;

use support::{FakeOperatorPort, response, run_command};

const LIST: &str = r#"{"version":7,"customers":[
    {"name":"choir","keys":2,"rank":1,"rate_per_s":12.5,"burst":30.0},
    {"name":"bells","keys":0,"rank":null,"rate_per_s":null,"burst":null}],
    "nodes":[{"node":"10.0.0.1:7000","host":"host-1","proof_age_ms":431},
    {"node":"10.0.0.2:7000","host":"host-2","proof_age_ms":null}]}"#;

#[test]
fn customer_table() {
    let fake = FakeOperatorPort::start(vec![
        response(200, LIST),
        response(200, LIST),
        response(200, r#"{"version":0,"customers":null,"nodes":[]}"#),
    ]);
    let mut text = run_command(&[fake.address], "customers");
    text += &run_command(&[fake.address], "--output json customers");
    text += &run_command(&[fake.address], "customers");
    insta::assert_snapshot!(text);
    assert!(fake.requests()[0].starts_with("GET /v1/customers "));
}
