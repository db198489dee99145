//! `gyard-bench cost`: measures the latency that two nodes add to a call, and the traffic,
//! processor time and memory that nodes use while idle.

mod idle;
mod plot;

use crate::{
    deployment::{Deployment, DeploymentConfig, DeploymentError},
    load::{self, LoadConfig, LoadReport, Spacing},
    upstream::{ServiceTime, Upstream, UpstreamConfig, UpstreamError},
};
use gumdrop::Options;
use idle::{IdleCost, measure_idle};
use model::{Profile, ProfileName};
use serde::Serialize;
use snafu::Snafu;
use std::{net::SocketAddr, path::PathBuf};

/// Highest p99 of the latency that two nodes may add to a call, in microseconds.
pub(crate) const ADDED_P99_LIMIT_US: i64 = 360;
/// Highest control traffic of an idle node, in bytes per second.
const CONTROL_LIMIT_BYTES_PER_S: f64 = 3_000.0;
/// Highest processor time of an idle node, in percent of a core.
const CPU_LIMIT_PERCENT: f64 = 1.9;
/// Highest resident memory of an idle node, in bytes.
const MEMORY_LIMIT_BYTES: f64 = 256e6;
/// Service time of the test upstream.
const SERVICE_TIME_US: u64 = 2_000;
/// Slots of the test upstream, enough that no call waits for one.
const SLOTS: u32 = 16;

/// Options of `gyard-bench cost`.
#[derive(Debug, Options)]
struct CostOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        meta = "N",
        help = "calls per second through each node (default: 240)"
    )]
    rate: Option<f64>,
    #[options(
        no_short,
        meta = "N",
        help = "rounds of direct and routed load (default: 5)"
    )]
    rounds: Option<u32>,
    #[options(no_short, meta = "N", help = "seconds of each round (default: 5)")]
    seconds: Option<u64>,
    #[options(
        no_short,
        meta = "N",
        help = "seconds of the idle measurement (default: 10)"
    )]
    idle_seconds: Option<u64>,
    #[options(no_short, meta = "FILE", help = "write a plot of the latencies as SVG")]
    plot: Option<PathBuf>,
    #[options(no_short, meta = "FORMAT", help = "text or json (default: text)")]
    output: Option<String>,
}

/// The measurement could not be run.
#[derive(Debug, Snafu)]
enum CostError {
    #[snafu(display("{source}"), context(false))]
    Deployment { source: DeploymentError },
    #[snafu(display("{source}"), context(false))]
    Upstream { source: UpstreamError },
    #[snafu(display("the plot can't be written: {reason}"))]
    Plot { reason: String },
}

/// Latencies of one round, of calls sent to the upstream directly and through two nodes.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Round {
    pub(crate) direct_p50_us: u64,
    pub(crate) direct_p99_us: u64,
    pub(crate) nodes_p50_us: u64,
    pub(crate) nodes_p99_us: u64,
    /// Failed calls of both kinds.
    failed: u64,
}

impl Round {
    pub(crate) fn added_p99_us(&self) -> i64 {
        self.nodes_p99_us as i64 - self.direct_p99_us as i64
    }

    fn added_p50_us(&self) -> i64 {
        self.nodes_p50_us as i64 - self.direct_p50_us as i64
    }
}

/// Result of the measurement.
#[derive(Debug, Serialize)]
struct CostReport {
    rate_per_s: f64,
    rounds: Vec<Round>,
    median_added_p50_us: i64,
    median_added_p99_us: i64,
    worst_added_p99_us: i64,
    idle: IdleCost,
}

/// Measures and prints the report; the exit code is 0 if every target was met, 1 if one was missed,
/// and 2 if the measurement could not be run.
pub fn main(args: &[String]) -> i32 {
    let options = match CostOptions::parse_args_default(args) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("error: {error}");
            return 2;
        }
    };
    if options.help {
        println!(
            "Usage: gyard-bench cost [OPTIONS]\n\n{}",
            CostOptions::usage()
        );
        return 0;
    }
    match run(&options) {
        Ok(report) => {
            let missed = missed_targets(&report);
            if options.output.as_deref() == Some("json") {
                println!(
                    "{}",
                    serde_json::json!({ "report": report, "missed": missed })
                );
            } else {
                print_text(&report, &missed);
            }
            i32::from(!missed.is_empty())
        }
        Err(error) => {
            eprintln!("error: {error}");
            2
        }
    }
}

fn run(options: &CostOptions) -> Result<CostReport, CostError> {
    let rate_per_s = options.rate.unwrap_or(240.0);
    let seconds = options.seconds.unwrap_or(5);
    let mut config = DeploymentConfig::new(&["zone-1", "zone-2", "zone-3"]);
    config.decision_log_percent = 1;
    let deployment = Deployment::start(&config)?;
    let profile_name = ProfileName::parse("read").expect("a valid name");
    let profile = Profile {
        idempotent: true,
        ..Profile::with_defaults(profile_name)
    };
    let number = deployment.add_profile(&profile)?;
    deployment.wait_for_revision(number)?;
    let idle = measure_idle(&deployment, options.idle_seconds.unwrap_or(10));
    // The upstream runs beside the second node and the calls enter at the first, so that every call
    // passes two nodes.
    let upstream = Upstream::start(UpstreamConfig {
        slots: SLOTS,
        service_time: ServiceTime::Fixed {
            us: SERVICE_TIME_US,
        },
        node: Some(deployment.platform_address(1)),
        default_profile: "read".to_owned(),
        ..UpstreamConfig::default()
    })?;
    deployment.wait_for_upstreams(1)?;
    let rounds: Vec<Round> = (0..options.rounds.unwrap_or(5))
        .map(|round| run_round(&deployment, &upstream, round, rate_per_s, seconds))
        .collect();
    if let Some(path) = &options.plot {
        plot::write(path, &rounds).map_err(|reason| CostError::Plot { reason })?;
    }
    Ok(CostReport {
        rate_per_s,
        median_added_p50_us: median(rounds.iter().map(Round::added_p50_us)),
        median_added_p99_us: median(rounds.iter().map(Round::added_p99_us)),
        worst_added_p99_us: rounds.iter().map(Round::added_p99_us).max().unwrap_or(0),
        rounds,
        idle,
    })
}

/// Sends direct and routed calls at the same time, so that other load on the machine affects both
/// alike.
fn run_round(
    deployment: &Deployment,
    upstream: &Upstream,
    round: u32,
    rate_per_s: f64,
    seconds: u64,
) -> Round {
    let config = |kind: &str, target: SocketAddr| LoadConfig {
        targets: vec![target],
        rate_per_s,
        spacing: Spacing::Poisson,
        duration_ms: seconds * 1000,
        request_id_prefix: format!("{kind}-{round}"),
        seed: u64::from(round) + 1,
        ..LoadConfig::default()
    };
    let direct = load::start(&config("direct", upstream.address()));
    let nodes = load::start(&config("nodes", deployment.call_address(0)));
    let (direct, nodes) = (direct.join(), nodes.join());
    let failed = |report: &LoadReport| report.counts.total() - report.counts.ok;
    Round {
        direct_p50_us: direct.latency_quantile_us(0.5),
        direct_p99_us: direct.latency_quantile_us(0.99),
        nodes_p50_us: nodes.latency_quantile_us(0.5),
        nodes_p99_us: nodes.latency_quantile_us(0.99),
        failed: failed(&direct) + failed(&nodes),
    }
}

fn median(values: impl Iterator<Item = i64>) -> i64 {
    let mut values: Vec<i64> = values.collect();
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(0)
}

/// One line for each target that was missed.
fn missed_targets(report: &CostReport) -> Vec<String> {
    let mut missed = Vec::new();
    let mut check = |what: &str, value: f64, limit: f64| {
        if value > limit {
            missed.push(format!(
                "{what} is {value:.2}, the target is at most {limit}"
            ));
        }
    };
    check(
        "added latency at p99 in us (median of rounds)",
        report.median_added_p99_us as f64,
        ADDED_P99_LIMIT_US as f64,
    );
    check(
        "control traffic in bytes/s",
        report.idle.bytes_per_s,
        CONTROL_LIMIT_BYTES_PER_S,
    );
    check(
        "processor time in percent of a core",
        report.idle.cpu_percent,
        CPU_LIMIT_PERCENT,
    );
    check(
        "memory in bytes",
        report.idle.memory_bytes,
        MEMORY_LIMIT_BYTES,
    );
    let failed: u64 = report.rounds.iter().map(|round| round.failed).sum();
    check("failed calls", failed as f64, 0.0);
    missed
}

fn print_text(report: &CostReport, missed: &[String]) {
    println!(
        "latency in us at {} calls/s, direct and through two nodes",
        report.rate_per_s
    );
    println!("round  direct p50  direct p99  nodes p50  nodes p99  added p50  added p99");
    for (number, round) in report.rounds.iter().enumerate() {
        println!(
            "{number:>5}  {:>10}  {:>10}  {:>9}  {:>9}  {:>9}  {:>9}",
            round.direct_p50_us,
            round.direct_p99_us,
            round.nodes_p50_us,
            round.nodes_p99_us,
            round.added_p50_us(),
            round.added_p99_us()
        );
    }
    println!(
        "added: p50 {} us, p99 {} us (medians), p99 {} us (worst)",
        report.median_added_p50_us, report.median_added_p99_us, report.worst_added_p99_us
    );
    println!(
        "idle, per node: {:.0} bytes/s of control, {:.2} % of a core, {:.1} MB",
        report.idle.bytes_per_s,
        report.idle.cpu_percent,
        report.idle.memory_bytes / 1e6
    );
    for target in missed {
        println!("MISSED: {target}");
    }
}
