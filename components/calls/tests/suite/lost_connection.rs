//! Calls whose connection to the owner is lost.

use crate::world::World;

/// Guards against `unknown` or a second run when only the connection is lost: the answer waits at
/// the owner.
#[test]
fn recovered_answer() {
    let mut world = World::new([]);
    world.call(0, false, None, 1_000_000);
    world.deliver_all();
    world.lose(0, 0);
    world.deliver_all();
    world.finish(0, 0);
    world.drop_message(0);
    world.advance();
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}

/// Guards against a start by a message that was overtaken by the fate request.
#[test]
fn late_frame() {
    let mut world = World::new([]);
    world.call(0, false, None, 1_000_000);
    world.lose(0, 0);
    world.deliver_at(1);
    world.deliver_at(1);
    world.deliver_all();
    world.finish(1, 0);
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}

/// Guards against a late message that starts after its cancel request at the deadline.
#[test]
fn late_frame_after_cancel() {
    let mut world = World::new([]);
    world.call(0, false, None, 300_000);
    world.advance();
    world.deliver_at(1);
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}

/// Guards against not-run from an owner that lost its records in a restart.
#[test]
fn owner_restart() {
    let mut world = World::new([]);
    world.call(0, false, None, 1_000_000);
    world.deliver_all();
    world.restart_owner(0);
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}

/// Guards against an entry that gives up, or claims not-run, while the owner is unreachable.
#[test]
fn unreachable_owner() {
    let mut world = World::new([]);
    world.call(0, false, None, 300_000);
    world.deliver_all();
    world.lose(0, 0);
    for _ in 0..6 {
        world.lose(0, 0);
        world.advance();
    }
    insta::assert_snapshot!(world.trace());
}
