//! Guards partitions: both sides must go on, remember contacts, and agree after the merge.

mod support;

use model::UpstreamState;
use support::{Net, SECOND_US};

#[test]
fn cut_and_merge() {
    let mut net = Net::new(9);
    for (port, zone) in [(1, "a"), (2, "a"), (3, "b"), (4, "b")] {
        net.start(port, ("r", zone), &[1], None);
    }
    net.run(5 * SECOND_US);
    net.take_session();
    net.cut("a", "b", true);
    net.run(20 * SECOND_US);
    assert_eq!(net.known(1), [1, 2]);
    assert_eq!(net.known(4), [3, 4]);
    net.cut("a", "b", false);
    net.run(15 * SECOND_US);
    net.assert_agreement();
    let session = net.take_session();
    // Nobody may lose a member of the own side when the sides compare their tables.
    for lost in ["1: failed 2", "2: failed 1", "3: failed 4", "4: failed 3"] {
        assert!(!session.contains(lost), "{session}");
    }
    insta::assert_snapshot!(session);
}

fn two_regions(seed: u64) -> Net {
    let mut net = Net::new(seed);
    for (port, place) in [
        (1, ("east", "a")),
        (2, ("east", "a")),
        (3, ("east", "a")),
        (4, ("west", "b")),
        (5, ("west", "b")),
        (6, ("west", "b")),
    ] {
        net.start(port, place, &[1, 4], Some(&format!("lending-{port}")));
    }
    net.run(10 * SECOND_US);
    net.assert_agreement();
    net.take_session();
    net
}

#[test]
fn hour_apart() {
    let mut net = two_regions(10);
    net.cut("a", "b", true);
    net.run(600 * SECOND_US);
    assert_eq!(net.known(1), [1, 2, 3, 4, 5, 6]);
    // All contacts known at the start are replaced while the regions can't see each other.
    for port in [2, 5] {
        net.leave(port);
        net.run(SECOND_US);
        net.kill(port);
        net.start(
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
    net.kill(1);
    net.kill(4);
    net.drain(3);
    net.run(3_000 * SECOND_US);
    assert_eq!(net.known(3), [3, 4, 5, 6, 12]);
    net.cut("a", "b", false);
    net.run(30 * SECOND_US);
    net.assert_agreement();
}

#[test]
fn other_region() {
    let mut net = two_regions(11);
    net.drain(2);
    net.run(3 * SECOND_US);
    net.assert_agreement();
    net.change(2, |info| info.upstreams[0].state = UpstreamState::Stopping);
    net.leave(2);
    net.run(SECOND_US);
    net.kill(2);
    net.run(2 * SECOND_US);
    net.assert_agreement();
}

#[test]
fn lost_region() {
    let mut net = two_regions(13);
    for port in [4, 5, 6] {
        net.kill(port);
    }
    net.run(60 * SECOND_US);
    assert_eq!(net.known(1), [1, 2, 3, 4, 5, 6]);
    // Longer than any partition that the regions must survive.
    net.run(4 * 3_600 * SECOND_US);
    assert_eq!(net.known(1), [1, 2, 3]);
}
