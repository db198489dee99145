//! Guards against keys that are accepted for the wrong customer or after their removal, and against
//! a customer's rank that doesn't take precedence.

use config::{
    ApiKey, CallerLimits, Configuration, Customer, Destination, Quantity, Route, RouteTable,
    VirtualHost, hash_key,
};
use model::{Priority, ServiceName};
use std::sync::Arc;

fn customer(name: &str, keys: &[&str], rank: Option<i64>) -> Customer {
    Customer {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| ApiKey::Plain((*key).into()))
            .collect(),
        rank: rank.map(Quantity::Whole),
        rate_per_s: None,
        burst: None,
    }
}

fn table(customers: Option<Vec<Customer>>) -> RouteTable {
    let route = Route {
        name: "swap".into(),
        path_prefix: "/swap/".into(),
        idempotent: true,
        timeout_ms: Quantity::Whole(800),
        latency_target_ms: Quantity::Whole(200),
        rank: Quantity::Whole(4),
        attempts: Quantity::Whole(2),
        is_public: false,
        destination: Destination::Service(ServiceName::parse("lending").unwrap()),
    };
    let configuration = Configuration {
        version: 1,
        version_text: None,
        services: Vec::new(),
        limits: CallerLimits {
            max_head_bytes: Quantity::Whole(16_384),
            max_body_bytes: Quantity::Whole(1 << 20),
            head_timeout_ms: Quantity::Whole(3_000),
            idle_timeout_ms: Quantity::Whole(15_000),
        },
        hosts: vec![VirtualHost {
            host: "scores.example".into(),
            routes: vec![route],
        }],
        customers,
    };
    RouteTable::new(Arc::new(configuration.with_hashed_keys()), 0)
}

fn name_of(table: &RouteTable, key: &str) -> Option<String> {
    let customer = table.customers()?.find(&hash_key(key.as_bytes()))?;
    Some(customer.name.to_string())
}

#[test]
fn each_key_finds_its_customer() {
    let customers = vec![
        customer("choir", &["key-1", "key-2"], None),
        customer("bells", &["key-3"], None),
        customer("idle", &[], None),
    ];
    let table = table(Some(customers));
    let found = ["key-1", "key-2", "key-3", "key-4", ""].map(|key| name_of(&table, key));
    let choir = Some("choir".to_owned());
    assert_eq!(
        found,
        [choir.clone(), choir, Some("bells".to_owned()), None, None]
    );
}

#[test]
fn empty_list_has_customers() {
    assert!(table(None).customers().is_none());
    assert_eq!(name_of(&table(Some(Vec::new())), "key-1"), None);
    assert!(table(Some(Vec::new())).customers().is_some());
}

/// Ranks of routes and customers share one scale: here 1, 4 (the route's) and 9.
#[test]
fn rank_follows_customer() {
    let customers = vec![
        customer("first", &["key-1"], Some(1)),
        customer("last", &["key-2"], Some(9)),
        customer("usual", &["key-3"], None),
    ];
    let table = table(Some(customers));
    let priority = |key: &str| {
        let customers = table.customers().unwrap();
        customers.find(&hash_key(key.as_bytes())).unwrap().priority
    };
    let route = table.find("scores.example", "/swap/1").unwrap();
    assert_eq!(route.profile.priority, Priority::Normal);
    assert_eq!(priority("key-1"), Some(Priority::High));
    assert_eq!(priority("key-2"), Some(Priority::Low));
    assert_eq!(priority("key-3"), None);
}

/// All keys of the largest configuration are found; a bucket must not hide another key.
#[test]
fn many_keys() {
    let customers = (0..10_000)
        .map(|n| {
            let keys = [0, 1, 2].map(|k| format!("key-{n}-{k}"));
            customer(
                &format!("customer-{n}"),
                &keys.each_ref().map(String::as_str),
                None,
            )
        })
        .collect();
    let table = table(Some(customers));
    for n in 0..10_000 {
        for k in 0..3 {
            let name = name_of(&table, &format!("key-{n}-{k}"));
            assert_eq!(name, Some(format!("customer-{n}")));
        }
    }
    assert_eq!(name_of(&table, "key-10000-0"), None);
}

/// Guards against limits whose amounts no calculation was made for, and against a bound that refuses
/// amounts which operators may set.
#[test]
fn bounded_amounts() {
    let mut limited = customer("choir", &["a"], None);
    for (sent, used) in [
        ("1000000000", 1e9),
        ("1000000001", 1e9),
        ("1e300", 1e9),
        ("1e400", 1e9),
        ("1e-400", f64::MIN_POSITIVE),
    ] {
        limited.rate_per_s = Quantity::parse(sent);
        limited.burst = Quantity::parse(sent);
        let mut configuration = table(None).configuration().as_ref().clone();
        configuration.hosts.clear();
        configuration.customers = Some(vec![limited.clone()]);
        assert_eq!(configuration.check(), Ok(()), "{sent}");
        assert_eq!(limited.limited_rate_per_s(), Some(used), "{sent}");
        assert_eq!(limited.burst_calls(), used, "{sent}");
    }
    limited.rate_per_s = Quantity::parse("0.0");
    limited.burst = None;
    assert_eq!(limited.limited_rate_per_s(), None);
    assert_eq!(limited.burst_calls(), 0.0);
}
