//! Calls with an idempotency key that callers send more than once.

use crate::simulation::Simulation;

/// Guards against a second run when a caller repeats a keyed call at another node: the repeated
/// call gets the error key-in-progress while the first one runs, and then its recorded answer.
#[test]
fn retry_elsewhere() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.start_call(1, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    simulation.finish(0, 0);
    simulation.deliver_all();
    simulation.start_call(1, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against two runs when two entries claim a key at the same time and each gets some
/// keepers.
#[test]
fn key_race() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, Some(0), 1_000_000);
    simulation.start_call(1, false, Some(0), 1_000_000);
    // The claim of entry 0 reaches keeper 0 first, that of entry 1 the other keepers.
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

/// Guards against two runs, or none, when no entry gets a majority and each keeps the other's
/// attempt from starting by a status query.
#[test]
fn split_votes() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, Some(0), 40_000_000);
    simulation.start_call(1, false, Some(0), 40_000_000);
    // The claim of entry 0 reaches keeper 0, that of entry 1 keeper 1, and neither keeper 2.
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

/// Guards against a key that stays blocked because its first entry crashed before it sent the call.
#[test]
fn abandoned_claim() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, Some(0), 1_000_000);
    for _ in 0..3 {
        simulation.deliver_at(0);
    }
    simulation.drop_all();
    simulation.start_call(1, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    simulation.finish(0, 0);
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against a second run after the owner has lost its record of the first one in a restart.
#[test]
fn forgotten_record() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.finish(0, 0);
    simulation.deliver_all();
    simulation.restart_owner(0);
    simulation.start_call(1, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}
