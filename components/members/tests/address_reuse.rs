//! Guards identity: a restart at the same address and a moved name must replace the older one.

mod support;

use model::UpstreamState;
use support::{Net, SECOND_US, upstream};

fn group() -> Net {
    let mut net = Net::new(8);
    for port in 1..=4 {
        net.start(port, ("r", "a"), &[1], Some(&format!("catalogue-{port}")));
    }
    net.run(5 * SECOND_US);
    net.take_session();
    net
}

#[test]
fn crash_restart() {
    let mut net = group();
    net.kill(2);
    net.start(2, ("r", "a"), &[1], Some("catalogue-2"));
    net.run(10 * SECOND_US);
    net.assert_agreement();
    insta::assert_snapshot!(net.take_session());
}

#[test]
fn restart_after_leave() {
    let mut net = group();
    net.leave(2);
    net.run(SECOND_US);
    net.kill(2);
    net.start(2, ("r", "a"), &[1], Some("catalogue-2"));
    net.run(10 * SECOND_US);
    net.assert_agreement();
}

#[test]
fn moved_name() {
    let mut net = group();
    net.start(5, ("r", "a"), &[1], Some("catalogue-2"));
    net.run(5 * SECOND_US);
    let owners = |net: &Net| {
        let snapshot = net.nodes[&1].snapshot();
        let owns = |info: &&std::sync::Arc<members::NodeInfo>| {
            let mut names = info.upstreams.iter().map(|upstream| upstream.name.as_str());
            names.any(|name| name == "catalogue-2")
        };
        let owners = snapshot.iter().filter(owns);
        owners.map(|info| info.node.mesh.port()).collect::<Vec<_>>()
    };
    assert_eq!(owners(&net), [5]);
    // The older announcer counts again once the newer one withdraws the name.
    net.change(5, |info| info.upstreams.clear());
    net.run(2 * SECOND_US);
    assert_eq!(owners(&net), [2]);
}

#[test]
fn clock_moved_back() {
    let mut net = group();
    net.kill(2);
    let now_us = net.now_us;
    net.now_us = 1;
    net.start(2, ("r", "a"), &[1], Some("catalogue-2"));
    net.now_us = now_us;
    net.run(3 * SECOND_US);
    let session = net.take_session();
    assert!(session.contains("2: superseded by"), "{session}");
}

#[test]
fn renamed_upstream() {
    let mut net = group();
    net.change(2, |info| {
        info.upstreams = vec![upstream("catalogue-7", UpstreamState::Serving)];
    });
    net.run(2 * SECOND_US);
    net.assert_agreement();
}
