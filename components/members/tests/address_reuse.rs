//! Guards against stale identities: a process that restarts at the same address must replace its
//! predecessor, and a node that announces a moved upstream must replace the older announcement.

mod support;

use model::UpstreamState;
use support::{SECOND_US, Simulation, upstream};

fn group() -> Simulation {
    let mut sim = Simulation::new(8);
    for port in 1..=4 {
        sim.start(port, ("r", "a"), &[1], Some(&format!("catalogue-{port}")));
    }
    sim.run(5 * SECOND_US);
    sim.take_event_log();
    sim
}

#[test]
fn crash_restart() {
    let mut sim = group();
    sim.kill(2);
    sim.start(2, ("r", "a"), &[1], Some("catalogue-2"));
    sim.run(10 * SECOND_US);
    sim.assert_agreement();
    insta::assert_snapshot!(sim.take_event_log());
}

#[test]
fn restart_after_leave() {
    let mut sim = group();
    sim.leave(2);
    sim.run(SECOND_US);
    sim.kill(2);
    sim.start(2, ("r", "a"), &[1], Some("catalogue-2"));
    sim.run(10 * SECOND_US);
    sim.assert_agreement();
}

#[test]
fn upstream_moves_to_newer_node() {
    let mut sim = group();
    sim.start(5, ("r", "a"), &[1], Some("catalogue-2"));
    sim.run(5 * SECOND_US);
    let announcers = |sim: &Simulation| {
        let snapshot = sim.nodes[&1].snapshot();
        let announces = |info: &&std::sync::Arc<members::NodeInfo>| {
            let mut names = info.upstreams.iter().map(|upstream| upstream.name.as_str());
            names.any(|name| name == "catalogue-2")
        };
        let announcers = snapshot.iter().filter(announces);
        announcers
            .map(|info| info.node.mesh.port())
            .collect::<Vec<_>>()
    };
    assert_eq!(announcers(&sim), [5]);
    // The older announcement is visible again once the newer node withdraws the upstream.
    sim.change(5, |info| info.upstreams.clear());
    sim.run(2 * SECOND_US);
    assert_eq!(announcers(&sim), [2]);
}

#[test]
fn restart_with_earlier_clock() {
    let mut sim = group();
    sim.kill(2);
    let now_us = sim.now_us;
    sim.now_us = 1;
    sim.start(2, ("r", "a"), &[1], Some("catalogue-2"));
    sim.now_us = now_us;
    sim.run(3 * SECOND_US);
    let log = sim.take_event_log();
    assert!(log.contains("2: superseded by"), "{log}");
}

#[test]
fn renamed_upstream() {
    let mut sim = group();
    sim.change(2, |info| {
        info.upstreams = vec![upstream("catalogue-7", UpstreamState::Serving)];
    });
    sim.run(2 * SECOND_US);
    sim.assert_agreement();
}
