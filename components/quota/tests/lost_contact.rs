//! Guards against refusals while the coordinator is away for a short time, against 429 from nodes
//! that can't know whether a customer is over its limit, and against tokens that get lost.

mod common;

use common::{Load, World, caller_node};
use model::NodeId;
use quota::{
    CustomerLimit, CustomerList, LEASE_US, QuotaAnswer, QuotaCoordinator, QuotaDemand, QuotaReport,
};
use std::{net::SocketAddr, sync::Arc};

const SECOND_US: u64 = 1_000_000;

/// A customer with 0.6 of its rate as demand, from a few callers.
fn steady(rate: f64) -> Load {
    Load {
        name: Arc::from("customer"),
        limit: CustomerLimit {
            rate_per_s: Some(rate),
            burst: rate,
        },
        demand: Box::new(move |_| rate * 0.6),
        node: Box::new(|_, random| caller_node(1, random, 8, 67)),
        is_random: false,
    }
}

#[test]
fn change_of_the_leader_refuses_few_calls() {
    let mut world = World::new(67, vec![steady(100.0)], 1);
    world.run_for(10 * SECOND_US);
    let before = world.decisions[0].unavailable_us.len();
    let gap_us = SECOND_US;
    let from_us = world.now_us;
    world.coordinator = None;
    world.run_for(gap_us);
    world.new_leader();
    world.run_for(5 * SECOND_US);
    let decisions = &world.decisions[0];
    let served = decisions.admitted_between(from_us, world.now_us) as f64;
    let unavailable = decisions.unavailable_us.len() - before;
    println!("{served} served, {unavailable} without a share");
    assert_eq!(decisions.over_limit_us.len(), 0);
    assert!(
        served >= 0.97 * 60.0 * 6.0,
        "{served} calls served, {unavailable} without a share"
    );
}

#[test]
fn cut_off_node_uses_its_share_until_the_lease_ends() {
    let mut world = World::new(67, vec![steady(100.0)], 2);
    world.run_for(10 * SECOND_US);
    world.nodes.iter_mut().for_each(|node| node.is_cut = true);
    let cut_us = world.now_us;
    world.run_for(8 * SECOND_US);
    let decisions = &world.decisions[0];
    let in_lease = decisions.admitted_between(cut_us, cut_us + LEASE_US / 2);
    assert!(
        in_lease >= 40,
        "{in_lease} calls served in half of the lease"
    );
    let late = decisions.admitted_between(cut_us + LEASE_US, u64::MAX);
    assert_eq!(late, 0, "calls served after the lease");
    assert_eq!(
        decisions.over_limit_us.len(),
        0,
        "calls refused as over the limit"
    );
    assert!(!decisions.unavailable_us.is_empty());
}

#[test]
fn token_of_a_call_that_has_not_run_is_used_again() {
    let mut load = steady(100.0);
    load.demand = Box::new(|_| 400.0);
    let mut world = World::new(67, vec![load], 3);
    world.not_run_percent = 50;
    world.run_for(30 * SECOND_US);
    let from_us = world.now_us - 20 * SECOND_US;
    let run = world.decisions[0].admitted_between(from_us, world.now_us);
    assert!(
        run as f64 >= 0.97 * 100.0 * 20.0,
        "{run} calls have run in 20 s"
    );
    world.assert_bounds();
}

#[test]
fn call_waits_for_one_round_trip_at_most() {
    let mut world = World::new(67, vec![steady(100.0)], 4);
    world.run_for(20 * SECOND_US);
    let longest_us = world.decisions[0].longest_wait_us;
    // A report may be under way already; each takes at most 6 ms here.
    assert!(longest_us <= 12_000, "a call waited for {longest_us} us");
}

/// Tokens that the first report gets at this time from a coordinator that started at 0.
fn first_tokens(at_us: u64) -> u32 {
    let name: Arc<str> = Arc::from("customer");
    let limit = CustomerLimit {
        rate_per_s: Some(50.0),
        burst: 50.0,
    };
    let mut coordinator = QuotaCoordinator::new(0, 1);
    coordinator.set_customers(at_us, [(Arc::clone(&name), limit)]);
    let node = NodeId {
        mesh: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1,
    };
    let report = QuotaReport {
        list: CustomerList::new([name]).digest(),
        epoch: 0,
        sequence: 1,
        is_full: true,
        demands: vec![QuotaDemand {
            customer: 0,
            share: 0,
            demand: 1,
            waiting: 100,
            returned: 0,
        }],
    };
    match coordinator.handle(at_us, node, &report) {
        QuotaAnswer::Granted(grants) => grants.grants[0].tokens,
        other => panic!("not granted: {other:?}"),
    }
}

/// A coordinator whose first report comes late must not count on shares of a predecessor, and must
/// not grant a full burst either before the time in which it is refilled.
#[test]
fn first_report_long_after_the_start() {
    assert_eq!(first_tokens(0), 0);
    assert!(first_tokens(2_000_000) <= 20, "{}", first_tokens(2_000_000));
    assert!(first_tokens(2_300_000) <= 20, "{}", first_tokens(2_300_000));
    assert_eq!(first_tokens(10_000_000), 50);
}
