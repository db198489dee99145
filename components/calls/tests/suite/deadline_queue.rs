//! Deadlines of calls that wait or run at an owner.

use crate::simulation::Simulation;

/// Guards against an unknown outcome for a call that never left the owner's queue, and against the
/// outcome not-run for one that runs.
#[test]
fn deadline_in_queue() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, None, 900_000);
    simulation.start_call(0, false, None, 900_000);
    simulation.start_call(0, false, None, 300_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    simulation.advance();
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against an entry that waits longer than `DEADLINE_GRACE_US` for the reply to a cancel
/// request.
#[test]
fn lost_cancel_reply() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, None, 300_000);
    simulation.deliver_all();
    simulation.advance();
    simulation.advance();
    insta::assert_snapshot!(simulation.trace());
}
