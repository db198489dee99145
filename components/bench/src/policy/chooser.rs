//! The policies side by side: what each entry knows and how it chooses.

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

/// Retries per second that an entry may always make.
const MIN_RETRIES_PER_S: u32 = 10;

/// A way to choose an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Policy {
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoReported,
    Ours(ProbeMode),
    Oracle,
}

impl Policy {
    pub(crate) const ALL: [Policy; 8] = [
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastOutstanding,
        Policy::TwoReported,
        Policy::Ours(ProbeMode::None),
        Policy::Ours(ProbeMode::Economical),
        Policy::Ours(ProbeMode::Fast),
        Policy::Oracle,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
            Policy::LeastOutstanding => "least-outstanding",
            Policy::TwoReported => "two-reported",
            Policy::Ours(ProbeMode::None) => "ours-passive",
            Policy::Ours(ProbeMode::Economical) => "ours-economical",
            Policy::Ours(ProbeMode::Fast) => "ours-fast",
            Policy::Oracle => "oracle",
        }
    }

    pub(crate) fn is_ours(self) -> bool {
        matches!(self, Policy::Ours(_))
    }

    /// Whether it is one of the policies that ours is compared with.
    pub(crate) fn is_baseline(self) -> bool {
        !self.is_ours() && self != Policy::Oracle
    }
}

/// A choice of instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chosen {
    pub(crate) instance: usize,
    pub(crate) key: Option<UpstreamKey>,
    pub(crate) patience_us: Option<u64>,
}

/// What a choice needs to know of the call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallKind {
    pub(crate) idempotent: bool,
    pub(crate) hedge: bool,
}

/// One entry node.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) retries: RetryBudget,
    pub(crate) hedges: RetryBudget,
    pub(crate) router: Router,
    pub(crate) probe_times_us: Vec<u64>,
    keys: Vec<UpstreamKey>,
    accepting: Vec<bool>,
    outstanding: Vec<u32>,
    reported: Vec<u32>,
    next: usize,
    rng: Pcg64Mcg,
    zone_name: AvailabilityZone,
}

impl Entry {
    pub(crate) fn new(index: usize, scenario: &Scenario, settings: &Settings, seed: u64) -> Self {
        let config = RouterConfig {
            probe_budget_per_s: settings.probe_budget_per_s,
        };
        let mut entry = Entry {
            retries: RetryBudget::new(settings.retry_percent, MIN_RETRIES_PER_S),
            hedges: RetryBudget::new(settings.hedge_percent, 0),
            router: Router::new(config, seed ^ ((index as u64 + 1) << 32)),
            probe_times_us: Vec::new(),
            keys: Vec::new(),
            accepting: vec![true; scenario.instances],
            outstanding: vec![0; scenario.instances],
            reported: vec![0; scenario.instances],
            next: index,
            rng: Pcg64Mcg::seed_from_u64(seed.wrapping_mul(31) + index as u64),
            zone_name: zone_name(index % scenario.zones),
        };
        for instance in 0..scenario.instances {
            let upstream = upstream(scenario, instance, 0, UpstreamState::Serving);
            entry.keys.push(entry.router.upsert(0, &upstream));
        }
        entry
    }

    /// Takes in what gossip, or a refusal, says about an instance's state.
    pub(crate) fn state_changed(
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

    pub(crate) fn reported(&mut self, instance: usize, load: u32) {
        self.reported[instance] = load;
    }

    pub(crate) fn key(&self, instance: usize) -> UpstreamKey {
        self.keys[instance]
    }

    pub(crate) fn instance_of(&self, key: UpstreamKey) -> Option<usize> {
        self.keys.iter().position(|&k| k == key)
    }

    pub(crate) fn sent(&mut self, now_us: u64, chosen: Chosen) {
        self.outstanding[chosen.instance] += 1;
        if let Some(key) = chosen.key {
            self.router.record_sent(now_us, key);
        }
    }

    pub(crate) fn settled(&mut self, instance: usize) {
        self.outstanding[instance] -= 1;
    }

    pub(crate) fn choose(
        &mut self,
        now_us: u64,
        policy: Policy,
        used: &[usize],
        kind: CallKind,
        view: &View,
    ) -> Option<Chosen> {
        if let Policy::Ours(measure) = policy {
            return self.choose_routed(now_us, measure, used, kind, view);
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
                self.next += 1;
                usable[self.next % usable.len()]
            }
            Policy::LeastOutstanding => least(&usable, offset, |i| f64::from(self.outstanding[i])),
            Policy::TwoReported => self.two_reported(&usable),
            Policy::Oracle => least(&usable, offset, |i| {
                view.instances[i].true_expected_us() + view.network_us[i]
            }),
            Policy::Random | Policy::Ours(_) => usable[offset],
        };
        Some(Chosen {
            instance,
            key: None,
            patience_us: None,
        })
    }

    fn choose_routed(
        &mut self,
        now_us: u64,
        measure: ProbeMode,
        used: &[usize],
        kind: CallKind,
        view: &View,
    ) -> Option<Chosen> {
        if let Some((instance, signal)) = view.local {
            self.router
                .record_signal(now_us, self.keys[instance], signal);
        }
        let mut exclude = [UpstreamKey::default(); super::sim::MAX_ATTEMPTS];
        for (slot, &instance) in exclude.iter_mut().zip(used) {
            *slot = self.keys[instance];
        }
        let request = RouteRequest {
            zone: &self.zone_name,
            exclude: &exclude[..used.len()],
            measure,
            zone_preference: ZonePreference::Prefer,
            idempotent: kind.idempotent,
            hedge: kind.hedge,
        };
        let choice = self.router.choose(now_us, &request).ok()?;
        let patience_us = choice
            .max_queue_wait_us
            .filter(|_| choice.reason != ChoiceReason::Fallback);
        let instance = self.instance_of(choice.upstream)?;
        Some(Chosen {
            instance,
            key: Some(choice.upstream),
            patience_us,
        })
    }

    fn two_reported(&mut self, usable: &[usize]) -> usize {
        let first = self.rng.random_range(0..usable.len());
        let step = if usable.len() > 1 {
            self.rng.random_range(1..usable.len())
        } else {
            0
        };
        let (a, b) = (usable[first], usable[(first + step) % usable.len()]);
        if self.reported[b] < self.reported[a] {
            b
        } else {
            a
        }
    }
}

/// What a choice may look at beside the entry's own knowledge.
pub(crate) struct View<'a> {
    /// True state, for the oracle only.
    pub(crate) instances: &'a [Instance],
    /// Mean one-way delay to each instance, for the oracle only.
    pub(crate) network_us: &'a [f64],
    /// Instance beside this entry and its owner's signal, which costs no message.
    pub(crate) local: Option<(usize, LoadSignal)>,
}

/// The usable instance with the least cost; the first from `offset` on among equals.
fn least(usable: &[usize], offset: usize, cost: impl Fn(usize) -> f64) -> usize {
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
