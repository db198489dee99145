//! Guards against refused calls of customers within their limits after a change of the leader, when
//! all nodes are in touch with the new coordinator, and against more calls than allowed when it can't
//! know yet what the nodes hold.

mod common;

use common::{Decisions, Load, World, caller_node, some_nodes, zipf_loads};
use model::NodeId;
use quota::{
    CustomerLimit, CustomerList, HolderRecord, QuotaAnswer, QuotaCoordinator, QuotaDemand,
    QuotaReport,
};
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

const SECOND_US: u64 = 1_000_000;
const NODES: usize = 67;
/// Time after which a new coordinator has to serve calls within the limits.
const RECOVERY_US: u64 = 500_000;

fn sum(world: &World, count: impl Fn(&Decisions) -> usize) -> usize {
    world.decisions.iter().map(count).sum()
}

#[test]
fn usual_load_is_served_half_a_second_after_a_change() {
    for (gap_us, restarts, seed) in [
        (0, false, 1),
        (300_000, false, 2),
        (SECOND_US, false, 3),
        (SECOND_US, true, 4),
    ] {
        let mut world = World::new(NODES, zipf_loads(72, NODES, 800.0, 40), seed);
        world.run_for(15 * SECOND_US);
        world.coordinator = None;
        world.run_for(gap_us);
        if restarts {
            (0..NODES).for_each(|node| world.restart(node));
        }
        world.new_leader();
        world.run_for(RECOVERY_US);
        let (from_us, until_us) = (world.now_us, world.now_us + SECOND_US);
        world.run_for(5 * SECOND_US);
        // The buckets are empty after the change; a 429 would tell a customer that it is over its limit.
        let over_limit = sum(&world, |of| of.over_limit_between(from_us, until_us));
        assert_eq!(over_limit, 0, "gap {gap_us} us, restarts {restarts}");
        world.assert_bounds();
        let served = sum(&world, |of| of.admitted_between(from_us, until_us));
        let refused = sum(&world, |of| of.refused_between(from_us, until_us));
        println!("gap {gap_us} us, restarts {restarts}: {served} served, {refused} refused");
        assert!(
            served as f64 >= 0.97 * (served + refused) as f64,
            "gap {gap_us} us, restarts {restarts}: {served} served, {refused} refused"
        );
    }
}

/// Guards against a new coordinator that waits for the leases of nodes that have ended: nodes are
/// stopped in turn and some are taken away before the leader changes.
#[test]
fn nodes_that_have_left_are_not_waited_for() {
    let mut world = World::new(NODES, zipf_loads(72, NODES, 800.0, 40), 5);
    world.run_for(15 * SECOND_US);
    for node in 0..6 {
        world.leave(node);
        world.run_for(200_000);
        if node % 2 == 0 {
            world.restart(node);
        }
    }
    world.run_for(300_000);
    world.coordinator = None;
    world.run_for(300_000);
    world.new_leader();
    world.run_for(RECOVERY_US);
    let (from_us, until_us) = (world.now_us, world.now_us + SECOND_US);
    world.run_for(5 * SECOND_US);
    world.assert_bounds();
    let served = sum(&world, |of| of.admitted_between(from_us, until_us));
    let refused = sum(&world, |of| of.refused_between(from_us, until_us));
    println!("{served} served, {refused} refused");
    assert!(
        served as f64 >= 0.97 * (served + refused) as f64,
        "{served} served, {refused} refused"
    );
}

/// Guards against a node that leaves while answers to it are on their way, or whose message comes
/// after its next process has reported, and whose tokens are lent twice.
#[test]
fn bound_holds_when_nodes_leave() {
    for (rate, seed) in [(5.0, 11), (50.0, 12), (330.0, 13)] {
        let mut world = World::new(NODES, vec![moving_overload(rate)], seed);
        world.checks_shares = true;
        world.slow_percent = 10;
        world.run_for(6 * SECOND_US);
        for round in 0..40 {
            let node = (round * 7) % NODES;
            world.leave(node);
            world.run_for(300_000);
            world.restart(node);
            if round % 4 == 3 {
                world.coordinator = None;
                world.run_for(100_000);
                world.new_leader();
            }
            world.run_for(SECOND_US);
        }
        world.assert_bounds();
    }
}

/// A customer whose demand is three times its rate and moves to other nodes all the time.
fn moving_overload(rate: f64) -> Load {
    Load {
        name: Arc::from("customer"),
        limit: CustomerLimit {
            rate_per_s: Some(rate),
            burst: rate,
        },
        demand: Box::new(move |_| rate * 3.0),
        node: Box::new(|now_us, random| {
            caller_node((now_us / 700_000) as usize, random, 20, NODES)
        }),
        is_random: true,
    }
}

#[test]
fn bound_holds_whatever_the_new_coordinator_can_know() {
    for (rate, seed) in [(5.0, 1), (50.0, 2), (330.0, 3), (330.0, 4), (50.0, 5)] {
        let mut world = World::new(NODES, vec![moving_overload(rate)], seed);
        world.checks_shares = true;
        world.slow_percent = 10;
        world.run_for(6 * SECOND_US);
        for round in 0..40 {
            // Every fifth leader is of a build without the record.
            world.keeps_record = round % 5 != 4;
            world.commit_us = [5_000, 5_000, 150_000][round % 3];
            world.nodes.iter_mut().for_each(|node| node.is_cut = false);
            if round % 4 == 1 {
                let cut = some_nodes(NODES, 20, seed + round as u64);
                cut.iter().for_each(|node| world.nodes[*node].is_cut = true);
            }
            if round % 4 == 2 {
                let restarted = some_nodes(NODES, 20, seed + round as u64);
                restarted.iter().for_each(|node| world.restart(*node));
            }
            world.new_leader();
            world.run_for([300_000, 700_000, 1_300_000, 2_600_000][round % 4]);
        }
        world.assert_bounds();
    }
}

/// A leader of a build without the record lends to nodes that are cut off then.
#[test]
fn leader_without_record_is_noticed() {
    let mut load = moving_overload(100.0);
    load.node = Box::new(|now_us, random| match now_us / SECOND_US {
        6 | 7 => 20 + random as usize % 20,
        _ => random as usize % 20,
    });
    let mut world = World::new(NODES, vec![load], 6);
    world.checks_shares = true;
    world.run_for(5 * SECOND_US);
    world.keeps_record = false;
    world.new_leader();
    world.run_for(2 * SECOND_US);
    (20..40).for_each(|node| world.nodes[node].is_cut = true);
    world.keeps_record = true;
    for _ in 0..3 {
        world.new_leader();
        world.run_for(600_000);
    }
    world.assert_bounds();
}

fn node() -> NodeId {
    NodeId {
        mesh: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1,
    }
}

/// A coordinator that takes over the record of one node.
fn successor() -> (QuotaCoordinator, CustomerList) {
    let name: Arc<str> = Arc::from("customer");
    let limit = moving_overload(50.0).limit;
    let record = HolderRecord {
        nodes: BTreeSet::from([node().mesh]),
        is_complete: true,
    };
    let mut coordinator = QuotaCoordinator::new(0, 2).with_holders(record);
    coordinator.set_customers(0, [(Arc::clone(&name), limit)]);
    (coordinator, CustomerList::new([name]))
}

fn report(list: &CustomerList, epoch: u64, sequence: u64) -> QuotaReport {
    QuotaReport {
        list: list.digest(),
        epoch,
        sequence,
        is_full: true,
        demands: vec![QuotaDemand {
            customer: 0,
            share: 80,
            demand: 80,
            waiting: 0,
            returned: 0,
        }],
    }
}

/// A report that was under way while the predecessor still granted more must not end the settling.
#[test]
fn late_report_to_the_former_leader_proves_nothing() {
    let (mut coordinator, list) = successor();
    for (epoch, sequence, is_settling) in [(1, 1, true), (1, 2, true), (2, 3, false)] {
        let report = report(&list, epoch, sequence);
        let answer = coordinator.handle(10_000 * sequence, node(), &report);
        assert!(matches!(answer, QuotaAnswer::Granted(_)), "{answer:?}");
        assert_eq!(coordinator.is_settling(), is_settling);
    }
}

/// A removal whose commit was not confirmed may still be committed.
#[test]
fn nothing_is_lent_after_an_unconfirmed_removal() {
    let (mut coordinator, list) = successor();
    let later_us = 30 * SECOND_US;
    let change = coordinator.next_record_change(later_us).expect("a change");
    assert_eq!(change.removed, [node().mesh]);
    coordinator.end_record_change(later_us, false);
    let report = report(&list, 2, 1);
    assert!(coordinator.awaits_record(node(), &report));
    let answer = coordinator.handle(later_us, node(), &report);
    assert!(matches!(answer, QuotaAnswer::NotCoordinator { .. }));
}

/// Guards against the entry of a node that has ended while it was being recorded: successors wait for
/// its lease.
#[test]
fn leaves_while_recorded() {
    let (mut coordinator, list) = successor();
    let other = NodeId {
        mesh: SocketAddr::from(([127, 0, 0, 1], 2)),
        incarnation: 1,
    };
    let first = QuotaReport {
        demands: Vec::new(),
        ..report(&list, 0, 1)
    };
    assert!(!coordinator.awaits_record(other, &first));
    coordinator.handle(10_000, other, &first);
    let change = coordinator.next_record_change(10_000).expect("a change");
    assert_eq!(change.added, [other.mesh]);
    coordinator.leave(12_000, other);
    coordinator.end_record_change(15_000, true);
    let change = coordinator.next_record_change(SECOND_US);
    assert_eq!(change.map(|change| change.removed), Some(vec![other.mesh]));
}

/// The log must not grow while nothing changes, and idle nodes must leave the record.
#[test]
fn record_is_written_in_batches_and_only_for_limits() {
    let mut world = World::new(NODES, zipf_loads(72, NODES, 800.0, 40), 6);
    world.run_for(10 * SECOND_US);
    let after_start = world.record_changes;
    println!("{after_start} changes at the start");
    assert!(after_start <= 20, "{after_start} changes of the record");
    assert_eq!(world.record.nodes.len(), NODES);
    world.run_for(10 * SECOND_US);
    assert_eq!(world.record_changes, after_start);
    for load in &mut world.loads {
        load.demand = Box::new(|_| 0.0);
    }
    world.run_for(150 * SECOND_US);
    assert_eq!(world.record.nodes.len(), 0);
    let changes = world.record_changes - after_start;
    assert!(changes <= 3, "{changes} changes");

    let mut loads = zipf_loads(72, NODES, 800.0, 40);
    loads.iter_mut().for_each(|of| of.limit.rate_per_s = None);
    let mut world = World::new(NODES, loads, 7);
    world.run_for(4 * SECOND_US);
    assert_eq!(world.record_changes, 0);
}
