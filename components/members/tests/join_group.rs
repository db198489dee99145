//! Guards joining: through one contact, a new member must learn of all others and they of it.

mod support;

use support::{SECOND_US, Simulation};

#[test]
fn three_members() {
    let mut sim = Simulation::new(1);
    sim.start(1, ("r", "a"), &[], Some("catalogue-1"));
    sim.start(2, ("r", "a"), &[1], Some("catalogue-2"));
    sim.run(3 * SECOND_US);
    sim.start(3, ("r", "b"), &[2], Some("catalogue-3"));
    sim.run(3 * SECOND_US);
    sim.assert_agreement();
    insta::assert_snapshot!(sim.take_event_log());
}
