//! Guards against a change of the encoding of configurations without customers, cold limits or
//! evacuations: logs, snapshots and messages of older builds must stay readable.

use config::{
    ApiKey, CallerLimits, ColdLimit, Configuration, Customer, Destination, Quantity, Route,
    Service, VirtualHost, WeightedService,
};
use model::{AvailabilityZone, Revision, ServiceName};
use registry::{Change, ChangeId, ChangeResult, Delta, HolderUpdate, Op, Registry};
use std::sync::Arc;
use wire::{decode, encode};

/// Encoded by a build that knew neither customers nor evacuations.
const CHANGE: &str = "00000000000000000000000000000005000307010673636f726573072f6865616c7468840202683100808001808040b8179875010d63686f69722e6578616d706c650103722d31062f737761702f00e807fa01010201010673636f726573d08c0100";
const REGISTRY: &str = "01010000000107010673636f726573072f6865616c7468840202683100808001808040b8179875010d63686f69722e6578616d706c650103722d31062f737761702f00e807fa01010201010673636f726573d08c010100";
const DELTA: &str = "000101848fb990bed3adb06800000107010673636f726573072f6865616c7468840202683100808001808040b8179875010d63686f69722e6578616d706c650103722d31062f737761702f00e807fa01010201010673636f726573d08c0101";

/// Encoded by a build that kept weights in thousandths, with customers and limits of cold instances.
const SECOND_CHANGE: &str = "00000000000000000000000000000005000407020673636f726573072f6865616c746884020268310001010000000000000840010024056c6f616e73072f6865616c74688402026831000000808001808040b8179875010d63686f69722e6578616d706c650103722d31062f737761702f00e807fa0101020101020673636f726573d08c01056c6f616e73e80701010a726967612d63686f69720200056b65792d310107070707070707070707070707070707070707070707070707070707070707070101010084040101000000000000044000";
const SECOND_REGISTRY: &str = "0101000000020107020673636f726573072f6865616c746884020268310001010000000000000840010024056c6f616e73072f6865616c74688402026831000000808001808040b8179875010d63686f69722e6578616d706c650103722d31062f737761702f00e807fa0101020101020673636f726573d08c01056c6f616e73e80701010a726967612d63686f69720200056b65792d3101070707070707070707070707070707070707070707070707070707070707070701010100840401010000000000000440000100";
const SECOND_DELTA: &str = "000101848fb990bed3adb0680000020107020673636f726573072f6865616c746884020268310001010000000000000840010024056c6f616e73072f6865616c74688402026831000000808001808040b8179875010d63686f69722e6578616d706c650103722d31062f737761702f00e807fa0101020101020673636f726573d08c01056c6f616e73e80701010a726967612d63686f69720200056b65792d31010707070707070707070707070707070707070707070707070707070707070707010101008404010100000000000004400001";
/// As [`SECOND_REGISTRY`], after an evacuation and a record of the holders of quotas.
const SECOND_HOLDERS: &str = "0102000000030107020673636f726573072f6865616c746884020268310001010000000000000840010024056c6f616e73072f6865616c74688402026831000000808001808040b8179875010d63686f69722e6578616d706c650103722d31062f737761702f00e807fa0101020101020673636f726573d08c01056c6f616e73e80701010a726967612d63686f69720200056b65792d3101070707070707070707070707070707070707070707070707070707070707070701010100840401010000000000000440010a65652d6e6f7274682d61030101000a000001d83602010200000000000000000000000000000006d7c595d407000102";

fn service(name: &str) -> ServiceName {
    ServiceName::parse(name).unwrap()
}

fn configuration() -> Configuration {
    let route = Route {
        name: "r-1".into(),
        path_prefix: "/swap/".into(),
        idempotent: false,
        timeout_ms: Quantity::Whole(1_000),
        latency_target_ms: Quantity::Whole(250),
        rank: Quantity::Whole(1),
        attempts: Quantity::Whole(2),
        is_public: false,
        destination: Destination::Split(vec![WeightedService {
            service: service("scores"),
            weight: Quantity::Whole(9),
        }]),
    };
    Configuration {
        version: 7,
        version_text: None,
        services: vec![Service {
            name: service("scores"),
            health_path: "/health".into(),
            max_connections: Quantity::Whole(260),
            protocol: "h1".into(),
            tls: false,
            cold: ColdLimit::default(),
        }],
        limits: CallerLimits {
            max_head_bytes: Quantity::Whole(16_384),
            max_body_bytes: Quantity::Whole(1 << 20),
            head_timeout_ms: Quantity::Whole(3_000),
            idle_timeout_ms: Quantity::Whole(15_000),
        },
        hosts: vec![VirtualHost {
            host: "choir.example".into(),
            routes: vec![route],
        }],
        customers: None,
    }
}

fn change(id: u128, op: Op) -> Change {
    Change {
        change_id: ChangeId::from_u128(id),
        expect: None,
        op,
        in_use: Vec::new(),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

fn configured() -> Registry {
    let mut registry = Registry::default();
    registry.apply(1, 1, &change(5, Op::Configure(Arc::new(configuration()))));
    registry
}

#[test]
fn first_format_unchanged() {
    let configure = change(5, Op::Configure(Arc::new(configuration())));
    assert_eq!(hex(&encode(&configure)), CHANGE);
    assert_eq!(decode::<Change>(bytes(CHANGE)).unwrap(), configure);
    let registry = configured();
    assert_eq!(hex(&encode(&registry)), REGISTRY);
    assert_eq!(decode::<Registry>(bytes(REGISTRY)).unwrap(), registry);
    let delta = registry.delta_since(Revision::default());
    assert_eq!(hex(&encode(&delta)), DELTA);
    assert_eq!(decode::<Delta>(bytes(DELTA)).unwrap(), delta);
}

/// A configuration that needs the second format.
fn second_configuration() -> Configuration {
    let customer = Customer {
        name: "riga-choir".into(),
        keys: vec![ApiKey::Plain("key-1".into()), ApiKey::Hashed([7; 32])],
        rank: Some(Quantity::Whole(1)),
        rate_per_s: Some(Quantity::Whole(258)),
        burst: Some(Quantity::Fraction(2.5)),
    };
    let mut second = configuration();
    second.services[0].cold = ColdLimit {
        duration_s: Some(Quantity::Fraction(3.0)),
        calls_per_s: Some(Quantity::Whole(18)),
    };
    second.services.push(Service {
        name: service("loans"),
        cold: ColdLimit::default(),
        ..second.services[0].clone()
    });
    let route = &mut second.hosts[0].routes[0];
    route.is_public = true;
    let Destination::Split(parts) = &mut route.destination else {
        panic!("{:?}", route.destination);
    };
    parts.push(WeightedService {
        service: service("loans"),
        weight: Quantity::Fraction(0.5),
    });
    second.customers = Some(vec![customer]);
    second
}

/// Guards against stored configurations and messages of builds with weights in thousandths that can't
/// be read, and against others that these builds can't read.
#[test]
fn second_format_unchanged() {
    let configure = change(5, Op::Configure(Arc::new(second_configuration())));
    assert_eq!(hex(&encode(&configure)), SECOND_CHANGE);
    assert_eq!(decode::<Change>(bytes(SECOND_CHANGE)).unwrap(), configure);
    let mut registry = Registry::default();
    registry.apply(1, 1, &configure);
    assert_eq!(hex(&encode(&registry)), SECOND_REGISTRY);
    assert_eq!(
        decode::<Registry>(bytes(SECOND_REGISTRY)).unwrap(),
        registry
    );
    let delta = registry.delta_since(Revision::default());
    assert_eq!(hex(&encode(&delta)), SECOND_DELTA);
    assert_eq!(decode::<Delta>(bytes(SECOND_DELTA)).unwrap(), delta);

    let zone = AvailabilityZone::parse("ee-north-a").unwrap();
    registry.apply(1, 2, &change(6, Op::Evacuate(zone)));
    let holders = HolderUpdate {
        term: 3,
        is_complete: true,
        added: ["10.0.0.1:7000".parse().unwrap()].into(),
        removed: [].into(),
    };
    registry.apply(3, 3, &change(11, Op::RecordQuotaHolders(holders)));
    assert_eq!(hex(&encode(&registry)), SECOND_HOLDERS);
    assert_eq!(decode::<Registry>(bytes(SECOND_HOLDERS)).unwrap(), registry);
}

/// Guards against a number that replicas or nodes have in another form than the operator sent.
#[test]
fn numbers_survive_storage() {
    for weight in [
        "0.0002",
        "33.3333",
        "90.0",
        "1e-400",
        "18446744073709551616",
    ] {
        let mut exact = second_configuration();
        exact.hosts[0].routes[0].destination = Destination::Split(vec![WeightedService {
            service: service("scores"),
            weight: Quantity::parse(weight).unwrap(),
        }]);
        let configure = change(1, Op::Configure(Arc::new(exact.clone())));
        assert_eq!(decode::<Change>(encode(&configure)).unwrap(), configure);
        let mut registry = Registry::default();
        registry.apply(1, 1, &configure);
        let zone = AvailabilityZone::parse("ee-north-a").unwrap();
        registry.apply(1, 2, &change(2, Op::Evacuate(zone.clone())));
        let read: Registry = decode(encode(&registry)).unwrap();
        assert_eq!(read, registry);
        assert_eq!(*read.profiles().configuration().unwrap().as_ref(), exact);
        assert!(read.profiles().evacuated_zones().contains(&zone));

        let delta = registry.delta_since(Revision::default()).for_node();
        let mut node = registry::ProfileSet::default();
        assert!(node.apply(decode(encode(&delta)).unwrap()));
        let routes = &node.configuration().unwrap().hosts[0].routes;
        assert_eq!(routes, &exact.hosts[0].routes);
    }
}

#[test]
fn additions_round_trip() {
    let customer = Customer {
        name: "riga-choir".into(),
        keys: vec![ApiKey::Plain("key-1".into())],
        rank: Some(Quantity::Whole(1)),
        rate_per_s: Some(Quantity::Whole(258)),
        burst: Some(Quantity::Fraction(2.5)),
    };
    let extended = Configuration {
        customers: Some(vec![customer]),
        ..configuration()
    };
    let zone = AvailabilityZone::parse("ee-north-a").unwrap();
    let mut registry = Registry::default();
    registry.apply(1, 1, &change(1, Op::Configure(Arc::new(extended.clone()))));
    registry.apply(1, 2, &change(2, Op::Evacuate(zone.clone())));
    let read: Registry = decode(encode(&registry)).unwrap();
    assert_eq!(read, registry);
    assert_eq!(*read.profiles().configuration().unwrap().as_ref(), extended);
    assert!(read.profiles().evacuated_zones().contains(&zone));
}

/// A node must never get a key, and the form of the keys must not make sets look different.
#[test]
fn nodes_get_hashes() {
    let mut registry = configured();
    let customer = Customer {
        name: "riga-choir".into(),
        keys: vec![ApiKey::Plain("secret-key".into())],
        rank: None,
        rate_per_s: None,
        burst: None,
    };
    let with_customers = Configuration {
        version: 8,
        customers: Some(vec![customer]),
        ..configuration()
    };
    registry.apply(1, 2, &change(6, Op::Configure(Arc::new(with_customers))));
    let delta = registry.delta_since(Revision::default()).for_node();
    assert!(!encode(&delta).windows(10).any(|part| part == b"secret-key"));
    let mut node = registry::ProfileSet::default();
    assert!(node.apply(delta));
    assert_eq!(node.digest(), registry.profiles().digest());
}

/// Evacuations are idempotent, survive changes of the configuration, and reach nodes by deltas.
#[test]
fn evacuations_reach_nodes() {
    let zone = AvailabilityZone::parse("ee-north-a").unwrap();
    let mut registry = configured();
    let mut node = registry::ProfileSet::default();
    assert!(node.apply(registry.delta_since(Revision::default()).for_node()));
    let before = registry.revision();
    registry.apply(1, 2, &change(7, Op::Evacuate(zone.clone())));
    let evacuated = registry.revision();
    assert!(evacuated > before);
    registry.apply(1, 3, &change(8, Op::Evacuate(zone.clone())));
    assert_eq!(registry.revision(), evacuated);
    assert!(node.apply(registry.delta_since(before).for_node()));
    assert!(node.evacuated_zones().contains(&zone));
    let newer = Configuration {
        version: 9,
        ..configuration()
    };
    registry.apply(1, 4, &change(9, Op::Configure(Arc::new(newer))));
    assert!(node.apply(registry.delta_since(evacuated).for_node()));
    assert!(node.evacuated_zones().contains(&zone));
    registry.apply(1, 5, &change(10, Op::Readmit(zone.clone())));
    assert!(node.apply(registry.delta_since(evacuated).for_node()));
    assert!(node.evacuated_zones().is_empty());
    assert_eq!(node.digest(), registry.profiles().digest());
}

/// The record of holders must survive in snapshots, and must neither wake nodes nor reach them.
#[test]
fn holders_of_quotas_stay_with_the_replicas() {
    let update = |term, added: &[&str], removed: &[&str]| {
        let addresses = |texts: &[&str]| texts.iter().map(|text| text.parse().unwrap()).collect();
        Op::RecordQuotaHolders(HolderUpdate {
            term,
            is_complete: true,
            added: addresses(added),
            removed: addresses(removed),
        })
    };
    let mut registry = configured();
    let before = registry.clone();
    let nodes = ["10.0.0.1:7000", "10.0.0.2:7000"];
    let applied = registry.apply(3, 2, &change(11, update(3, &nodes, &[])));
    let revision = before.revision();
    assert_eq!(applied, ChangeResult::Accepted { revision });
    registry.apply(3, 3, &change(12, update(3, &[], &nodes[..1])));
    // Proposed by the leader of term 2, after it had lost its role.
    let refused = registry.apply(4, 4, &change(13, update(2, &nodes, &[])));
    assert!(matches!(refused, ChangeResult::Rejected(..)));
    assert_eq!(registry.quota_holders().term, 3);
    let kept: Vec<String> = registry
        .quota_holders()
        .nodes
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(kept, nodes[1..]);

    assert_eq!(registry.revision(), revision);
    assert_eq!(registry.kept_answer_count(), before.kept_answer_count());
    assert_eq!(registry.profiles().digest(), before.profiles().digest());
    let full = Revision::default();
    assert_eq!(registry.delta_since(full), before.delta_since(full));
    let read: Registry = decode(encode(&registry)).unwrap();
    assert_eq!(read, registry);
    registry.apply(
        4,
        5,
        &change(14, Op::Evacuate(AvailabilityZone::parse("a").unwrap())),
    );
    assert_eq!(registry.quota_holders().nodes.len(), 1);
}
