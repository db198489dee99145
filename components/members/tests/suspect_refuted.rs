//! Guards failure detection: a briefly paused or slow member must refute suspicions in time, and a
//! dead one must be detected.

mod support;

use members::MemberState;
use support::{SECOND_US, Simulation, address};

fn group(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    for port in 1..=5 {
        sim.start(port, ("r", "a"), &[1], None);
    }
    sim.run(5 * SECOND_US);
    sim.assert_agreement();
    sim.take_event_log();
    sim
}

#[test]
fn short_pause() {
    let mut sim = group(2);
    sim.paused.insert(3);
    sim.run(5 * SECOND_US / 2);
    sim.resume(3);
    sim.run(4 * SECOND_US);
    sim.assert_agreement();
    let log = sim.take_event_log();
    assert!(!log.contains("failed"), "{log}");
    insta::assert_snapshot!(log);
}

#[test]
fn crashed_member_is_detected() {
    for seed in 0..20 {
        let mut sim = group(seed);
        sim.kill(3);
        sim.run(6 * SECOND_US);
        sim.assert_agreement();
    }
}

#[test]
fn long_pause() {
    let mut sim = group(3);
    sim.paused.insert(3);
    sim.run(20 * SECOND_US);
    assert_eq!(sim.known_ports(1), [1, 2, 4, 5]);
    sim.resume(3);
    sim.run(5 * SECOND_US);
    sim.assert_agreement();
    let log = sim.take_event_log();
    // Node 3 itself was paused; it must not take that time for a failure of the others.
    assert!(!log.contains(" 3: failed"), "{log}");
}

#[test]
fn slow_host_causes_no_failures() {
    let mut sim = group(4);
    for _ in 0..30 {
        sim.paused.insert(3);
        sim.run(900_000);
        sim.resume(3);
        sim.run(100_000);
    }
    sim.run(5 * SECOND_US);
    sim.assert_agreement();
    let log = sim.take_event_log();
    assert!(!log.contains("failed"), "{log}");
}

#[test]
fn heavy_loss_causes_no_failures() {
    let mut sim = group(5);
    sim.loss_percent = 20;
    sim.run(60 * SECOND_US);
    let log = sim.take_event_log();
    assert!(!log.contains("failed"), "{log}");
}

#[test]
fn single_broken_path_causes_no_suspicion() {
    let mut sim = Simulation::new(6);
    sim.start(1, ("r", "a"), &[], None);
    sim.start(2, ("r", "b"), &[1], None);
    sim.start(3, ("r", "c"), &[1], None);
    sim.run(5 * SECOND_US);
    sim.cut("a", "b", true);
    sim.run(30 * SECOND_US);
    let log = sim.take_event_log();
    assert!(!log.contains("suspect"), "{log}");
    let state_of = |port| {
        let snapshot = sim.nodes[&1].snapshot();
        let found = snapshot.iter().find(|info| info.node.mesh == address(port));
        found.map(|info| info.state)
    };
    assert_eq!(state_of(2), Some(MemberState::Alive));
}
