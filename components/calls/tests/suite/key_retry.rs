//! Calls with an idempotency key that arrive more than once.

use crate::simulation::Simulation;

/// Guards against a second run of a key through another node: it gets "in progress", then the
/// recorded answer.
#[test]
fn retry_elsewhere() {
    let mut simulation = Simulation::new([]);
    simulation.call(0, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.call(1, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    simulation.finish(0, 0);
    simulation.deliver_all();
    simulation.call(1, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against two runs when two entries split the keepers.
#[test]
fn key_race() {
    let mut simulation = Simulation::new([]);
    simulation.call(0, false, Some(0), 1_000_000);
    simulation.call(1, false, Some(0), 1_000_000);
    // Keeper 0 hears entry 0 first, the others entry 1.
    simulation.deliver_at(0);
    simulation.deliver_at(3);
    simulation.deliver_at(3);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    simulation.finish(0, 0);
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against two runs, or none, when no entry gets a majority and each has the other's attempt
/// stopped.
#[test]
fn split_votes() {
    let mut simulation = Simulation::new([]);
    simulation.call(0, false, Some(0), 40_000_000);
    simulation.call(1, false, Some(0), 40_000_000);
    // Keeper 0 hears entry 0, keeper 1 hears entry 1, and keeper 2 neither.
    simulation.drop_message(5);
    simulation.drop_message(2);
    simulation.deliver_at(0);
    simulation.deliver_at(2);
    simulation.deliver_all();
    for _ in 0..3 {
        simulation.advance();
        simulation.deliver_all();
    }
    simulation.finish(0, 0);
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against a key that stays blocked because its first entry died before it sent the call.
#[test]
fn abandoned_claim() {
    let mut simulation = Simulation::new([]);
    simulation.call(0, false, Some(0), 1_000_000);
    for _ in 0..3 {
        simulation.deliver_at(0);
    }
    simulation.drop_all();
    simulation.call(1, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    simulation.finish(0, 0);
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against a second run after the owner that held the record restarted.
#[test]
fn forgotten_record() {
    let mut simulation = Simulation::new([]);
    simulation.call(0, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.finish(0, 0);
    simulation.deliver_all();
    simulation.restart_owner(0);
    simulation.call(1, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}
