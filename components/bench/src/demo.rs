//! `gyard-bench demo`: runs the whole system in one process under load and checks its guarantees.

use crate::{
    deployment::{Deployment, DeploymentConfig, DeploymentError},
    load::{self, LoadConfig, LoadReport},
    upstream::{AnnouncedRule, Upstream, UpstreamConfig, UpstreamError},
};
use gumdrop::Options;
use model::{Hedge, Profile, ProfileName};
use serde_json::json;
use snafu::Snafu;
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Time after the request to drain within which new calls may still reach the instance.
const DRAIN_LIMIT_US: u64 = 3_000_000;
/// Time within which a configuration change must be in effect on all nodes.
const CHANGE_LIMIT: Duration = Duration::from_secs(4);
/// Calls per second of each of the four streams: reads and writes to two services.
const DEFAULT_RATE_PER_S: f64 = 100.0;
/// Length of the load in seconds.
const DEFAULT_SECONDS: u64 = 10;

/// Options of the demo.
#[derive(Debug, Options)]
pub struct DemoOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        meta = "N",
        help = "length of the load in seconds (default: 10)"
    )]
    seconds: Option<u64>,
    #[options(
        no_short,
        meta = "N",
        help = "calls per second of each stream (default: 100)"
    )]
    rate: Option<f64>,
}

/// The demo could not be run.
#[derive(Debug, Snafu)]
enum DemoError {
    #[snafu(display("{source}"), context(false))]
    Deployment { source: DeploymentError },
    #[snafu(display("{source}"), context(false))]
    Upstream { source: UpstreamError },
}

/// Runs the demo; the exit code is 0 if every guarantee held.
pub fn main(args: &[String]) -> i32 {
    let options = match DemoOptions::parse_args_default(args) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("error: {error}");
            return 2;
        }
    };
    if options.help {
        println!(
            "Usage: gyard-bench demo [OPTIONS]\n\n{}",
            DemoOptions::usage()
        );
        return 0;
    }
    let seconds = options.seconds.unwrap_or(DEFAULT_SECONDS).max(4);
    match run(seconds, options.rate.unwrap_or(DEFAULT_RATE_PER_S)) {
        Ok(violations) if violations.is_empty() => {
            println!("\nAll guarantees held.");
            0
        }
        Ok(violations) => {
            for violation in violations {
                println!("BROKEN: {violation}");
            }
            1
        }
        Err(error) => {
            eprintln!("error: {error}");
            1
        }
    }
}

/// Runs the demo and returns the guarantees that were violated.
fn run(seconds: u64, rate_per_s: f64) -> Result<Vec<String>, DemoError> {
    println!("starting 3 control replicas and 4 nodes in 3 availability zones");
    let config = DeploymentConfig::new(&["zone-1", "zone-2", "zone-3", "zone-1"]);
    let deployment = Deployment::start(&config)?;
    let mut browse = Profile::with_defaults(name("browse"));
    browse.idempotent = true;
    browse.hedge = Hedge {
        enabled: true,
        ..Hedge::default()
    };
    deployment.add_profile(&browse)?;
    let number = deployment.add_profile(&Profile::with_defaults(name("order")))?;
    deployment.wait_for_revision(number)?;
    println!("starting 2 instances each of catalogue and lending");
    let upstreams = start_upstreams(&deployment)?;
    deployment.wait_for_upstreams(upstreams.len())?;

    println!(
        "baseline: {} s of load directly to the instances",
        seconds / 2
    );
    let direct = run_streams(&direct_streams(&upstreams, seconds / 2, rate_per_s));
    println!("load through the nodes: {seconds} s, with a change, a slow instance and a drain");
    let before = deployment.probe_totals();
    let running: Vec<load::LoadRun> = node_streams(&deployment, seconds, rate_per_s)
        .iter()
        .map(load::start)
        .collect();
    let change_time = run_disturbances(&deployment, &upstreams, &mut browse, seconds)?;
    let reports: Vec<LoadReport> = running.into_iter().map(load::LoadRun::join).collect();
    let after = deployment.probe_totals();

    let through_nodes = merge(reports);
    let calls = through_nodes.counts.total().max(1);
    println!("\ndirectly to the instances:\n{}", direct.to_text());
    println!("through the nodes:\n{}", through_nodes.to_text());
    println!(
        "probes: {:.3} messages and {:.1} bytes per call",
        (after.0 - before.0) as f64 / calls as f64,
        (after.1 - before.1) as f64 / calls as f64
    );
    println!(
        "profile change in effect on all nodes after {} ms",
        change_time.as_millis()
    );
    Ok(check_guarantees(&upstreams, &through_nodes, change_time))
}

fn name(text: &str) -> ProfileName {
    ProfileName::parse(text).expect("a valid name")
}

fn start_upstreams(deployment: &Deployment) -> Result<Vec<Upstream>, UpstreamError> {
    (0..deployment.node_count())
        .map(|index| {
            let service = if index % 2 == 0 {
                "catalogue"
            } else {
                "lending"
            };
            Upstream::start(UpstreamConfig {
                service: service.to_owned(),
                name: format!("{service}-{}", index / 2 + 1),
                node: Some(deployment.platform_address(index)),
                default_profile: "browse".to_owned(),
                rules: vec![AnnouncedRule {
                    method: Some("POST".to_owned()),
                    path_prefix: "/".to_owned(),
                    profile: "order".to_owned(),
                }],
                seed: index as u64,
                ..UpstreamConfig::default()
            })
        })
        .collect()
}

/// One stream of reads and one of writes for each service; `run` starts their request ids.
fn streams(
    run: &str,
    seconds: u64,
    rate_per_s: f64,
    targets: impl Fn(&str) -> Vec<SocketAddr>,
) -> Vec<LoadConfig> {
    ["catalogue", "lending"]
        .into_iter()
        .flat_map(|service| ["GET", "POST"].map(|method| (service, method)))
        .zip(1..)
        .map(|((service, method), seed)| LoadConfig {
            targets: targets(service),
            rate_per_s,
            duration_ms: seconds * 1000,
            service: service.to_owned(),
            method: method.to_owned(),
            body_bytes: if method == "POST" { 200 } else { 0 },
            request_id_prefix: format!("{run}-{service}-{method}"),
            seed,
            ..LoadConfig::default()
        })
        .collect()
}

fn direct_streams(upstreams: &[Upstream], seconds: u64, rate_per_s: f64) -> Vec<LoadConfig> {
    streams("direct", seconds, rate_per_s, |service| {
        let offset = usize::from(service != "catalogue");
        upstreams
            .iter()
            .skip(offset)
            .step_by(2)
            .map(Upstream::address)
            .collect()
    })
}

fn node_streams(deployment: &Deployment, seconds: u64, rate_per_s: f64) -> Vec<LoadConfig> {
    streams("nodes", seconds, rate_per_s, |_| {
        (0..deployment.node_count())
            .map(|index| deployment.call_address(index))
            .collect()
    })
}

fn run_streams(configs: &[LoadConfig]) -> LoadReport {
    let running: Vec<load::LoadRun> = configs.iter().map(load::start).collect();
    merge(running.into_iter().map(load::LoadRun::join))
}

fn merge(reports: impl IntoIterator<Item = LoadReport>) -> LoadReport {
    reports
        .into_iter()
        .reduce(|mut all, report| {
            all.merge(report);
            all
        })
        .unwrap_or_default()
}

/// Changes a profile, slows one instance and drains another while the load runs. Returns how long
/// the change took to be in effect on all nodes.
fn run_disturbances(
    deployment: &Deployment,
    upstreams: &[Upstream],
    browse: &mut Profile,
    seconds: u64,
) -> Result<Duration, DeploymentError> {
    let step = Duration::from_millis(seconds * 1000 / 5);
    thread::sleep(step);
    browse.deadline_ms = 900;
    let started = Instant::now();
    let number = deployment.submit_change("demo-change", None, &json!({ "update": browse }))?;
    deployment.wait_for_revision(number)?;
    let change_time = started.elapsed();
    println!("  profile browse changed, revision {number}");
    thread::sleep(step);
    upstreams[0].update_switches(|switches| switches.slow_factor = 5.0);
    println!("  catalogue-1 slowed five-fold");
    thread::sleep(step / 2);
    upstreams[0].update_switches(|switches| switches.slow_factor = 1.0);
    println!("  catalogue-1 back to normal");
    thread::sleep(step / 4);
    deployment.operator_request(
        "POST",
        "/v1/drain",
        Some(&json!({ "instance": "lending-1" })),
    )?;
    upstreams[1].update_switches(|switches| switches.drain = true);
    println!("  lending-1 draining");
    Ok(change_time)
}

/// Checks the guarantees against what ran on the upstreams; returns those that were violated.
fn check_guarantees(
    upstreams: &[Upstream],
    through_nodes: &LoadReport,
    change_time: Duration,
) -> Vec<String> {
    let mut violations = Vec::new();
    let executions: Vec<_> = upstreams.iter().flat_map(Upstream::executions).collect();
    let repeated_writes = crate::upstream::repeated_calls(&executions)
        .iter()
        .filter(|(_, method, _)| method == "POST")
        .count();
    let write_runs = executions.iter().filter(|run| run.method == "POST").count();
    println!("non-repeatable calls: {write_runs} runs, {repeated_writes} ran more than once");
    if repeated_writes > 0 {
        violations.push(format!(
            "{repeated_writes} non-repeatable calls ran more than once"
        ));
    }
    let late = executions
        .iter()
        .filter(|run| run.draining_us > Some(DRAIN_LIMIT_US))
        .count();
    println!("new calls to the draining instance after 3 s: {late}");
    if late > 0 {
        violations.push(format!(
            "{late} calls reached a draining instance after 3 s"
        ));
    }
    let wrong = through_nodes.counts.cut_off + through_nodes.counts.mismatch;
    if wrong > 0 {
        violations.push(format!(
            "{wrong} answers were cut off or belonged to another call"
        ));
    }
    if change_time > CHANGE_LIMIT {
        violations.push(format!("the change took {} ms", change_time.as_millis()));
    }
    violations
}
