//! Delays of messages between entries and instances.

use super::{
    event::Event,
    scenario::{Scenario, exponential},
    sim::Simulation,
};

/// One-way delay within a host, in microseconds.
const LOCAL_DELAY_US: f64 = 30.0;
/// One-way delay within an availability zone, in microseconds.
const ZONE_DELAY_US: f64 = 150.0;
/// Mean of the random part of each delay between hosts, in microseconds.
const NETWORK_JITTER_US: f64 = 50.0;

/// Mean one-way delays in microseconds, by entry and instance.
pub(super) fn mean_delays_us(scenario: &Scenario) -> Vec<Vec<f64>> {
    let delay = |entry: usize, instance: usize| {
        if scenario.sidecar && entry == instance {
            LOCAL_DELAY_US
        } else if entry % scenario.zones == instance % scenario.zones {
            ZONE_DELAY_US + NETWORK_JITTER_US
        } else {
            scenario.cross_zone_us + NETWORK_JITTER_US
        }
    };
    (0..scenario.entries)
        .map(|entry| (0..scenario.instances).map(|i| delay(entry, i)).collect())
        .collect()
}

impl Simulation<'_> {
    /// Schedules the arrival of a message between an entry and an instance, in either direction.
    pub(super) fn send_message(&mut self, entry: usize, instance: usize, event: Event) {
        let at_us = self.now_us + self.draw_delay_us(entry, instance);
        self.schedule(at_us, event);
    }

    /// Draws the one-way delay of a message.
    fn draw_delay_us(&mut self, entry: usize, instance: usize) -> u64 {
        let mean_us = self.network_us[entry][instance];
        if mean_us <= LOCAL_DELAY_US {
            return mean_us as u64;
        }
        let jitter_us = exponential(&mut self.rng, NETWORK_JITTER_US);
        (mean_us - NETWORK_JITTER_US + jitter_us) as u64
    }
}
