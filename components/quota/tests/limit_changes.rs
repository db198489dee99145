//! Guards against a changed limit that is not enforced or not granted in time.

mod common;

use common::{Load, World, caller_node, some_nodes};
use quota::CustomerLimit;
use std::sync::Arc;

const SECOND_US: u64 = 1_000_000;
/// Time after which a lowered limit holds in all windows.
const ENFORCED_US: u64 = 2 * SECOND_US;

fn limit(rate: f64) -> CustomerLimit {
    CustomerLimit {
        rate_per_s: Some(rate),
        burst: rate,
    }
}

fn overloaded(rate: f64) -> Load {
    Load {
        name: Arc::from("customer"),
        limit: limit(rate),
        demand: Box::new(|_| 2_000.0),
        node: Box::new(|_, random| caller_node(1, random, 40, 67)),
        is_random: true,
    }
}

#[test]
fn lowered_limit_holds_after_two_seconds() {
    for (cut, changes_leader) in [(0, false), (20, false), (67, false), (20, true)] {
        let mut world = World::new(67, vec![overloaded(200.0)], 1);
        world.run_for(10 * SECOND_US);
        for node in some_nodes(67, cut, 2) {
            world.nodes[node].is_cut = true;
        }
        world.loads[0].limit = limit(20.0);
        let lowered_us = world.now_us;
        if changes_leader {
            world.new_leader();
        } else {
            world.apply_limits();
        }
        world.run_for(20 * SECOND_US);
        let worst = world.decisions[0].worst_window(lowered_us + ENFORCED_US);
        let bound = World::bound(limit(20.0));
        assert!(
            worst <= bound,
            "{worst} calls, bound {bound}, {cut} nodes cut"
        );
    }
}

#[test]
fn raised_limit_is_granted_at_once() {
    let mut world = World::new(67, vec![overloaded(20.0)], 3);
    world.run_for(10 * SECOND_US);
    world.loads[0].limit = limit(200.0);
    world.apply_limits();
    let raised_us = world.now_us;
    world.run_for(10 * SECOND_US);
    let granted = world.decisions[0].admitted_between(raised_us + SECOND_US, world.now_us);
    assert!(
        granted as f64 >= 0.97 * 200.0 * 9.0,
        "{granted} calls in 9 s"
    );
}

#[test]
fn removed_limit_refuses_nothing() {
    let mut world = World::new(67, vec![overloaded(20.0)], 4);
    world.run_for(10 * SECOND_US);
    world.loads[0].limit = CustomerLimit::default();
    world.apply_limits();
    world.run_for(SECOND_US);
    let removed_us = world.now_us;
    world.run_for(5 * SECOND_US);
    let late = world.decisions[0].over_limit_us.iter();
    let late = late.filter(|at| **at > removed_us).count();
    assert_eq!(late, 0, "calls refused after the limit was removed");
}
