//! Guards against more running calls than slots, and against an attempt that starts after it was
//! refused or cancelled, or twice, or after its deadline.

use limits::{
    Admission, AdmissionConfig, AdmissionOrder, AdmissionRequest, AdmissionResult, CancelResult,
    QueueDecision,
};
use model::{AttemptId, CallId, Priority, UpstreamState};
use proptest::{collection::vec, prelude::Strategy, prop_assert, prop_oneof, proptest};
use std::collections::{HashMap, HashSet};

/// One operation of a random session.
#[derive(Clone, Debug)]
enum Action {
    Admit {
        priority: u8,
        deadline_us: u64,
        max_queue_wait_us: u64,
        queue_limit: u32,
    },
    Finish(usize, u64),
    Cancel(u64),
    Expire,
    Drain(bool),
    Slots(u32),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        5 => (0u8..3, 0u64..40_000, 0u64..40_000, 0u32..8).prop_map(
            |(priority, deadline_us, max_queue_wait_us, queue_limit)| Action::Admit {
                priority, deadline_us, max_queue_wait_us, queue_limit,
            }
        ),
        4 => (0usize..8, 0u64..20_000).prop_map(|(index, us)| Action::Finish(index, us)),
        2 => (0u64..60).prop_map(Action::Cancel),
        2 => proptest::strategy::Just(Action::Expire),
        1 => proptest::bool::ANY.prop_map(Action::Drain),
        1 => (1u32..5).prop_map(Action::Slots),
    ]
}

fn id(sequence: u64) -> AttemptId {
    AttemptId {
        call: CallId {
            origin: 1,
            sequence,
        },
        attempt: 0,
    }
}

/// States of all attempts, as the user of `Admission` learns of them; panics on a forbidden change.
#[derive(Default)]
struct AttemptHistory {
    deadlines_us: HashMap<AttemptId, u64>,
    running: Vec<AttemptId>,
    ended: HashSet<AttemptId>,
}

impl AttemptHistory {
    fn start(&mut self, now_us: u64, attempt: AttemptId) {
        assert!(
            !self.ended.contains(&attempt),
            "{attempt} started after its end"
        );
        assert!(!self.running.contains(&attempt), "{attempt} started twice");
        assert!(
            now_us < self.deadlines_us[&attempt],
            "{attempt} started after its deadline"
        );
        self.running.push(attempt);
    }

    fn end(&mut self, attempt: AttemptId) {
        assert!(
            !self.running.contains(&attempt),
            "{attempt} was refused while it ran"
        );
        assert!(self.ended.insert(attempt), "{attempt} ended twice");
    }

    fn apply(&mut self, now_us: u64, decisions: Vec<QueueDecision>) {
        for decision in decisions {
            match decision {
                QueueDecision::Start(attempt) => self.start(now_us, attempt),
                QueueDecision::Refuse(attempt, kind) => {
                    assert!(kind.is_not_run(), "{kind} does not claim not-run");
                    self.end(attempt);
                }
            }
        }
    }
}

proptest! {
    #[test]
    fn random_sessions(
        actions in vec((0u64..5_000, action()), 1..200),
        by_cost in proptest::bool::ANY,
    ) {
        let order = if by_cost { AdmissionOrder::Cost } else { AdmissionOrder::Deadline };
        let mut admission =
            Admission::new(AdmissionConfig { slots: 2, urgent_slots: 0, queue_limit: 5 })
                .with_order(order);
        let mut history = AttemptHistory::default();
        let mut now_us = 0;
        for (sequence, (gap_us, action)) in (0u64..).zip(actions) {
            now_us += gap_us;
            let running_before = history.running.len();
            match action {
                Action::Admit { priority, deadline_us, max_queue_wait_us, queue_limit } => {
                    let request = AdmissionRequest {
                        attempt: id(sequence),
                        priority: [Priority::Low, Priority::Normal, Priority::High]
                            [usize::from(priority)],
                        deadline_us: now_us + deadline_us,
                        start_by_us: now_us + max_queue_wait_us,
                        expected_us: 0,
                        target_us: u64::MAX,
                        start_now: false,
                        queue_limit,
                        customer: None,
                        done_us: 0,
                    };
                    history.deadlines_us.insert(request.attempt, request.deadline_us);
                    match admission.admit(now_us, request) {
                        AdmissionResult::Start => history.start(now_us, request.attempt),
                        AdmissionResult::Queued => {}
                        AdmissionResult::QueuedInstead(shed) => history.end(shed),
                        AdmissionResult::Refused(kind) => {
                            prop_assert!(kind.is_not_run());
                            history.end(request.attempt);
                        }
                    }
                }
                Action::Finish(index, service_us) if !history.running.is_empty() => {
                    let attempt = history.running.remove(index % running_before);
                    history.ended.insert(attempt);
                    history.apply(now_us, admission.finish(now_us, attempt, service_us));
                }
                Action::Finish(..) => {}
                Action::Cancel(sequence) => {
                    let attempt = id(sequence);
                    match admission.cancel(attempt) {
                        CancelResult::NotStarted => history.end(attempt),
                        CancelResult::Running => prop_assert!(history.running.contains(&attempt)),
                        CancelResult::Unknown => prop_assert!(!history.running.contains(&attempt)),
                    }
                }
                Action::Expire => {
                    history.apply(now_us, admission.expire(now_us));
                    prop_assert!(admission.next_expiry_us().is_none_or(|us| us > now_us));
                }
                Action::Drain(on) => {
                    let state = if on { UpstreamState::Draining } else { UpstreamState::Serving };
                    history.apply(now_us, admission.set_state(state));
                    prop_assert!(!on || admission.queued() == 0);
                }
                Action::Slots(slots) => {
                    history.apply(now_us, admission.set_slots(now_us, slots, 0));
                }
            }
            let running = history.running.len();
            prop_assert!(running <= running_before || running <= admission.slots() as usize);
            prop_assert!(admission.in_flight() as usize == running);
            prop_assert!(admission.queued() <= 5);
        }
    }
}
