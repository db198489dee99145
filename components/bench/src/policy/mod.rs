//! `gyard-bench policy`: compares routing policies by simulation in virtual time.
//!
//! Open-loop arrivals, instances with slots, owners with queues and network delays are simulated;
//! the decisions are made by the real `Router` and `Admission`. All policies of a seed get the same
//! arrivals and disturbances.

mod chooser;
mod entry;
mod event;
mod instance;
mod mix;
mod network;
mod owner;
mod plot;
mod report;
mod scenario;
mod settings;
mod sim;

use chooser::Policy;
use gumdrop::Options;
use scenario::{DisturbanceKind, Scenario, Workload, scenarios};
use settings::Settings;
use sim::{SimulationResult, simulate};
use snafu::Snafu;
use std::{
    collections::BTreeMap,
    num::NonZero,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

pub use report::{Report, Row, Stats, Target};
pub use settings::PolicyArgs;

/// The value of an option of `gyard-bench policy` is not allowed.
#[derive(Debug, Snafu)]
#[snafu(display("--{option}: {value:?} is not allowed; use {allowed}"))]
pub struct InvalidOption {
    option: &'static str,
    value: String,
    allowed: &'static str,
}

/// Runs the comparison with command-line arguments and returns the exit code.
pub fn main(args: &[String]) -> i32 {
    let args = match PolicyArgs::parse_args_default(args) {
        Ok(args) => args,
        Err(error) => {
            eprintln!("{error}; `gyard-bench policy --help` lists the options");
            return 2;
        }
    };
    if args.help {
        println!("{}", PolicyArgs::usage());
        return 0;
    }
    let report = match run(&args) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("{error}");
            return 2;
        }
    };
    match args.output.as_str() {
        "json" => println!("{}", report.to_json()),
        _ => print!("{report}"),
    }
    if let Some(path) = &args.plot
        && let Err(error) = plot::write(&report, path)
    {
        eprintln!("the plot can't be written to {path}: {error}");
        return 1;
    }
    0
}

/// Simulates all chosen policies on all chosen scenarios, loads and seeds.
pub fn run(args: &PolicyArgs) -> Result<Report, InvalidOption> {
    let plan = Plan::new(args)?;
    let settings = Settings::new(args);
    let jobs = plan.jobs();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(BTreeMap::new());
    let threads = thread::available_parallelism().map_or(1, NonZero::get);
    thread::scope(|scope| {
        for _ in 0..threads.min(jobs.len()) {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let job_results = plan.simulate(job, &settings);
                    results
                        .lock()
                        .expect("no thread panicked")
                        .insert(job.indices, job_results);
                }
            });
        }
    });
    let results = results.into_inner().expect("no thread panicked");
    Ok(report::build(&plan, &settings, &results))
}

/// The simulations to run, as the options choose them.
struct Plan {
    scenarios: Vec<Scenario>,
    loads: Vec<u32>,
    policies: Vec<Policy>,
    seeds: Vec<u64>,
    seconds: u32,
    disturbance_kinds: Vec<DisturbanceKind>,
}

/// All policies on one seed of one scenario and load.
struct Job {
    /// Indices of scenario, load and seed in the plan. Results are sorted by them, so that those of
    /// one table row are together.
    indices: (usize, usize, usize),
}

impl Plan {
    fn new(args: &PolicyArgs) -> Result<Self, InvalidOption> {
        let scenario_names: Vec<&str> = args
            .scenarios
            .split(',')
            .filter(|s| !s.is_empty())
            .collect();
        let policy_names: Vec<&str> = args.policies.split(',').filter(|s| !s.is_empty()).collect();
        let scenarios = scenarios();
        let has_scenario = |name: &&str| scenarios.iter().any(|s| s.name == *name);
        if !scenario_names.iter().all(has_scenario) {
            return Err(InvalidOption {
                option: "scenarios",
                value: args.scenarios.clone(),
                allowed: "catalogue, lending, ordering, kitchen, many-entries and waves",
            });
        }
        if !policy_names
            .iter()
            .all(|name| Policy::ALL.iter().any(|p| p.name() == *name))
        {
            return Err(InvalidOption {
                option: "policies",
                value: args.policies.clone(),
                allowed: "the names in the first column of the report",
            });
        }
        if args.output != "text" && args.output != "json" {
            return Err(InvalidOption {
                option: "output",
                value: args.output.clone(),
                allowed: "text or json",
            });
        }
        if args.admission.parse::<limits::AdmissionOrder>().is_err() {
            return Err(InvalidOption {
                option: "admission",
                value: args.admission.clone(),
                allowed: "deadline or cost",
            });
        }
        if args.seconds == 0 {
            return Err(InvalidOption {
                option: "seconds",
                value: args.seconds.to_string(),
                allowed: "1 or more",
            });
        }
        Ok(Plan {
            scenarios: scenarios
                .into_iter()
                .filter(|s| {
                    let is_default = scenario_names.is_empty() && !s.is_mixed;
                    is_default || scenario_names.contains(&s.name)
                })
                .collect(),
            loads: parse_list("loads", &args.loads, "percentages such as 50,75,90")?
                .into_iter()
                .map(|load| load as u32)
                .collect(),
            policies: Policy::ALL
                .into_iter()
                .filter(|p| policy_names.is_empty() || policy_names.contains(&p.name()))
                .collect(),
            seeds: parse_list("seeds", &args.seeds, "a range 1-20 or a list 1,5,9")?,
            seconds: args.seconds,
            disturbance_kinds: parse_disturbance_kinds(&args.disturb)?,
        })
    }

    fn jobs(&self) -> Vec<Job> {
        let mut jobs = Vec::new();
        for scenario in 0..self.scenarios.len() {
            for load in 0..self.loads.len() {
                jobs.extend((0..self.seeds.len()).map(|seed| Job {
                    indices: (scenario, load, seed),
                }));
            }
        }
        jobs
    }

    fn simulate(&self, job: &Job, settings: &Settings) -> Vec<SimulationResult> {
        let (scenario, load, seed) = job.indices;
        let scenario = &self.scenarios[scenario];
        let load = f64::from(self.loads[load]) / 100.0;
        let mut workload = Workload::new(scenario, load, self.seconds, self.seeds[seed]);
        workload
            .disturbances
            .retain(|(_, _, d)| self.disturbance_kinds.contains(&d.kind()));
        let run = |&policy: &Policy| {
            let mut result = simulate(policy, scenario, settings, &workload);
            result.latencies_us.sort_unstable();
            result.summarize()
        };
        self.policies.iter().map(run).collect()
    }
}

fn parse_disturbance_kinds(text: &str) -> Result<Vec<DisturbanceKind>, InvalidOption> {
    let kind = |name: &str| match name {
        "noisy" => Some(DisturbanceKind::Noisy),
        "drain" => Some(DisturbanceKind::Drain),
        "fail" => Some(DisturbanceKind::Fail),
        "lie" => Some(DisturbanceKind::Misreport),
        _ => None,
    };
    let names = text.split(',').filter(|name| *name != "none");
    names
        .map(kind)
        .collect::<Option<Vec<DisturbanceKind>>>()
        .ok_or_else(|| InvalidOption {
            option: "disturb",
            value: text.to_owned(),
            allowed: "none, or a list of noisy, drain, fail and lie",
        })
}

/// Parses positive numbers, given as `a-b` or `a,b,c`.
fn parse_list(
    option: &'static str,
    text: &str,
    allowed: &'static str,
) -> Result<Vec<u64>, InvalidOption> {
    let error = || InvalidOption {
        option,
        value: text.to_owned(),
        allowed,
    };
    let number = |part: &str| {
        part.trim()
            .parse()
            .ok()
            .filter(|&n: &u64| n > 0 && n < 100_000)
    };
    let parsed: Option<Vec<u64>> = match text.split_once('-') {
        Some((first, last)) => number(first)
            .zip(number(last))
            .map(|(a, b)| (a..=b).collect()),
        None => text.split(',').map(number).collect(),
    };
    parsed.filter(|list| !list.is_empty()).ok_or_else(error)
}
