//! Report of the policy comparison: tables, targets and JSON.

use super::{Plan, Policy, Settings, sim::SimulationResult};
use model::ProbeMode;
use serde::Serialize;
use std::{collections::BTreeMap, fmt};

/// Highest p99 of the router as a share of that of `Policy::Random` and of `Policy::TwoReported`.
const P99_OF_BASELINE: f64 = 0.5;
/// Highest p99.9 of the router as a share of the best baseline's.
const P999_OF_BEST: f64 = 0.6;
/// Highest p99 of the router at `ORACLE_LOAD` as a multiple of the oracle's.
const P99_OF_ORACLE: f64 = 1.25;
/// Load in percent at which the router is compared with the oracle.
const ORACLE_LOAD: u32 = 75;
/// Highest lost value of mixed calls as a multiple of the oracle's.
const LOST_OF_ORACLE: f64 = 1.25;
/// Highest lost share of the calls of the highest priority, in percent.
const HIGH_LOST_PERCENT: f64 = 3.0;
/// Highest number of probe messages per call in the economical and the fast probe mode.
const MAX_MESSAGES_PER_CALL: [(Policy, f64); 2] = [
    (Policy::Router(ProbeMode::Economical), 0.1),
    (Policy::Router(ProbeMode::Fast), 1.0),
];

/// Latencies and rates of one run, or the median or worst of several runs.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Stats {
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile in milliseconds.
    pub p999_ms: f64,
    /// Calls that failed or timed out, in percent.
    pub error_percent: f64,
    /// Attempts after a refusal or failure, in percent of the calls.
    pub retry_percent: f64,
    /// Hedges in percent of the calls.
    pub hedge_percent: f64,
    /// Probe messages per call.
    pub messages_per_call: f64,
    /// Highest number of probe messages of one entry in any one second.
    pub peak_messages: f64,
    /// Value of the calls without an answer within their targets, in percent; 0 without mixed calls.
    pub lost_value_percent: f64,
    /// Calls of the highest priority without such an answer, in percent.
    pub high_lost_percent: f64,
}

/// Results of one policy in one scenario at one load.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Load in percent of all slots.
    pub load: u32,
    /// Name of the policy.
    pub policy: &'static str,
    /// Whether the calls of the scenario have values.
    #[serde(skip)]
    pub is_mixed: bool,
    /// Median over the seeds, of each value on its own.
    pub median: Stats,
    /// Worst over the seeds, of each value on its own.
    pub worst: Stats,
}

/// A target of the router's policies and the measured value. Ratios are computed for each seed
/// before the median and the worst are taken.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Load in percent of all slots.
    pub load: u32,
    /// Name of the policy.
    pub policy: &'static str,
    /// What is compared.
    pub what: String,
    /// Highest value allowed.
    pub limit: f64,
    /// Median over the seeds.
    pub median: f64,
    /// Worst over the seeds.
    pub worst: f64,
}

impl Target {
    /// Word in the report for whether a value meets its limit.
    fn verdict(value: f64, limit: f64) -> &'static str {
        if value <= limit { "met" } else { "MISSED" }
    }
}

/// Result of the whole comparison.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seeds of the runs, as given in the options.
    pub seeds: Vec<u64>,
    /// Simulated seconds per run.
    pub seconds: u32,
    /// Probe messages that an entry may send in any one second.
    pub probe_budget_per_s: u32,
    /// One row for each scenario, load and policy.
    pub rows: Vec<Row>,
    /// Targets that apply to the chosen policies and loads.
    pub targets: Vec<Target>,
}

impl Report {
    /// The report as one JSON object.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("plain numbers and strings")
    }
}

impl SimulationResult {
    /// Computes the statistics from the sorted latencies, and drops the latencies to save memory.
    pub(crate) fn summarize(mut self) -> SimulationResult {
        let quantile = |q: f64| {
            let last = self.latencies_us.len().saturating_sub(1);
            let index = (self.latencies_us.len() as f64 * q).ceil() as usize;
            f64::from(self.latencies_us[index.saturating_sub(1).min(last)]) / 1_000.0
        };
        let calls = self.latencies_us.len().max(1) as f64;
        self.stats = Stats {
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            error_percent: self.errors as f64 * 100.0 / calls,
            retry_percent: self.retries as f64 * 100.0 / calls,
            hedge_percent: self.hedges as f64 * 100.0 / calls,
            messages_per_call: self.messages as f64 / calls,
            peak_messages: self.peak_messages as f64,
            lost_value_percent: self.value.lost_percent(),
            high_lost_percent: self.value.high_lost_percent(),
        };
        self.latencies_us = Vec::new();
        self
    }
}

/// Builds the report from the results by indices of scenario, load and seed, with one result per
/// policy.
pub(crate) fn build(
    plan: &Plan,
    settings: &Settings,
    results: &BTreeMap<(usize, usize, usize), Vec<SimulationResult>>,
) -> Report {
    let mut rows = Vec::new();
    let mut targets = Vec::new();
    for (s, scenario) in plan.scenarios.iter().enumerate() {
        for (l, &load) in plan.loads.iter().enumerate() {
            let seeds: Vec<&Vec<SimulationResult>> = (0..plan.seeds.len())
                .map(|seed| &results[&(s, l, seed)])
                .collect();
            for (p, policy) in plan.policies.iter().enumerate() {
                let stats: Vec<Stats> = seeds.iter().map(|seed| seed[p].stats).collect();
                rows.push(Row {
                    scenario: scenario.name,
                    load,
                    policy: policy.name(),
                    is_mixed: scenario.is_mixed,
                    median: aggregate(&stats, median),
                    worst: aggregate(&stats, worst),
                });
            }
            let group = ResultGroup {
                scenario: scenario.name,
                load,
                is_mixed: scenario.is_mixed,
                plan,
                seeds,
            };
            targets.extend(group.targets(settings));
        }
    }
    Report {
        seeds: plan.seeds.clone(),
        seconds: plan.seconds,
        probe_budget_per_s: settings.probe_budget_per_s,
        rows,
        targets,
    }
}

/// Results of all seeds and policies of one scenario and load.
struct ResultGroup<'a> {
    scenario: &'static str,
    load: u32,
    is_mixed: bool,
    plan: &'a Plan,
    seeds: Vec<&'a Vec<SimulationResult>>,
}

impl ResultGroup<'_> {
    fn targets(&self, settings: &Settings) -> Vec<Target> {
        let mut targets = Vec::new();
        if self.is_mixed {
            return self.value_targets();
        }
        for &policy in self.plan.policies.iter().filter(|p| p.is_router()) {
            for baseline in [Policy::Random, Policy::TwoReported] {
                let what = format!("p99 / {}", baseline.name());
                targets
                    .extend(self.ratio(policy, what, P99_OF_BASELINE, &[baseline], |f| f.p99_ms));
            }
            let baselines: Vec<Policy> = self
                .plan
                .policies
                .iter()
                .copied()
                .filter(|p| p.is_baseline())
                .collect();
            let what = "p99.9 / best baseline".to_owned();
            targets.extend(self.ratio(policy, what, P999_OF_BEST, &baselines, |f| f.p999_ms));
            if self.load == ORACLE_LOAD {
                let what = "p99 / oracle".to_owned();
                let oracle = [Policy::Oracle];
                targets.extend(self.ratio(policy, what, P99_OF_ORACLE, &oracle, |f| f.p99_ms));
            }
            for (limited_policy, limit) in MAX_MESSAGES_PER_CALL {
                if limited_policy == policy {
                    let values = self.values(policy, |f| f.messages_per_call);
                    targets.push(self.target(policy, "messages per call", limit, &values));
                }
            }
            let budget = f64::from(settings.probe_budget_per_s);
            let values = self.values(policy, |f| f.peak_messages);
            targets.push(self.target(policy, "most messages in 1 s", budget, &values));
        }
        targets
    }

    /// Targets on the lost value, which apply to scenarios with mixed calls.
    fn value_targets(&self) -> Vec<Target> {
        let mut targets = Vec::new();
        for &policy in self.plan.policies.iter().filter(|p| p.is_router()) {
            let what = "lost value / oracle".to_owned();
            let oracle = [Policy::Oracle];
            targets.extend(self.ratio(policy, what, LOST_OF_ORACLE, &oracle, |f| {
                f.lost_value_percent
            }));
            let values = self.values(policy, |f| f.high_lost_percent);
            targets.push(self.target(policy, "high priority lost %", HIGH_LOST_PERCENT, &values));
        }
        targets
    }

    /// A value of one policy for each seed; empty if the policy was not run.
    fn values(&self, policy: Policy, value: impl Fn(&Stats) -> f64) -> Vec<f64> {
        let position = self.plan.policies.iter().position(|p| *p == policy);
        position.map_or(Vec::new(), |p| {
            self.seeds
                .iter()
                .map(|seed| value(&seed[p].stats))
                .collect()
        })
    }

    /// Target for the ratio of a policy's value to the lowest of the baselines, by seed. `None` if
    /// there is no baseline or one of them was not run.
    fn ratio(
        &self,
        policy: Policy,
        what: String,
        limit: f64,
        baselines: &[Policy],
        value: impl Fn(&Stats) -> f64,
    ) -> Option<Target> {
        let mut lowest = vec![f64::MAX; self.seeds.len()];
        for &baseline in baselines {
            let values = self.values(baseline, &value);
            if values.is_empty() {
                return None;
            }
            for (low, other) in lowest.iter_mut().zip(values) {
                *low = low.min(other);
            }
        }
        if baselines.is_empty() {
            return None;
        }
        let ratios: Vec<f64> = self
            .values(policy, &value)
            .iter()
            .zip(&lowest)
            // Two runs that lost nothing are equal.
            .map(|(a, b)| if a == b { 1.0 } else { a / b })
            .collect();
        Some(self.target(policy, what, limit, &ratios))
    }

    fn target(
        &self,
        policy: Policy,
        what: impl Into<String>,
        limit: f64,
        values: &[f64],
    ) -> Target {
        Target {
            scenario: self.scenario,
            load: self.load,
            policy: policy.name(),
            what: what.into(),
            limit,
            median: median(values),
            worst: worst(values),
        }
    }
}

/// Reduces each value over several runs on its own.
fn aggregate(runs: &[Stats], reduce: impl Fn(&[f64]) -> f64) -> Stats {
    let of = |value: fn(&Stats) -> f64| reduce(&runs.iter().map(value).collect::<Vec<f64>>());
    Stats {
        p50_ms: of(|f| f.p50_ms),
        p99_ms: of(|f| f.p99_ms),
        p999_ms: of(|f| f.p999_ms),
        error_percent: of(|f| f.error_percent),
        retry_percent: of(|f| f.retry_percent),
        hedge_percent: of(|f| f.hedge_percent),
        messages_per_call: of(|f| f.messages_per_call),
        peak_messages: of(|f| f.peak_messages),
        lost_value_percent: of(|f| f.lost_value_percent),
        high_lost_percent: of(|f| f.high_lost_percent),
    }
}

/// The median; for an even number of values, the mean of the two middle ones.
fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    match sorted.len() {
        0 => 0.0,
        n if n % 2 == 1 => sorted[middle],
        _ => f64::midpoint(sorted[middle - 1], sorted[middle]),
    }
}

fn worst(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seeds {:?}, {} s each, probe budget {} messages/s per entry; \
             median over seeds | worst seed",
            self.seeds, self.seconds, self.probe_budget_per_s
        )?;
        let mut group = ("", 0);
        for row in &self.rows {
            if group != (row.scenario, row.load) {
                group = (row.scenario, row.load);
                writeln!(f, "\n{} at {} %", row.scenario, row.load)?;
                writeln!(
                    f,
                    "{:<18}{:>8}{:>8}{:>8}{:>7}{:>7}{:>7}{:>7}{:>6} |{:>8}{:>8}{:>8}{:>7}{:>7}{:>6}",
                    "policy",
                    "p50",
                    "p99",
                    "p99.9",
                    "err%",
                    "retr%",
                    "hedg%",
                    "msg/c",
                    "peak",
                    "p50",
                    "p99",
                    "p99.9",
                    "err%",
                    "msg/c",
                    "peak"
                )?;
            }
            let (m, w) = (&row.median, &row.worst);
            writeln!(
                f,
                "{:<18}{:>8.1}{:>8.1}{:>8.1}{:>7.2}{:>7.2}{:>7.2}{:>7.3}{:>6.0} \
                 |{:>8.1}{:>8.1}{:>8.1}{:>7.2}{:>7.3}{:>6.0}",
                row.policy,
                m.p50_ms,
                m.p99_ms,
                m.p999_ms,
                m.error_percent,
                m.retry_percent,
                m.hedge_percent,
                m.messages_per_call,
                m.peak_messages,
                w.p50_ms,
                w.p99_ms,
                w.p999_ms,
                w.error_percent,
                w.messages_per_call,
                w.peak_messages
            )?;
        }
        writeln!(f, "\ntargets (median over seeds, worst seed)")?;
        for t in &self.targets {
            writeln!(
                f,
                "{:<13}{:>3} % {:<16} {:<24} limit {:>7.2}  median {:>7.3} {:<6}  worst {:>7.3} {}",
                t.scenario,
                t.load,
                t.policy,
                t.what,
                t.limit,
                t.median,
                Target::verdict(t.median, t.limit),
                t.worst,
                Target::verdict(t.worst, t.limit)
            )?;
        }
        for row in self.rows.iter().filter(|row| row.is_mixed) {
            writeln!(
                f,
                "{:<13}{:>3} % {:<18} lost value {:>6.2} % (worst {:>6.2}), high priority {:>6.2} % \
                 (worst {:>6.2})",
                row.scenario,
                row.load,
                row.policy,
                row.median.lost_value_percent,
                row.worst.lost_value_percent,
                row.median.high_lost_percent,
                row.worst.high_lost_percent
            )?;
        }
        self.write_summary(f)
    }
}

impl Report {
    fn write_summary(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let missed =
            |value: fn(&Target) -> f64| self.targets.iter().filter(|t| value(t) > t.limit).count();
        writeln!(
            f,
            "\n{} targets: {} missed in the median, {} missed in the worst seed",
            self.targets.len(),
            missed(|t| t.median),
            missed(|t| t.worst)
        )
    }
}
