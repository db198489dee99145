//! Guards leaving and draining: both must override older states and must not be undone by delayed
//! or repeated datagrams.

mod support;

use model::UpstreamState;
use support::{SECOND_US, Simulation};

fn group() -> Simulation {
    let mut sim = Simulation::new(7);
    for port in 1..=4 {
        sim.start(port, ("r", "a"), &[1], Some(&format!("catalogue-{port}")));
    }
    sim.run(5 * SECOND_US);
    sim.take_event_log();
    sim
}

#[test]
fn drain_then_leave() {
    let mut sim = group();
    sim.drain(2);
    sim.run(SECOND_US);
    sim.leave(2);
    sim.run(SECOND_US);
    sim.kill(2);
    sim.run(10 * SECOND_US);
    sim.assert_agreement();
    insta::assert_snapshot!(sim.take_event_log());
}

#[test]
fn delayed_gossip_does_not_undo_leave() {
    let mut sim = group();
    sim.max_extra_delay_us = 3 * SECOND_US;
    sim.duplicate_percent = 50;
    sim.drain(2);
    sim.run(2 * SECOND_US);
    sim.leave(2);
    sim.run(SECOND_US);
    sim.kill(2);
    sim.run(10 * SECOND_US);
    sim.max_extra_delay_us = 0;
    sim.run(10 * SECOND_US);
    sim.assert_agreement();
    let log = sim.take_event_log();
    for port in [1, 3, 4] {
        let left = format!("{port}: left 2");
        let rest = log.split(&left).nth(1).expect("leave is known");
        let back = format!("{port}: joined 2");
        assert!(!rest.contains(&back), "{log}");
    }
}

#[test]
fn renewals_are_not_spread() {
    let mut sim = group();
    sim.run(20 * SECOND_US);
    let before = sim.bytes;
    sim.run(10 * SECOND_US);
    let quiet_bytes = sim.bytes - before;
    let before = sim.bytes;
    for _ in 0..10 {
        sim.change(2, |info| info.upstreams[0].version += 1);
        sim.run(SECOND_US);
    }
    // A renewed lease or a load report changes only the version, which must not be spread.
    assert!(
        sim.bytes - before < quiet_bytes * 3 / 2,
        "renewals were spread"
    );
    assert_eq!(sim.take_event_log(), "");
}

#[test]
fn withdrawn_upstream() {
    let mut sim = group();
    sim.change(2, |info| info.upstreams.clear());
    sim.run(SECOND_US);
    sim.assert_agreement();
    sim.change(2, |info| {
        info.upstreams = vec![support::upstream("catalogue-9", UpstreamState::Starting)];
    });
    sim.run(SECOND_US);
    sim.assert_agreement();
}
