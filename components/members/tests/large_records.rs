//! Guards the datagram limit: long records must be split and joined, and too long ones rejected.

mod support;

use members::{MemberError, Members};
use model::{ProfileName, ProfileRule, UpstreamState};
use std::sync::Arc;
use support::{SECOND_US, Simulation, info, upstream};

fn rules(count: usize, path_bytes: usize) -> Arc<[ProfileRule]> {
    (0..count)
        .map(|index| ProfileRule {
            method: Some(Arc::from("POST")),
            path_prefix: Arc::from(format!("/{index:0>path_bytes$}")),
            profile: ProfileName::parse("record").unwrap(),
        })
        .collect()
}

#[test]
fn long_record_is_split_and_joined() {
    let mut sim = Simulation::new(14);
    for port in 1..=3 {
        sim.start(port, ("r", "a"), &[1], None);
    }
    sim.run(3 * SECOND_US);
    sim.change(2, |info| {
        info.upstreams = (0..20)
            .map(|index| upstream(&format!("order-{index}"), UpstreamState::Serving))
            .collect();
        info.upstreams[3].rules = rules(60, 40);
        info.upstreams[9].rules = rules(3, 400);
    });
    sim.loss_percent = 20;
    sim.run(20 * SECOND_US);
    sim.assert_agreement();
    // A new member fetches the parts by synchronisation.
    sim.start(4, ("r", "a"), &[1], None);
    sim.run(10 * SECOND_US);
    sim.loss_percent = 0;
    sim.run(10 * SECOND_US);
    sim.assert_agreement();
}

#[test]
fn oversized_record_is_rejected() {
    let mut large = info(1, 1, vec![upstream("order-1", UpstreamState::Serving)]);
    large.upstreams[0].rules = rules(1, 600);
    let error = Members::validate(&large).unwrap_err();
    assert!(matches!(error, MemberError::RuleTooLong { .. }), "{error}");
    large.upstreams[0].rules = rules(2_000, 40);
    let error = Members::validate(&large).unwrap_err();
    assert!(
        matches!(error, MemberError::RecordTooLong { .. }),
        "{error}"
    );
}

#[test]
fn longest_names_fit() {
    let mut sim = Simulation::new(15);
    sim.start(1, ("r", "a"), &[], None);
    sim.start(2, (&"r".repeat(63), &"z".repeat(63)), &[1], None);
    sim.run(SECOND_US);
    sim.change(2, |info| {
        let mut longest = upstream(&"u".repeat(63), UpstreamState::Serving);
        longest.rules = rules(4, 420);
        info.upstreams = vec![longest];
    });
    sim.run(5 * SECOND_US);
    sim.assert_agreement();
}
