//! Guards against calls that get a wrong route or priority, and against configurations that are
//! accepted with invalid fields.

use config::{
    CallerLimits, ColdLimit, Configuration, Destination, Quantity, Route, RouteTable, Service,
    VirtualHost, WeightedService,
};
use model::{Priority, ServiceName};
use std::sync::Arc;

fn service(name: &str) -> ServiceName {
    ServiceName::parse(name).unwrap()
}

fn route(name: &str, prefix: &str, rank: i64) -> Route {
    Route {
        name: name.into(),
        path_prefix: prefix.into(),
        idempotent: true,
        timeout_ms: Quantity::Whole(800),
        latency_target_ms: Quantity::Whole(200),
        rank: Quantity::Whole(rank),
        attempts: Quantity::Whole(2),
        is_public: false,
        destination: Destination::Service(service("catalogue")),
    }
}

fn configuration(routes: Vec<Route>) -> Configuration {
    Configuration {
        version: 1,
        version_text: None,
        services: ["catalogue", "lending"]
            .map(|name| Service {
                name: service(name),
                health_path: "/health".into(),
                max_connections: Quantity::Whole(260),
                protocol: "h1".into(),
                tls: false,
                cold: ColdLimit::default(),
            })
            .into(),
        limits: CallerLimits {
            max_head_bytes: Quantity::Whole(16_384),
            max_body_bytes: Quantity::Whole(1 << 20),
            head_timeout_ms: Quantity::Whole(3_000),
            idle_timeout_ms: Quantity::Whole(15_000),
        },
        hosts: vec![VirtualHost {
            host: "Scores.example".into(),
            routes,
        }],
        customers: None,
    }
}

#[test]
fn longest_prefix_applies() {
    let routes = vec![route("all", "/", 2), route("browse", "/browse/", 1)];
    let table = RouteTable::new(Arc::new(configuration(routes)), 0);
    let found = |host: &str, path: &str| table.find(host, path).map(|m| m.route.name.to_string());
    assert_eq!(
        found("scores.example", "/browse/1").as_deref(),
        Some("browse")
    );
    assert_eq!(found("SCORES.example:80", "/other").as_deref(), Some("all"));
    assert_eq!(found("other.example", "/browse/1"), None);
}

#[test]
fn rank_sets_priority() {
    let routes = vec![
        route("a", "/a/", 1),
        route("b", "/b/", 4),
        route("c", "/c/", 9),
    ];
    let table = RouteTable::new(Arc::new(configuration(routes)), 0);
    let priority = |path| table.find("scores.example", path).unwrap().profile.priority;
    assert_eq!(
        [priority("/a/"), priority("/b/"), priority("/c/")],
        [Priority::High, Priority::Normal, Priority::Low]
    );
}

/// Guards against numbers that count for something else than their value.
#[test]
fn notation_keeps_value() {
    let quantity = |text| Quantity::parse(text).unwrap();
    let ranked = |name, prefix, rank| Route {
        rank: quantity(rank),
        ..route(name, prefix, 0)
    };
    let mut routes = vec![
        ranked("a", "/a/", "1e0"),
        ranked("b", "/b/", "1.00"),
        ranked("c", "/c/", "1.5"),
        ranked("d", "/d/", "123456789012345678901234567890"),
    ];
    routes[0].timeout_ms = quantity("2.5e3");
    routes[0].attempts = quantity("3.0");
    routes[3].attempts = quantity("1e400");
    let table = RouteTable::new(Arc::new(configuration(routes)), 0);
    let profile = |path| &table.find("scores.example", path).unwrap().profile;
    assert_eq!(profile("/a/").priority, Priority::High);
    assert_eq!(profile("/b/").priority, Priority::High);
    assert_eq!(profile("/c/").priority, Priority::Normal);
    assert_eq!(profile("/d/").priority, Priority::Low);
    assert_eq!(profile("/a/").deadline_ms, 2_500);
    assert_eq!(profile("/a/").attempts, 3);
    assert_eq!(profile("/d/").attempts, u16::MAX);
}

#[test]
fn split_keeps_weights() {
    let mut split = route("swap", "/swap/", 1);
    split.destination = Destination::Split(
        [("catalogue", 90), ("lending", 10)]
            .map(|(name, weight)| WeightedService {
                service: service(name),
                weight: Quantity::Whole(weight),
            })
            .into(),
    );
    let table = RouteTable::new(Arc::new(configuration(vec![split])), 17);
    let matched = table.find("scores.example", "/swap/1").unwrap();
    let chosen = (0..200).filter_map(|_| matched.next_service());
    let lending = chosen.filter(|name| *name == service("lending")).count();
    assert!((19..=21).contains(&lending), "{lending} of 200");
}

/// Guards against a look at the next part of a split that moves the split on, or that tells another
/// part than the next call gets.
#[test]
fn looks_leave_split_as_it_is() {
    let mut split = route("swap", "/swap/", 1);
    split.destination = Destination::Split(
        [("catalogue", 5), ("lending", 3), ("orders", 0)]
            .map(|(name, weight)| WeightedService {
                service: service(name),
                weight: Quantity::Whole(weight),
            })
            .into(),
    );
    let table = RouteTable::new(Arc::new(configuration(vec![split])), 17);
    let looked_at = RouteTable::new(Arc::clone(table.configuration()), 17);
    let matched = |table: &RouteTable| Arc::clone(table.find("scores.example", "/swap/1").unwrap());
    let (plain, looked_at) = (matched(&table), matched(&looked_at));
    for _ in 0..100 {
        let looks: Vec<_> = (0..10).map(|_| looked_at.upcoming_service()).collect();
        let next = looked_at.next_service();
        assert!(looks.iter().all(|look| *look == next));
        assert_eq!(next, plain.next_service());
    }
}

/// Guards against an overflow in the sum of the weights, which would end the thread that puts a
/// configuration into effect.
#[test]
fn largest_weights() {
    let mut split = route("swap", "/swap/", 1);
    split.destination = Destination::Split(
        ["catalogue", "lending"]
            .map(|name| WeightedService {
                service: service(name),
                weight: Quantity::Whole(i64::MAX),
            })
            .into(),
    );
    let table = RouteTable::new(Arc::new(configuration(vec![split])), 17);
    let matched = table.find("scores.example", "/swap/1").unwrap();
    let chosen = (0..200).filter_map(|_| matched.next_service());
    let lending = chosen.filter(|name| *name == service("lending")).count();
    assert_eq!(lending, 100);
}

/// Guards against an invalid configuration that is accepted: it would be in effect on all nodes.
#[test]
fn invalid_fields_rejected() {
    type Invalidate = fn(&mut Route);
    let cases: [(&str, Invalidate); 6] = [
        ("starts without a slash", |r| {
            r.path_prefix = "browse/".into();
        }),
        ("no attempts", |r| r.attempts = Quantity::Whole(0)),
        ("long timeout", |r| r.timeout_ms = Quantity::Whole(600_001)),
        ("target far over timeout", |r| {
            r.latency_target_ms = Quantity::Whole(60_800);
        }),
        ("unknown service", |r| {
            r.destination = Destination::Service(service("missing"));
        }),
        ("negative weight", |r| {
            r.destination = Destination::Split(vec![WeightedService {
                service: service("lending"),
                weight: Quantity::Whole(-1),
            }]);
        }),
    ];
    assert!(configuration(vec![route("ok", "/ok/", 1)]).check().is_ok());
    for (case, invalidate) in cases {
        let mut invalid = route("bad", "/bad/", 1);
        invalidate(&mut invalid);
        let errors = configuration(vec![invalid]).check().expect_err(case);
        assert_eq!(errors.len(), 1, "{case}: {errors:?}");
    }
}
