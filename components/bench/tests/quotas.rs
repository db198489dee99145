//! Guards against quotas that don't hold over the nodes of a real deployment, refuse calls within the
//! limit, or end when the leader of the control group is killed.

mod system;

use bench::deployment::{Deployment, DeploymentConfig};
use config::{
    ApiKey, CallerLimits, ColdLimit, Configuration, Customer, Destination, Quantity, Route,
    Service, VirtualHost,
};
use errors::ErrorKind;
use model::ServiceName;
use node::QuotaGate;
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use system::{SERVICE, execution_count, request, send, start_upstreams, test_lock, wait_until};

const RATE: i64 = 60;
const SMALL_RATE: i64 = 2;
const WINDOW: Duration = Duration::from_secs(5);
/// The required bound; the pause of a thread between its admission and its record of it counts too.
const MOST_IN_WINDOW: f64 = (RATE as f64 * 5.0 + RATE as f64) * 1.1 + 20.0;

fn customer(name: &str, rate: Option<i64>) -> Customer {
    Customer {
        name: Arc::from(name),
        keys: Vec::new(),
        rank: None,
        rate_per_s: rate.map(Quantity::Whole),
        burst: rate.map(Quantity::Whole),
    }
}

fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        version_text: None,
        services: Vec::new(),
        limits: CallerLimits {
            max_head_bytes: Quantity::Whole(16_384),
            max_body_bytes: Quantity::Whole(65_536),
            head_timeout_ms: Quantity::Whole(5_000),
            idle_timeout_ms: Quantity::Whole(60_000),
        },
        hosts: Vec::new(),
        customers: Some(vec![
            customer("busy", Some(RATE)),
            customer("quiet", Some(RATE)),
            customer("unlimited", None),
        ]),
    }
}

/// A customer with few calls on a route whose calls must not run twice.
fn keyed_route() -> Configuration {
    let service = ServiceName::parse(SERVICE).unwrap();
    let route = Route {
        name: Arc::from("order"),
        path_prefix: Arc::from("/"),
        idempotent: false,
        timeout_ms: Quantity::Whole(10_000),
        latency_target_ms: Quantity::Whole(1_000),
        rank: Quantity::Whole(1),
        attempts: Quantity::Whole(2),
        is_public: false,
        destination: Destination::Service(service.clone()),
    };
    Configuration {
        services: vec![Service {
            name: service,
            health_path: Arc::from("/health"),
            max_connections: Quantity::Whole(16),
            protocol: Arc::from("h1"),
            tls: false,
            cold: ColdLimit::default(),
        }],
        hosts: vec![VirtualHost {
            host: Arc::from(SERVICE),
            routes: vec![route],
        }],
        customers: Some(vec![Customer {
            keys: vec![ApiKey::Plain(Arc::from("a-key"))],
            ..customer("small", Some(SMALL_RATE))
        }]),
        ..configuration(1)
    }
}

fn start(configuration: &Configuration) -> Deployment {
    let mut config = DeploymentConfig::new(&["zone-1", "zone-2", "zone-3"]);
    config.decision_log_percent = 0;
    let deployment = Deployment::start(&config).unwrap();
    deployment.configure(configuration).unwrap();
    for index in 0..3 {
        wait_until("the configuration is in effect", || {
            let routes = deployment.node(index).profiles.routes();
            routes.is_some_and(|table| table.configuration().version == 1)
        });
    }
    deployment
}

type Calls = Arc<Mutex<Vec<(Instant, Result<(), ErrorKind>)>>>;

/// Sends calls of a customer to all nodes with a pause after each, until `stop`.
fn send_calls(
    deployment: &Deployment,
    name: &'static str,
    pause: Duration,
    stop: &Arc<AtomicBool>,
) -> (Calls, Vec<thread::JoinHandle<()>>) {
    let calls = Calls::default();
    let senders = (0..3).map(|index| {
        let gate = QuotaGate::for_kernel(deployment.node(index));
        let (calls, stop) = (Arc::clone(&calls), Arc::clone(stop));
        thread::spawn(move || {
            let name = Arc::from(name);
            while !stop.load(Ordering::Relaxed) {
                let result = gate
                    .admit(&name)
                    .map(|_| ())
                    .map_err(|refused| refused.kind);
                calls.lock().unwrap().push((Instant::now(), result));
                thread::sleep(pause);
            }
        })
    });
    let senders = senders.collect();
    (calls, senders)
}

fn admitted(calls: &Calls, from: Instant, until: Instant) -> usize {
    let calls = calls.lock().unwrap();
    let in_time = calls.iter().filter(|(at, _)| (from..until).contains(at));
    in_time.filter(|(_, result)| result.is_ok()).count()
}

fn worst_window(calls: &Calls) -> usize {
    let starts: Vec<Instant> = calls.lock().unwrap().iter().map(|(at, _)| *at).collect();
    let counts = starts.iter().map(|at| admitted(calls, *at, *at + WINDOW));
    counts.max().unwrap_or(0)
}

fn refused(calls: &Calls, from: Instant, kind: ErrorKind) -> usize {
    let calls = calls.lock().unwrap();
    let late = calls.iter().filter(|(at, _)| *at >= from);
    late.filter(|(_, result)| *result == Err(kind)).count()
}

#[test]
fn killed_leader() {
    let _lock = test_lock();
    let mut deployment = start(&configuration(1));
    let stop = Arc::new(AtomicBool::new(false));
    // Three senders of about 250 calls/s each, and three of 10 calls/s each.
    let (busy, mut senders) = send_calls(&deployment, "busy", Duration::from_millis(4), &stop);
    let (quiet, more) = send_calls(&deployment, "quiet", Duration::from_millis(100), &stop);
    senders.extend(more);
    let (unlimited, more) = send_calls(&deployment, "unlimited", Duration::from_millis(50), &stop);
    senders.extend(more);
    thread::sleep(Duration::from_secs(4));
    let settled = Instant::now();
    thread::sleep(Duration::from_secs(6));
    let before = admitted(&busy, settled, Instant::now());
    let quiet_refused = refused(&quiet, settled, ErrorKind::QuotaExceeded)
        + refused(&quiet, settled, ErrorKind::QuotaUnconfirmed);
    let listed = deployment.customers().unwrap();
    let busy_listed = &listed["customers"][0];
    println!("listed: {busy_listed}");
    assert_eq!(busy_listed["name"], "busy");
    assert_eq!(busy_listed["rate_per_s"], RATE as f64);
    assert!(busy_listed["admitted"].as_u64().unwrap() >= before as u64);
    assert!(busy_listed["over_limit"].as_u64().unwrap() > 0);
    assert!(listed["silent_nodes"].as_array().unwrap().is_empty());
    let leader = deployment.leader().unwrap();
    deployment.kill_replica(leader);
    let killed = Instant::now();
    thread::sleep(Duration::from_secs(8));
    let after = Instant::now();
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    senders
        .into_iter()
        .for_each(|sender| sender.join().unwrap());
    let late = admitted(&busy, after, Instant::now());
    println!(
        "busy: {before} in 6 s before the kill, {late} in the last 4 s, worst window {}; quiet: {quiet_refused} refused before, {} over its limit and {} unconfirmed after the kill",
        worst_window(&busy),
        refused(&quiet, killed, ErrorKind::QuotaExceeded),
        refused(&quiet, killed, ErrorKind::QuotaUnconfirmed),
    );
    assert!(worst_window(&busy) as f64 <= MOST_IN_WINDOW);
    // Far below the rate, so that a slow machine fails nothing.
    assert!(before as i64 >= RATE * 6 / 2, "{before} calls in 6 s");
    assert!(
        late as i64 >= RATE * 4 / 2,
        "{late} calls in 4 s after the kill"
    );
    assert!(refused(&busy, settled, ErrorKind::QuotaExceeded) > 0);
    assert_eq!(quiet_refused, 0);
    assert_eq!(refused(&quiet, killed, ErrorKind::QuotaExceeded), 0);
    assert_eq!(refused(&unlimited, settled, ErrorKind::QuotaExceeded), 0);
    assert_eq!(refused(&unlimited, settled, ErrorKind::QuotaUnconfirmed), 0);
}

/// A call that is sent again with its idempotency key gets the answer to the first. Since no upstream
/// runs it, it must not use up the customer's limit.
#[test]
fn stored_answers() {
    let _lock = test_lock();
    let deployment = start(&keyed_route());
    let upstreams = start_upstreams(&deployment, 1);
    let headers = [
        ("authorization", "Bearer a-key"),
        ("idempotency-key", "key-1"),
    ];
    let call = request("order-1", "POST", &headers, "an order");
    let status = || send(deployment.call_address(1), &call).map_or(0, |answer| answer.status);
    wait_until("the call is answered", || status() == 200);
    let start = Instant::now();
    let answered = (0..200).filter(|_| {
        // The token comes back just after the answer has been sent.
        thread::sleep(Duration::from_millis(10));
        status() == 200
    });
    let answered = answered.count() as f64;
    let tokens = start.elapsed().as_secs_f64() * SMALL_RATE as f64;
    println!("{answered} answers, refill of {tokens:.1} tokens");
    // A full bucket has fewer than the 10 tokens.
    assert!(answered > tokens + 10.0, "{answered} with {tokens} tokens");
    assert_eq!(execution_count(&upstreams, "order-1"), 1);
}
