//! Keepers that restart, lose their claims and copy them from the other keepers.

use crate::simulation::Simulation;

/// Guards against a second run of a key after all keepers have restarted one after the other.
#[test]
fn restarts_in_turn() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.finish(0, 0);
    simulation.deliver_all();
    for keeper in 0..3 {
        simulation.restart_keeper(keeper);
        simulation.wait(2_000_000);
        simulation.copy_claims();
        simulation.deliver_all();
    }
    simulation.start_call(1, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against a claim that is granted by keepers that have restarted at the same time: no copy
/// of their claims is left.
#[test]
fn simultaneous_restarts() {
    let mut simulation = Simulation::new([]);
    simulation.restart_keeper(0);
    simulation.restart_keeper(1);
    simulation.wait(2_000_000);
    simulation.copy_claims();
    simulation.deliver_all();
    simulation.start_call(0, false, Some(0), 1_000_000);
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against two majorities for one key around a restart: the first round counts a grant of
/// the keeper's earlier run, and its second grant is made after the keeper has requested copies.
#[test]
fn restart_during_round() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, Some(0), 1_000_000);
    // Keeper 0 grants; its reply and the claim to keeper 1 are on the way, the claim to keeper 2 is
    // lost.
    simulation.deliver_at(0);
    simulation.drop_message(1);
    simulation.restart_keeper(0);
    simulation.copy_claims();
    simulation.deliver_from(2);
    simulation.deliver_all();
    simulation.start_call(1, false, Some(0), 1_000_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}
