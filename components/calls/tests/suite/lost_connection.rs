//! Calls whose connection to the owner is lost.

use crate::simulation::Simulation;

/// Guards against an unknown outcome or a second run when only the connection is lost: the owner
/// keeps the answer, and the entry gets it by a status query.
#[test]
fn recovered_answer() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, None, 1_000_000);
    simulation.deliver_all();
    simulation.lose_connection(0, 0);
    simulation.deliver_all();
    simulation.finish(0, 0);
    simulation.drop_message(0);
    simulation.advance();
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against an attempt that starts although the status query has overtaken its message and
/// was answered as not started.
#[test]
fn late_message() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, None, 1_000_000);
    simulation.lose_connection(0, 0);
    simulation.deliver_at(1);
    simulation.deliver_at(1);
    simulation.deliver_all();
    simulation.finish(1, 0);
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against an attempt that starts although its cancel request at the deadline has overtaken
/// its message.
#[test]
fn late_message_after_cancel() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, None, 300_000);
    simulation.advance();
    simulation.deliver_at(1);
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against the outcome not-run when the owner has lost its records in a restart: the attempt
/// may have run.
#[test]
fn owner_restart() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, None, 1_000_000);
    simulation.deliver_all();
    simulation.restart_owner(0);
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against an entry that ends a call before its deadline, or reports it as not run, while
/// the owner is unreachable.
#[test]
fn unreachable_owner() {
    let mut simulation = Simulation::new([]);
    simulation.start_call(0, false, None, 300_000);
    simulation.deliver_all();
    simulation.lose_connection(0, 0);
    for _ in 0..6 {
        simulation.lose_connection(0, 0);
        simulation.advance();
    }
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against a failed call when only the connection is lost: an idempotent call that may not be
/// sent to another upstream gets the answer of the attempt that runs.
#[test]
fn only_attempt_recovered() {
    let mut simulation = Simulation::new([]);
    simulation.start_limited_call(0, true, None, 1_000_000, 1);
    simulation.deliver_all();
    simulation.lose_connection(0, 0);
    simulation.deliver_all();
    simulation.finish(0, 0);
    simulation.drop_message(0);
    // First the time of a hedge, which may not be sent, then that of the next query.
    for _ in 0..2 {
        simulation.advance();
        simulation.deliver_all();
    }
    insta::assert_snapshot!(simulation.trace());
}

/// Guards against an idempotent call that waits until its deadline for an owner that has ended,
/// though its caller could send it again.
#[test]
fn only_owner_ended() {
    let mut simulation = Simulation::new([]);
    simulation.start_limited_call(0, true, None, 1_000_000, 1);
    simulation.deliver_all();
    simulation.restart_owner(0);
    simulation.deliver_all();
    insta::assert_snapshot!(simulation.trace());
}
