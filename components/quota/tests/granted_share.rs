//! Guards against a customer that gets less than its rate, against refusals of customers that stay
//! within their limits, and against too much traffic.

mod common;

use common::{Load, World, caller_node, totals, zipf_loads};
use quota::CustomerLimit;
use std::sync::Arc;

const SECOND_US: u64 = 1_000_000;
/// Start of the load of a single customer.
const START_US: u64 = 8 * SECOND_US;

fn one_customer(rate: f64, demand: f64, nodes: usize, callers: usize) -> Load {
    Load {
        name: Arc::from("customer"),
        limit: CustomerLimit {
            rate_per_s: Some(rate),
            burst: rate,
        },
        // Starts with a full burst, after the time in which a new coordinator knows no shares.
        demand: Box::new(move |now_us| match now_us < START_US {
            true => 0.0,
            false => demand,
        }),
        node: Box::new(move |_, random| caller_node(1, random, callers, nodes)),
        is_random: false,
    }
}

#[test]
fn customer_over_its_limit_gets_97_percent_of_its_rate() {
    for (rate, factor, callers) in [
        (5.0, 11.0, 10),
        (5.0, 2.0, 1),
        (20.0, 5.0, 40),
        (330.0, 11.0, 40),
        (330.0, 1.2, 200),
        (330.0, 60.0, 3),
    ] {
        let load = one_customer(rate, rate * factor, 67, callers);
        let mut world = World::new(67, vec![load], 1);
        world.run_for(START_US + 30 * SECOND_US);
        let from_us = world.now_us - 20 * SECOND_US;
        let admitted = world.decisions[0].admitted_between(from_us, world.now_us) as f64;
        let share = admitted / (rate * 20.0);
        println!("rate {rate}, demand x {factor}, {callers} callers: {share:.3} of the rate");
        assert!(
            share >= 0.97,
            "rate {rate}, demand x {factor}, {callers} callers: {share:.3} of the rate"
        );
        world.assert_bounds();
    }
}

#[test]
fn customer_within_its_limit_is_never_refused() {
    let mut all_refused = 0;
    for (rate, callers) in [(5.0, 1), (5.0, 10), (20.0, 20), (100.0, 60), (330.0, 300)] {
        for nodes in [67, 300] {
            let load = one_customer(rate, rate * 0.9, nodes, callers);
            let mut world = World::new(nodes, vec![load], 2);
            world.run_for(START_US + 60 * SECOND_US);
            let decisions = &world.decisions[0];
            let refused = decisions.over_limit_us.len() + decisions.unavailable_us.len();
            println!("rate {rate}, {callers} callers, {nodes} nodes: {refused} refused");
            all_refused += refused;
        }
    }
    assert_eq!(all_refused, 0);
}

#[test]
fn load_within_the_limit_may_move_at_once() {
    let mut all_refused = 0;
    for (rate, callers) in [(5.0, 4), (20.0, 20), (330.0, 40)] {
        let mut load = one_customer(rate, rate * 0.9, 67, callers);
        load.node = Box::new(move |now_us, random| {
            let group = (now_us / (4 * SECOND_US)) as usize;
            caller_node(1 + group, random, callers, 67)
        });
        let mut world = World::new(67, vec![load], 3);
        world.run_for(START_US + 60 * SECOND_US);
        let refused = world.decisions[0].over_limit_us.len();
        println!("rate {rate}, {callers} callers, moving: {refused} refused");
        all_refused += refused;
    }
    assert_eq!(all_refused, 0);
}

#[test]
fn usual_load_has_no_refusals_and_little_traffic() {
    for (nodes, customers, calls_per_s, callers) in [
        (67, 72, 800.0, 20),
        (300, 72, 3_500.0, 60),
        (300, 10_000, 3_500.0, 4),
    ] {
        let loads = zipf_loads(customers, nodes, calls_per_s, callers);
        let mut world = World::new(nodes, loads, 4);
        world.run_for(6 * SECOND_US);
        let settled_us = world.now_us;
        (world.message_bytes, world.messages) = (0, 0);
        world.run_for(20 * SECOND_US);
        let bytes_per_s = world.message_bytes as f64 / 20.0 / nodes as f64;
        let messages_per_s = world.messages as f64 / 20.0 / nodes as f64;
        let refused: usize = world
            .decisions
            .iter()
            .flat_map(|decisions| {
                decisions
                    .over_limit_us
                    .iter()
                    .chain(&decisions.unavailable_us)
            })
            .filter(|at| **at > settled_us)
            .count();
        println!(
            "{nodes} nodes, {customers} customers: {bytes_per_s:.0} bytes/s and {messages_per_s:.1} messages/s per node, {refused} refused, {:?}",
            totals(&world)
        );
        assert!(bytes_per_s <= 200.0, "{bytes_per_s:.0} bytes/s and node");
        let admitted: usize = world.decisions.iter().map(|d| d.admitted_us.len()).sum();
        assert!(
            refused * 1_000 <= admitted,
            "{refused} of {admitted} refused"
        );
    }
}
