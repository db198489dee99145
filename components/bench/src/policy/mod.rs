//! `gyard-bench policy`: routing policies side by side in virtual time.
//!
//! Open-loop arrivals, instances with slots and owners' queues, and network delays are simulated;
//! the decisions are those of the real `Router` and `Admission`. All policies of a seed see the
//! same arrivals and disturbances.

mod chooser;
mod instance;
mod plot;
mod report;
mod scenario;
mod settings;
mod sim;

use chooser::Policy;
use gumdrop::Options;
use scenario::{Kind, Scenario, Workload, scenarios};
use settings::Settings;
use sim::{Outcome, simulate};
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

/// An option of `gyard-bench policy` with a value that is not allowed.
#[derive(Debug, Snafu)]
#[snafu(display("--{option}: {value:?} is not allowed; use {allowed}"))]
pub struct InvalidOption {
    option: &'static str,
    value: String,
    allowed: &'static str,
}

/// Runs the measurement with command-line arguments and returns the exit code.
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

/// Runs all chosen scenarios, loads, policies and seeds.
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
                    let outcomes = plan.simulate(job, &settings);
                    results
                        .lock()
                        .expect("no thread panicked")
                        .insert(job.order, outcomes);
                }
            });
        }
    });
    let results = results.into_inner().expect("no thread panicked");
    Ok(report::build(&plan, &settings, &results))
}

/// What to run, from the options.
struct Plan {
    scenarios: Vec<Scenario>,
    loads: Vec<u32>,
    policies: Vec<Policy>,
    seeds: Vec<u64>,
    seconds: u32,
    kinds: Vec<Kind>,
}

/// One seed of one scenario and load; its order puts the jobs of one table row together.
struct Job {
    order: (usize, usize, usize),
}

impl Plan {
    fn new(args: &PolicyArgs) -> Result<Self, InvalidOption> {
        let names: Vec<&str> = args
            .scenarios
            .split(',')
            .filter(|s| !s.is_empty())
            .collect();
        let wanted: Vec<&str> = args.policies.split(',').filter(|s| !s.is_empty()).collect();
        let scenarios = scenarios();
        let has_scenario = |name: &&str| scenarios.iter().any(|s| s.name == *name);
        if !names.iter().all(has_scenario) {
            return Err(InvalidOption {
                option: "scenarios",
                value: args.scenarios.clone(),
                allowed: "catalogue, lending, ordering, kitchen and many-entries",
            });
        }
        if !wanted
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
                .filter(|s| names.is_empty() || names.contains(&s.name))
                .collect(),
            loads: parse_list("loads", &args.loads, "percentages such as 50,75,90")?
                .into_iter()
                .map(|load| load as u32)
                .collect(),
            policies: Policy::ALL
                .into_iter()
                .filter(|p| wanted.is_empty() || wanted.contains(&p.name()))
                .collect(),
            seeds: parse_list("seeds", &args.seeds, "a range 1-20 or a list 1,5,9")?,
            seconds: args.seconds,
            kinds: parse_kinds(&args.disturb)?,
        })
    }

    fn jobs(&self) -> Vec<Job> {
        let mut jobs = Vec::new();
        for scenario in 0..self.scenarios.len() {
            for load in 0..self.loads.len() {
                jobs.extend((0..self.seeds.len()).map(|seed| Job {
                    order: (scenario, load, seed),
                }));
            }
        }
        jobs
    }

    fn simulate(&self, job: &Job, settings: &Settings) -> Vec<Outcome> {
        let (scenario, load, seed) = job.order;
        let scenario = &self.scenarios[scenario];
        let load = f64::from(self.loads[load]) / 100.0;
        let mut workload = Workload::new(scenario, load, self.seconds, self.seeds[seed]);
        workload
            .disturbances
            .retain(|(_, _, d)| self.kinds.contains(&d.kind()));
        let run = |&policy: &Policy| {
            let mut outcome = simulate(policy, scenario, settings, &workload);
            outcome.latencies_us.sort_unstable();
            outcome.summarise()
        };
        self.policies.iter().map(run).collect()
    }
}

fn parse_kinds(text: &str) -> Result<Vec<Kind>, InvalidOption> {
    let kind = |name: &str| match name {
        "noisy" => Some(Kind::Noisy),
        "drain" => Some(Kind::Drain),
        "fail" => Some(Kind::Fail),
        "lie" => Some(Kind::Lie),
        _ => None,
    };
    let names = text.split(',').filter(|name| *name != "none");
    names
        .map(kind)
        .collect::<Option<Vec<Kind>>>()
        .ok_or_else(|| InvalidOption {
            option: "disturb",
            value: text.to_owned(),
            allowed: "none, or a list of noisy, drain, fail and lie",
        })
}

/// Positive numbers as `a-b` or `a,b,c`.
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
