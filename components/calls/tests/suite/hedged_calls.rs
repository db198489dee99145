//! Hedges of idempotent calls.

use crate::simulation::Simulation;
use calls::HedgeBudget;

/// Guards against a slower attempt that keeps running after the hedge has answered, and against two
/// answers to one caller.
#[test]
fn hedge_wins() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, true, None, 1_000_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    simulation.finish(1, 0);
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against a hedge of a call that is not idempotent.
#[test]
fn never_hedged() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, None, 1_000_000);
    simulation.deliver_all();
    simulation.wait(500_000);
    assert!(!simulation.trace().contains("Hedge"));
}

/// Guards against hedges beyond their share of the calls, also right after a period without hedges.
#[test]
fn hedge_share() {
    let mut budget = HedgeBudget::new(5);
    assert!(!budget.try_hedge(), "nothing saved yet");
    let mut hedges = 0;
    for _ in 0..10_000 {
        budget.on_call();
        hedges += u32::from(budget.try_hedge());
    }
    assert_eq!(hedges, 500);
    for _ in 0..10_000 {
        budget.on_call();
    }
    let burst = (0..1_000).filter(|_| budget.try_hedge()).count();
    assert_eq!(burst, 10);
}
