//! Guards against shares of a split that don't follow the proportions of its weights, whatever their
//! size: weights below 0.0005 counted as 0.

use config::{
    CallerLimits, ColdLimit, Configuration, Destination, Quantity, Route, RouteTable, Service,
    VirtualHost, WeightedService,
};
use model::ServiceName;
use proptest::prelude::*;
use std::sync::Arc;

fn service(number: usize) -> ServiceName {
    ServiceName::parse(format!("service-{number}")).unwrap()
}

/// A table with one route, whose split has these weights.
fn table(weights: &[impl AsRef<str>], seed: u64) -> RouteTable {
    let parts = weights.iter().enumerate().map(|(number, weight)| {
        let weight = Quantity::parse(weight.as_ref()).unwrap();
        WeightedService {
            service: service(number),
            weight,
        }
    });
    let route = Route {
        name: "swap".into(),
        path_prefix: "/".into(),
        idempotent: true,
        timeout_ms: Quantity::Whole(800),
        latency_target_ms: Quantity::Whole(200),
        rank: Quantity::Whole(1),
        attempts: Quantity::Whole(2),
        is_public: false,
        destination: Destination::Split(parts.collect()),
    };
    let services = (0..weights.len()).map(|number| Service {
        name: service(number),
        health_path: "/health".into(),
        max_connections: Quantity::Whole(260),
        protocol: "h1".into(),
        tls: false,
        cold: ColdLimit::default(),
    });
    let configuration = Configuration {
        version: 1,
        version_text: None,
        services: services.collect(),
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
        customers: None,
    };
    assert_eq!(configuration.check(), Ok(()));
    RouteTable::new(Arc::new(configuration), seed)
}

/// Number of calls to each part among the next `calls`.
fn counts(table: &RouteTable, parts: usize, calls: usize) -> Vec<usize> {
    let matched = table.find("scores.example", "/1").unwrap();
    let mut counts = vec![0; parts];
    for _ in 0..calls {
        let chosen = matched.next_service().expect("a weight is above 0");
        let part = (0..parts).find(|number| service(*number) == chosen);
        counts[part.unwrap()] += 1;
    }
    counts
}

/// Each pair of weights has the proportion of 2 to 3.
#[test]
fn same_proportions_any_size() {
    for weights in [
        ["2", "3"],
        ["0.0002", "0.0003"],
        ["66.6666", "99.9999"],
        ["2e-400", "3e-400"],
        ["0.2e401", "3E+400"],
        ["18446744073709551616", "27670116110564327424"],
        ["0.00000000000000000000000000002", "3e-29"],
        ["2e-99999999999999999", "3e-99999999999999999"],
    ] {
        let counts = counts(&table(&weights, 17), 2, 1_000);
        assert!(counts[0].abs_diff(400) <= 1, "{weights:?}: {counts:?}");
    }
}

/// A part without weight gets no call, however it is written.
#[test]
fn zero_weights() {
    for zero in ["0", "0.0", "-0", "0e9"] {
        assert_eq!(counts(&table(&[zero, "1e-9"], 17), 2, 100), [0, 100]);
    }
    let matched = table(&["0", "0.0"], 17);
    let matched = matched.find("scores.example", "/1").unwrap();
    assert_eq!(matched.next_service(), None);
}

/// Guards against a small part that gets no call while each entry sends few: all entries started a
/// split within its first 101 calls, and a part with one call in 1,000 gets its first one after 500.
#[test]
fn small_share_of_many_entries() {
    let entries = 1_000;
    let mut small = 0;
    for entry in 0..entries {
        let seed = (entry as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        small += counts(&table(&["1", "999"], seed), 2, 100)[0];
    }
    assert!((70..=130).contains(&small), "{small} of 100,000 calls");
}

proptest! {
    /// The counts of a scaled split differ from the exact shares by less than the number of parts.
    #[test]
    fn counts_follow_shares(
        weights in prop::collection::vec(0u32..10_000, 1..6),
        scale in -500i32..500,
        seed: u64,
    ) {
        let sum: u32 = weights.iter().sum();
        prop_assume!(sum > 0);
        let scaled: Vec<String> = weights.iter().map(|w| format!("{w}e{scale}")).collect();
        let counts = counts(&table(&scaled, seed), weights.len(), 500);
        for (count, weight) in counts.iter().zip(&weights) {
            let share = 500.0 * f64::from(*weight) / f64::from(sum);
            let difference = (*count as f64 - share).abs();
            prop_assert!(difference < weights.len() as f64, "{counts:?} for {weights:?}");
        }
    }
}
