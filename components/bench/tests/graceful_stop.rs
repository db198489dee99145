//! Guards that leaving loses nothing: a drained instance gets no new call after 3 s, a stopping
//! node finishes its calls in flight, and no answer is cut off.

mod system;

use bench::{
    load::{self, LoadConfig, LoadReport},
    upstream::Upstream,
};
use serde_json::json;
use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};
use system::{
    PATIENCE, SERVICE, alone, assert_safe, deployment, eventually, instances, request, send_later,
};

/// Time after the start of a drain from which no new call may arrive, in microseconds.
const DRAIN_LIMIT_US: u64 = 3_000_000;
/// Longer than the drain limit, so that a late call would be seen.
const LOAD_MS: u64 = 5_000;
/// Longer than the notice and the grace of a stopping node of the test deployment.
const AFTER_NOTICE: Duration = Duration::from_millis(300);

fn load_on(targets: Vec<std::net::SocketAddr>, method: &str) -> load::LoadRun {
    load::start(&LoadConfig {
        targets,
        rate_per_s: 60.0,
        duration_ms: LOAD_MS,
        service: SERVICE.to_owned(),
        method: method.to_owned(),
        deadline_ms: 5_000,
        keep_records: true,
        request_id_prefix: format!("stop-{method}"),
        ..LoadConfig::default()
    })
}

fn assert_none_lost(report: &LoadReport) {
    assert_eq!(
        report.counts.ok,
        report.counts.total(),
        "{} {:?}",
        report.to_text(),
        report.codes
    );
}

#[test]
fn drained_instance() {
    let _alone = alone();
    let deployment = deployment(3);
    let upstreams = instances(&deployment, 3);
    let targets: Vec<_> = (0..3).map(|node| deployment.call_address(node)).collect();
    let loads = ["GET", "POST"].map(|method| load_on(targets.clone(), method));
    eventually("the instance is used", || {
        !upstreams[0].executions().is_empty()
    });
    let name = format!("{SERVICE}-1");
    // The control group learns of an instance with its node's next pull.
    eventually("the group knows the instance", || {
        deployment
            .status()
            .unwrap()
            .to_string()
            .contains(&format!("\"{name}\""))
    });
    deployment
        .operator_request("POST", "/v1/drain", Some(&json!({ "instance": name })))
        .unwrap();
    upstreams[0].update_switches(|switches| switches.drain = true);
    for load in loads {
        let report = load.join();
        assert_safe(&report, &upstreams);
        assert_none_lost(&report);
    }
    let late = upstreams[0].executions();
    let late = late
        .iter()
        .filter(|run| run.draining_us > Some(DRAIN_LIMIT_US))
        .count();
    assert_eq!(late, 0, "new calls reached a leaving instance");
}

#[test]
fn stopped_node() {
    let _alone = alone();
    let mut deployment = deployment(3);
    let upstreams = instances(&deployment, 3);
    // Callers of a stopping node go to another one; these use the nodes that stay.
    let targets: Vec<_> = (1..3).map(|node| deployment.call_address(node)).collect();
    let loads = ["GET", "POST"].map(|method| load_on(targets.clone(), method));
    eventually("the instance is used", || {
        !upstreams[0].executions().is_empty()
    });
    deployment.stop_node(0);
    deployment.start_node(0).unwrap();
    for load in loads {
        let report = load.join();
        assert_safe(&report, &upstreams);
        assert_none_lost(&report);
    }
}

#[test]
fn call_in_flight() {
    let _alone = alone();
    let mut deployment = deployment(1);
    let upstreams = instances(&deployment, 1);
    upstreams[0].update_switches(|switches| switches.silent = true);
    let call = request("in-flight", "POST", &[], "an order");
    let waiting = send_later(deployment.call_address(0), call);
    eventually("the call runs", || {
        upstreams[0].running_and_waiting().0 == 1
    });
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(300));
            upstreams[0].update_switches(|switches| switches.silent = false);
        });
        deployment.stop_node(0);
    });
    let answer = waiting.join().unwrap().expect("the answer arrives whole");
    assert_eq!(answer.status, 200);
    assert_eq!(upstreams[0].executions().len(), 1);
}

/// A connection that never falls idle must not bring calls to a node that is about to end: they
/// would be cut off while their instance works.
#[test]
fn late_call_refused() {
    let _alone = alone();
    let mut deployment = deployment(2);
    let upstreams = instances(&deployment, 2);
    for upstream in &upstreams {
        upstream.update_switches(|switches| switches.silent = true);
    }
    let address = deployment.call_address(0);
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let call = |id: &str| {
        format!(
            "GET / HTTP/1.1\r\nhost: {SERVICE}\r\nx-request-id: {id}\r\nx-gyard-deadline-ms: 9000\r\n\r\n"
        )
    };
    stream.write_all(call("early").as_bytes()).unwrap();
    eventually("the first call runs", || {
        upstreams
            .iter()
            .any(|upstream| upstream.running_and_waiting().0 == 1)
    });
    let mut text = String::new();
    thread::scope(|scope| {
        scope.spawn(|| deployment.stop_node(0));
        thread::sleep(AFTER_NOTICE);
        stream.write_all(call("late").as_bytes()).unwrap();
        thread::sleep(AFTER_NOTICE);
        for upstream in &upstreams {
            upstream.update_switches(|switches| switches.silent = false);
        }
        stream.read_to_string(&mut text).unwrap();
    });
    let late_runs = upstreams
        .iter()
        .flat_map(Upstream::executions)
        .filter(|run| run.request_id == "late")
        .count();
    assert_eq!(late_runs, 0, "{text}");
    assert!(
        text.starts_with("HTTP/1.1 200") && text.contains("\"stopping\""),
        "{text}"
    );
}
