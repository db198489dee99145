//! Deployments, arrivals and disturbances of the policy comparison.

use super::mix::{self, CallKind};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Mean service time of a call on an undisturbed instance, in microseconds.
pub(crate) const MEAN_SERVICE_US: f64 = 8_000.0;
/// Standard deviation of the logarithm of the service time.
const SERVICE_SIGMA: f64 = 0.5;
const IDEMPOTENT_SHARE: f64 = 0.7;
/// Factor by which a noisy neighbour slows an instance.
pub(crate) const NOISY_FACTOR: f64 = 5.0;
/// Shortest and longest noisy period in microseconds.
const NOISY_US: (f64, f64) = (20_000.0, 500_000.0);
/// Mean time from the end of a noisy period of an instance to its next one, in microseconds.
const NOISY_GAP_US: f64 = 4_000_000.0;
/// Time from the start of a drain to the restarted instance, in microseconds.
const RESTART_US: u64 = 300_000;
/// Time during which a restarted instance runs slowly, in microseconds.
const COLD_US: u64 = 500_000;
/// Shortest and longest period of fast failures, in microseconds.
const FAILING_US: (f64, f64) = (300_000.0, 800_000.0);
/// Shortest and longest period of false load reports, in microseconds.
const MISREPORT_US: (f64, f64) = (2_000_000.0, 4_000_000.0);

/// Size and network of a simulated deployment.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) instances: usize,
    pub(crate) slots: u32,
    pub(crate) zones: usize,
    /// One-way delay between availability zones without jitter, in microseconds.
    pub(crate) cross_zone_us: f64,
    pub(crate) entries: usize,
    /// Whether entry `i` runs beside instance `i`.
    pub(crate) sidecar: bool,
    /// Whether calls are of several kinds and their demand varies in waves. Such a scenario runs only
    /// if it is chosen by name.
    pub(crate) is_mixed: bool,
}

/// The existing deployments, and one with many entries.
pub(crate) fn scenarios() -> Vec<Scenario> {
    let existing = |name, instances, slots, zones, cross_zone_us| Scenario {
        name,
        instances,
        slots,
        zones,
        cross_zone_us,
        entries: instances,
        sidecar: true,
        is_mixed: false,
    };
    vec![
        existing("catalogue", 7, 6, 3, 1_000.0),
        existing("lending", 5, 6, 3, 1_000.0),
        existing("ordering", 7, 9, 4, 1_500.0),
        existing("kitchen", 4, 9, 4, 1_500.0),
        Scenario {
            entries: 100,
            sidecar: false,
            ..existing("many-entries", 17, 9, 4, 1_500.0)
        },
        Scenario {
            is_mixed: true,
            ..existing("waves", 8, 6, 3, 1_000.0)
        },
    ]
}

/// Arrival of one call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at_us: u64,
    pub(crate) entry: usize,
    /// Service time on an undisturbed instance, in microseconds.
    pub(crate) work_us: f64,
    pub(crate) idempotent: bool,
    /// Kind of the call in a scenario with mixed calls.
    pub(crate) kind: Option<CallKind>,
}

/// A change of an instance's condition.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Disturbance {
    /// A noisy period begins (`true`) or ends.
    Noisy(bool),
    /// The instance drains before a restart.
    Draining,
    /// The instance is back after a drain, and slow at first.
    Restarted,
    /// The restarted instance runs at full speed.
    Warm,
    /// Fast failures begin (`true`) or end.
    Failing(bool),
    /// False load reports begin (`true`) or end.
    Misreporting(bool),
}

/// Kinds of disturbances that the option `--disturb` chooses from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DisturbanceKind {
    Noisy,
    Drain,
    Fail,
    /// Called `lie` in the option.
    Misreport,
}

impl Disturbance {
    pub(crate) fn kind(self) -> DisturbanceKind {
        match self {
            Disturbance::Noisy(_) => DisturbanceKind::Noisy,
            Disturbance::Draining | Disturbance::Restarted | Disturbance::Warm => {
                DisturbanceKind::Drain
            }
            Disturbance::Failing(_) => DisturbanceKind::Fail,
            Disturbance::Misreporting(_) => DisturbanceKind::Misreport,
        }
    }
}

/// Arrivals and disturbances of a run. They depend on the seed but not on the policy, so that all
/// policies get the same.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    pub(crate) seed: u64,
    pub(crate) arrivals: Vec<Arrival>,
    /// Time in microseconds, instance and change.
    pub(crate) disturbances: Vec<(u64, usize, Disturbance)>,
}

impl Workload {
    pub(crate) fn new(scenario: &Scenario, load: f64, seconds: u32, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let end_us = f64::from(seconds) * 1e6;
        let draw = if scenario.is_mixed {
            mix::draw_arrivals
        } else {
            draw_arrivals
        };
        let arrivals = draw(scenario, load, end_us, &mut rng);
        let mut disturbances = Vec::new();
        for instance in 0..scenario.instances {
            add_noisy_periods(&mut disturbances, scenario, instance, end_us, &mut rng);
        }
        if !scenario.is_mixed {
            add_incidents(&mut disturbances, scenario.instances, end_us, &mut rng);
        }
        disturbances.sort_by_key(|&(at_us, instance, _)| (at_us, instance));
        Workload {
            seed,
            arrivals,
            disturbances,
        }
    }
}

fn draw_arrivals(scenario: &Scenario, load: f64, end_us: f64, rng: &mut Pcg64Mcg) -> Vec<Arrival> {
    let slots = scenario.instances as f64 * f64::from(scenario.slots);
    let gap_us = MEAN_SERVICE_US / (slots * load);
    let mut arrivals = Vec::with_capacity((end_us / gap_us * 1.1) as usize);
    let mut at_us = exponential(rng, gap_us);
    while at_us < end_us {
        arrivals.push(Arrival {
            at_us: at_us as u64,
            entry: rng.random_range(0..scenario.entries),
            work_us: log_normal(rng, MEAN_SERVICE_US, SERVICE_SIGMA),
            idempotent: rng.random_bool(IDEMPOTENT_SHARE),
            kind: None,
        });
        at_us += exponential(rng, gap_us);
    }
    arrivals
}

fn add_noisy_periods(
    out: &mut Vec<(u64, usize, Disturbance)>,
    scenario: &Scenario,
    instance: usize,
    end_us: f64,
    rng: &mut Pcg64Mcg,
) {
    let gap_us = if scenario.is_mixed {
        mix::SLOW_GAP_US
    } else {
        NOISY_GAP_US
    };
    let mut at_us = exponential(rng, gap_us);
    while at_us < end_us {
        let length_us = if scenario.is_mixed {
            mix::SLOW_US
        } else {
            log_uniform(rng, NOISY_US)
        };
        out.push((at_us as u64, instance, Disturbance::Noisy(true)));
        at_us += length_us;
        out.push((at_us as u64, instance, Disturbance::Noisy(false)));
        at_us += exponential(rng, gap_us);
    }
}

/// Adds a drain with restart, a period of fast failures and one of false load reports, on different
/// instances if there are enough.
fn add_incidents(
    out: &mut Vec<(u64, usize, Disturbance)>,
    instances: usize,
    end_us: f64,
    rng: &mut Pcg64Mcg,
) {
    let first = rng.random_range(0..instances);
    let start = |rng: &mut Pcg64Mcg| (end_us * rng.random_range(0.1..0.8)) as u64;

    let drain_us = start(rng);
    out.push((drain_us, first, Disturbance::Draining));
    out.push((drain_us + RESTART_US, first, Disturbance::Restarted));
    out.push((drain_us + RESTART_US + COLD_US, first, Disturbance::Warm));

    let failing = (first + 1) % instances;
    let fail_us = start(rng);
    out.push((fail_us, failing, Disturbance::Failing(true)));
    let fail_end_us = fail_us + log_uniform(rng, FAILING_US) as u64;
    out.push((fail_end_us, failing, Disturbance::Failing(false)));

    let misreporting = (first + 2) % instances;
    let misreport_us = start(rng);
    out.push((misreport_us, misreporting, Disturbance::Misreporting(true)));
    let misreport_end_us = misreport_us + log_uniform(rng, MISREPORT_US) as u64;
    out.push((
        misreport_end_us,
        misreporting,
        Disturbance::Misreporting(false),
    ));
}

/// Draws from an exponential distribution.
pub(crate) fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Draws a value whose logarithm is uniformly distributed.
fn log_uniform(rng: &mut Pcg64Mcg, (low, high): (f64, f64)) -> f64 {
    low * (high / low).powf(rng.random::<f64>())
}

/// Draws from a log-normal distribution; `sigma` is the standard deviation of the logarithm.
fn log_normal(rng: &mut Pcg64Mcg, mean: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    mean * (sigma * normal - sigma * sigma / 2.0).exp()
}
