//! Guards against calls that run at an instance although a service which they call is short of
//! capacity, against calls that run although they were refused as not run, against callers that are told
//! to retry before the shortage can end, against refusals that go on after it, and against those where
//! only one owner has no upstream.

mod system;

use bench::{
    deployment::Deployment,
    upstream::{ServiceTime, Upstream},
};
use http::{Request, Response, Server, ServerConfig, serve};
use model::{ServiceName, UpstreamName};
use std::{
    collections::HashSet,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};
use system::{
    describe_result, profile, request, send, send_in_background, start_deployment, start_upstream,
    test_lock, wait_until,
};

const REFUSED: &str = "503 overloaded not-run";
/// Calls at the callee at once, and the time that each takes.
const SLOTS: usize = 4;
const CALLEE_US: u64 = 400_000;
/// Deadline of the calls to the callee during its shortage: less than a call takes, so that its owner
/// refuses those that would have to wait, however slow the machine is.
const SHORT_DEADLINE: &str = "300";
const LONG_DEADLINE: &str = "20000";
/// The instance is told to retry 0.4 to 0.8 s after a call that found no upstream, and callers that are
/// refused meanwhile 0.04 to 0.16 s after the end of that time. Without the time from the owner, their
/// entry tells them 0.8 s at most.
const LONG_WAIT_S: f64 = 0.81;
/// Calls after which the calls of the instance are known.
const LEARNING_CALLS: usize = 24;

/// An instance that calls the service `callee` for each of its calls, through the node beside it.
struct CallingInstance {
    is_short: Arc<AtomicBool>,
    runs: Arc<Mutex<HashSet<String>>>,
    _server: Server,
}

impl CallingInstance {
    fn start(deployment: &Deployment, node: usize) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let (is_short, runs) = <(Arc<AtomicBool>, Arc<Mutex<HashSet<String>>>)>::default();
        let handle = {
            let (is_short, runs) = (Arc::clone(&is_short), Arc::clone(&runs));
            let entry = deployment.call_address(node);
            move |call: Request, _: &_| {
                let id = call.headers.get("x-request-id").unwrap_or_default();
                runs.lock().unwrap().insert(id.to_owned());
                let status = call_callee(entry, id, is_short.load(Ordering::Acquire));
                Response::new(status, "").with_header("x-request-id", id)
            }
        };
        let server = serve(listener, ServerConfig::default(), handle).unwrap();
        announce(deployment.platform_address(node), address);
        CallingInstance {
            is_short,
            runs,
            _server: server,
        }
    }
}

fn call_callee(entry: SocketAddr, id: &str, is_short: bool) -> u16 {
    let deadline = if is_short {
        SHORT_DEADLINE
    } else {
        LONG_DEADLINE
    };
    let headers = [("host", "callee"), ("x-gyard-deadline-ms", deadline)];
    let nested = request(&format!("{id}.1"), "GET", &headers, "");
    match send(entry, &nested) {
        Ok(response) if response.status == 200 => 200,
        _ => 500,
    }
}

fn announce(platform: SocketAddr, address: SocketAddr) {
    let body = serde_json::json!({
        "service": "front", "name": "front-1", "address": address, "slots": 16,
        "connections": 64, "state": "serving", "default_profile": "front", "rules": [],
        "in_flight": 0, "queue": 0, "load": 0.0,
    });
    let mut put = request("announce", "PUT", &[], &body.to_string());
    put.target = "/v1/instance".to_owned();
    let response = send(platform, &put).unwrap();
    assert!(response.status < 300, "{response:?}");
}

/// Two nodes: the first has an instance that calls the callee, the second has the callee.
fn start(downstream_admission: bool, callee_us: u64) -> (Deployment, CallingInstance, Upstream) {
    let mut deployment = start_deployment(2);
    deployment.kill_node(0);
    let settings = deployment.node_settings(0);
    settings.downstream_admission = downstream_admission;
    settings.headers.request_id = Some("x-request-id");
    settings.lease_ms = 60_000;
    deployment.start_node(0).unwrap();
    let mut number = 0;
    for name in ["front", "callee"] {
        let mut profile = profile(name);
        profile.deadline_ms = 60_000;
        profile.attempts = 1;
        number = deployment.add_profile(&profile).unwrap();
    }
    deployment.wait_for_revision(number).unwrap();
    let callee = start_upstream(&deployment, 1, |config| {
        config.service = "callee".to_owned();
        config.slots = SLOTS as u32;
        config.service_time = ServiceTime::Fixed { us: callee_us };
        config.default_profile = "callee".to_owned();
        config.rules = Vec::new();
    });
    let instance = CallingInstance::start(&deployment, 0);
    deployment.wait_for_upstreams(2).unwrap();
    wait_until("a call is served", || {
        call(deployment.call_address(1), "ping") == "200 from the upstream"
    });
    thread::scope(|scope| {
        for caller in 0..SLOTS {
            let address = deployment.call_address(1);
            scope.spawn(move || {
                for n in 0..LEARNING_CALLS / SLOTS {
                    let result = call(address, &format!("learning-{caller}-{n}"));
                    assert_eq!(result, "200 from the upstream");
                }
            });
        }
    });
    (deployment, instance, callee)
}

/// Result of a call to the calling instance, which goes through the other node.
fn call(address: SocketAddr, id: &str) -> String {
    describe_result(&send(address, &front_request(id)))
}

fn front_request(id: &str) -> Request {
    let headers = [("host", "front"), ("x-gyard-deadline-ms", "20000")];
    request(id, "POST", &headers, "")
}

/// Fills the callee until its switch `silent` is off.
fn fill(deployment: &Deployment, callee: &Upstream) -> Vec<JoinHandle<()>> {
    callee.update_switches(|switches| switches.silent = true);
    let headers = [("host", "callee"), ("x-gyard-deadline-ms", "60000")];
    let calls: Vec<_> = (0..SLOTS)
        .map(|n| request(&format!("fill-{n}"), "GET", &headers, ""))
        .map(|call| send_in_background(deployment.call_address(1), call))
        .map(|call| thread::spawn(move || drop(call.join())))
        .collect();
    wait_until("the callee is full", || {
        callee.running_and_waiting().0 == SLOTS as u32
    });
    calls
}

/// Waits until several calls in turn are served.
fn wait_until_all_served(deployment: &Deployment) {
    let address = deployment.call_address(1);
    let (mut served_in_turn, mut number) = (0, 0);
    wait_until("calls are served again", || {
        number += 1;
        let is_served = call(address, &format!("after-{number}")) == "200 from the upstream";
        served_in_turn = if is_served { served_in_turn + 1 } else { 0 };
        served_in_turn == 3
    });
}

fn retry_after_s(response: &Response) -> f64 {
    let seconds = response.headers.get("retry-after").unwrap_or_default();
    seconds.parse().unwrap()
}

/// What node 0 says about a call to the calling instance.
fn route_answer(deployment: &Deployment) -> String {
    let mut query = request("query", "GET", &[], "");
    query.target = "/v1/route?host=front&path=/&method=POST".to_owned();
    let answer = send(deployment.platform_address(0), &query).unwrap();
    String::from_utf8(answer.body).unwrap()
}

#[test]
fn refused_until_served() {
    let _lock = test_lock();
    let (deployment, instance, callee) = start(true, CALLEE_US);
    assert!(!route_answer(&deployment).contains("short of capacity"));
    instance.is_short.store(true, Ordering::Release);
    let fillers = fill(&deployment, &callee);

    let mut refused = Vec::new();
    let mut number = 0;
    let mut send_one = || {
        number += 1;
        let id = format!("short-{number}");
        let result = send(deployment.call_address(1), &front_request(&id));
        if describe_result(&result) != REFUSED {
            return;
        }
        assert!(retry_after_s(&result.unwrap()) > 0.0);
        refused.push(id);
    };
    let mut is_named = false;
    wait_until("calls are refused and the rule is named", || {
        send_one();
        is_named |= route_answer(&deployment).contains("service callee is short of capacity");
        is_named && deployment.node(0).metrics.downstream_refused.get() >= 5
    });
    assert!(!refused.is_empty());
    let text = deployment.node(0).metrics.render();
    assert!(text.contains("gyard_downstream_refused_total"), "{text}");

    instance.is_short.store(false, Ordering::Release);
    callee.update_switches(|switches| switches.silent = false);
    fillers.into_iter().for_each(|call| call.join().unwrap());
    wait_until_all_served(&deployment);
    let runs = instance.runs.lock().unwrap();
    let ran: Vec<_> = refused.iter().filter(|id| runs.contains(*id)).collect();
    assert!(ran.is_empty(), "answered as not run, but ran: {ran:?}");
}

#[test]
fn time_of_retry() {
    let _lock = test_lock();
    let (deployment, _instance, callee) = start(true, 1_000);
    callee.update_switches(|switches| switches.drain = true);
    let mut number = 0;
    wait_until("a caller is told the rest of the shortage", || {
        number += 1;
        let request = front_request(&format!("short-{number}"));
        let result = send(deployment.call_address(1), &request);
        describe_result(&result) == REFUSED && retry_after_s(&result.unwrap()) > LONG_WAIT_S
    });
    callee.update_switches(|switches| switches.drain = false);
    wait_until_all_served(&deployment);
}

#[test]
fn off_by_default() {
    let _lock = test_lock();
    let (deployment, instance, callee) = start(false, CALLEE_US);
    instance.is_short.store(true, Ordering::Release);
    let fillers = fill(&deployment, &callee);
    for n in 0..10 {
        let result = call(deployment.call_address(1), &format!("short-{n}"));
        assert_eq!(result, "500 from the upstream");
    }
    assert_eq!(deployment.node(0).metrics.downstream_refused.get(), 0);
    callee.update_switches(|switches| switches.silent = false);
    fillers.into_iter().for_each(|call| call.join().unwrap());
}

/// An owner that has no upstream shows nothing of the other instances of its service.
#[test]
fn gone_at_owner() {
    let _lock = test_lock();
    let (deployment, _instance, _callee) = start(true, 1_000);
    let directory = &deployment.node(0).directory;
    let service = ServiceName::parse("callee").unwrap();
    let mut gone = directory.upstreams(&service)[0].clone();
    gone.name = UpstreamName::parse("gone").unwrap();
    assert!(directory.upsert(gone));
    let (mut number, mut failed) = (0, 0);
    wait_until("calls go to the instance that is gone", || {
        number += 1;
        let result = call(deployment.call_address(1), &format!("gone-{number}"));
        assert!(result.ends_with("from the upstream"), "{result}");
        failed += usize::from(result.starts_with("500"));
        failed == 3
    });
    assert_eq!(deployment.node(0).metrics.downstream_refused.get(), 0);
}
