//! Deadlines of calls that wait or run at an owner.

use crate::simulation::Simulation;

/// Guards against `unknown` for a call that never left the owner's queue, and against not-run for
/// one that runs.
#[test]
fn deadline_in_queue() {
    let mut simulation = Simulation::new([]);
    simulation.call(0, false, None, 900_000);
    simulation.call(0, false, None, 900_000);
    simulation.call(0, false, None, 300_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against an entry that waits for a lost cancel reply beyond the grace.
#[test]
fn silent_cancel() {
    let mut simulation = Simulation::new([]);
    simulation.call(0, false, None, 300_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.advance();
    insta::assert_snapshot!(simulation.trace());
}
