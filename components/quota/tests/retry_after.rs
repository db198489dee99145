//! Guards against refusals that name another time than that of the customer's next token: its callers
//! would use up their attempts, or wait although there are tokens.

use quota::{Admission, NodeQuota, QuotaAnswer, QuotaGrant, QuotaGrants, Verdict};
use std::sync::Arc;

const SECOND_US: u64 = 1_000_000;

/// A node with one customer and a coordinator that answers at once.
struct Node {
    quota: NodeQuota,
    name: Arc<str>,
    rate: f64,
    next_ticket: u64,
}

impl Node {
    fn start(rate: f64) -> Self {
        let name: Arc<str> = Arc::from("choir");
        let mut quota = NodeQuota::new(0);
        quota.set_customers(0, [Arc::clone(&name)]);
        Node {
            quota,
            name,
            rate,
            next_ticket: 0,
        }
    }

    /// Verdict about a call, if the coordinator grants this share and these tokens when it is asked.
    fn call(&mut self, now_us: u64, share: u32, tokens: u32) -> Verdict {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        match self.quota.admit(now_us, &self.name, self.rate, ticket) {
            Admission::Decided(verdict) => return verdict,
            Admission::Waiting => (),
        }
        let report = self.quota.poll(now_us).expect("a report");
        let answer = QuotaAnswer::Granted(QuotaGrants {
            epoch: 1,
            is_settling: false,
            grants: vec![QuotaGrant {
                customer: 0,
                share,
                tokens,
                pause_ms: if tokens == 0 { 250 } else { 0 },
            }],
        });
        self.quota.on_answer(now_us, report.sequence, &answer)[0].1
    }
}

fn after_ms(retry_after_ms: u64) -> Verdict {
    Verdict::OverLimit { retry_after_ms }
}

#[test]
fn refill_of_a_small_rate() {
    let mut node = Node::start(0.2);
    assert_eq!(node.call(SECOND_US, 0, 0), after_ms(5_000));
    assert_eq!(node.call(SECOND_US + 10_000, 0, 0), after_ms(5_000));
}

#[test]
fn refill_since_the_last_token() {
    let mut node = Node::start(0.5);
    assert_eq!(node.call(SECOND_US, 0, 1), Verdict::Admitted);
    assert_eq!(node.call(SECOND_US * 3 / 2, 0, 0), after_ms(1_500));
}

#[test]
fn longest_time() {
    let mut node = Node::start(0.001);
    assert_eq!(node.call(SECOND_US, 0, 0), after_ms(60_000));
}

/// The share of this node is 1 call/s of 100.
#[test]
fn refill_beyond_a_share() {
    let mut node = Node::start(100.0);
    assert_eq!(node.call(SECOND_US, 8, 0), after_ms(250));
    let last = (0..20).map(|_| node.call(SECOND_US, 8, 0)).last();
    assert_eq!(last, Some(after_ms(450)));
}

/// While the node does not ask the coordinator, its share may still have tokens.
#[test]
fn refill_of_a_large_share() {
    let mut node = Node::start(100.0);
    assert_eq!(node.call(SECOND_US, 8 * 20, 0), after_ms(50));
}

/// Callers that give up instead of repeating their calls must not make others wait for long.
#[test]
fn many_refusals() {
    let mut node = Node::start(5.0);
    let last = (0..1_000).map(|_| node.call(SECOND_US, 0, 0)).last();
    assert_eq!(last, Some(after_ms(5_000)));
}
