//! Guards against previews that take tokens, count as demand, make a call wait or end a lease, and
//! against previews that tell another decision than the next one.

use model::NodeId;
use quota::{Admission, CustomerLimit, NodeQuota, QuotaCoordinator, Verdict};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
};

const MS: u64 = 1_000;
const PREVIEWS: usize = 20;
const RATE: f64 = 40.0;
const NODE: NodeId = NodeId {
    mesh: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1),
    incarnation: 1,
};

/// Decisions about the calls of a customer over its rate, and the state after each. The coordinator
/// can't be reached for a while, in which the lease ends. `before` runs before each call.
fn session(mut before: impl FnMut(&NodeQuota, u64, &Arc<str>)) -> (Vec<Admission>, Vec<String>) {
    let customer: Arc<str> = Arc::from("customer");
    let limit = CustomerLimit {
        rate_per_s: Some(RATE),
        burst: 40.0,
    };
    let mut coordinator = QuotaCoordinator::new(0, 1);
    coordinator.set_customers(0, [(Arc::clone(&customer), limit)]);
    let mut node = NodeQuota::new(0);
    node.set_customers(0, [Arc::clone(&customer)]);
    let (mut decisions, mut states) = (Vec::new(), Vec::new());
    for step in 0..6_000 {
        let now_us = step * 2 * MS;
        states.push(format!("{:?}", node.expire(now_us)));
        if let Some(report) = node.poll(now_us) {
            let decided = match (2_000..3_500).contains(&step) {
                true => node.on_failure(now_us, report.sequence),
                false => {
                    let answer = coordinator.handle(now_us, NODE, &report);
                    node.on_answer(now_us, report.sequence, &answer)
                }
            };
            states.push(format!("{decided:?}"));
        }
        if step % 7 < 3 {
            before(&node, now_us, &customer);
            decisions.push(node.admit(now_us, &customer, RATE, step));
        }
        if step % 50 == 0 {
            node.give_back(now_us, &customer);
        }
        states.push(format!("{node:?}"));
    }
    (decisions, states)
}

#[test]
fn tell_and_leave_next_decision() {
    let mut told = Vec::new();
    let with = session(|node, now_us, customer| {
        for _ in 0..PREVIEWS {
            let _ = node.preview(now_us, customer, RATE);
        }
        told.push(node.preview(now_us, customer, RATE).admission);
    });
    assert!(session(|_, _, _| ()) == with);
    assert_eq!(told, with.0);
    let has = |is_kind: fn(&Admission) -> bool| told.iter().any(is_kind);
    assert!(has(|d| *d == Admission::Waiting));
    assert!(has(|d| *d == Admission::Decided(Verdict::Admitted)));
    assert!(has(|d| matches!(
        d,
        Admission::Decided(Verdict::OverLimit { .. })
    )));
    assert!(has(|d| matches!(
        d,
        Admission::Decided(Verdict::Unavailable { .. })
    )));
}
