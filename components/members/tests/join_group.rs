//! Guards joining: a new member must learn of all others and be learnt of, through one contact.

mod support;

use support::{Net, SECOND_US};

#[test]
fn three_members() {
    let mut net = Net::new(1);
    net.start(1, ("r", "a"), &[], Some("catalogue-1"));
    net.start(2, ("r", "a"), &[1], Some("catalogue-2"));
    net.run(3 * SECOND_US);
    net.start(3, ("r", "b"), &[2], Some("catalogue-3"));
    net.run(3 * SECOND_US);
    net.assert_agreement();
    insta::assert_snapshot!(net.take_session());
}
