//! Calls whose connection to the owner is lost.

use crate::simulation::Simulation;

/// Guards against `unknown` or a second run when only the connection is lost: the answer waits at
/// the owner.
#[test]
fn recovered_answer() {
    let mut simulation = Simulation::new([]);
    simulation.call(0, false, None, 1_000_000);
    simulation.deliver_all();
    simulation.lose_connection(0, 0);
    simulation.deliver_all();
    simulation.finish(0, 0);
    simulation.drop_message(0);
    simulation.advance();
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against a start by a message that was overtaken by the fate request.
#[test]
fn late_frame() {
    let mut simulation = Simulation::new([]);
    simulation.call(0, false, None, 1_000_000);
    simulation.lose_connection(0, 0);
    simulation.deliver_at(1);
    simulation.deliver_at(1);
    simulation.deliver_all();
    simulation.finish(1, 0);
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against a late message that starts after its cancel request at the deadline.
#[test]
fn late_frame_after_cancel() {
    let mut simulation = Simulation::new([]);
    simulation.call(0, false, None, 300_000);
    simulation.advance();
    simulation.deliver_at(1);
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against not-run from an owner that lost its records in a restart.
#[test]
fn owner_restart() {
    let mut simulation = Simulation::new([]);
    simulation.call(0, false, None, 1_000_000);
    simulation.deliver_all();
    simulation.restart_owner(0);
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against an entry that gives up, or claims not-run, while the owner is unreachable.
#[test]
fn unreachable_owner() {
    let mut simulation = Simulation::new([]);
    simulation.call(0, false, None, 300_000);
    simulation.deliver_all();
    simulation.lose_connection(0, 0);
    for _ in 0..6 {
        simulation.lose_connection(0, 0);
        simulation.advance();
    }
    insta::assert_snapshot!(simulation.trace());
}
