//! Replays an upstream that hangs part of its calls while its load figures are good, and one that is
//! slow or busy. Guards against calls that wait for their deadline in the first case, and against
//! calls that are given up, and so run twice, in the second.

use limits::{AnswerTimes, SilenceVerdict, UnansweredCall, UpstreamSigns};
use model::ProfileName;

const MS: u64 = 1_000;

fn profile() -> ProfileName {
    ProfileName::parse("browse").unwrap()
}

/// Answer times spread from 0.5 to 1.5 of the mean.
fn spread_us(n: u64, mean_us: u64) -> u64 {
    mean_us / 2 + (n * 7_919 % 1_000) * mean_us / 1_000
}

fn measured(mean_us: u64) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    (0..500).for_each(|n| times.record(&profile(), spread_us(n, mean_us)));
    times
}

fn call(silence_us: u64) -> UnansweredCall {
    UnansweredCall {
        started_us: 1_000 * MS,
        deadline_us: 4_000 * MS,
        silence_us,
        answers_before: 10,
    }
}

#[test]
fn limit_from_answer_times() {
    let times = measured(40 * MS);
    let limit_us = times.silence_us(&profile(), 40 * MS).unwrap();
    assert!(limit_us >= 2 * 59 * MS, "twice the 99th percentile");
    assert!(limit_us >= 4 * 40 * MS, "four times the mean");
    assert!(limit_us <= 8 * 40 * MS, "well before a deadline of seconds");
    let short = measured(2 * MS).silence_us(&profile(), 2 * MS);
    assert_eq!(short, Some(50 * MS), "short calls have a minimum");
    let mut few = AnswerTimes::default();
    (0..99).for_each(|_| few.record(&profile(), 40 * MS));
    assert_eq!(few.silence_us(&profile(), 40 * MS), None);
}

/// A load that gets slower must raise the limit; calls would be given up for good otherwise.
#[test]
fn follows_slower_calls() {
    let mut times = measured(40 * MS);
    (0..2_000).for_each(|n| times.record(&profile(), spread_us(n, 100 * MS)));
    let limit_us = times.silence_us(&profile(), 100 * MS).unwrap();
    assert!(limit_us >= 2 * 149 * MS);
}

#[test]
fn given_up_beside_good_figures() {
    let call = call(200 * MS);
    let reported = |at_ms: u64| UpstreamSigns {
        reported_us: Some(at_ms * MS),
        ..UpstreamSigns::default()
    };
    assert_eq!(
        call.assess(1_199 * MS, &reported(1_199)),
        SilenceVerdict::Wait
    );
    let SilenceVerdict::GiveUp(limit) = call.assess(1_210 * MS, &reported(1_205)) else {
        panic!("the call is not given up");
    };
    assert_eq!(limit.silent_us, 210 * MS);
    assert_eq!(limit.report_age_us, Some(5 * MS));
    assert_eq!(
        call.assess(1_300 * MS, &reported(1_150)),
        SilenceVerdict::ReportNeeded,
        "no sign of the upstream since the limit"
    );
    assert_eq!(
        call.assess(3_950 * MS, &reported(3_940)),
        SilenceVerdict::Wait,
        "no other upstream could answer in time"
    );
}

#[test]
fn slow_or_busy_upstream() {
    let call = call(200 * MS);
    let now_us = 1_300 * MS;
    let busy = UpstreamSigns {
        reported_us: Some(now_us),
        waiting: 1,
        ..UpstreamSigns::default()
    };
    assert_eq!(call.assess(now_us, &busy), SilenceVerdict::Wait);
    let slow = UpstreamSigns {
        reported_us: Some(now_us),
        is_slow: true,
        ..UpstreamSigns::default()
    };
    assert_eq!(call.assess(now_us, &slow), SilenceVerdict::Wait);
}

/// Without load figures, answers to other calls show that the upstream works.
#[test]
fn upstream_without_load_figures() {
    let call = call(200 * MS);
    let signs = |answers| UpstreamSigns {
        answers,
        ..UpstreamSigns::default()
    };
    assert_eq!(
        call.assess(1_300 * MS, &signs(11)),
        SilenceVerdict::Wait,
        "stalled"
    );
    let verdict = call.assess(1_300 * MS, &signs(12));
    assert!(matches!(verdict, SilenceVerdict::GiveUp(_)));
}
