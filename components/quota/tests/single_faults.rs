//! Guards against more calls in a window than allowed, with one customer and one kind of fault at a
//! time, so that no other limit hides an overrun.

mod common;

use common::{Load, World, caller_node, some_nodes};
use quota::CustomerLimit;
use std::sync::Arc;

const SECOND_US: u64 = 1_000_000;
const NODES: usize = 67;

/// A customer whose demand is `before` times its rate for 10 s and `after` times afterwards.
fn world(rate: f64, before: f64, after: f64, seed: u64) -> World {
    let load = Load {
        name: Arc::from("customer"),
        limit: CustomerLimit {
            rate_per_s: Some(rate),
            burst: rate,
        },
        demand: Box::new(move |now_us| match now_us < 10 * SECOND_US {
            true => rate * before,
            false => rate * after,
        }),
        node: Box::new(|_, random| caller_node(1, random, 40, NODES)),
        is_random: true,
    };
    let mut world = World::new(NODES, vec![load], seed);
    world.checks_shares = true;
    world
}

const RATES: [f64; 3] = [5.0, 50.0, 330.0];

#[test]
fn burst_after_quiet_time() {
    for rate in RATES {
        for before in [0.0, 0.1, 0.6] {
            let mut world = world(rate, before, 30.0, 1);
            world.run_for(25 * SECOND_US);
            world.assert_bounds();
        }
    }
}

#[test]
fn repeated_changes_of_the_leader() {
    for rate in RATES {
        for pause_us in [200_000, 700_000, 1_500_000, 2_500_000] {
            let mut world = world(rate, 3.0, 3.0, 2);
            world.run_for(6 * SECOND_US);
            for _ in 0..12 {
                world.new_leader();
                world.run_for(pause_us);
            }
            world.assert_bounds();
        }
    }
}

#[test]
fn changes_of_the_leader_while_nodes_have_no_contact() {
    for rate in RATES {
        let mut world = world(rate, 3.0, 3.0, 7);
        world.run_for(6 * SECOND_US);
        for round in 0..10 {
            world.nodes.iter_mut().for_each(|node| node.is_cut = false);
            for node in some_nodes(NODES, 40, round) {
                world.nodes[node].is_cut = true;
            }
            world.new_leader();
            world.run_for(900_000);
        }
        world.assert_bounds();
    }
}

#[test]
fn nodes_without_contact() {
    for rate in RATES {
        let mut world = world(rate, 3.0, 3.0, 3);
        world.run_for(8 * SECOND_US);
        for node in some_nodes(NODES, 40, 3) {
            world.nodes[node].is_cut = true;
        }
        world.run_for(15 * SECOND_US);
        world.assert_bounds();
    }
}

#[test]
fn nodes_that_freeze() {
    for rate in RATES {
        let mut world = world(rate, 3.0, 3.0, 4);
        world.run_for(6 * SECOND_US);
        for round in 0..6 {
            for node in some_nodes(NODES, 40, round) {
                let node = &mut world.nodes[node];
                node.frozen_until_us = world.now_us + 1_900_000;
            }
            world.run_for(1_700_000);
        }
        world.assert_bounds();
    }
}

#[test]
fn lost_messages_while_the_load_moves() {
    for rate in RATES {
        let mut world = world(rate, 3.0, 3.0, 5);
        world.loads[0].node = Box::new(|now_us, random| {
            let group = (now_us / (600_000)) as usize;
            caller_node(group, random, 20, NODES)
        });
        world.lost_percent = 40;
        world.run_for(40 * SECOND_US);
        world.assert_bounds();
    }
}

#[test]
fn nodes_that_restart_again_and_again() {
    for rate in RATES {
        let mut world = world(rate, 3.0, 3.0, 6);
        world.run_for(6 * SECOND_US);
        for _ in 0..12 {
            (0..NODES).for_each(|node| world.restart(node));
            world.run_for(800_000);
        }
        world.assert_bounds();
    }
}
