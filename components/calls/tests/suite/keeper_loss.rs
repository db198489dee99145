//! Keepers that restart and copy their claims.

use crate::world::World;

/// Guards against a second run of a key after every keeper, one after the other, has lost its
/// memory.
#[test]
fn lost_in_turn() {
    let mut world = World::new([]);
    world.call(0, false, Some(0), 1_000_000);
    world.deliver_all();
    world.finish(0, 0);
    world.deliver_all();
    for keeper in 0..3 {
        world.restart_keeper(keeper);
        world.wait(2_000_000);
        world.copy_claims();
        world.deliver_all();
    }
    world.call(1, false, Some(0), 1_000_000);
    world.deliver_all();
    world.advance();
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}

/// Guards against a run on the word of keepers that have lost their memory at the same time.
#[test]
fn lost_together() {
    let mut world = World::new([]);
    world.restart_keeper(0);
    world.restart_keeper(1);
    world.wait(2_000_000);
    world.copy_claims();
    world.deliver_all();
    world.call(0, false, Some(0), 1_000_000);
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}

/// Guards against two majorities around a restart: the first round counts a grant of the keeper's
/// earlier run, and its other grant arrives after the keeper asked for copies.
#[test]
fn restart_amid_round() {
    let mut world = World::new([]);
    world.call(0, false, Some(0), 1_000_000);
    // Keeper 0 grants; its reply and the claim to keeper 1 are on the way, the third is lost.
    world.deliver_at(0);
    world.drop_message(1);
    world.restart_keeper(0);
    world.copy_claims();
    world.deliver_from(2);
    world.deliver_all();
    world.call(1, false, Some(0), 1_000_000);
    world.deliver_all();
    world.advance();
    world.deliver_all();
    insta::assert_snapshot!(world.trace());
}
