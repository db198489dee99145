//! The compared policies: what an entry knows about the instances and how it chooses one.

use super::{instance::Instance, scenario::Scenario, settings::Settings};
use limits::RetryBudget;
use model::{
    AvailabilityZone, HostName, LoadSignal, NodeId, ProbeMode, ProfileName, ServiceName, Upstream,
    UpstreamName, UpstreamState, ZonePreference,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use routing::{ChoiceReason, RouteRequest, Router, RouterConfig, UpstreamKey};
use std::sync::Arc;

/// Retries per second that an entry may make even without successful calls.
const MIN_RETRIES_PER_S: u32 = 10;

/// A routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Policy {
    Random,
    RoundRobin,
    /// The instance with the fewest calls that this entry has sent and that have not ended.
    LeastOutstanding,
    /// The one of two random instances that last reported the lower load.
    TwoReported,
    /// The load balancer's own router. The report calls these policies `ours-...`.
    Router(ProbeMode),
    /// Chooses by the true state of all instances, which no real policy knows.
    Oracle,
}

impl Policy {
    pub(crate) const ALL: [Policy; 8] = [
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastOutstanding,
        Policy::TwoReported,
        Policy::Router(ProbeMode::None),
        Policy::Router(ProbeMode::Economical),
        Policy::Router(ProbeMode::Fast),
        Policy::Oracle,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
            Policy::LeastOutstanding => "least-outstanding",
            Policy::TwoReported => "two-reported",
            Policy::Router(ProbeMode::None) => "ours-passive",
            Policy::Router(ProbeMode::Economical) => "ours-economical",
            Policy::Router(ProbeMode::Fast) => "ours-fast",
            Policy::Oracle => "oracle",
        }
    }

    pub(crate) fn is_router(self) -> bool {
        matches!(self, Policy::Router(_))
    }

    /// Whether it is one of the policies that the router is compared with.
    pub(crate) fn is_baseline(self) -> bool {
        !self.is_router() && self != Policy::Oracle
    }
}

/// Result of [`Entry::choose`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChosenInstance {
    pub(crate) instance: usize,
    /// The router's key, if the router chose.
    pub(crate) key: Option<UpstreamKey>,
    /// Longest wait at the owner, if the router limits it.
    pub(crate) max_queue_wait_us: Option<u64>,
}

/// Properties of an attempt that a choice depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptKind {
    pub(crate) idempotent: bool,
    pub(crate) hedge: bool,
}

/// Simulated entry: its router, its budgets and what the other policies know about instances.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) retry_budget: RetryBudget,
    pub(crate) hedge_budget: RetryBudget,
    pub(crate) router: Router,
    /// Times at which this entry sent probes.
    pub(crate) probe_times_us: Vec<u64>,
    /// The router's key of each instance.
    keys: Vec<UpstreamKey>,
    /// Whether each instance accepts calls, as far as the entry knows.
    accepting: Vec<bool>,
    /// Number of unfinished attempts that this entry has sent to each instance.
    outstanding: Vec<u32>,
    /// Last reported load of each instance.
    reported_load: Vec<u32>,
    /// Position of the round-robin policy.
    round_robin: usize,
    rng: Pcg64Mcg,
    zone_name: AvailabilityZone,
}

impl Entry {
    pub(crate) fn new(index: usize, scenario: &Scenario, settings: &Settings, seed: u64) -> Self {
        let config = RouterConfig {
            probe_budget_per_s: settings.probe_budget_per_s,
        };
        let mut entry = Entry {
            retry_budget: RetryBudget::new(settings.retry_percent, MIN_RETRIES_PER_S),
            hedge_budget: RetryBudget::new(settings.hedge_percent, 0),
            router: Router::new(config, seed ^ ((index as u64 + 1) << 32)),
            probe_times_us: Vec::new(),
            keys: Vec::new(),
            accepting: vec![true; scenario.instances],
            outstanding: vec![0; scenario.instances],
            reported_load: vec![0; scenario.instances],
            round_robin: index,
            rng: Pcg64Mcg::seed_from_u64(seed.wrapping_mul(31) + index as u64),
            zone_name: zone_name(index % scenario.zones),
        };
        for instance in 0..scenario.instances {
            let upstream = upstream(scenario, instance, 0, UpstreamState::Serving);
            entry.keys.push(entry.router.upsert(0, &upstream));
        }
        entry
    }

    /// Records an instance's state, as gossip or a refusal reports it.
    pub(crate) fn record_state(
        &mut self,
        now_us: u64,
        scenario: &Scenario,
        instance: usize,
        restarts: u64,
        state: UpstreamState,
    ) {
        self.accepting[instance] = state.accepts_calls();
        let upstream = upstream(scenario, instance, restarts, state);
        self.keys[instance] = self.router.upsert(now_us, &upstream);
    }

    pub(crate) fn record_reported_load(&mut self, instance: usize, load: u32) {
        self.reported_load[instance] = load;
    }

    pub(crate) fn key(&self, instance: usize) -> UpstreamKey {
        self.keys[instance]
    }

    pub(crate) fn instance_of(&self, key: UpstreamKey) -> Option<usize> {
        self.keys.iter().position(|&k| k == key)
    }

    pub(crate) fn record_sent(&mut self, now_us: u64, chosen: ChosenInstance) {
        self.outstanding[chosen.instance] += 1;
        if let Some(key) = chosen.key {
            self.router.record_sent(now_us, key);
        }
    }

    /// Records that an attempt is no longer outstanding.
    pub(crate) fn record_ended(&mut self, instance: usize) {
        self.outstanding[instance] -= 1;
    }

    /// Chooses an instance that is not in `used`; `None` if there is none.
    pub(crate) fn choose(
        &mut self,
        now_us: u64,
        policy: Policy,
        used: &[usize],
        kind: AttemptKind,
        context: &ChoiceContext,
    ) -> Option<ChosenInstance> {
        if let Policy::Router(probe_mode) = policy {
            return self.choose_by_router(now_us, probe_mode, used, kind, context);
        }
        let usable: Vec<usize> = (0..self.accepting.len())
            .filter(|i| self.accepting[*i] && !used.contains(i))
            .collect();
        if usable.is_empty() {
            return None;
        }
        let offset = self.rng.random_range(0..usable.len());
        let instance = match policy {
            Policy::RoundRobin => {
                self.round_robin += 1;
                usable[self.round_robin % usable.len()]
            }
            Policy::LeastOutstanding => {
                least_cost(&usable, offset, |i| f64::from(self.outstanding[i]))
            }
            Policy::TwoReported => self.two_reported(&usable),
            Policy::Oracle => least_cost(&usable, offset, |i| {
                context.instances[i].true_expected_us() + context.network_us[i]
            }),
            Policy::Random | Policy::Router(_) => usable[offset],
        };
        Some(ChosenInstance {
            instance,
            key: None,
            max_queue_wait_us: None,
        })
    }

    fn choose_by_router(
        &mut self,
        now_us: u64,
        probe_mode: ProbeMode,
        used: &[usize],
        kind: AttemptKind,
        context: &ChoiceContext,
    ) -> Option<ChosenInstance> {
        if let Some((instance, signal)) = context.local_signal {
            self.router
                .record_signal(now_us, self.keys[instance], signal);
        }
        let mut exclude = [UpstreamKey::default(); super::entry::MAX_ATTEMPTS];
        for (slot, &instance) in exclude.iter_mut().zip(used) {
            *slot = self.keys[instance];
        }
        let request = RouteRequest {
            zone: &self.zone_name,
            exclude: &exclude[..used.len()],
            measure: probe_mode,
            zone_preference: ZonePreference::Prefer,
            idempotent: kind.idempotent,
            hedge: kind.hedge,
        };
        let choice = self.router.choose(now_us, &request).ok()?;
        let max_queue_wait_us = choice
            .max_queue_wait_us
            .filter(|_| choice.reason != ChoiceReason::Fallback);
        let instance = self.instance_of(choice.upstream)?;
        Some(ChosenInstance {
            instance,
            key: Some(choice.upstream),
            max_queue_wait_us,
        })
    }

    /// Draws two different instances, if there are two, and returns the less loaded one by report.
    fn two_reported(&mut self, usable: &[usize]) -> usize {
        let first = self.rng.random_range(0..usable.len());
        let step = if usable.len() > 1 {
            self.rng.random_range(1..usable.len())
        } else {
            0
        };
        let (a, b) = (usable[first], usable[(first + step) % usable.len()]);
        if self.reported_load[b] < self.reported_load[a] {
            b
        } else {
            a
        }
    }
}

/// Knowledge for a choice that the entry does not hold itself.
pub(crate) struct ChoiceContext<'a> {
    /// True state of the instances, for the oracle only.
    pub(crate) instances: &'a [Instance],
    /// Mean one-way delay to each instance, for the oracle only.
    pub(crate) network_us: &'a [f64],
    /// Instance beside this entry and its load signal, which the router gets without a message.
    pub(crate) local_signal: Option<(usize, LoadSignal)>,
}

/// The usable instance with the lowest cost; among equals the first from position `offset` on.
fn least_cost(usable: &[usize], offset: usize, cost: impl Fn(usize) -> f64) -> usize {
    let rotated = usable[offset..].iter().chain(&usable[..offset]);
    let best = rotated
        .copied()
        .min_by(|&a, &b| cost(a).total_cmp(&cost(b)));
    best.unwrap_or(usable[offset])
}

fn zone_name(zone: usize) -> AvailabilityZone {
    AvailabilityZone::parse(format!("zone-{zone}")).expect("a valid name")
}

fn upstream(scenario: &Scenario, index: usize, restarts: u64, state: UpstreamState) -> Upstream {
    let address = ([127, 0, 0, 1], 10_000 + index as u16).into();
    Upstream {
        name: UpstreamName::parse(format!("i{index}")).expect("a valid name"),
        service: ServiceName::parse(scenario.name).expect("a valid name"),
        availability_zone: zone_name(index % scenario.zones),
        host: HostName::parse(format!("h{index}")).expect("a valid name"),
        node: NodeId {
            mesh: address,
            incarnation: restarts + 1,
        },
        address,
        slots: scenario.slots,
        connections: 260,
        state,
        announced_ms: restarts,
        default_profile: ProfileName::parse("default").expect("a valid name"),
        rules: Arc::from([]),
        version: restarts,
    }
}
