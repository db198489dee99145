//! Guards the counts and latencies of the load generator: a failed or late call that it counted as
//! successful would hide a fault of the system.

use bench::{
    load::{CallOutcome, LoadConfig, LoadReport, Spacing, run},
    upstream::response_body,
};
use http::{Headers, Response, ServerConfig};
use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::mpsc::channel,
    thread,
    time::Duration,
};

mod common;
use common::{TEST_TIMEOUT, start_upstream, wait_until};

/// Runs a short load with records of all calls, at a fixed spacing and a changed configuration.
fn run_load(targets: Vec<SocketAddr>, change: impl FnOnce(&mut LoadConfig)) -> LoadReport {
    let mut config = LoadConfig {
        targets,
        rate_per_s: 500.0,
        spacing: Spacing::Fixed,
        duration_ms: 200,
        deadline_ms: TEST_TIMEOUT.as_millis() as u64,
        keep_records: true,
        ..LoadConfig::default()
    };
    change(&mut config);
    run(&config)
}

#[test]
fn load_counts() {
    let (a, b) = (start_upstream(|_| {}), start_upstream(|_| {}));
    let report = run_load(vec![a.address(), b.address()], |_| {});
    assert_eq!((report.counts.ok, report.counts.total()), (100, 100));
    assert_eq!((a.executions().len(), b.executions().len()), (50, 50));
    let ids: BTreeSet<_> = report.records.iter().map(|r| &r.request_id).collect();
    assert_eq!(ids.len(), 100);
}

/// Each kind of failed answer has its own counter. A failed call counts with a latency of at least
/// its deadline.
#[test]
fn load_failures() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let _server = http::serve(listener, ServerConfig::default(), |request, _| {
        let id = request.headers.get("x-request-id").unwrap_or_default();
        let number: u64 = id.rsplit('-').next().unwrap().parse().unwrap();
        let response = |status, bytes| {
            Response::new(status, response_body(id, bytes)).with_header("x-request-id", id)
        };
        match number % 5 {
            0 => http::error_response(errors::ErrorKind::QueueFull),
            1 => http::error_response(errors::ErrorKind::UpstreamLost),
            2 => response(200, 199),
            3 => response(500, 0),
            _ => Response {
                headers: Headers::new(),
                ..response(200, 200)
            },
        }
    })
    .unwrap();
    let report = run_load(vec![address], |config| config.deadline_ms = 10_000);
    let counts = report.counts;
    assert_eq!(
        (
            counts.not_run,
            counts.unknown,
            counts.mismatch,
            counts.upstream_error
        ),
        (20, 20, 40, 20)
    );
    assert_eq!(report.codes["queue-full"], 20);
    assert!(
        report
            .records
            .iter()
            .all(|record| record.latency_us >= 10_000_000)
    );
}

/// While the server stalls, no further call can be sent. The latency of these calls must include
/// their wait: it counts from the intended time of sending, and all intended times lie in the
/// stall.
#[test]
fn coordinated_omission() {
    let upstream = start_upstream(|config| config.slots = 1);
    upstream.update_switches(|switches| switches.silent = true);
    let address = upstream.address();
    let (sender, receiver) = channel();
    thread::spawn(move || {
        let report = run_load(vec![address], |config| config.max_in_flight = 1);
        sender.send(report).unwrap();
    });
    wait_until("the first call runs", || upstream.executions().len() == 1);
    thread::sleep(Duration::from_millis(600));
    upstream.update_switches(|switches| switches.silent = false);
    let report = receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(report.counts.ok, 100);
    assert!(
        report.latency_quantile_us(0.5) >= 200_000,
        "{}",
        report.to_text()
    );
    assert!(report.records.iter().all(|r| r.outcome == CallOutcome::Ok));
}
