//! Guards against records that a member learns second-hand and that no sound process sends: numbers
//! at their limits, addresses without a port, damaged bytes. Receiving them must not end the process,
//! and members that are alive must stay known.

mod support;

use members::{Datagram, MemberConfig, Members};
use model::{AvailabilityZone, Region, UpstreamState};
use proptest::{
    prelude::{any, prop},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::net::SocketAddr;
use support::{SECOND_US, Simulation, address, info, upstream};

/// Ports of the members that are sound.
const PORTS: [u16; 3] = [1, 2, 3];
/// Port of the odd member.
const ODD_PORT: u16 = 9;
/// Generated sequences of damaged datagrams.
const CASES: u32 = 300;

fn group(seed: u64) -> Simulation {
    let mut group = Simulation::new(seed);
    for port in PORTS {
        group.start(port, ("r", "a"), &PORTS, Some(&format!("i-{port}")));
    }
    group.run(5 * SECOND_US);
    group
}

#[test]
fn odd_record_spread() {
    let mut group = group(1);
    group.start(ODD_PORT, ("r", "a"), &PORTS, Some("odd"));
    group.change(ODD_PORT, |info| {
        let odd = &mut info.upstreams[0];
        odd.address = SocketAddr::from(([0, 0, 0, 0], 0));
        odd.slots = u32::MAX;
        odd.connections = u32::MAX;
        odd.announced_ms = u64::MAX;
        odd.version = u64::MAX;
    });
    group.run(10 * SECOND_US);
    group.drain(1);
    group.run(5 * SECOND_US);
    for port in PORTS {
        let known = group.known_ports(port);
        assert!(PORTS.iter().all(|port| known.contains(port)), "{known:?}");
    }
    group.assert_agreement();
}

#[test]
fn damaged_datagrams_ignored() {
    let config = MemberConfig::new(
        AvailabilityZone::parse("a").unwrap(),
        Region::parse("r").unwrap(),
    );
    let mut sender = Members::new(
        config.clone().contacts([address(2)]),
        info(1, 1, vec![upstream("i-1", UpstreamState::Serving)]),
        1,
    );
    let sent: Vec<Vec<u8>> = (1..200)
        .flat_map(|tick| sender.tick(tick * 100_000))
        .filter_map(|action| match action {
            members::MemberAction::Send { datagram, .. } => {
                Some(postcard::to_stdvec(&datagram).unwrap())
            }
            _ => None,
        })
        .collect();
    assert!(!sent.is_empty());
    let damage = prop::collection::vec(
        (
            0..sent.len(),
            prop::collection::vec((any::<u16>(), any::<u8>()), 1..4),
        ),
        1..20,
    );
    let config_of_runner = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    TestRunner::new_with_rng(config_of_runner, rng)
        .run(&damage, |datagrams| {
            let mut receiver = Members::new(config.clone(), info(2, 1, Vec::new()), 2);
            for (n, (index, changes)) in datagrams.into_iter().enumerate() {
                let mut bytes = sent[index].clone();
                for (at, byte) in changes {
                    let at = usize::from(at) % bytes.len();
                    bytes[at] = byte;
                }
                let now_us = (n as u64 + 1) * 100_000;
                if let Ok(datagram) = postcard::from_bytes::<Datagram>(&bytes) {
                    receiver.receive(now_us, address(1), datagram);
                }
                receiver.tick(now_us);
            }
            assert!(receiver.live_count() >= 1);
            Ok(())
        })
        .unwrap();
}
