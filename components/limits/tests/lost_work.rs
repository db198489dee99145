//! Replays an upstream that never answers a request which it can't queue, with calls that are cut
//! off at their caller's end but run on. Guards against a request that is sent to the full upstream,
//! also right after a restart of the owner, and against slots that stay in use for ever.

use errors::ErrorKind;
use limits::{Admission, AdmissionConfig, AdmissionRequest, AdmissionResult, QueueDecision};
use model::{AttemptId, CallId, Priority};
use proptest::{collection::vec, prop_assert, proptest};

const MS: u64 = 1_000;
const SLOTS: u32 = 3;
/// The owner counts a cut call for this much longer than its deadline.
const GRACE_US: u64 = 10 * MS;

fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        call: CallId {
            origin: 0,
            sequence,
        },
        attempt: 0,
    }
}

fn request(sequence: u64, deadline_us: u64) -> AdmissionRequest {
    AdmissionRequest {
        attempt: attempt(sequence),
        priority: Priority::Normal,
        deadline_us,
        start_by_us: deadline_us,
        expected_us: 10 * MS,
        target_us: u64::MAX,
        start_now: false,
        queue_limit: 64,
        customer: None,
        done_us: 0,
    }
}

fn admission() -> Admission {
    Admission::new(AdmissionConfig {
        slots: SLOTS,
        urgent_slots: 0,
        queue_limit: 64,
    })
}

#[test]
fn cut_calls_keep_their_slots() {
    let mut admission = admission();
    for sequence in 0..3 {
        let result = admission.admit(0, request(sequence, 500 * MS));
        assert_eq!(result, AdmissionResult::Start);
    }
    for sequence in 0..3 {
        assert_eq!(
            admission.lose(MS, attempt(sequence), 500 * MS, None),
            [],
            "nothing starts in the slot of a call that runs on"
        );
    }
    assert_eq!(admission.in_flight(), 3);
    assert!(
        !admission.has_room_for_health_check(),
        "the upstream is full"
    );
    let waiting = admission.admit(2 * MS, request(3, 2_000 * MS));
    assert_eq!(waiting, AdmissionResult::Queued);
    assert_eq!(admission.next_expiry_us(), Some(500 * MS + GRACE_US));
    assert_eq!(admission.expire(500 * MS + GRACE_US - 1), []);
    assert_eq!(
        admission.expire(500 * MS + GRACE_US),
        [QueueDecision::Start(attempt(3))]
    );
    assert_eq!(admission.lost_work(), 0);
}

#[test]
fn cleared_by_new_start() {
    let mut admission = admission();
    for sequence in 0..3 {
        admission.admit(0, request(sequence, 500 * MS));
        admission.lose(MS, attempt(sequence), 500 * MS, None);
    }
    admission.admit(2 * MS, request(3, 2_000 * MS));
    assert_eq!(
        admission.clear_lost_work(3 * MS),
        [QueueDecision::Start(attempt(3))]
    );
}

#[test]
fn earlier_owners_calls() {
    let mut admission = admission();
    admission.inherit_work(SLOTS, 2_000 * MS);
    let immediate = AdmissionRequest {
        start_now: true,
        ..request(1, 800 * MS)
    };
    assert_eq!(
        admission.admit(MS, immediate),
        AdmissionResult::Refused(ErrorKind::Overloaded)
    );
    let early = admission.admit(MS, request(2, 800 * MS));
    assert_eq!(early, AdmissionResult::Queued);
    assert_eq!(admission.expire(2 * MS), [], "all slots may be in use");
    assert_eq!(
        admission.limit_inherited_work(3 * MS, MS, 2),
        [QueueDecision::Start(attempt(2))],
        "two of three slots are in use"
    );
    let late = admission.admit(3 * MS, request(3, 800 * MS));
    assert_eq!(late, AdmissionResult::Queued);
    // The call that this owner started is part of the report only if the report was requested
    // after its start.
    admission.limit_inherited_work(4 * MS, 2 * MS, 2);
    assert_eq!(admission.lost_work(), 2);
    admission.limit_inherited_work(5 * MS, 4 * MS, 2);
    assert_eq!(admission.lost_work(), 1);
    admission.limit_inherited_work(6 * MS, 4 * MS, 90);
    assert_eq!(admission.lost_work(), 1, "a report never raises it");
    admission.expire(2_000 * MS);
    assert_eq!(admission.lost_work(), 0, "calls end at their deadline");
}

/// An upstream with a fixed number of slots and no queue: calls run to their end whether or not
/// somebody waits for them.
#[derive(Default)]
struct Upstream {
    ends_us: Vec<u64>,
}

impl Upstream {
    fn start(&mut self, now_us: u64, end_us: u64) {
        self.ends_us.retain(|other_us| *other_us > now_us);
        self.ends_us.push(end_us);
        assert!(
            self.ends_us.len() <= SLOTS as usize,
            "a request was sent to the full upstream, which never answers it"
        );
    }
}

proptest! {
    #[test]
    fn never_sends_to_full_upstream(
        steps in vec((0u64..30, 1u64..200, 0u8..4, 0u8..8), 1..200)
    ) {
        let mut admission = admission();
        let mut upstream = Upstream::default();
        let mut open: Vec<(AttemptId, u64)> = Vec::new();
        let mut deadlines_us = std::collections::HashMap::new();
        let mut now_us = 0;
        for (sequence, (gap_ms, deadline_ms, action, index)) in (0u64..).zip(steps) {
            now_us += gap_ms * MS;
            let deadline_us = now_us + deadline_ms * MS;
            let mut started = Vec::new();
            let mut decisions = admission.expire(now_us);
            match action {
                0 | 1 => {
                    deadlines_us.insert(attempt(sequence), deadline_us);
                    if admission.admit(now_us, request(sequence, deadline_us))
                        == AdmissionResult::Start
                    {
                        started.push(attempt(sequence));
                    }
                }
                // An answered call has ended at the upstream; a cut one runs until its deadline.
                _ if open.is_empty() => {}
                2 => {
                    let (id, end_us) = open.remove(usize::from(index) % open.len());
                    let at = upstream.ends_us.iter().position(|us| *us == end_us);
                    at.map(|at| upstream.ends_us.remove(at));
                    decisions.extend(admission.finish(now_us, id, 10 * MS));
                }
                _ => {
                    let (id, end_us) = open.remove(usize::from(index) % open.len());
                    decisions.extend(admission.lose(now_us, id, end_us, None));
                }
            }
            started.extend(decisions.into_iter().filter_map(|decision| match decision {
                QueueDecision::Start(id) => Some(id),
                QueueDecision::Refuse(..) => None,
            }));
            for id in started {
                upstream.start(now_us, deadlines_us[&id]);
                open.push((id, deadlines_us[&id]));
            }
            prop_assert!(admission.in_flight() <= SLOTS);
        }
    }
}
