//! Calls with an idempotency key that arrive more than once.

use crate::world::World;

/// Guards against a second run of a key through another node: it gets "in progress", then the
/// recorded answer.
#[test]
fn retry_elsewhere() {
    let mut world = World::new([]);
    world.call(0, false, Some(0), 1_000_000);
    world.deliver_all();
    world.call(1, false, Some(0), 1_000_000);
    world.deliver_all();
    world.advance();
    world.deliver_all();
    world.finish(0, 0);
    world.deliver_all();
    world.call(1, false, Some(0), 1_000_000);
    world.deliver_all();
    world.advance();
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}

/// Guards against two runs when two entries split the keepers.
#[test]
fn key_race() {
    let mut world = World::new([]);
    world.call(0, false, Some(0), 1_000_000);
    world.call(1, false, Some(0), 1_000_000);
    // Keeper 0 hears entry 0 first, the others entry 1.
    world.deliver_at(0);
    world.deliver_at(3);
    world.deliver_at(3);
    world.deliver_all();
    world.advance();
    world.deliver_all();
    world.finish(0, 0);
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}

/// Guards against two runs, or none, when no entry gets a majority and each has the other's attempt
/// stopped.
#[test]
fn split_votes() {
    let mut world = World::new([]);
    world.call(0, false, Some(0), 40_000_000);
    world.call(1, false, Some(0), 40_000_000);
    // Keeper 0 hears entry 0, keeper 1 hears entry 1, and keeper 2 neither.
    world.drop_message(5);
    world.drop_message(2);
    world.deliver_at(0);
    world.deliver_at(2);
    world.deliver_all();
    for _ in 0..3 {
        world.advance();
        world.deliver_all();
    }
    world.finish(0, 0);
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}

/// Guards against a key that stays blocked because its first entry died before it sent the call.
#[test]
fn abandoned_claim() {
    let mut world = World::new([]);
    world.call(0, false, Some(0), 1_000_000);
    for _ in 0..3 {
        world.deliver_at(0);
    }
    world.drop_all();
    world.call(1, false, Some(0), 1_000_000);
    world.deliver_all();
    world.advance();
    world.deliver_all();
    world.finish(0, 0);
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}

/// Guards against a second run after the owner that held the record restarted.
#[test]
fn forgotten_record() {
    let mut world = World::new([]);
    world.call(0, false, Some(0), 1_000_000);
    world.deliver_all();
    world.finish(0, 0);
    world.deliver_all();
    world.restart_owner(0);
    world.call(1, false, Some(0), 1_000_000);
    world.deliver_all();
    world.advance();
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}
