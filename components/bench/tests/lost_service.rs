//! Guards against calls that are refused as calls to an unknown service, which callers don't send
//! again, while the only upstream of their service is gone for a moment.

use bench::deployment::Deployment;
use config::{
    CallerLimits, ColdLimit, Configuration, Destination, Quantity, Route, Service, VirtualHost,
};
use http::Response;
use model::ServiceName;

mod system;
use system::{
    SERVICE, describe_result, request, send, start_deployment, start_upstream, test_lock,
    wait_until, wait_until_served,
};

const NOT_KNOWN: &str = "404 unknown-service not-run";
const NO_UPSTREAM: &str = "503 no-upstream not-run";

fn call(deployment: &Deployment, node: usize, host: &str) -> Response {
    let call = request("lost", "GET", &[("host", host)], "");
    send(deployment.call_address(node), &call).unwrap()
}

#[test]
fn node_stopped() {
    let _lock = test_lock();
    let mut deployment = start_deployment(2);
    assert_eq!(
        describe_result(&Ok(call(&deployment, 1, SERVICE))),
        NOT_KNOWN
    );
    let _upstream = start_upstream(&deployment, 0, |_| {});
    wait_until_served(&deployment, 1);
    deployment.stop_node(0);
    deployment.wait_for_upstreams(0).unwrap();
    let answer = call(&deployment, 1, SERVICE);
    assert_eq!(describe_result(&Ok(answer.clone())), NO_UPSTREAM);
    let retry_after = answer.headers.get("retry-after").unwrap();
    assert!(retry_after.parse::<f64>().unwrap() > 0.0, "{retry_after}");
    let other = call(&deployment, 1, "unheard-of");
    assert_eq!(describe_result(&Ok(other)), NOT_KNOWN);
    deployment.start_node(0).unwrap();
    wait_until_served(&deployment, 1);
}

#[test]
fn instance_withdrawn() {
    let _lock = test_lock();
    let deployment = start_deployment(1);
    let upstream = start_upstream(&deployment, 0, |_| {});
    wait_until_served(&deployment, 0);
    drop(upstream);
    wait_until("the instance is withdrawn", || {
        deployment.node(0).directory.all().is_empty()
    });
    let answer = call(&deployment, 0, SERVICE);
    assert_eq!(describe_result(&Ok(answer)), NO_UPSTREAM);
}

fn configuration() -> Configuration {
    let service = ServiceName::parse(SERVICE).unwrap();
    Configuration {
        version: 1,
        version_text: None,
        services: vec![Service {
            name: service.clone(),
            health_path: "/health".into(),
            max_connections: Quantity::Whole(100),
            protocol: "h1".into(),
            tls: false,
            cold: ColdLimit::default(),
        }],
        limits: CallerLimits {
            max_head_bytes: Quantity::Whole(16_384),
            max_body_bytes: Quantity::Whole(65_536),
            head_timeout_ms: Quantity::Whole(5_000),
            idle_timeout_ms: Quantity::Whole(60_000),
        },
        hosts: vec![VirtualHost {
            host: SERVICE.into(),
            routes: vec![Route {
                name: "all".into(),
                path_prefix: "/".into(),
                idempotent: true,
                timeout_ms: Quantity::Whole(5_000),
                latency_target_ms: Quantity::Whole(2_000),
                rank: Quantity::Whole(1),
                attempts: Quantity::Whole(2),
                is_public: true,
                destination: Destination::Service(service),
            }],
        }],
        customers: None,
    }
}

/// With a configuration, a service is known by its route, also before it has had an upstream.
#[test]
fn configured_service() {
    let _lock = test_lock();
    let deployment = start_deployment(1);
    deployment.configure(&configuration()).unwrap();
    wait_until("the configuration is in effect", || {
        deployment.node(0).profiles.routes().is_some()
    });
    let answer = call(&deployment, 0, SERVICE);
    assert_eq!(describe_result(&Ok(answer)), NO_UPSTREAM);
    let upstream = start_upstream(&deployment, 0, |_| {});
    wait_until_served(&deployment, 0);
    drop(upstream);
    wait_until("the instance is withdrawn", || {
        deployment.node(0).directory.all().is_empty()
    });
    let answer = call(&deployment, 0, SERVICE);
    assert_eq!(describe_result(&Ok(answer)), NO_UPSTREAM);
    let other = call(&deployment, 0, "unheard-of");
    assert_eq!(describe_result(&Ok(other)), "404 no-route not-run");
}
