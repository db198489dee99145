//! Guards returning from draining: an upstream that serves again must be serving at all members. If
//! it returns with its old version, its notice has no change and leaves the earlier one in place.

mod support;

use model::UpstreamState;
use support::{SECOND_US, Simulation};

/// Asserts that each of the four members sees the upstream of member 2 in `state` and the others
/// serving.
fn assert_state(sim: &Simulation, state: UpstreamState) {
    let seen: Vec<(u16, Vec<UpstreamState>)> = sim
        .nodes
        .iter()
        .map(|(port, node)| {
            let members = node.snapshot();
            let upstreams = members.iter().flat_map(|info| &info.upstreams);
            (*port, upstreams.map(|upstream| upstream.state).collect())
        })
        .collect();
    let serving = UpstreamState::Serving;
    let expected = [1, 2, 3, 4].map(|port| (port, vec![serving, state, serving, serving]));
    assert_eq!(
        seen, expected,
        "upstreams of members 1 to 4 as seen by each"
    );
}

#[test]
fn drain_then_serve() {
    let mut sim = Simulation::new(7);
    for port in 1..=4 {
        sim.start(port, ("r", "a"), &[1], Some(&format!("catalogue-{port}")));
    }
    sim.run(5 * SECOND_US);
    assert_state(&sim, UpstreamState::Serving);
    sim.drain(2);
    sim.run(SECOND_US);
    assert_state(&sim, UpstreamState::Draining);
    sim.change(2, |info| {
        info.upstreams[0].state = UpstreamState::Serving;
    });
    sim.run(20 * SECOND_US);
    assert_state(&sim, UpstreamState::Serving);
    sim.assert_agreement();
}
