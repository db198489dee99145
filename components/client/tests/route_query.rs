//! `route`: both outputs must show the decision and its reasons, and the operators' token must not be sent
//! to a node.

mod support;

use support::{FakeOperatorPort, closed_address, error_response, response, run_command};

const SENT: &str = r#"{"node":"127.0.0.1:7401","availability_zone":"zone-1","revision":{"term":2,"number":6},"revision_age_ms":120,"configuration":7,"call":{"host":"shop.example","path":"/items?id=7","method":"GET","customer":"alpha","rank":null},"outcome":{"sent":{"upstream":"catalogue-1","reason":"expected"}},"notes":["upstreams of zone-1 are preferred (zone preference prefer)"],"route":{"name":"items","path_prefix":"/items","public":false,"idempotent":true,"attempts":3,"timeout_ms":1000,"latency_target_ms":200,"rank":1},"split":[{"service":"catalogue","weight":90.0,"is_next":true},{"service":"lending","weight":10.0,"is_next":false}],"service":"catalogue","priority":"high","suspect":{"verdict":"clear","crashes":0,"trials":0,"newest_age_ms":null,"held_requests":1,"refused_requests":0},"quota":{"rate_per_s":50.0,"burst":50.0,"verdict":"admitted","retry_after_ms":null,"share_per_s":12.5,"tokens":3.75,"waiting":0,"lease_ms":1730,"is_cut_off":false},"evacuated_zones":["zone-2"],"cold_limit":{"duration_s":30.0,"calls_per_s":5.0},"candidates":[{"upstream":"catalogue-1","node":"127.0.0.1:7401","availability_zone":"zone-1","state":"serving","is_chosen":true,"is_ejected":false,"expected_us":2600,"load":1.5,"usable_slots":6.0,"outstanding":1,"signal":{"in_flight":1,"queued":0,"slots":6,"service_time_us":2300,"pace_percent":100,"sequence":17},"signal_age_ms":4},{"upstream":"catalogue-3","node":"127.0.0.1:7403","availability_zone":"zone-3","state":"starting","is_chosen":false,"is_ejected":true,"expected_us":9000,"load":0.0,"usable_slots":6.0,"outstanding":0,"signal":null,"signal_age_ms":null}],"left_out":[{"reason":"evacuated","availability_zone":"zone-2","upstreams":4}],"admission":{"verdict":"wait","error":null,"source":"owner","running":6,"waiting":2,"slots":6,"age_ms":0,"cold":{"cold_left_ms":900,"max_per_s":10,"room_in_ms":0}}}"#;

const REFUSED: &str = r#"{"node":"127.0.0.1:7401","availability_zone":"zone-1","revision":{"term":2,"number":6},"revision_age_ms":120,"configuration":null,"call":{"host":"h","path":"/","method":"GET","customer":null,"rank":3},"outcome":{"refused":{"error":"not-configured","status":503,"detail":"this node has no configuration yet","retry_after_ms":null}},"notes":[],"route":null,"split":[],"service":null,"priority":null,"suspect":null,"quota":null,"evacuated_zones":[],"cold_limit":null,"candidates":[],"left_out":[],"admission":null}"#;

#[test]
fn route_session() {
    let fake = FakeOperatorPort::start(vec![
        response(200, SENT),
        response(200, REFUSED),
        response(200, REFUSED),
        error_response(400, "malformed-request", "parameter path is \\\"items\\\""),
    ]);
    let node = fake.address;
    let mut text = String::new();
    for line in [
        "--host shop.example --path /items?id=7 --customer alpha",
        "--host h --path / --rank 3",
        "--host h --path / --rank 3 --output json",
        "--host h --path items --method POST",
        "--host h",
    ] {
        text += &run_command(&[node], &format!("route --node {node} {line}"));
    }
    text += &run_command(&[], "route --host h --path /");
    text += &run_command(&[], "route --node here --host h --path /");
    text += &fake.requests().join("\n");
    insta::assert_snapshot!(text);
}

#[test]
fn silent_node() {
    let node = closed_address();
    let line = format!("--timeout-ms 300 route --node {node} --host h --path /");
    let text = run_command(&[node], &line);
    assert!(text.contains("the node did not answer"), "{text}");
    assert!(text.contains("exit code 3"), "{text}");
}
