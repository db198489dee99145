//! The coordinator, which divides the rates of all customers between the nodes. It runs at the
//! leader of the control group.

mod record;

use crate::{
    LEASE_MARGIN_US, LEASE_US,
    customer::{CustomerLimit, CustomerQuota, CustomerUse},
    holders::{HolderRecord, Holders},
    list::{CustomerList, ListDigest},
    message::{QuotaAnswer, QuotaDemand, QuotaGrant, QuotaGrants, QuotaReport},
    tolerance::QuotaTolerance,
};
use model::NodeId;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

/// Former lists of customers that are still understood, for nodes with an older configuration.
const KEPT_LISTS: usize = 4;
/// Time after its removal, with the window of the tolerance, for which a customer is kept: a lease and
/// a window, so that one that is added again has no second burst in a window.
const FORGET_AFTER_US: u64 = 10_000_000;
/// Interval of the check for expired leases.
const EXPIRY_INTERVAL_US: u64 = 50_000;

/// What is known about one node.
#[derive(Debug, Default)]
struct NodeState {
    incarnation: u64,
    sequence: u64,
    lease_until_us: u64,
    /// Customers of which the node has a holding.
    customers: BTreeSet<usize>,
    /// Customers whose last grant the node has not confirmed yet.
    unconfirmed: BTreeSet<usize>,
    /// Customers whose share is too large.
    oversized: BTreeSet<usize>,
}

/// Divides the rates of the customers. A new coordinator counts on shares granted by its predecessor
/// until their leases have ended, or until all nodes that may hold any have shown what they hold.
#[derive(Debug)]
pub struct QuotaCoordinator {
    epoch: u64,
    started_us: u64,
    settled_at_us: u64,
    is_settling: bool,
    customers: Vec<CustomerQuota>,
    names: Vec<Arc<str>>,
    by_name: HashMap<Arc<str>, usize>,
    /// Numbers of forgotten customers, to be used again.
    free: Vec<usize>,
    lists: VecDeque<CustomerList>,
    nodes: BTreeMap<SocketAddr, NodeState>,
    /// Incarnation of the process that last left at an address.
    departed: BTreeMap<SocketAddr, u64>,
    next_expiry_us: u64,
    tolerance: QuotaTolerance,
    /// The nodes to which it may lend; to all of them if nothing is recorded.
    holders: Option<Holders>,
    has_limits: bool,
}

impl QuotaCoordinator {
    /// A coordinator; no other has granted anything since `started_us`. `epoch` is above 0 and differs
    /// from that of all others, such as the term of the leader.
    pub fn new(started_us: u64, epoch: u64) -> Self {
        QuotaCoordinator {
            epoch,
            started_us,
            settled_at_us: started_us + LEASE_US + LEASE_MARGIN_US,
            is_settling: true,
            customers: Vec::new(),
            names: Vec::new(),
            by_name: HashMap::new(),
            free: Vec::new(),
            lists: VecDeque::new(),
            nodes: BTreeMap::new(),
            departed: BTreeMap::new(),
            next_expiry_us: started_us,
            tolerance: QuotaTolerance::default(),
            holders: None,
            has_limits: false,
        }
    }

    /// Lends only to nodes that are recorded as holders. `record` is what was committed before the
    /// coordinator started.
    pub fn with_holders(self, record: HolderRecord) -> Self {
        let holders = Some(Holders::new(self.started_us, record));
        QuotaCoordinator { holders, ..self }
    }

    /// Serves calls beyond the limits of customers as far as the deployment tolerates them.
    pub fn with_tolerance(self, tolerance: QuotaTolerance) -> Self {
        QuotaCoordinator { tolerance, ..self }
    }

    /// Applies the limits of a configuration.
    pub fn set_customers(
        &mut self,
        now_us: u64,
        customers: impl IntoIterator<Item = (Arc<str>, CustomerLimit)>,
    ) {
        self.advance(now_us);
        let is_first = self.lists.is_empty();
        let limits: BTreeMap<Arc<str>, CustomerLimit> = customers.into_iter().collect();
        self.has_limits = limits.values().any(|limit| limit.limited_rate().is_some());
        for (name, limit) in &limits {
            match self.by_name.get(name) {
                Some(index) => {
                    let index = *index;
                    self.change_limit(now_us, index, *limit);
                    self.customers[index].set_present();
                }
                None => {
                    let mut quota = match (is_first, self.is_settling) {
                        (true, true) => CustomerQuota::new(self.started_us, *limit, false),
                        (true, false) => CustomerQuota::new(self.settled_at_us, *limit, false),
                        (false, _) => CustomerQuota::new(now_us, *limit, true),
                    };
                    quota.tolerate(now_us, self.tolerance, !is_first);
                    self.insert(Arc::clone(name), quota);
                }
            }
        }
        for index in 0..self.customers.len() {
            if !limits.contains_key(&self.names[index]) {
                self.change_limit(now_us, index, CustomerLimit::default());
                self.customers[index].set_removed(now_us);
            }
        }
        let list = CustomerList::new(limits.into_keys());
        if self.lists.front().map(CustomerList::digest) != Some(list.digest()) {
            self.lists.push_front(list);
            self.lists.truncate(KEPT_LISTS);
        }
        self.forget_removed(now_us);
    }

    fn insert(&mut self, name: Arc<str>, quota: CustomerQuota) {
        let index = self.free.pop().unwrap_or(self.customers.len());
        if index == self.customers.len() {
            self.names.push(Arc::clone(&name));
            self.customers.push(quota);
        } else {
            self.names[index] = Arc::clone(&name);
            self.customers[index] = quota;
        }
        self.by_name.insert(name, index);
    }

    /// Forgets customers that were removed long ago, that no node holds anything of and that no report
    /// can name.
    fn forget_removed(&mut self, now_us: u64) {
        let keep_us = FORGET_AFTER_US + (self.tolerance.window_s * 1e6) as u64;
        for (index, quota) in self.customers.iter_mut().enumerate() {
            let name = &self.names[index];
            if !quota.is_unused_since(now_us.saturating_sub(keep_us))
                || self.by_name.get(name) != Some(&index)
                || self.lists.iter().any(|list| list.number(name).is_some())
            {
                continue;
            }
            self.by_name.remove(name);
            self.names[index] = Arc::from("");
            *quota = CustomerQuota::default();
            self.free.push(index);
        }
    }

    /// Epoch of this coordinator.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether shares that its predecessor granted may be in use without being known.
    pub fn is_settling(&self) -> bool {
        self.is_settling
    }

    /// Handles the report of a node.
    pub fn handle(&mut self, now_us: u64, node: NodeId, report: &QuotaReport) -> QuotaAnswer {
        self.advance(now_us);
        if !report.demands.is_empty() && !self.may_lend(node.mesh) {
            return QuotaAnswer::NotCoordinator { coordinator: None };
        }
        let Some(numbers) = self.resolve(report) else {
            return QuotaAnswer::OtherCustomers;
        };
        let known = self.nodes.get(&node.mesh);
        let is_late = known.is_some_and(|known| {
            (node.incarnation, report.sequence) <= (known.incarnation, known.sequence)
        });
        if is_late || self.has_left(node) {
            return QuotaAnswer::Outdated;
        }
        self.departed.remove(&node.mesh);
        if known.is_some_and(|known| known.incarnation != node.incarnation) {
            self.forget(now_us, node.mesh);
        }
        if !report.is_full && (report.epoch != self.epoch || !self.nodes.contains_key(&node.mesh)) {
            return QuotaAnswer::ReportAll { epoch: self.epoch };
        }
        if report.is_full {
            self.replace_holdings(now_us, node.mesh, report, &numbers);
        } else {
            self.confirm(now_us, node.mesh);
        }
        let state = self.nodes.entry(node.mesh).or_default();
        state.incarnation = node.incarnation;
        state.sequence = report.sequence;
        state.lease_until_us = now_us + LEASE_US + LEASE_MARGIN_US;
        self.note_holder(now_us, node.mesh, report);
        let mut grants = Vec::new();
        for (demand, index) in report.demands.iter().zip(numbers) {
            grants.extend(self.grant(now_us, node.mesh, index, demand));
        }
        grants.extend(self.correct_oversized(now_us, node.mesh, report.list));
        QuotaAnswer::Granted(QuotaGrants {
            epoch: self.epoch,
            is_settling: self.has_new_buckets(now_us),
            grants,
        })
    }

    /// Number of customers that are kept, with former ones.
    pub fn kept_customers(&self) -> usize {
        self.customers.len()
    }

    /// Use of all customers with a rate, by name.
    pub fn usage(&mut self, now_us: u64) -> Vec<(Arc<str>, CustomerUse)> {
        self.advance(now_us);
        let mut usage = Vec::new();
        for (name, quota) in self.names.iter().zip(&mut self.customers) {
            if quota.limited_rate().is_some() {
                quota.refill(now_us, self.is_settling);
                usage.push((Arc::clone(name), quota.usage()));
            }
        }
        usage.sort_by(|a, b| a.0.cmp(&b.0));
        usage
    }

    fn may_lend(&self, node: SocketAddr) -> bool {
        let holders = self.holders.as_ref().filter(|_| self.has_limits);
        holders.is_none_or(|holders| holders.contains(node))
    }

    /// Whether the buckets may be empty only because this coordinator has started lately, so that a
    /// lack of tokens doesn't show that a customer is over its limit.
    fn has_new_buckets(&self, now_us: u64) -> bool {
        self.is_settling || now_us < self.started_us + LEASE_US + LEASE_MARGIN_US
    }

    /// Ends the time in which shares of a predecessor may be in use that are not known.
    fn settle(&mut self, at_us: u64) {
        for quota in &mut self.customers {
            quota.refill(at_us, true);
        }
        self.is_settling = false;
        self.settled_at_us = at_us;
        if let Some(holders) = &mut self.holders {
            holders.set_complete();
        }
    }

    fn change_limit(&mut self, now_us: u64, index: usize, limit: CustomerLimit) {
        let quota = &mut self.customers[index];
        quota.set_limit(now_us, limit, self.is_settling);
        for node in quota.nodes() {
            if let Some(state) = self.nodes.get_mut(&node) {
                state.oversized.insert(index);
            }
        }
    }

    /// Internal numbers of the customers in a report, if its list is known.
    fn resolve(&self, report: &QuotaReport) -> Option<Vec<usize>> {
        let list = self
            .lists
            .iter()
            .find(|list| list.digest() == report.list)?;
        let number = |demand: &QuotaDemand| self.by_name.get(list.name(demand.customer)?).copied();
        report.demands.iter().map(number).collect()
    }

    /// Ends the time of settling and expired leases.
    fn advance(&mut self, now_us: u64) {
        if self.is_settling && now_us >= self.settled_at_us {
            self.settle(self.settled_at_us);
        }
        if now_us < self.next_expiry_us {
            return;
        }
        self.next_expiry_us = now_us + EXPIRY_INTERVAL_US;
        let expired: Vec<SocketAddr> = self
            .nodes
            .iter()
            .filter(|(_, state)| state.lease_until_us <= now_us)
            .map(|(node, _)| *node)
            .collect();
        for node in expired {
            self.forget(now_us, node);
        }
    }

    /// Forgets a node whose shares can't be in use any more.
    fn forget(&mut self, now_us: u64, node: SocketAddr) {
        for index in self.nodes.remove(&node).unwrap_or_default().customers {
            self.customers[index].refill(now_us, self.is_settling);
            self.customers[index].remove(node);
        }
    }

    /// Replaces what is known about a node by its full report.
    fn replace_holdings(
        &mut self,
        now_us: u64,
        node: SocketAddr,
        report: &QuotaReport,
        numbers: &[usize],
    ) {
        let is_known = self.nodes.contains_key(&node);
        let may_adopt = self.is_settling && report.epoch != self.epoch;
        let state = self.nodes.entry(node).or_default();
        state.unconfirmed.clear();
        let listed: BTreeMap<usize, u32> = numbers
            .iter()
            .copied()
            .zip(report.demands.iter().map(|demand| demand.share))
            .collect();
        for index in std::mem::take(&mut state.customers) {
            let quota = &mut self.customers[index];
            quota.refill(now_us, self.is_settling);
            match listed.get(&index) {
                Some(share) => {
                    quota.reduce(node, *share);
                    state.customers.insert(index);
                }
                None => quota.remove(node),
            }
        }
        if !is_known && may_adopt {
            for (index, share) in listed {
                self.customers[index].refill(now_us, true);
                self.customers[index].adopt(node, share);
                state.customers.insert(index);
            }
        }
    }

    /// A report that isn't full confirms the last answer.
    fn confirm(&mut self, now_us: u64, node: SocketAddr) {
        let Some(state) = self.nodes.get_mut(&node) else {
            return;
        };
        for index in std::mem::take(&mut state.unconfirmed) {
            self.customers[index].refill(now_us, self.is_settling);
            self.customers[index].confirm(node);
            if self.customers[index].remove_unused(node) {
                state.customers.remove(&index);
            }
        }
    }

    fn grant(
        &mut self,
        now_us: u64,
        node: SocketAddr,
        index: usize,
        demand: &QuotaDemand,
    ) -> Option<QuotaGrant> {
        let quota = &mut self.customers[index];
        quota.refill(now_us, self.is_settling);
        quota.reduce(node, demand.share);
        quota.put_back(demand.returned, self.is_settling);
        let oversized = quota.share_out(now_us, node, demand.demand, self.is_settling);
        let (tokens, pause_ms) = quota.take(node, demand.waiting, self.is_settling);
        let share = quota.share(node);
        for other in oversized {
            if let Some(state) = self.nodes.get_mut(&other) {
                state.oversized.insert(index);
            }
        }
        if let Some(state) = self.nodes.get_mut(&node) {
            state.customers.insert(index);
            state.unconfirmed.insert(index);
            state.oversized.remove(&index);
        }
        let is_changed = share != demand.share || demand.waiting > 0;
        is_changed.then_some(QuotaGrant {
            customer: demand.customer,
            share,
            tokens,
            pause_ms,
        })
    }

    /// Reduces the shares of a node that are too large, of customers that it did not report on.
    fn correct_oversized(
        &mut self,
        now_us: u64,
        node: SocketAddr,
        list: ListDigest,
    ) -> Vec<QuotaGrant> {
        let may_lend = self.may_lend(node);
        let Some(state) = self.nodes.get_mut(&node).filter(|_| may_lend) else {
            return Vec::new();
        };
        let list = self.lists.iter().find(|known| known.digest() == list);
        let mut grants = Vec::new();
        for index in std::mem::take(&mut state.oversized) {
            if !state.customers.contains(&index) {
                continue;
            }
            let quota = &mut self.customers[index];
            quota.refill(now_us, self.is_settling);
            let number = list.and_then(|list| list.number(&self.names[index]));
            let Some(customer) = number else {
                // The node's configuration doesn't have the customer, so it has dropped its share.
                quota.remove(node);
                state.customers.remove(&index);
                state.unconfirmed.remove(&index);
                continue;
            };
            let before = quota.share(node);
            // The other nodes with a large share have been marked when the fair share changed.
            quota.share_out(now_us, node, quota.demand(node), self.is_settling);
            state.unconfirmed.insert(index);
            if quota.share(node) != before {
                grants.push(QuotaGrant {
                    customer,
                    share: quota.share(node),
                    tokens: 0,
                    pause_ms: 0,
                });
            }
        }
        grants
    }
}
