//! Deadlines of calls that wait or run at an owner.

use crate::world::World;

/// Guards against `unknown` for a call that never left the owner's queue, and against not-run for
/// one that runs.
#[test]
fn deadline_in_queue() {
    let mut world = World::new([]);
    world.call(0, false, None, 900_000);
    world.call(0, false, None, 900_000);
    world.call(0, false, None, 300_000);
    world.deliver_all();
    world.advance();
    world.deliver_all();
    world.advance();
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}

/// Guards against an entry that waits for a lost cancel reply beyond the grace.
#[test]
fn silent_cancel() {
    let mut world = World::new([]);
    world.call(0, false, None, 300_000);
    world.deliver_all();
    world.advance();
    world.advance();
    insta::assert_snapshot!(world.trace());
}
