//! Guards against tokens that are given back long after their release and let a customer have more
//! calls in a later window than the limit and the tolerance allow.

use model::NodeId;
use quota::{
    CustomerLimit, CustomerList, QuotaAnswer, QuotaCoordinator, QuotaDemand, QuotaReport,
    QuotaTolerance,
};
use std::{net::SocketAddr, sync::Arc};

const SECOND_US: u64 = 1_000_000;
const STEP_US: u64 = 100_000;
const RATE: f64 = 20.0;

struct Node {
    coordinator: QuotaCoordinator,
    list: CustomerList,
    sequence: u64,
}

impl Node {
    fn start() -> Self {
        let name: Arc<str> = Arc::from("choir");
        let limit = CustomerLimit {
            rate_per_s: Some(RATE),
            burst: RATE,
        };
        let tolerance = QuotaTolerance {
            window_s: 5.0,
            overage_percent: 10.0,
            slack: 20.0,
        };
        let mut coordinator = QuotaCoordinator::new(0, 1).with_tolerance(tolerance);
        coordinator.set_customers(0, [(Arc::clone(&name), limit)]);
        Node {
            coordinator,
            list: CustomerList::new([name]),
            sequence: 0,
        }
    }

    /// Tokens for many waiting calls, after `returned` tokens were given back.
    fn ask(&mut self, now_us: u64, returned: u32) -> u32 {
        self.sequence += 1;
        let id = NodeId {
            mesh: SocketAddr::from(([127, 0, 0, 1], 1)),
            incarnation: 1,
        };
        let report = QuotaReport {
            list: self.list.digest(),
            epoch: 1,
            sequence: self.sequence,
            is_full: true,
            demands: vec![QuotaDemand {
                customer: 0,
                share: 0,
                demand: 0,
                waiting: 10_000,
                returned: returned * 8,
            }],
        };
        match self.coordinator.handle(now_us, id, &report) {
            QuotaAnswer::Granted(grants) => grants.grants[0].tokens,
            other => panic!("not granted: {other:?}"),
        }
    }
}

#[test]
fn bound_of_later_window() {
    let mut node = Node::start();
    let released: u32 = (100..150).map(|step| node.ask(step * STEP_US, 0)).sum();
    assert!(released >= 100, "{released} tokens");
    // The bucket is full again, so that it takes none of the tokens that come back.
    let later_us = 30 * SECOND_US;
    let in_window: u32 = (0..50)
        .map(|step| {
            let returned = if step == 0 { released } else { 0 };
            node.ask(later_us + step * STEP_US, returned)
        })
        .sum();
    let most = (RATE * 5.0 + RATE) * 1.1 + 20.0;
    assert!(
        f64::from(in_window) <= most,
        "{in_window} tokens in 5 s, at most {most} are allowed"
    );
}
