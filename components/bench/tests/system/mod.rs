//! Helpers for tests of a whole deployment: replicas, nodes and upstreams in one process, single
//! calls through a node, and checks on what ran.
// Each test file uses only some of these helpers.
#![allow(dead_code)]

use bench::{
    deployment::{Deployment, DeploymentConfig},
    load::{CallOutcome, LoadReport},
    upstream::{AnnouncedRule, Execution, ServiceTime, Upstream, UpstreamConfig},
};
use http::{CallError, CancelToken, Pool, PoolConfig, Request, Response};
use kernel::ProfileTable;
use model::{Profile, ProfileName, Revision};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Longest wait for a condition or an answer.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Service that the test upstreams announce.
pub(crate) const SERVICE: &str = "catalogue";

static TEST_LOCK: Mutex<()> = Mutex::new(());

/// Lock that makes the tests of one file run one after the other.
pub(crate) fn test_lock() -> MutexGuard<'static, ()> {
    TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A profile with default values.
pub(crate) fn profile(name: &str) -> Profile {
    Profile::with_defaults(ProfileName::parse(name).unwrap())
}

/// Starts three control replicas and `nodes` nodes, with the idempotent profile `read` and the
/// non-idempotent profile `write` in effect.
pub(crate) fn start_deployment(nodes: usize) -> Deployment {
    let zones = ["zone-1", "zone-2", "zone-3", "zone-1", "zone-2", "zone-3"];
    let mut config = DeploymentConfig::new(&zones[..nodes]);
    config.decision_log_percent = 0;
    let deployment = Deployment::start(&config).unwrap();
    let mut read = profile("read");
    read.idempotent = true;
    deployment.add_profile(&read).unwrap();
    let number = deployment.add_profile(&profile("write")).unwrap();
    deployment.wait_for_revision(number).unwrap();
    deployment
}

/// Starts an upstream that announces itself to a node. Its POST calls use the profile `write`, all
/// others `read`.
pub(crate) fn start_upstream(
    deployment: &Deployment,
    node: usize,
    change: impl FnOnce(&mut UpstreamConfig),
) -> Upstream {
    let mut config = UpstreamConfig {
        service: SERVICE.to_owned(),
        name: format!("{SERVICE}-{}", node + 1),
        node: Some(deployment.platform_address(node)),
        announce_every_ms: 200,
        default_profile: "read".to_owned(),
        rules: vec![AnnouncedRule {
            method: Some("POST".to_owned()),
            path_prefix: "/".to_owned(),
            profile: "write".to_owned(),
        }],
        service_time: ServiceTime::Fixed { us: 1_000 },
        seed: node as u64,
        ..UpstreamConfig::default()
    };
    change(&mut config);
    Upstream::start(config).unwrap()
}

/// Starts an upstream beside each of the first `count` nodes and waits until all nodes know them.
pub(crate) fn start_upstreams(deployment: &Deployment, count: usize) -> Vec<Upstream> {
    let upstreams: Vec<Upstream> = (0..count)
        .map(|node| start_upstream(deployment, node, |_| {}))
        .collect();
    deployment.wait_for_upstreams(count).unwrap();
    upstreams
}

/// A call of the test service with a deadline of 10 s. `headers` replace these fields or add to
/// them.
pub(crate) fn request(id: &str, method: &str, headers: &[(&str, &str)], body: &str) -> Request {
    let mut fields = vec![
        ("host", SERVICE),
        ("x-request-id", id),
        ("x-gyard-deadline-ms", "10000"),
    ];
    fields.retain(|(name, _)| headers.iter().all(|(other, _)| other != name));
    fields.extend(headers);
    Request {
        method: method.to_owned(),
        target: "/".to_owned(),
        headers: fields.into_iter().collect(),
        body: body.as_bytes().to_vec(),
        peer: (Ipv4Addr::LOCALHOST, 0).into(),
    }
}

/// Waits until a call through the node is answered by an upstream.
pub(crate) fn wait_until_served(deployment: &Deployment, node: usize) {
    wait_until("a call through the node succeeds", || {
        let answer = send(
            deployment.call_address(node),
            &request("ping", "GET", &[], ""),
        );
        answer.is_ok_and(|response| response.status == 200)
    });
}

/// Sends a call over a new connection and waits for its answer.
pub(crate) fn send(address: SocketAddr, request: &Request) -> Result<Response, CallError> {
    let pool = Pool::new(PoolConfig::new(address));
    pool.call(request, Instant::now() + TEST_TIMEOUT, &CancelToken::new())
}

/// Sends a call from a thread of its own.
pub(crate) fn send_in_background(
    address: SocketAddr,
    request: Request,
) -> JoinHandle<Result<Response, CallError>> {
    thread::spawn(move || send(address, &request))
}

/// Describes an answer in one line: status, and error code and outcome unless an upstream sent it.
pub(crate) fn describe_result(result: &Result<Response, CallError>) -> String {
    let response = match result {
        Ok(response) => response,
        Err(error) => return format!("no answer ({error:?})"),
    };
    match response.headers.get("x-gyard-outcome") {
        Some(outcome) => format!("{} {} {outcome}", response.status, error_code(response)),
        None => format!("{} from the upstream", response.status),
    }
}

/// Error code in the body of a response that a node made itself.
pub(crate) fn error_code(response: &Response) -> String {
    let value: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    value["error"].as_str().unwrap_or("none").to_owned()
}

pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

pub(crate) fn executions(upstreams: &[Upstream]) -> Vec<Execution> {
    upstreams.iter().flat_map(Upstream::executions).collect()
}

/// Number of executions of a request id on all upstreams.
pub(crate) fn execution_count(upstreams: &[Upstream], id: &str) -> usize {
    let all = executions(upstreams);
    all.iter().filter(|run| run.request_id == id).count()
}

/// Checks the guarantees that hold whatever fails: no non-idempotent call ran twice, no call that
/// was answered as `not-run` ran, and no answer was truncated by the system or mixed up with
/// another.
pub(crate) fn assert_safe(report: &LoadReport, upstreams: &[Upstream]) {
    let all = executions(upstreams);
    let repeated: Vec<_> = bench::upstream::repeated_calls(&all)
        .into_iter()
        .filter(|(_, method, _)| method == "POST")
        .collect();
    assert!(repeated.is_empty(), "ran more than once: {repeated:?}");
    for record in &report.records {
        if record.outcome == CallOutcome::NotRun {
            let runs = all.iter().filter(|run| run.request_id == record.request_id);
            assert_eq!(runs.count(), 0, "answered as not run, but ran: {record:?}");
        }
    }
    assert_eq!(report.counts.mismatch, 0, "{}", report.to_text());
    assert_eq!(report.counts.cut_off, 0, "{}", report.to_text());
}

/// Samples the revision in effect on one node from a thread and checks that it never decreases.
pub(crate) struct RevisionMonitor {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<(u64, Instant)>>,
}

impl RevisionMonitor {
    pub(crate) fn start(profiles: ProfileTable) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let thread = thread::spawn({
            let stop = Arc::clone(&stop);
            move || {
                let mut last = Revision::default();
                let mut seen = Vec::new();
                while !stop.load(Ordering::Acquire) {
                    let current = profiles.revision();
                    assert!(
                        current >= last,
                        "revision decreased from {last} to {current}"
                    );
                    if current > last {
                        seen.push((current.number, Instant::now()));
                        last = current;
                    }
                    thread::sleep(Duration::from_millis(1));
                }
                seen
            }
        });
        RevisionMonitor { stop, thread }
    }

    /// Stops sampling. Returns each observed revision number with the time when it was first seen.
    pub(crate) fn stop(self) -> Vec<(u64, Instant)> {
        self.stop.store(true, Ordering::Release);
        self.thread.join().unwrap()
    }
}
