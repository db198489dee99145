//! Guards against route queries that change what they ask about, that tell something else than what
//! calls then meet, or that hide why a call would be refused.

use bench::{
    deployment::{Deployment, DeploymentConfig},
    upstream::Upstream,
};
use config::{
    ApiKey, CallerLimits, ColdLimit, Configuration, Customer, Destination, Quantity, Route,
    Service, VirtualHost, WeightedService,
};
use model::ServiceName;
use serde_json::Value;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

mod system;
use system::{execution_count, request, send, start_upstream, test_lock, wait_until};

const CALLS: usize = 60;
const IDLE_QUERIES: usize = 300;
/// Counters of the mesh grow without calls, as nodes exchange messages on their own.
const BACKGROUND: &[&str] = &["gyard_mesh_", "gyard_probes"];

fn service(name: &str) -> ServiceName {
    ServiceName::parse(name).unwrap()
}

fn route(name: &str, prefix: &str, is_public: bool, destination: Destination) -> Route {
    Route {
        name: name.into(),
        path_prefix: prefix.into(),
        idempotent: false,
        timeout_ms: Quantity::Whole(5_000),
        latency_target_ms: Quantity::Whole(2_000),
        rank: Quantity::Whole(1),
        attempts: Quantity::Whole(2),
        is_public,
        destination,
    }
}

fn customer(name: &str, rate: i64) -> Customer {
    Customer {
        name: name.into(),
        keys: vec![ApiKey::Plain(format!("{name}-key").into())],
        rank: None,
        rate_per_s: Some(Quantity::Whole(rate)),
        burst: Some(Quantity::Whole(rate)),
    }
}

fn configuration() -> Configuration {
    let split = [("catalogue", 2), ("lending", 1)].map(|(name, weight)| WeightedService {
        service: service(name),
        weight: Quantity::Whole(weight),
    });
    let lending = Destination::Service(service("lending"));
    Configuration {
        version: 7,
        version_text: None,
        services: ["catalogue", "lending"]
            .map(|name| Service {
                name: service(name),
                health_path: "/health".into(),
                max_connections: Quantity::Whole(100),
                protocol: "h1".into(),
                tls: false,
                cold: ColdLimit::default(),
            })
            .into(),
        limits: CallerLimits {
            max_head_bytes: Quantity::Whole(16_384),
            max_body_bytes: Quantity::Whole(65_536),
            head_timeout_ms: Quantity::Whole(5_000),
            idle_timeout_ms: Quantity::Whole(60_000),
        },
        hosts: vec![VirtualHost {
            host: "shop.example".into(),
            routes: vec![
                route("swap", "/", false, Destination::Split(split.into())),
                route("open", "/open", true, lending),
            ],
        }],
        customers: Some(vec![customer("alpha", 1_000), customer("small", 3)]),
    }
}

/// Two nodes, with an upstream of another service beside each.
fn start() -> (Deployment, Vec<Upstream>) {
    let mut config = DeploymentConfig::new(&["zone-1", "zone-2"]);
    config.decision_log_percent = 0;
    let deployment = Deployment::start(&config).unwrap();
    deployment.configure(&configuration()).unwrap();
    let upstreams = [(0, "catalogue"), (1, "lending")].map(|(node, name)| {
        start_upstream(&deployment, node, |config| {
            config.service = name.to_owned();
            config.name = format!("{name}-1");
        })
    });
    deployment.wait_for_upstreams(2).unwrap();
    wait_until("calls are served", || {
        (0..3).all(|n| call(&deployment, &format!("ping-{n}"), "alpha-key", "/") == 200)
    });
    (deployment, upstreams.into())
}

fn call(deployment: &Deployment, id: &str, key: &str, path: &str) -> u16 {
    let key = format!("Bearer {key}");
    let headers = [("host", "shop.example"), ("authorization", key.as_str())];
    let mut request = request(id, "POST", &headers, "");
    request.target = path.to_owned();
    send(deployment.call_address(0), &request).unwrap().status
}

fn get(address: SocketAddr, target: &str) -> (u16, String) {
    let mut request = request("query", "GET", &[], "");
    request.target = target.to_owned();
    let response = send(address, &request).unwrap();
    (response.status, String::from_utf8(response.body).unwrap())
}

fn ask(address: SocketAddr, parameters: &str) -> Value {
    let (status, body) = get(address, &format!("/v1/route?method=POST&{parameters}"));
    assert_eq!(status, 200, "{body}");
    let keys = ["alpha-key", "small-key"];
    assert!(keys.iter().all(|key| !body.contains(key)), "{body}");
    serde_json::from_str(&body).unwrap()
}

/// Error code and detail with which a call is refused by the answer.
fn refusal(answer: &Value) -> String {
    let refused = &answer["outcome"]["refused"];
    let text = |field: &str| refused[field].as_str().unwrap_or("none").to_owned();
    format!("{} {}", text("error"), text("detail"))
}

/// The counters of a node that calls and decisions change.
fn counters(address: SocketAddr) -> Vec<String> {
    let (_, page) = get(address, "/metrics");
    let is_counter = |line: &&str| line.split([' ', '{']).next().unwrap().ends_with("_total");
    let is_background = |line: &&str| BACKGROUND.iter().any(|name| line.starts_with(name));
    let lines = page.lines().filter(is_counter);
    let lines = lines.filter(|line| !is_background(line));
    let mut lines: Vec<String> = lines.map(str::to_owned).collect();
    lines.sort();
    lines
}

fn sum(counters: &[String], name: &str) -> u64 {
    let lines = counters.iter().filter(|line| line.starts_with(name));
    let value = |line: &String| line.rsplit(' ').next().unwrap().parse::<u64>().unwrap();
    lines.map(value).sum()
}

/// Calls meet the same decisions and counters beside hundreds of queries as alone.
#[test]
fn change_nothing() {
    let _lock = test_lock();
    let (deployment, upstreams) = start();
    let platform = deployment.platform_address(0);
    let before = counters(platform);
    let stop = Arc::new(AtomicBool::new(false));
    let asker = thread::spawn({
        let stop = Arc::clone(&stop);
        move || {
            let mut asked = CALLS;
            while !stop.load(Ordering::Relaxed) {
                ask(platform, "host=shop.example&path=/&customer=alpha");
                asked += 1;
            }
            asked
        }
    });
    let mut runs = [0, 0];
    for number in 0..CALLS {
        let id = format!("call-{number}");
        let told = ask(platform, "host=shop.example&path=/&customer=alpha");
        assert_eq!(call(&deployment, &id, "alpha-key", "/"), 200);
        let at = upstreams
            .iter()
            .position(|upstream| execution_count(std::slice::from_ref(upstream), &id) == 1)
            .expect("the call ran once");
        runs[at] += 1;
        let upstream = ["catalogue-1", "lending-1"][at];
        assert_eq!(told["outcome"]["sent"]["upstream"], upstream, "{told}");
    }
    stop.store(true, Ordering::Relaxed);
    println!("{} queries beside {CALLS} calls", asker.join().unwrap());
    assert_eq!(runs, [CALLS * 2 / 3, CALLS / 3], "the split is kept");
    let after = counters(platform);
    for (name, growth) in [
        ("gyard_calls_total", CALLS as u64),
        ("gyard_quota_calls_total", CALLS as u64),
        ("gyard_errors_total", 0),
        ("gyard_extra_attempts_total", 0),
        ("gyard_crash_suspects_total", 0),
    ] {
        assert_eq!(sum(&after, name) - sum(&before, name), growth, "{name}");
    }

    let alone = counters(platform);
    // The owner beside this node numbers its load signals; a query must use up no number.
    let owner = deployment.platform_address(1);
    let signal = || ask(owner, "host=shop.example&path=/open")["candidates"][0]["signal"].clone();
    let first_signal = signal();
    assert!(
        first_signal["sequence"].as_u64() > Some(0),
        "{first_signal}"
    );
    for number in 0..IDLE_QUERIES {
        let customer = ["alpha", "small", "nobody"][number % 3];
        ask(
            platform,
            &format!("host=shop.example&path=/{number}&customer={customer}"),
        );
        ask(platform, "host=shop.example&path=/open&rank=9");
        ask(platform, "host=other.example&path=/");
    }
    assert_eq!(counters(platform), alone);
    assert_eq!(signal(), first_signal);
}

/// The answer names the part at which a call fails, and real calls fail there.
#[test]
fn refusals_are_told() {
    let _lock = test_lock();
    let (deployment, _upstreams) = start();
    let platform = deployment.platform_address(0);
    for (parameters, expected) in [
        (
            "host=other.example&path=/",
            "no-route configuration 7 has no host other.example",
        ),
        (
            "host=shop.example&path=/",
            "unknown-key route swap needs a key and no customer is given",
        ),
        (
            "host=shop.example&path=/&customer=nobody",
            "unknown-key configuration 7 has no customer nobody",
        ),
    ] {
        assert_eq!(refusal(&ask(platform, parameters)), expected);
    }
    assert_eq!(call(&deployment, "keyless", "nobody-key", "/"), 401);
    let open = ask(platform, "host=shop.example&path=/open&customer=alpha");
    assert_eq!(open["outcome"]["sent"]["upstream"], "lending-1", "{open}");
    assert_eq!(
        open["notes"][0],
        "route open is public; its calls have no customer"
    );
    assert_eq!(open["admission"]["source"], "load-signal");
    let beside = ask(
        deployment.platform_address(1),
        "host=shop.example&path=/open",
    );
    assert_eq!(beside["admission"]["source"], "owner", "{beside}");
    assert_eq!(beside["admission"]["verdict"], "start", "{beside}");
    let (status, body) = get(platform, "/v1/route?host=h&path=/&rank=low");
    assert_eq!(status, 400, "{body}");
    assert!(body.contains("parameter rank"), "{body}");
}

/// Quota and evacuation show as the calls meet them.
#[test]
fn limits_are_told() {
    let _lock = test_lock();
    let (deployment, _upstreams) = start();
    let platform = deployment.platform_address(0);
    wait_until("a query tells that the customer is over its rate", || {
        call(&deployment, "over", "small-key", "/") == 429 && {
            let answer = ask(platform, "host=shop.example&path=/&customer=small");
            refusal(&answer) == "quota-exceeded customer small"
                && answer["quota"]["verdict"] == "over-limit"
                && answer["outcome"]["refused"]["retry_after_ms"].as_u64() > Some(0)
        }
    });
    let operators = deployment.operator_client();
    let (status, _) = operators
        .send("POST", "/v1/zones/zone-2/evacuation", None)
        .unwrap();
    assert_eq!(status, 200);
    wait_until("a query tells of the evacuation", || {
        let answer = ask(platform, "host=shop.example&path=/open");
        answer["evacuated_zones"][0] == "zone-2"
            && refusal(&answer).starts_with("no-upstream")
            && answer["left_out"][0]["reason"] == "evacuated"
    });
    assert_eq!(call(&deployment, "evacuated", "", "/open"), 503);
}

/// A node without a configuration says so.
#[test]
fn no_configuration() {
    let _lock = test_lock();
    let mut deployment = Deployment::start(&DeploymentConfig::new(&["zone-1"])).unwrap();
    let answer = ask(deployment.platform_address(0), "host=shop.example&path=/");
    assert!(refusal(&answer).starts_with("unknown-service"), "{answer}");
    deployment.stop_node(0);
    deployment.node_settings(0).require_configuration = true;
    deployment.start_node(0).unwrap();
    let answer = ask(deployment.platform_address(0), "host=shop.example&path=/");
    assert_eq!(
        refusal(&answer),
        "not-configured this node has no configuration yet"
    );
}
