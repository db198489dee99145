//! Guards against limits beyond any sensible amount, which may be in a stored configuration, that stop
//! the coordinator or leave nodes without a share.

use model::NodeId;
use quota::{CustomerLimit, QuotaAnswer, QuotaCoordinator, QuotaDemand, QuotaReport};
use std::{net::SocketAddr, sync::Arc};

const SECOND_US: u64 = 1_000_000;

/// Share and tokens granted for one waiting call by a coordinator that has settled.
fn grant(limit: CustomerLimit) -> (u32, u32) {
    let name: Arc<str> = Arc::from("choir");
    let list = quota::CustomerList::new([Arc::clone(&name)]);
    let mut coordinator = QuotaCoordinator::new(0, 1);
    coordinator.set_customers(0, [(name, limit)]);
    let node = NodeId {
        mesh: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1,
    };
    let report = QuotaReport {
        list: list.digest(),
        epoch: 0,
        sequence: 1,
        is_full: true,
        demands: vec![QuotaDemand {
            customer: 0,
            share: 0,
            demand: 800,
            waiting: 1,
            returned: 0,
        }],
    };
    match coordinator.handle(10 * SECOND_US, node, &report) {
        QuotaAnswer::Granted(grants) => (grants.grants[0].share, grants.grants[0].tokens),
        other => panic!("{other:?}"),
    }
}

#[test]
fn granted_share() {
    for (rate, burst) in [
        (5.0, 8.1e8),
        (5.0, 1e18),
        (1.7e9, 1.7e9),
        (3e9, 0.0),
        (1e18, 1e18),
        (f64::MAX, f64::MAX),
    ] {
        let (share, tokens) = grant(CustomerLimit {
            rate_per_s: Some(rate),
            burst,
        });
        assert!(share > 0, "rate {rate}, burst {burst}");
        assert_eq!(tokens, 1, "rate {rate}, burst {burst}");
    }
}
