//! Guards against a changed limit that is not enforced or not granted in time.

mod common;

use common::{Load, World, caller_node, some_nodes};
use quota::{Admission, CustomerLimit, NodeQuota, QuotaAnswer, QuotaGrant, QuotaGrants, Verdict};
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

/// Guards against a grant that is taken for another customer's, because the list that numbers the
/// customers changed while the report was under way.
#[test]
fn changed_list_voids_the_answer_under_way() {
    let (first, second) = (Arc::from("a"), Arc::from("b"));
    let mut node = NodeQuota::new(0);
    node.set_customers(0, [Arc::clone(&second)]);
    assert_eq!(node.admit(0, &second, 1.0, 1), Admission::Waiting);
    let report = node.poll(0).expect("a report");
    node.set_customers(1_000, [Arc::clone(&first), Arc::clone(&second)]);
    assert_eq!(node.admit(1_000, &first, 1.0, 2), Admission::Waiting);
    let grant = |customer| {
        QuotaAnswer::Granted(QuotaGrants {
            epoch: 1,
            is_settling: false,
            grants: vec![QuotaGrant {
                customer,
                share: 0,
                tokens: 1,
                pause_ms: 0,
            }],
        })
    };
    assert!(node.on_answer(2_000, report.sequence, &grant(0)).is_empty());
    let next = node.poll(2_000).expect("a report with the new list");
    assert!(next.is_full && next.list != report.list);
    let decided = node.on_answer(3_000, next.sequence, &grant(1));
    assert!(decided.contains(&(1, Verdict::Admitted)), "{decided:?}");
    assert!(!decided.contains(&(2, Verdict::Admitted)), "{decided:?}");
}

/// Guards against a coordinator that keeps everything about each customer that was ever renamed or
/// removed, as long as it leads.
#[test]
fn renamed_customers_are_forgotten() {
    let mut world = World::new(67, vec![overloaded(20.0)], 5);
    for number in 0..100 {
        let name: Arc<str> = Arc::from(format!("customer-{number}"));
        world.loads[0].name = Arc::clone(&name);
        world.configure(&[(name, limit(20.0))]);
        world.run_for(SECOND_US);
    }
    let kept = world.coordinator.as_ref().unwrap().kept_customers();
    assert!(kept <= 30, "{kept} customers are kept of 100, one exists");
    let name = Arc::clone(&world.loads[0].name);
    let usage = world.coordinator.as_mut().unwrap().usage(world.now_us);
    assert_eq!(usage.len(), 1);
    assert_eq!(usage[0].0, name);
    assert!(usage[0].1.granted > 0, "the last one gets tokens");
}

/// Guards against a full bucket for a customer that is removed and added again at once.
#[test]
fn customer_added_again() {
    let mut load = overloaded(50.0);
    load.limit.burst = 1_000.0;
    load.demand = Box::new(|now_us| {
        if now_us < 40 * SECOND_US {
            0.0
        } else {
            2_000.0
        }
    });
    let limited = (Arc::clone(&load.name), load.limit);
    let mut world = World::new(67, vec![load], 6);
    world.run_for(40 * SECOND_US);
    let used = world.decisions[0].admitted_between(0, world.now_us);
    assert!(used >= 900, "{used} calls of the burst");
    for number in 0..27 {
        world.configure(&[(Arc::from(format!("other-{number}")), limit(1.0))]);
        world.run_for(SECOND_US / 10);
    }
    world.configure(&[limited]);
    let added_us = world.now_us;
    world.run_for(10 * SECOND_US);
    world.assert_bounds();
    let served = world.decisions[0].admitted_between(added_us + SECOND_US, world.now_us);
    assert!(served >= 425, "{served} calls in 9 s");
}
