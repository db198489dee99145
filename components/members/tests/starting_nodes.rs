//! Guards the start of many nodes at the same time, in which gossip alone takes long to spread all
//! records: two introductions of each node to one process must make all nodes known to each other.

mod support;

use members::{Introduction, Introductions, MemberConfig, Members};
use model::UpstreamState;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use support::{SECOND_US, address, info, upstream};

const NODES: u16 = 40;

struct StartingNode {
    members: Members,
    newest: u64,
}

fn starting_node(port: u16, incarnation: u64) -> StartingNode {
    let name = format!("catalogue-{port}");
    let local = info(
        port,
        incarnation,
        vec![upstream(&name, UpstreamState::Serving)],
    );
    let config = MemberConfig::new(local.zone.clone(), local.region.clone());
    StartingNode {
        members: Members::new(config, local, u64::from(port)),
        newest: 0,
    }
}

fn introduce(
    introductions: &mut Introductions,
    node: &mut StartingNode,
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
    let introduced = introductions.exchange(now_us, introduction, rng);
    node.newest = introduced.newest;
    let count = introduced.records.len();
    for (from, datagram) in introduced.records {
        node.members.receive(now_us, from.mesh, datagram);
    }
    count
}

#[test]
fn nodes_starting_together_know_each_other() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut introductions = Introductions::default();
    let mut nodes: Vec<StartingNode> = (1..=NODES).map(|port| starting_node(port, 7)).collect();
    for _ in 0..2 {
        for node in &mut nodes {
            introduce(&mut introductions, node, SECOND_US, u32::MAX, &mut rng);
        }
    }
    for node in &mut nodes {
        assert_eq!(node.members.live_count(), usize::from(NODES));
        let with_upstream = node.members.snapshot();
        assert!(with_upstream.iter().all(|info| info.upstreams.len() == 1));
        assert_eq!(
            introduce(&mut introductions, node, SECOND_US, u32::MAX, &mut rng),
            0
        );
    }
}

#[test]
fn records_are_limited_and_expire() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut introductions = Introductions::default();
    for port in 1..=NODES {
        introduce(
            &mut introductions,
            &mut starting_node(port, 7),
            0,
            0,
            &mut rng,
        );
    }
    let mut late = starting_node(NODES + 1, 7);
    assert_eq!(introduce(&mut introductions, &mut late, 0, 5, &mut rng), 5);
    // Records of nodes that have stopped introducing themselves must not be returned.
    let mut later = starting_node(NODES + 2, 7);
    let count = introduce(
        &mut introductions,
        &mut later,
        3 * SECOND_US,
        u32::MAX,
        &mut rng,
    );
    assert_eq!(count, 0);
}

#[test]
fn restarted_node_and_replica() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut introductions = Introductions::default();
    let mut first = starting_node(1, 7);
    introduce(&mut introductions, &mut first, 0, u32::MAX, &mut rng);
    introduce(
        &mut introductions,
        &mut starting_node(2, 7),
        0,
        u32::MAX,
        &mut rng,
    );
    introduce(
        &mut introductions,
        &mut starting_node(2, 9),
        0,
        u32::MAX,
        &mut rng,
    );
    // A delayed introduction of the earlier process must not replace the newer one.
    introduce(
        &mut introductions,
        &mut starting_node(2, 7),
        0,
        u32::MAX,
        &mut rng,
    );
    introduce(&mut introductions, &mut first, 0, u32::MAX, &mut rng);
    let known = first.members.snapshot();
    let second = known.iter().find(|info| info.node.mesh == address(2));
    assert_eq!(second.unwrap().node.incarnation, 9);
    // A restarted replica numbers its records from the start again.
    let mut introductions = Introductions::default();
    introduce(
        &mut introductions,
        &mut starting_node(3, 7),
        0,
        u32::MAX,
        &mut rng,
    );
    assert_eq!(
        introduce(&mut introductions, &mut first, 0, u32::MAX, &mut rng),
        1
    );
}

/// A node whose upstream has not announced itself yet can't run calls, so its record is not handed
/// to others, but it still fetches theirs.
#[test]
fn node_without_upstream_only_fetches() {
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    let mut introductions = Introductions::default();
    let local = info(1, 7, Vec::new());
    let config = MemberConfig::new(local.zone.clone(), local.region.clone());
    let mut without = StartingNode {
        members: Members::new(config, local, 1),
        newest: 0,
    };
    introduce(&mut introductions, &mut without, 0, u32::MAX, &mut rng);
    let mut other = starting_node(2, 7);
    assert_eq!(
        introduce(&mut introductions, &mut other, 0, u32::MAX, &mut rng),
        0
    );
    assert_eq!(
        introduce(&mut introductions, &mut without, 0, u32::MAX, &mut rng),
        1
    );
}
