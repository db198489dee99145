//! Fairness between customers inside a priority: deficit round robin over the waiting calls by
//! customer.
//!
//! Workload: one customer calls 11 times as often as usual while another has 1 % of the load. In a
//! common queue the other's calls would wait behind all of them. Each customer that waits gets the
//! same service time in turn, so that its wait depends on the number of customers and on its own
//! calls only. Calls without a customer count as one customer; if no call has one, the order is that
//! of the queue alone.

use super::AdmissionRequest;
use std::{
    collections::{HashMap, VecDeque, hash_map::Entry},
    hash::{DefaultHasher, Hash, Hasher},
};

/// Identifies a customer in an owner's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CustomerKey(u64);

impl CustomerKey {
    /// The key of a customer's name. Two names with equal keys would share one turn, nothing more.
    pub fn of(name: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        CustomerKey(hasher.finish())
    }
}

/// A call that may start next: its position in the queue, its customer and its service time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) index: usize,
    pub(super) customer: Option<CustomerKey>,
    pub(super) service_us: u64,
}

/// Turns of the customers whose calls wait in one queue. Its size is bounded by their number.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerTurns {
    ring: VecDeque<Option<CustomerKey>>,
    /// Service time that each customer may still use in its turn.
    deficits_us: HashMap<Option<CustomerKey>, u64>,
    /// Whether the customer at the front has got the service time of its turn.
    has_turn: bool,
}

impl CustomerTurns {
    /// Chooses one of the candidates, the best one of each customer first in the list. `waiting` is
    /// the queue that they are part of.
    pub(super) fn choose(
        &mut self,
        waiting: &VecDeque<AdmissionRequest>,
        candidates: &[Candidate],
    ) -> Option<usize> {
        self.update(waiting);
        // A turn is long enough for the longest candidate, so that each turn starts a call.
        let turn_us = candidates.iter().map(|c| c.service_us.max(1)).max()?;
        for _ in 0..=2 * self.ring.len() {
            let customer = *self.ring.front()?;
            let best = candidates.iter().find(|c| c.customer == customer);
            let deficit_us = self.deficits_us.entry(customer).or_default();
            if let Some(best) = best {
                if !std::mem::replace(&mut self.has_turn, true) {
                    *deficit_us += turn_us;
                }
                let cost_us = best.service_us.max(1);
                if *deficit_us >= cost_us {
                    *deficit_us -= cost_us;
                    return Some(best.index);
                }
            }
            self.has_turn = false;
            self.ring.rotate_left(1);
        }
        None
    }

    /// Adds customers whose calls wait and drops the others with their unused time.
    fn update(&mut self, waiting: &VecDeque<AdmissionRequest>) {
        let front = self.ring.front().copied();
        let is_waiting =
            |customer: &Option<CustomerKey>| waiting.iter().any(|r| r.customer == *customer);
        self.ring.retain(is_waiting);
        self.deficits_us.retain(|customer, _| is_waiting(customer));
        if self.ring.front().copied() != front {
            self.has_turn = false;
        }
        for request in waiting {
            if let Entry::Vacant(entry) = self.deficits_us.entry(request.customer) {
                entry.insert(0);
                self.ring.push_back(request.customer);
            }
        }
    }
}

/// Whether customers take turns in this queue.
pub(super) fn has_customers(waiting: &VecDeque<AdmissionRequest>) -> bool {
    waiting.iter().any(|request| request.customer.is_some())
}

/// Service time of the calls that start before one more call of `customer`. In each round every
/// customer gets as much time, so another customer's calls take at most the time that this
/// customer's own calls take, the new one included.
pub(super) fn work_ahead_us(
    ahead: impl Iterator<Item = (Option<CustomerKey>, u64)>,
    customer: Option<CustomerKey>,
    service_us: u64,
) -> u64 {
    let mut work_us: HashMap<Option<CustomerKey>, u64> = HashMap::new();
    for (other, other_us) in ahead {
        *work_us.entry(other).or_default() += other_us;
    }
    let own_us = work_us.remove(&customer).unwrap_or(0);
    let turn_us = own_us + service_us;
    own_us + work_us.values().map(|us| (*us).min(turn_us)).sum::<u64>()
}

/// Position of the newest call of the customer that has most calls in the queue, if it has at least
/// two more than `customer`.
pub(super) fn newest_of_largest(
    waiting: &VecDeque<AdmissionRequest>,
    customer: Option<CustomerKey>,
) -> Option<usize> {
    let mut calls: HashMap<Option<CustomerKey>, usize> = HashMap::new();
    for request in waiting {
        *calls.entry(request.customer).or_default() += 1;
    }
    let own = calls.get(&customer).copied().unwrap_or(0);
    let largest = calls.values().copied().max()?;
    if largest < own + 2 {
        return None;
    }
    waiting
        .iter()
        .rposition(|request| calls[&request.customer] == largest)
}
