//! Customers and the calls of their callers.

use quota::CustomerLimit;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{collections::BTreeSet, sync::Arc};

/// A customer and the calls that its callers send.
pub struct Load {
    pub name: Arc<str>,
    pub limit: CustomerLimit,
    /// Calls per second by time.
    pub demand: Box<dyn Fn(u64) -> f64>,
    /// Node of a call by time and a random number.
    pub node: Box<dyn Fn(u64, u64) -> usize>,
    /// Whether calls come at random times instead of even ones.
    pub is_random: bool,
}

/// Customers as in the workload: Zipf with exponent 1.2, rates of 1.6 times the demand rounded up
/// but at least 5, bursts of one second; callers stay at one node each.
pub fn zipf_loads(customers: usize, nodes: usize, calls_per_s: f64, callers: usize) -> Vec<Load> {
    let weights: Vec<f64> = (1..=customers).map(|n| (n as f64).powf(-1.2)).collect();
    let sum: f64 = weights.iter().sum();
    let loads = weights.iter().enumerate().map(|(number, weight)| {
        let demand = calls_per_s * weight / sum;
        let rate = (demand * 1.6).ceil().max(5.0);
        Load {
            name: Arc::from(format!("customer-{number:05}")),
            limit: CustomerLimit {
                rate_per_s: Some(rate),
                burst: rate,
            },
            demand: Box::new(move |_| demand),
            node: Box::new(move |_, random| caller_node(number, random, callers, nodes)),
            is_random: true,
        }
    });
    loads.collect()
}

/// Node of a random caller of a customer.
pub fn caller_node(customer: usize, random: u64, callers: usize, nodes: usize) -> usize {
    let caller = random as usize % callers;
    let spread = (customer * 7_919 + caller * 104_729 + 13).wrapping_mul(0x9e37_79b9);
    (spread >> 7) % nodes
}

/// Numbers of the nodes of a random part.
pub fn some_nodes(nodes: usize, count: usize, seed: u64) -> BTreeSet<usize> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut chosen = BTreeSet::new();
    while chosen.len() < count {
        chosen.insert(random.random_range(0..nodes));
    }
    chosen
}
