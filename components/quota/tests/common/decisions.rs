//! Decisions about calls and their counts.

use super::World;
use std::collections::BTreeMap;

/// Window in which the calls of a customer are counted.
const WINDOW_US: u64 = 5_000_000;

/// Decisions about the calls of one customer.
#[derive(Default)]
pub struct Decisions {
    pub admitted_us: Vec<u64>,
    pub over_limit_us: Vec<u64>,
    pub unavailable_us: Vec<u64>,
    pub longest_wait_us: u64,
}

impl Decisions {
    pub fn admitted_between(&self, from_us: u64, to_us: u64) -> usize {
        count_between(&self.admitted_us, from_us, to_us)
    }

    pub fn refused_between(&self, from_us: u64, to_us: u64) -> usize {
        self.over_limit_between(from_us, to_us)
            + count_between(&self.unavailable_us, from_us, to_us)
    }

    pub fn over_limit_between(&self, from_us: u64, to_us: u64) -> usize {
        count_between(&self.over_limit_us, from_us, to_us)
    }

    /// Most admitted calls in any window that begins at or after a time.
    pub fn worst_window(&self, from_us: u64) -> usize {
        let mut times: Vec<u64> = self.admitted_us.clone();
        times.retain(|at| *at >= from_us);
        times.sort_unstable();
        let mut first = 0;
        let mut worst = 0;
        for (last, at) in times.iter().enumerate() {
            while times[first] + WINDOW_US <= *at {
                first += 1;
            }
            worst = worst.max(last - first + 1);
        }
        worst
    }
}

fn count_between(times_us: &[u64], from_us: u64, to_us: u64) -> usize {
    let times = times_us.iter();
    times.filter(|at| (from_us..to_us).contains(at)).count()
}

/// Number of decisions of each kind, for messages of failed checks.
pub fn totals(world: &World) -> BTreeMap<&'static str, usize> {
    let sum = |count: fn(&Decisions) -> usize| world.decisions.iter().map(count).sum();
    BTreeMap::from([
        ("admitted", sum(|d| d.admitted_us.len())),
        ("over limit", sum(|d| d.over_limit_us.len())),
        ("unavailable", sum(|d| d.unavailable_us.len())),
    ])
}
