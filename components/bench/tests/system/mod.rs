//! Set-up shared by the failure tests: a deployment, its instances and single calls.
// Each test file uses only some of these.
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

pub(crate) const PATIENCE: Duration = Duration::from_secs(30);
pub(crate) const SERVICE: &str = "catalogue";

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Lets the tests of one file run one after the other.
pub(crate) fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn profile(name: &str) -> Profile {
    Profile::with_defaults(ProfileName::parse(name).unwrap())
}

/// Three replicas, `nodes` nodes, the repeatable profile `read` and the non-repeatable `write`.
pub(crate) fn deployment(nodes: usize) -> Deployment {
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

/// An instance beside a node; calls with the method POST may not be repeated.
pub(crate) fn instance(
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

/// An instance beside each of the first `count` nodes, known everywhere.
pub(crate) fn instances(deployment: &Deployment, count: usize) -> Vec<Upstream> {
    let upstreams: Vec<Upstream> = (0..count)
        .map(|node| instance(deployment, node, |_| {}))
        .collect();
    deployment.wait_for_upstreams(count).unwrap();
    upstreams
}

pub(crate) fn request(id: &str, method: &str, headers: &[(&str, &str)], body: &str) -> Request {
    let mut all = vec![
        ("host", SERVICE),
        ("x-request-id", id),
        ("x-gyard-deadline-ms", "10000"),
    ];
    all.retain(|(name, _)| headers.iter().all(|(other, _)| other != name));
    all.extend(headers);
    Request {
        method: method.to_owned(),
        target: "/".to_owned(),
        headers: all.into_iter().collect(),
        body: body.as_bytes().to_vec(),
        peer: (Ipv4Addr::LOCALHOST, 0).into(),
    }
}

/// Waits until calls through the node reach an instance.
pub(crate) fn serves(deployment: &Deployment, node: usize) {
    eventually("the node serves", || {
        let answer = send(
            deployment.call_address(node),
            &request("ping", "GET", &[], ""),
        );
        answer.is_ok_and(|response| response.status == 200)
    });
}

/// Sends over a connection of its own.
pub(crate) fn send(address: SocketAddr, request: &Request) -> Result<Response, CallError> {
    let pool = Pool::new(PoolConfig::new(address));
    pool.call(request, Instant::now() + PATIENCE, &CancelToken::new())
}

pub(crate) fn send_later(
    address: SocketAddr,
    request: Request,
) -> JoinHandle<Result<Response, CallError>> {
    thread::spawn(move || send(address, &request))
}

/// Status, outcome header and error kind of an answer, as one line of a session.
pub(crate) fn told(result: &Result<Response, CallError>) -> String {
    let response = match result {
        Ok(response) => response,
        Err(error) => return format!("no answer ({error:?})"),
    };
    match response.headers.get("x-gyard-outcome") {
        Some(outcome) => format!("{} {} {outcome}", response.status, code(response)),
        None => format!("{} from the instance", response.status),
    }
}

/// Error kind in a response of the system itself.
pub(crate) fn code(response: &Response) -> String {
    let value: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    value["error"].as_str().unwrap_or("none").to_owned()
}

pub(crate) fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "never happened: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

pub(crate) fn executions(upstreams: &[Upstream]) -> Vec<Execution> {
    upstreams.iter().flat_map(Upstream::executions).collect()
}

/// Executions of one request id on all instances.
pub(crate) fn runs_of(upstreams: &[Upstream], id: &str) -> usize {
    let all = executions(upstreams);
    all.iter().filter(|run| run.request_id == id).count()
}

/// Checks the promises that hold for every load, whatever fails: no non-repeatable call ran twice,
/// no call that was refused as not run had run, no answer was cut off by the system or mixed up.
pub(crate) fn assert_safe(report: &LoadReport, upstreams: &[Upstream]) {
    let all = executions(upstreams);
    let twice: Vec<_> = bench::upstream::repeated_calls(&all)
        .into_iter()
        .filter(|(_, method, _)| method == "POST")
        .collect();
    assert!(twice.is_empty(), "ran more than once: {twice:?}");
    for record in &report.records {
        if record.outcome == CallOutcome::NotRun {
            let runs = all.iter().filter(|run| run.request_id == record.request_id);
            assert_eq!(runs.count(), 0, "told not run, but ran: {record:?}");
        }
    }
    assert_eq!(report.counts.mismatch, 0, "{}", report.to_text());
    assert_eq!(report.counts.cut_off, 0, "{}", report.to_text());
}

/// Samples the revisions in effect on one node and checks that they never go back.
pub(crate) struct Watch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<(u64, Instant)>>,
}

impl Watch {
    pub(crate) fn start(profiles: ProfileTable) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let thread = thread::spawn({
            let stop = Arc::clone(&stop);
            move || {
                let mut last = Revision::default();
                let mut seen = Vec::new();
                while !stop.load(Ordering::Acquire) {
                    let now = profiles.revision();
                    assert!(now >= last, "revision went back from {last} to {now}");
                    if now > last {
                        seen.push((now.number, Instant::now()));
                        last = now;
                    }
                    thread::sleep(Duration::from_millis(1));
                }
                seen
            }
        });
        Watch { stop, thread }
    }

    /// The revisions that came into effect, and when.
    pub(crate) fn stop(self) -> Vec<(u64, Instant)> {
        self.stop.store(true, Ordering::Release);
        self.thread.join().unwrap()
    }
}
