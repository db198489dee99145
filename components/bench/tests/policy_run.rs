//! Guards the policy measurement: equal seeds give equal figures, no policy exceeds its probe
//! budget, and an invalid option gets a clear error.

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
