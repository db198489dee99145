//! Guards the policy measurement: equal seeds give equal figures, no policy exceeds its probe
//! budget, the order by cost loses less value than the order by latency target, and an invalid option
//! gets a clear error.

use bench::policy::{PolicyArgs, Report, run};
use gumdrop::Options;

/// Runs the measurement with these options.
fn run_policies(args: &[&str]) -> Report {
    let args = PolicyArgs::parse_args_default(args).expect("known options");
    run(&args).expect("allowed values")
}

/// Options of a short measurement.
const SHORT_RUN: [&str; 8] = [
    "--seeds",
    "3,4",
    "--seconds",
    "1",
    "--loads",
    "75",
    "--scenarios",
    "lending",
];

#[test]
fn same_seed() {
    let (first, second) = (run_policies(&SHORT_RUN), run_policies(&SHORT_RUN));
    assert_eq!(
        first.to_json(),
        second.to_json(),
        "equal seeds must give equal reports"
    );
    assert_eq!(first.rows.len(), 8, "all policies in one run");
}

#[test]
fn small_budget() {
    let report = run_policies(&[&SHORT_RUN[..], &["--probe-budget", "20"]].concat());
    for row in &report.rows {
        assert!(
            row.worst.peak_messages <= 20.0,
            "{} exceeds its budget",
            row.policy
        );
    }
    let fast = report
        .rows
        .iter()
        .find(|row| row.policy == "ours-fast")
        .expect("the row");
    assert!(fast.worst.peak_messages > 0.0, "no probe was sent at all");
}

#[test]
fn bad_option() {
    let args = PolicyArgs::parse_args_default(&["--seeds", "0-3"]).expect("known options");
    let error = run(&args).expect_err("seed 0 is not allowed").to_string();
    insta::assert_snapshot!(error, @r#"--seeds: "0-3" is not allowed; use a range 1-20 or a list 1,5,9"#);
}

/// Guards against an order by cost that has no effect on mixed calls, or costs calls of the highest
/// priority.
#[test]
fn value_of_mixed_calls() {
    let run_order = |order| {
        let args = [
            "--scenarios",
            "waves",
            "--loads",
            "150",
            "--seeds",
            "1-3",
            "--seconds",
            "10",
            "--policies",
            "ours-economical",
            "--admission",
            order,
        ];
        let report = run_policies(&args);
        let stats = report.rows[0].worst;
        (stats.lost_value_percent, stats.high_lost_percent)
    };
    let (by_deadline, _) = run_order("deadline");
    let (by_cost, high_lost) = run_order("cost");
    println!("lost value by deadline {by_deadline:.2} %, by cost {by_cost:.2} %");
    assert!(by_cost < by_deadline);
    assert!(high_lost <= 3.0, "{high_lost:.2} % of the highest priority");
}
