//! Guards the fault switches of the test upstream: if a switch had no effect, tests that rely on it
//! would pass without the fault.

use bench::upstream::response_body;
use http::{CallError, CancelToken, Pool, PoolConfig, Response, ServerConfig};
use std::{
    net::{Ipv4Addr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::Instant,
};

mod common;
use common::{TEST_TIMEOUT, request, send, start_upstream, wait_until};

#[test]
fn second_executions() {
    let upstream = start_upstream(|_| {});
    for (id, method) in [("a", "GET"), ("b", "POST"), ("b", "POST"), ("b", "GET")] {
        let response = send(upstream.address(), &request(id, method, "/x")).unwrap();
        assert_eq!(response.body, response_body(id, 200));
    }
    assert_eq!(upstream.executions().len(), 4);
    assert_eq!(
        upstream.repeated_calls(),
        [("b".to_owned(), "POST".to_owned(), 2)]
    );
}

#[test]
fn fail_fast_and_shed() {
    let upstream = start_upstream(|config| config.slots = 1);
    upstream.update_switches(|switches| switches.fail_fast = true);
    let failed = send(upstream.address(), &request("a", "GET", "/")).unwrap();
    assert_eq!(failed.status, 500);
    assert!(upstream.executions().is_empty());

    upstream.update_switches(|switches| {
        switches.fail_fast = false;
        switches.silent = true;
        switches.shed = true;
    });
    let address = upstream.address();
    let running = thread::spawn(move || send(address, &request("running", "GET", "/")));
    wait_until("the slot is in use", || {
        upstream.running_and_waiting() == (1, 0)
    });
    let shed = send(address, &request("b", "GET", "/")).unwrap();
    assert_eq!(shed.status, 503);
    upstream.update_switches(|switches| switches.silent = false);
    assert_eq!(running.join().unwrap().unwrap().status, 200);
    assert_eq!(upstream.executions().len(), 1);
}

/// A call whose caller closes the connection while the call waits must not run.
#[test]
fn cancelled_while_waiting() {
    let upstream = start_upstream(|config| config.slots = 1);
    upstream.update_switches(|switches| switches.silent = true);
    let address = upstream.address();
    let running = thread::spawn(move || send(address, &request("running", "GET", "/")));
    wait_until("the slot is in use", || {
        upstream.running_and_waiting() == (1, 0)
    });
    let cancel = CancelToken::new();
    let waiting = thread::spawn({
        let cancel = cancel.clone();
        move || {
            let pool = Pool::new(PoolConfig::new(address));
            pool.call(
                &request("b", "POST", "/"),
                Instant::now() + TEST_TIMEOUT,
                &cancel,
            )
        }
    });
    wait_until("the second call waits", || {
        upstream.running_and_waiting() == (1, 1)
    });
    cancel.cancel();
    assert_eq!(waiting.join().unwrap(), Err(CallError::Cancelled));
    wait_until("the cancelled call leaves the queue", || {
        upstream.running_and_waiting() == (1, 0)
    });
    upstream.update_switches(|switches| switches.silent = false);
    assert!(running.join().unwrap().is_ok());
    assert_eq!(upstream.executions().len(), 1);
}

#[test]
fn crash_and_restart() {
    let upstream = start_upstream(|config| config.restart_after_ms = 50);
    let mut poison = request("poison", "POST", "/");
    poison.headers.append("x-bench-crash", "1");
    let result = send(upstream.address(), &poison);
    assert_eq!(result, Err(CallError::ConnectionLost));
    assert_eq!(upstream.crash_count(), 1);
    wait_until("the upstream serves again", || {
        send(upstream.address(), &request("a", "GET", "/")).is_ok()
    });
    assert_eq!(upstream.executions()[0].request_id, "poison");
}

#[test]
fn control_over_http() {
    let upstream = start_upstream(|_| {});
    let mut put = request("", "PUT", "/control");
    put.body = br#"{"slow_factor": 2.5, "drain": true}"#.to_vec();
    assert_eq!(send(upstream.address(), &put).unwrap().status, 200);
    put.body = br#"{"misreport": true}"#.to_vec();
    let status = send(upstream.address(), &put).unwrap();
    let text = String::from_utf8(status.body).unwrap();
    for part in [
        r#""slow_factor":2.5"#,
        r#""drain":true"#,
        r#""misreport":true"#,
    ] {
        assert!(text.contains(part), "{text}");
    }
    put.body = br#"{"unknown": true}"#.to_vec();
    assert_eq!(send(upstream.address(), &put).unwrap().status, 400);
    let response = send(upstream.address(), &request("late", "GET", "/")).unwrap();
    assert_eq!(response.status, 200);
    assert!(upstream.executions()[0].draining_us.is_some());
}

#[test]
fn announcements() {
    let received = Arc::new(Mutex::new(Vec::<(String, String)>::new()));
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let node = listener.local_addr().unwrap();
    let _node = http::serve(listener, ServerConfig::default(), {
        let received = Arc::clone(&received);
        move |request, _| {
            assert_eq!(request.target, "/v1/instance");
            let body = String::from_utf8(request.body).unwrap();
            received.lock().unwrap().push((request.method, body));
            Response::new(200, "")
        }
    })
    .unwrap();
    let upstream = start_upstream(|config| {
        config.node = Some(node);
        config.announce_every_ms = TEST_TIMEOUT.as_millis() as u64;
    });
    wait_until("the upstream is announced", || {
        upstream.accepted_announcements() == 1
    });
    upstream.update_switches(|switches| switches.drain = true);
    wait_until("the change is announced", || {
        upstream.accepted_announcements() == 2
    });
    let address = upstream.address();
    upstream.stop();
    let received = received.lock().unwrap();
    let body = |state: &str| {
        format!(
            r#"{{"service":"catalogue","name":"catalogue-1","address":"{address}","slots":6,"connections":260,"state":"{state}","default_profile":"default","rules":[],"in_flight":0,"queue":0,"load":0.0}}"#
        )
    };
    let expected = [
        ("PUT", "serving"),
        ("PUT", "draining"),
        ("DELETE", "stopping"),
    ]
    .map(|(method, state)| (method.to_owned(), body(state)));
    assert_eq!(*received, expected);
}
