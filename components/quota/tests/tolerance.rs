//! Guards against a tolerance that lets more calls through than a deployment allows in any window, or
//! that refuses calls which it allows, also while the coordinator changes.

mod common;

use common::{Load, World};
use quota::{CustomerLimit, QuotaTolerance};

const SECOND_US: u64 = 1_000_000;
const NODES: usize = 40;

fn tolerance() -> QuotaTolerance {
    QuotaTolerance {
        window_s: 5.0,
        overage_percent: 10.0,
        slack: 20.0,
    }
}

fn allowed(limit: CustomerLimit) -> usize {
    let in_window = limit.rate_per_s.unwrap() * 5.0 + limit.burst;
    (in_window * 1.1 + 20.0) as usize
}

/// A customer that sends `factor` times its rate in phases of 7 s, in between nothing or half of it.
fn world(rate: f64, factor: f64, seed: u64) -> World {
    let load = Load {
        name: "choir".into(),
        limit: CustomerLimit {
            rate_per_s: Some(rate),
            burst: rate,
        },
        demand: Box::new(move |now_us| match (now_us / (7 * SECOND_US)) % 3 {
            0 => rate * factor,
            1 => 0.0,
            _ => rate / 2.0,
        }),
        node: Box::new(|_, random| random as usize % NODES),
        is_random: true,
    };
    let mut world = World::new(NODES, vec![load], seed);
    world.tolerance = tolerance();
    world.not_run_percent = 5;
    world.new_leader();
    world
}

#[test]
fn bound_of_window() {
    for rate in [5.0, 35.0, 330.0] {
        for factor in [1.2, 2.0, 30.0] {
            let mut world = world(rate, factor, 11);
            world.run_for(30 * SECOND_US);
            for gap_us in [0, 300_000, 3 * SECOND_US, 100_000, 100_000] {
                world.coordinator = None;
                world.run_for(gap_us);
                world.new_leader();
                world.run_for(2 * SECOND_US);
            }
            world.run_for(20 * SECOND_US);
            let worst = world.decisions[0].worst_window(0);
            let bound = allowed(world.loads[0].limit);
            assert!(
                worst <= bound,
                "rate {rate}, factor {factor}: {worst} of {bound}"
            );
        }
    }
}

/// A customer at 1.1 of its rate for long stays inside the tolerance of a small rate.
#[test]
fn demand_within_tolerance() {
    let mut world = world(35.0, 1.1, 12);
    world.loads[0].demand = Box::new(|_| 35.0 * 1.1);
    world.run_for(60 * SECOND_US);
    let late = 20 * SECOND_US;
    let refused = world.decisions[0].over_limit_us.iter();
    let refused = refused.filter(|at| **at > late).count();
    let admitted = world.decisions[0].admitted_between(late, u64::MAX);
    assert!(refused * 50 <= admitted, "{refused} of {admitted}");
}
