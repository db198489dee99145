//! Guards partitions: both sides must keep working, remember the other side, and converge after the
//! partition ends.

mod support;

use model::UpstreamState;
use support::{SECOND_US, Simulation};

#[test]
fn cut_and_merge() {
    let mut sim = Simulation::new(9);
    for (port, zone) in [(1, "a"), (2, "a"), (3, "b"), (4, "b")] {
        sim.start(port, ("r", zone), &[1], None);
    }
    sim.run(5 * SECOND_US);
    sim.take_event_log();
    sim.cut("a", "b", true);
    sim.run(20 * SECOND_US);
    assert_eq!(sim.known_ports(1), [1, 2]);
    assert_eq!(sim.known_ports(4), [3, 4]);
    sim.cut("a", "b", false);
    sim.run(15 * SECOND_US);
    sim.assert_agreement();
    let log = sim.take_event_log();
    // Merging the tables must not make a member fail on its own side.
    for failure in ["1: failed 2", "2: failed 1", "3: failed 4", "4: failed 3"] {
        assert!(!log.contains(failure), "{log}");
    }
    insta::assert_snapshot!(log);
}

fn two_regions(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    for (port, place) in [
        (1, ("east", "a")),
        (2, ("east", "a")),
        (3, ("east", "a")),
        (4, ("west", "b")),
        (5, ("west", "b")),
        (6, ("west", "b")),
    ] {
        sim.start(port, place, &[1, 4], Some(&format!("lending-{port}")));
    }
    sim.run(10 * SECOND_US);
    sim.assert_agreement();
    sim.take_event_log();
    sim
}

#[test]
fn regions_partitioned_for_an_hour() {
    let mut sim = two_regions(10);
    sim.cut("a", "b", true);
    sim.run(600 * SECOND_US);
    assert_eq!(sim.known_ports(1), [1, 2, 3, 4, 5, 6]);
    // Every contact known at the start (1 and 4) stops, and 2 and 5 are replaced, while the regions
    // are partitioned.
    for port in [2, 5] {
        sim.leave(port);
        sim.run(SECOND_US);
        sim.kill(port);
        sim.start(
            port + 10,
            if port == 2 {
                ("east", "a")
            } else {
                ("west", "b")
            },
            &[3, 6],
            None,
        );
    }
    sim.kill(1);
    sim.kill(4);
    sim.drain(3);
    sim.run(3_000 * SECOND_US);
    assert_eq!(sim.known_ports(3), [3, 4, 5, 6, 12]);
    sim.cut("a", "b", false);
    sim.run(30 * SECOND_US);
    sim.assert_agreement();
}

#[test]
fn drain_and_leave_reach_other_region() {
    let mut sim = two_regions(11);
    sim.drain(2);
    sim.run(3 * SECOND_US);
    sim.assert_agreement();
    sim.change(2, |info| info.upstreams[0].state = UpstreamState::Stopping);
    sim.leave(2);
    sim.run(SECOND_US);
    sim.kill(2);
    sim.run(2 * SECOND_US);
    sim.assert_agreement();
}

#[test]
fn failed_region_is_removed() {
    let mut sim = two_regions(13);
    for port in [4, 5, 6] {
        sim.kill(port);
    }
    sim.run(60 * SECOND_US);
    assert_eq!(sim.known_ports(1), [1, 2, 3, 4, 5, 6]);
    // Longer than any partition that the regions must survive.
    sim.run(4 * 3_600 * SECOND_US);
    assert_eq!(sim.known_ports(1), [1, 2, 3]);
}
