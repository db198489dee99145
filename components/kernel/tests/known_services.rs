//! Guards against services that count as unknown once their last upstream is gone, and against names
//! that fill the memory of a process.

use kernel::{Directory, Events};
use model::{
    AvailabilityZone, HostName, NodeId, ProfileName, ServiceName, Upstream, UpstreamName,
    UpstreamState,
};

/// Services without upstreams that a directory knows.
const MAX_SERVICES: usize = 1_024;

fn service(number: usize) -> ServiceName {
    ServiceName::parse(format!("service-{number}")).unwrap()
}

fn upstream(service: &ServiceName, version: u64) -> Upstream {
    Upstream {
        name: UpstreamName::parse("only").unwrap(),
        service: service.clone(),
        availability_zone: AvailabilityZone::parse("zone-1").unwrap(),
        host: HostName::parse("host-1").unwrap(),
        node: NodeId {
            mesh: ([127, 0, 0, 1], 1).into(),
            incarnation: 1,
        },
        address: ([127, 0, 0, 1], 2).into(),
        slots: 1,
        connections: 1,
        state: UpstreamState::Serving,
        announced_ms: 0,
        default_profile: ProfileName::parse("read").unwrap(),
        rules: [].into(),
        version,
    }
}

fn announce_and_remove(directory: &Directory, service: &ServiceName) {
    let upstream = upstream(service, 1);
    assert!(directory.upsert(upstream.clone()));
    assert!(directory.remove(service, &upstream.name, upstream.node));
}

#[test]
fn last_upstream_removed() {
    let directory = Directory::new(Events::default());
    let lost = service(0);
    assert!(!directory.had_upstream(&lost));
    announce_and_remove(&directory, &lost);
    assert!(directory.had_upstream(&lost));
    assert!(!directory.had_upstream(&service(1)));
}

#[test]
fn bounded_names() {
    let directory = Directory::new(Events::default());
    for number in 0..MAX_SERVICES {
        announce_and_remove(&directory, &service(number));
    }
    assert!(directory.had_upstream(&service(0)));
    // The first service loses its upstream again, so the second is the oldest.
    announce_and_remove(&directory, &service(0));
    announce_and_remove(&directory, &service(MAX_SERVICES));
    let known = |number: &usize| directory.had_upstream(&service(*number));
    assert_eq!((0..=MAX_SERVICES).filter(known).count(), MAX_SERVICES);
    assert!(!directory.had_upstream(&service(1)));
}

/// Services that have upstreams don't take the place of those that have none.
#[test]
fn serving_names_uncounted() {
    let directory = Directory::new(Events::default());
    announce_and_remove(&directory, &service(0));
    for number in 1..=MAX_SERVICES {
        directory.upsert(upstream(&service(number), 1));
    }
    assert!(directory.had_upstream(&service(0)));
}

/// Services that have regained an upstream don't take the place of those that have none.
#[test]
fn regained_names_uncounted() {
    let directory = Directory::new(Events::default());
    announce_and_remove(&directory, &service(0));
    for number in 1..=MAX_SERVICES {
        announce_and_remove(&directory, &service(number));
        assert!(directory.upsert(upstream(&service(number), 2)));
        assert!(directory.had_upstream(&service(number)));
    }
    assert!(directory.had_upstream(&service(0)));
}
