//! What share of the calls of a profile call each service.

use super::MAX_SERVICES;
use model::ServiceName;

/// Time in which observations lose half of their weight.
const HALF_LIFE_US: f64 = 10e6;
/// Number of calls of a profile, weighted by age, from which its shares are used. Without the weights,
/// the first call after a long silence would decide alone.
const MIN_WEIGHT: f64 = 20.0;

/// The calls of one profile that have ended, by the services that they called.
#[derive(Clone, Debug, Default)]
pub(super) struct ProfileCalls {
    /// Number of calls, weighted by their age at the last one.
    weight: f64,
    /// Services with the weighted number of calls that called them.
    services: Vec<(ServiceName, f64)>,
    updated_us: u64,
}

impl ProfileCalls {
    /// Adds a call that called these services. A further service replaces the rarest one.
    pub(super) fn record(&mut self, now_us: u64, called: &[ServiceName]) {
        self.age(now_us);
        self.weight += 1.0;
        for service in called {
            if let Some((_, weight)) = self.services.iter_mut().find(|(name, _)| name == service) {
                *weight += 1.0;
                continue;
            }
            if self.services.len() >= MAX_SERVICES {
                let rarest = (0..self.services.len())
                    .min_by(|a, b| self.services[*a].1.total_cmp(&self.services[*b].1));
                rarest.map(|index| self.services.swap_remove(index));
            }
            self.services.push((service.clone(), 1.0));
        }
    }

    /// The services that at least this share of the calls call, with their shares; none before there
    /// are enough calls.
    pub(super) fn shares(&self, min_share: f64) -> impl Iterator<Item = (&ServiceName, f64)> {
        let has_enough = self.weight >= MIN_WEIGHT;
        let services = self.services.iter().filter(move |_| has_enough);
        services
            .map(|(service, weight)| (service, weight / self.weight))
            .filter(move |(_, share)| *share >= min_share)
    }

    /// Time of the last call that was added.
    pub(super) fn updated_us(&self) -> u64 {
        self.updated_us
    }

    fn age(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.updated_us);
        let factor = (-(passed_us as f64) / HALF_LIFE_US).exp2();
        self.weight *= factor;
        for (_, weight) in &mut self.services {
            *weight *= factor;
        }
        self.updated_us = now_us;
    }
}
