//! Guards against refusals by too few, old or rare observations, against a shortage whose end is not
//! seen, against high priorities that are refused while lower ones are admitted, and against state that
//! grows with what callers send.

use limits::{DownstreamCapacity, DownstreamOutcome};
use model::{AttemptId, CallId, Priority, ProfileName, ServiceName};

const MS: u64 = 1_000;
/// Time at which the calls of the profiles are known.
const T0_US: u64 = 60_000 * MS;

fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        call: CallId {
            origin: 1,
            sequence,
        },
        attempt: 0,
    }
}

fn profile(name: &str) -> ProfileName {
    ProfileName::parse(name).unwrap()
}

fn service(name: &str) -> ServiceName {
    ServiceName::parse(name).unwrap()
}

/// Adds calls of a profile that each call these services.
fn learn(state: &mut DownstreamCapacity, at_us: u64, name: &str, calls: u64, services: &[&str]) {
    for number in 0..calls {
        state.start(attempt(number));
        for name in services {
            state.record_call(attempt(number), &service(name));
        }
        state.end(at_us, attempt(number), &profile(name), true);
    }
}

fn overloaded(retry_after_ms: u64) -> DownstreamOutcome {
    DownstreamOutcome::Overloaded {
        retry_after_us: retry_after_ms * MS,
    }
}

fn is_admitted(state: &mut DownstreamCapacity, at_us: u64, priority: Priority) -> bool {
    state.admit(at_us, &profile("p"), priority).is_ok()
}

/// The profile `p` calls `b`, and a call of this priority was refused there.
fn short(priority: Priority, retry_after_ms: u64) -> DownstreamCapacity {
    let mut state = DownstreamCapacity::default();
    learn(&mut state, T0_US, "p", 20, &["b"]);
    let outcome = overloaded(retry_after_ms);
    state.record_outcome(T0_US, T0_US - MS, &service("b"), priority, outcome);
    state
}

#[test]
fn enough_calls() {
    for (calls, without, is_refused) in [
        (19, 0, false),
        (20, 0, true),
        (20, 20, true),
        (20, 21, false),
    ] {
        let mut state = DownstreamCapacity::default();
        learn(&mut state, T0_US, "p", calls, &["b", "b", "c"]);
        learn(&mut state, T0_US, "p", without, &[]);
        let outcome = overloaded(1_000);
        state.record_outcome(T0_US, T0_US, &service("b"), Priority::Normal, outcome);
        let refused = !is_admitted(&mut state, T0_US + MS, Priority::Normal);
        assert_eq!(refused, is_refused, "{calls} with and {without} without");
        assert!(
            state
                .admit(T0_US + MS, &profile("q"), Priority::Low)
                .is_ok()
        );
    }
}

#[test]
fn fading_observations() {
    let mut state = DownstreamCapacity::default();
    learn(&mut state, T0_US, "p", 80, &["b"]);
    let later_us = T0_US + 20_000 * MS;
    learn(&mut state, later_us, "p", 21, &[]);
    let outcome = overloaded(1_000);
    state.record_outcome(later_us, later_us, &service("b"), Priority::Normal, outcome);
    assert!(
        is_admitted(&mut state, later_us, Priority::Normal),
        "20 s weigh as a quarter"
    );
}

#[test]
fn unanswered_calls() {
    let mut state = DownstreamCapacity::default();
    learn(&mut state, T0_US, "p", 20, &["b"]);
    for number in 0..100 {
        state.start(attempt(number));
        state.end(T0_US, attempt(number), &profile("p"), false);
        state.end(T0_US, attempt(number + 1_000), &profile("p"), true);
    }
    let outcome = overloaded(1_000);
    state.record_outcome(T0_US, T0_US, &service("b"), Priority::Normal, outcome);
    assert!(!is_admitted(&mut state, T0_US, Priority::Normal));
}

#[test]
fn end_of_shortage() {
    for (retry_after_ms, ends_ms) in [(0, 50), (300, 300), (60_000, 1_000)] {
        let state = short(Priority::Normal, retry_after_ms);
        let refusal_at = |ms| state.preview(T0_US + ms * MS, &profile("p"), Priority::Normal);
        let before = refusal_at(ends_ms.min(100) - 1).expect("the shortage lasts");
        assert_eq!(before.retry_after_us, (ends_ms - ends_ms.min(100) + 1) * MS);
        assert_eq!(refusal_at(ends_ms), None);
    }
    let answered = DownstreamOutcome::Answered;
    for (sent_us, is_over) in [(T0_US - 1, false), (T0_US + 1, true)] {
        let mut state = short(Priority::Normal, 1_000);
        let (b, priority) = (service("b"), Priority::Normal);
        state.record_outcome(T0_US + 9 * MS, sent_us, &b, priority, answered);
        assert_eq!(is_admitted(&mut state, T0_US + 10 * MS, priority), is_over);
    }
}

#[test]
fn probe_interval() {
    let mut state = short(Priority::Normal, 1_000);
    let admitted: Vec<u64> = (0..1_000)
        .filter(|ms| is_admitted(&mut state, T0_US + ms * MS, Priority::Normal))
        .collect();
    assert_eq!(admitted, [100, 200, 300, 400, 500, 600, 700, 800, 900]);
}

#[test]
fn preview_without_effect() {
    let mut state = short(Priority::Normal, 1_000);
    let preview = |state: &DownstreamCapacity, ms| {
        let refusal = state.preview(T0_US + ms * MS, &profile("p"), Priority::Normal);
        refusal.map(|refusal| refusal.next_probe_in_us / MS)
    };
    assert_eq!(preview(&state, 90), Some(10));
    assert_eq!(preview(&state, 100), None, "a probe is due");
    assert_eq!(preview(&state, 100), None, "it is still due");
    assert!(is_admitted(&mut state, T0_US + 100 * MS, Priority::Normal));
    assert_eq!(preview(&state, 101), Some(99));
}

#[test]
fn highest_rank() {
    let (low, high) = (Priority::Low, Priority::High);
    let mut state = short(low, 1_000);
    assert!(!is_admitted(&mut state, T0_US + MS, low));
    assert!(
        is_admitted(&mut state, T0_US + MS, high),
        "only low was refused"
    );

    let mut state = short(high, 1_000);
    assert!(!is_admitted(&mut state, T0_US + 90 * MS, high));
    assert!(
        !is_admitted(&mut state, T0_US + 100 * MS, low),
        "high was refused"
    );
    assert!(is_admitted(&mut state, T0_US + 101 * MS, high));

    let mut state = short(high, 1_000);
    assert!(is_admitted(&mut state, T0_US + 100 * MS, low));
    assert!(
        is_admitted(&mut state, T0_US + 101 * MS, high),
        "low was admitted"
    );
    assert!(
        !is_admitted(&mut state, T0_US + 102 * MS, high),
        "once for each probe"
    );
    let b = service("b");
    let (answered, sent_us) = (DownstreamOutcome::Answered, T0_US + 101 * MS);
    state.record_outcome(T0_US + 150 * MS, sent_us, &b, high, answered);
    assert!(is_admitted(&mut state, T0_US + 151 * MS, high));
    assert!(!is_admitted(&mut state, T0_US + 152 * MS, low));

    let mut state = short(low, 50);
    let outcome = DownstreamOutcome::NoUpstream {
        retry_after_us: 500 * MS,
    };
    state.record_outcome(T0_US, T0_US, &b, low, outcome);
    assert!(
        !is_admitted(&mut state, T0_US + MS, high),
        "no upstream at all"
    );
}

#[test]
fn bounded_state() {
    let mut state = short(Priority::Normal, 1_000);
    let names: Vec<String> = (0..64).map(|n| format!("profile-{n}")).collect();
    for name in &names[..63] {
        learn(&mut state, T0_US + 1, name, 1, &[]);
    }
    assert!(!is_admitted(&mut state, T0_US + 2, Priority::Normal));
    learn(&mut state, T0_US + 1, &names[63], 1, &[]);
    assert!(
        is_admitted(&mut state, T0_US + 2, Priority::Normal),
        "65th profile"
    );

    let mut state = DownstreamCapacity::default();
    let names: Vec<String> = (0..9).map(|n| format!("service-{n}")).collect();
    let called: Vec<&str> = names.iter().map(String::as_str).collect();
    learn(&mut state, T0_US, "p", 20, &called);
    let record = |state: &mut DownstreamCapacity, name: &str| {
        let outcome = overloaded(1_000);
        state.record_outcome(T0_US, T0_US, &service(name), Priority::Normal, outcome);
    };
    record(&mut state, called[8]);
    assert!(
        is_admitted(&mut state, T0_US, Priority::Normal),
        "9th service"
    );
    record(&mut state, called[7]);
    assert!(!is_admitted(&mut state, T0_US, Priority::Normal));
}

/// A service whose calls call the service itself: a probe must not be refused by the rule that it
/// tests, which would show the shortage again.
#[test]
fn service_calls_itself() {
    for retry_after_ms in [120, 300, 1_000] {
        let mut state = short(Priority::Normal, retry_after_ms);
        let mut last_refused_ms = 0;
        for ms in 0..10_000 {
            let at_us = T0_US + ms * MS;
            if !is_admitted(&mut state, at_us, Priority::Normal) {
                last_refused_ms = ms;
                continue;
            }
            let nested = state.admit(at_us + MS / 2, &profile("p"), Priority::Normal);
            let outcome = match nested {
                Ok(()) => DownstreamOutcome::Answered,
                Err(refusal) => DownstreamOutcome::RefusedUntil {
                    until_us: at_us + MS / 2 + refusal.retry_after_us,
                },
            };
            let (b, priority) = (service("b"), Priority::Normal);
            state.record_outcome(at_us + MS / 2, at_us, &b, priority, outcome);
        }
        assert!(
            last_refused_ms < retry_after_ms,
            "{retry_after_ms} ms: {last_refused_ms} ms"
        );
    }
}

/// The rest of a shortage further down passes up a chain of services, as long as it is.
#[test]
fn shortage_passes_up() {
    for rest_ms in [20, 90, 5_000] {
        let mut state = short(Priority::Low, 0);
        let outcome = DownstreamOutcome::RefusedUntil {
            until_us: T0_US + rest_ms * MS,
        };
        let (b, priority) = (service("b"), Priority::Normal);
        state.record_outcome(T0_US, T0_US, &b, priority, outcome);
        let refusal_at = |ms| state.preview(T0_US + ms * MS, &profile("p"), priority);
        let last_ms = rest_ms.min(100) - 1;
        assert!(refusal_at(last_ms).is_some(), "{rest_ms} ms");
        assert_eq!(refusal_at(rest_ms.min(1_000)), None, "{rest_ms} ms");
    }
}

/// Calls that have lost their weight must not decide together with the first one after a silence.
#[test]
fn one_call_after_silence() {
    let mut state = DownstreamCapacity::default();
    learn(&mut state, T0_US, "p", 1_000, &[]);
    let later_us = T0_US + 300_000 * MS;
    learn(&mut state, later_us, "p", 1, &["b"]);
    let outcome = overloaded(1_000);
    state.record_outcome(later_us, later_us, &service("b"), Priority::Normal, outcome);
    assert!(is_admitted(&mut state, later_us, Priority::Normal));
}
