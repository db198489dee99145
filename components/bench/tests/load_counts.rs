//! Guards the load generator: a failed or late call that it counts as good would hide a fault.

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
use common::{PATIENCE, eventually, upstream};

fn load(targets: Vec<SocketAddr>, change: impl FnOnce(&mut LoadConfig)) -> LoadReport {
    let mut config = LoadConfig {
        targets,
        rate_per_s: 500.0,
        spacing: Spacing::Fixed,
        duration_ms: 200,
        deadline_ms: PATIENCE.as_millis() as u64,
        keep_records: true,
        ..LoadConfig::default()
    };
    change(&mut config);
    run(&config)
}

#[test]
fn load_counts() {
    let (a, b) = (upstream(|_| {}), upstream(|_| {}));
    let report = load(vec![a.address(), b.address()], |_| {});
    assert_eq!((report.counts.ok, report.counts.total()), (100, 100));
    assert_eq!((a.executions().len(), b.executions().len()), (50, 50));
    let ids: BTreeSet<_> = report.records.iter().map(|r| &r.request_id).collect();
    assert_eq!(ids.len(), 100);
}

/// Each kind of failed answer is counted as what it is, at the deadline at least.
#[test]
fn load_failures() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let _server = http::serve(listener, ServerConfig::default(), |request, _| {
        let id = request.headers.get("x-request-id").unwrap_or_default();
        let number: u64 = id.rsplit('-').next().unwrap().parse().unwrap();
        let own = |status, bytes| {
            Response::new(status, response_body(id, bytes)).with_header("x-request-id", id)
        };
        match number % 5 {
            0 => http::error_response(errors::ErrorKind::QueueFull),
            1 => http::error_response(errors::ErrorKind::UpstreamLost),
            2 => own(200, 199),
            3 => own(500, 0),
            _ => Response {
                headers: Headers::new(),
                ..own(200, 200)
            },
        }
    })
    .unwrap();
    let report = load(vec![address], |config| config.deadline_ms = 10_000);
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

/// Calls behind a stalled one count with their wait: all intended times lie in the stall.
#[test]
fn coordinated_omission() {
    let upstream = upstream(|config| config.slots = 1);
    upstream.update_switches(|switches| switches.silent = true);
    let address = upstream.address();
    let (sender, receiver) = channel();
    thread::spawn(move || {
        let report = load(vec![address], |config| config.max_in_flight = 1);
        sender.send(report).unwrap();
    });
    eventually("the first call runs", || upstream.executions().len() == 1);
    thread::sleep(Duration::from_millis(600));
    upstream.update_switches(|switches| switches.silent = false);
    let report = receiver.recv_timeout(PATIENCE).unwrap();
    assert_eq!(report.counts.ok, 100);
    assert!(
        report.latency_quantile_us(0.5) >= 200_000,
        "{}",
        report.to_text()
    );
    assert!(report.records.iter().all(|r| r.outcome == CallOutcome::Ok));
}
