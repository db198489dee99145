//! Guards reports and revisions: each must reach all members, once, and stop when it expires.

mod support;

use members::{MemberAction, MemberError};
use model::Revision;
use support::{Net, SECOND_US};

fn group(size: u16) -> Net {
    let mut net = Net::new(12);
    for port in 1..=size {
        let place = if port % 2 == 0 {
            ("east", "a")
        } else {
            ("west", "b")
        };
        net.start(port, place, &[1, 2], None);
    }
    net.run(10 * SECOND_US);
    net.take_session();
    net
}

#[test]
fn delivered_once() {
    let mut net = group(12);
    net.duplicate_percent = 50;
    net.share(3, b"suspect", 2_000);
    net.run(3 * SECOND_US);
    let session = net.take_session();
    for port in (1..=12).filter(|port| *port != 3) {
        let line = format!(" {port}: shared suspect");
        assert_eq!(session.matches(&line).count(), 1, "{session}");
    }
    let before = net.bytes;
    net.run(5 * SECOND_US);
    let quiet = net.bytes - before;
    assert!(
        quiet < 12 * 5 * 1_000,
        "the report is still spread: {quiet} bytes"
    );
}

#[test]
fn refused_reports() {
    let mut net = group(2);
    let now_us = net.now_us;
    let node = net.nodes.get_mut(&1).unwrap();
    let error = node.share_report(now_us, vec![0; 65], 1_000).unwrap_err();
    assert_eq!(error, MemberError::ReportTooLong { bytes: 65 });
    let results: Vec<bool> = (0..65)
        .map(|_| node.share_report(now_us, vec![0; 64], 60_000).is_ok())
        .collect();
    assert!(results[..60].iter().all(|is_ok| *is_ok));
    assert_eq!(results.last(), Some(&false));
}

#[test]
fn newer_revision() {
    let mut net = group(12);
    let revision = Revision { term: 1, number: 9 };
    let now_us = net.now_us;
    net.nodes
        .get_mut(&4)
        .unwrap()
        .set_revision(now_us, revision);
    net.run(4 * SECOND_US);
    let session = net.take_session();
    // Only node 4 holds it, so that all nodes that it contacts must be told where to fetch it.
    assert!(session.contains("newer revision 1.9 at 4"), "{session}");
    let known = net.nodes[&4].local_info().revision;
    net.nodes
        .get_mut(&4)
        .unwrap()
        .set_revision(now_us, Revision::default());
    assert_eq!(net.nodes[&4].local_info().revision, known);
}

#[test]
fn spread_revision() {
    let mut net = group(12);
    net.adopts_revisions = true;
    let revision = Revision { term: 2, number: 1 };
    let now_us = net.now_us;
    net.nodes
        .get_mut(&4)
        .unwrap()
        .set_revision(now_us, revision);
    net.run(3 * SECOND_US);
    for node in net.nodes.values() {
        assert_eq!(
            node.local_info().revision,
            revision,
            "{}",
            node.local_info().node
        );
    }
    let is_news = |action: &MemberAction| matches!(action, MemberAction::NewerRevision { .. });
    let actions = net.nodes.get_mut(&5).unwrap().tick(now_us + 4 * SECOND_US);
    assert!(!actions.iter().any(is_news));
}
