//! Guards nodes that start at the same time against waiting for gossip to find each other: each
//! must know all others after a few exchanges with one process that nobody else talks to.

mod support;

use members::{Introduction, Introductions, MemberConfig, Members};
use model::UpstreamState;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use support::{SECOND_US, address, info, upstream};

const NODES: u16 = 40;

struct Starting {
    members: Members,
    newest: u64,
}

fn starting(port: u16, incarnation: u64) -> Starting {
    let name = format!("catalogue-{port}");
    let local = info(
        port,
        incarnation,
        vec![upstream(&name, UpstreamState::Serving)],
    );
    let config = MemberConfig::new(local.zone.clone(), local.region.clone());
    Starting {
        members: Members::new(config, local, u64::from(port)),
        newest: 0,
    }
}

fn exchange(
    at: &mut Introductions,
    node: &mut Starting,
    now_us: u64,
    max_records: u32,
    rng: &mut Pcg64Mcg,
) -> usize {
    let introduction = Introduction {
        node: node.members.local_info().node,
        datagram: node.members.introduction(),
        after: node.newest,
        max_records,
    };
    let introduced = at.exchange(now_us, introduction, rng);
    node.newest = introduced.newest;
    let count = introduced.records.len();
    for (from, datagram) in introduced.records {
        node.members.receive(now_us, from.mesh, datagram);
    }
    count
}

#[test]
fn all_know_all() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut at = Introductions::default();
    let mut nodes: Vec<Starting> = (1..=NODES).map(|port| starting(port, 7)).collect();
    for _ in 0..2 {
        for node in &mut nodes {
            exchange(&mut at, node, SECOND_US, u32::MAX, &mut rng);
        }
    }
    for node in &mut nodes {
        assert_eq!(node.members.live_count(), usize::from(NODES));
        let with_upstream = node.members.snapshot();
        assert!(with_upstream.iter().all(|info| info.upstreams.len() == 1));
        assert_eq!(exchange(&mut at, node, SECOND_US, u32::MAX, &mut rng), 0);
    }
}

#[test]
fn bounded_and_fresh() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut at = Introductions::default();
    for port in 1..=NODES {
        exchange(&mut at, &mut starting(port, 7), 0, 0, &mut rng);
    }
    let mut late = starting(NODES + 1, 7);
    assert_eq!(exchange(&mut at, &mut late, 0, 5, &mut rng), 5);
    // A node that is gone by now must not be handed on.
    let mut later = starting(NODES + 2, 7);
    let count = exchange(&mut at, &mut later, 3 * SECOND_US, u32::MAX, &mut rng);
    assert_eq!(count, 0);
}

#[test]
fn restarted_node_and_replica() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut at = Introductions::default();
    let mut first = starting(1, 7);
    exchange(&mut at, &mut first, 0, u32::MAX, &mut rng);
    exchange(&mut at, &mut starting(2, 7), 0, u32::MAX, &mut rng);
    exchange(&mut at, &mut starting(2, 9), 0, u32::MAX, &mut rng);
    // A late message of the process that ran before must not replace its successor.
    exchange(&mut at, &mut starting(2, 7), 0, u32::MAX, &mut rng);
    exchange(&mut at, &mut first, 0, u32::MAX, &mut rng);
    let known = first.members.snapshot();
    let second = known.iter().find(|info| info.node.mesh == address(2));
    assert_eq!(second.unwrap().node.incarnation, 9);
    // A replica that has started anew counts from zero again.
    let mut at = Introductions::default();
    exchange(&mut at, &mut starting(3, 7), 0, u32::MAX, &mut rng);
    assert_eq!(exchange(&mut at, &mut first, 0, u32::MAX, &mut rng), 1);
}

/// A node whose instance has not reported yet can't take calls; it only asks for others.
#[test]
fn nothing_to_offer() {
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    let mut at = Introductions::default();
    let local = info(1, 7, Vec::new());
    let config = MemberConfig::new(local.zone.clone(), local.region.clone());
    let mut without = Starting {
        members: Members::new(config, local, 1),
        newest: 0,
    };
    exchange(&mut at, &mut without, 0, u32::MAX, &mut rng);
    let mut other = starting(2, 7);
    assert_eq!(exchange(&mut at, &mut other, 0, u32::MAX, &mut rng), 0);
    assert_eq!(exchange(&mut at, &mut without, 0, u32::MAX, &mut rng), 1);
}
