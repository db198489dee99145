//! Guards against a customer over its limit that hides the refusals of others for want of a share.

use super::{QuotaGate, QuotaRefusal};
use crate::test_node::start_node;
use errors::ErrorKind;

#[test]
fn sampled_by_kind() {
    let node = start_node(1 << 20);
    let gate = QuotaGate::for_kernel(node.kernel());
    let line = |customer: &str, kind| {
        let retry_after_ms = 100;
        let refusal = QuotaRefusal {
            kind,
            retry_after_ms,
        };
        gate.refusal_line(customer, refusal)
    };
    assert!(line("alpha", ErrorKind::QuotaExceeded).is_some());
    let other = line("beta", ErrorKind::QuotaUnconfirmed);
    assert!(other.is_some_and(|line| line.contains("customer beta refused, ")));
}
