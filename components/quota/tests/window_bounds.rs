//! Guards against more calls of a customer in any window of 5 s than its rate and burst allow,
//! through partitions, freezes, restarts, moves of the load and changes of the leader.

mod common;

use common::{World, some_nodes, totals, zipf_loads};
use std::collections::BTreeSet;

const SECOND_US: u64 = 1_000_000;

/// Runs the workload in which every third customer sends 60 times its usual demand in phases.
fn overloaded_world(nodes: usize, customers: usize, calls_per_s: f64, seed: u64) -> World {
    let mut loads = zipf_loads(customers, nodes, calls_per_s, 40);
    for load in loads.iter_mut().step_by(3) {
        let usual = (load.demand)(0);
        load.demand = Box::new(move |now_us| match (now_us / (6 * SECOND_US)) % 2 {
            0 => usual,
            _ => (usual * 60.0).min(3_000.0),
        });
        // All the load moves to other nodes every 3 s.
        let usual_node = std::mem::replace(&mut load.node, Box::new(|_, _| 0));
        load.node = Box::new(move |now_us, random| {
            (usual_node(now_us, random) + (now_us / (3 * SECOND_US)) as usize * 11) % nodes
        });
    }
    let mut world = World::new(nodes, loads, seed);
    world.not_run_percent = 5;
    world
}

fn fail_everything(world: &mut World, seed: u64) {
    let nodes = world.nodes.len();
    world.run_for(8 * SECOND_US);
    let cut = some_nodes(nodes, nodes / 3, seed);
    cut.iter().for_each(|node| world.nodes[*node].is_cut = true);
    world.run_for(4 * SECOND_US);
    cut.iter()
        .for_each(|node| world.nodes[*node].is_cut = false);
    let frozen = some_nodes(nodes, nodes / 3, seed + 1);
    for node in &frozen {
        world.nodes[*node].frozen_until_us = world.now_us + 4 * SECOND_US;
    }
    world.run_for(5 * SECOND_US);
    world.lost_percent = 20;
    world.run_for(4 * SECOND_US);
    world.lost_percent = 0;
    for gap_us in [300_000, 3 * SECOND_US, 0, 700_000] {
        world.coordinator = None;
        world.run_for(gap_us);
        world.new_leader();
        world.run_for(SECOND_US);
    }
    world.run_for(4 * SECOND_US);
    let all: BTreeSet<usize> = (0..nodes).collect();
    for killed in [&frozen, &all] {
        killed.iter().for_each(|node| world.kill(*node));
        world.run_for(300_000);
        killed.iter().for_each(|node| world.restart(*node));
        world.run_for(5 * SECOND_US);
    }
    world.coordinator = None;
    all.iter().for_each(|node| world.restart(*node));
    world.run_for(SECOND_US);
    world.new_leader();
    world.run_for(8 * SECOND_US);
}

#[test]
fn hold_at_67_nodes_through_failures() {
    for seed in 1..=2 {
        let mut world = overloaded_world(67, 72, 800.0, seed);
        fail_everything(&mut world, seed);
        world.assert_bounds();
        assert!(totals(&world)["over limit"] > 1_000, "{:?}", totals(&world));
    }
}

#[test]
fn hold_at_300_nodes_through_failures() {
    let mut world = overloaded_world(300, 10_000, 3_500.0, 5);
    fail_everything(&mut world, 5);
    world.assert_bounds();
}
