//! Guards leaving and draining: both must override older states and must not be undone.

mod support;

use model::UpstreamState;
use support::{Net, SECOND_US};

fn group() -> Net {
    let mut net = Net::new(7);
    for port in 1..=4 {
        net.start(port, ("r", "a"), &[1], Some(&format!("catalogue-{port}")));
    }
    net.run(5 * SECOND_US);
    net.take_session();
    net
}

#[test]
fn drain_then_leave() {
    let mut net = group();
    net.drain(2);
    net.run(SECOND_US);
    net.leave(2);
    net.run(SECOND_US);
    net.kill(2);
    net.run(10 * SECOND_US);
    net.assert_agreement();
    insta::assert_snapshot!(net.take_session());
}

#[test]
fn delayed_gossip() {
    let mut net = group();
    net.max_extra_delay_us = 3 * SECOND_US;
    net.duplicate_percent = 50;
    net.drain(2);
    net.run(2 * SECOND_US);
    net.leave(2);
    net.run(SECOND_US);
    net.kill(2);
    net.run(10 * SECOND_US);
    net.max_extra_delay_us = 0;
    net.run(10 * SECOND_US);
    net.assert_agreement();
    let session = net.take_session();
    for port in [1, 3, 4] {
        let left = format!("{port}: left 2");
        let rest = session.split(&left).nth(1).expect("leave is known");
        let back = format!("{port}: joined 2");
        assert!(!rest.contains(&back), "{session}");
    }
}

#[test]
fn lease_renewal() {
    let mut net = group();
    net.run(20 * SECOND_US);
    let before = net.bytes;
    net.run(10 * SECOND_US);
    let quiet = net.bytes - before;
    let before = net.bytes;
    for _ in 0..10 {
        net.change(2, |info| info.upstreams[0].version += 1);
        net.run(SECOND_US);
    }
    // A renewal or a load report without any other change must not be spread.
    assert!(net.bytes - before < quiet * 3 / 2, "renewals were spread");
    assert_eq!(net.take_session(), "");
}

#[test]
fn withdrawn_upstream() {
    let mut net = group();
    net.change(2, |info| info.upstreams.clear());
    net.run(SECOND_US);
    net.assert_agreement();
    net.change(2, |info| {
        info.upstreams = vec![support::upstream("catalogue-9", UpstreamState::Starting)];
    });
    net.run(SECOND_US);
    net.assert_agreement();
}
