//! Intended times of the calls of a load run.

use super::LoadConfig;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Distribution of the time between calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spacing {
    /// Equal distances.
    Fixed,
    /// Exponentially distributed distances, as of calls from many independent callers.
    Poisson,
}

/// Iterator over the numbers of the calls, from 1, and their times since the start.
#[derive(Debug)]
pub(super) struct Schedule {
    rng: Pcg64Mcg,
    spacing: Spacing,
    mean_us: f64,
    next_us: f64,
    end_us: f64,
    number: u64,
}

impl Schedule {
    pub(super) fn new(config: &LoadConfig) -> Self {
        Schedule {
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            spacing: config.spacing,
            mean_us: 1_000_000.0 / config.rate_per_s,
            next_us: 0.0,
            end_us: config.duration_ms as f64 * 1_000.0,
            number: 0,
        }
    }
}

impl Iterator for Schedule {
    type Item = (u64, Duration);

    fn next(&mut self) -> Option<Self::Item> {
        if self.next_us >= self.end_us {
            return None;
        }
        let at = Duration::from_micros(self.next_us as u64);
        self.next_us += match self.spacing {
            Spacing::Fixed => self.mean_us,
            Spacing::Poisson => {
                let uniform: f64 = self.rng.random();
                -(1.0 - uniform).ln() * self.mean_us
            }
        };
        self.number += 1;
        Some((self.number, at))
    }
}
