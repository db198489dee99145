//! Guards suspicion: a paused host must refute in time, a dead one must be found.

mod support;

use members::MemberState;
use support::{Net, SECOND_US, address};

fn group(seed: u64) -> Net {
    let mut net = Net::new(seed);
    for port in 1..=5 {
        net.start(port, ("r", "a"), &[1], None);
    }
    net.run(5 * SECOND_US);
    net.assert_agreement();
    net.take_session();
    net
}

#[test]
fn short_pause() {
    let mut net = group(2);
    net.paused.insert(3);
    net.run(5 * SECOND_US / 2);
    net.resume(3);
    net.run(4 * SECOND_US);
    net.assert_agreement();
    let session = net.take_session();
    assert!(!session.contains("failed"), "{session}");
    insta::assert_snapshot!(session);
}

#[test]
fn found_dead() {
    for seed in 0..20 {
        let mut net = group(seed);
        net.kill(3);
        net.run(6 * SECOND_US);
        net.assert_agreement();
    }
}

#[test]
fn long_pause() {
    let mut net = group(3);
    net.paused.insert(3);
    net.run(20 * SECOND_US);
    assert_eq!(net.known(1), [1, 2, 4, 5]);
    net.resume(3);
    net.run(5 * SECOND_US);
    net.assert_agreement();
    let session = net.take_session();
    // Node 3 stood still; the time it slept must not count against the others.
    assert!(!session.contains(" 3: failed"), "{session}");
}

#[test]
fn slow_host() {
    let mut net = group(4);
    for _ in 0..30 {
        net.paused.insert(3);
        net.run(900_000);
        net.resume(3);
        net.run(100_000);
    }
    net.run(5 * SECOND_US);
    net.assert_agreement();
    let session = net.take_session();
    assert!(!session.contains("failed"), "{session}");
}

#[test]
fn heavy_loss() {
    let mut net = group(5);
    net.loss_percent = 20;
    net.run(60 * SECOND_US);
    let session = net.take_session();
    assert!(!session.contains("failed"), "{session}");
}

#[test]
fn broken_path() {
    let mut net = Net::new(6);
    net.start(1, ("r", "a"), &[], None);
    net.start(2, ("r", "b"), &[1], None);
    net.start(3, ("r", "c"), &[1], None);
    net.run(5 * SECOND_US);
    net.cut("a", "b", true);
    net.run(30 * SECOND_US);
    let session = net.take_session();
    assert!(!session.contains("suspect"), "{session}");
    let standing = |port| {
        let snapshot = net.nodes[&1].snapshot();
        let found = snapshot.iter().find(|info| info.node.mesh == address(port));
        found.map(|info| info.state)
    };
    assert_eq!(standing(2), Some(MemberState::Alive));
}
