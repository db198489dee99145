//! Quota of one customer at the coordinator: a token bucket, and the shares that nodes hold.
//!
//! The tokens in the bucket and those that nodes may hold never exceed the capacity together, and
//! the bucket is refilled at the rate less the shares. So the calls in a window of T seconds can't
//! exceed the capacity plus the rate times T, whatever happens to the nodes and their messages.

use crate::{
    holding::Holding,
    share::{SPARSE_SHARE, UNITS_PER_CALL, max_held, per_s, share_for, share_holding_at_most},
    tolerance::{QuotaTolerance, ToleranceWindow},
};
use std::{collections::BTreeMap, net::SocketAddr};

/// Part of the rate that is divided into shares. The rest refills the bucket, also while a new
/// coordinator does not know all shares.
const SHARED_PERCENT: f64 = 80.0;
/// Tokens beyond the burst that nodes may hold, so that small bursts don't keep nodes from having a
/// token ready. Part of the overage that is allowed in any window.
const EXTRA_TOKENS: f64 = 7.0;
/// As [`EXTRA_TOKENS`], as a time at the rate.
const EXTRA_S: f64 = 0.1;
/// Level of the bucket below which tokens are scarce, and from which they no longer are, in percent.
const SCARCE_PERCENT: (f64, f64) = (60.0, 95.0);
/// Age up to which the fair share is used again.
const FAIR_SHARE_AGE_US: u64 = 100_000;
/// Part of the bucket that gives way to the tokens that nodes may hold, in percent.
const HELD_PERCENT: f64 = 20.0;
/// Shortest and longest pause after a lack of tokens.
const PAUSE_MS: (f64, f64) = (50.0, 250.0);

/// Limit of a customer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerLimit {
    /// Calls per second over all nodes; no limit if absent or 0.
    pub rate_per_s: Option<f64>,
    /// Calls beyond the rate that may come at once.
    pub burst: f64,
}

impl CustomerLimit {
    /// The rate, if there is a limit.
    pub fn limited_rate(&self) -> Option<f64> {
        self.rate_per_s.filter(|rate| *rate > 0.0)
    }
}

/// What operators see of a customer's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerUse {
    /// Its limit.
    pub limit: CustomerLimit,
    /// Tokens in the bucket.
    pub tokens: f64,
    /// Tokens that nodes may hold.
    pub held: u64,
    /// Shares of nodes in calls per second.
    pub shares: Vec<(SocketAddr, f64)>,
    /// Tokens granted to waiting calls since the coordinator's start.
    pub granted: u64,
    /// Waiting calls that got no token.
    pub denied: u64,
}

#[derive(Debug, Default)]
pub(crate) struct CustomerQuota {
    limit: CustomerLimit,
    level: f64,
    updated_us: u64,
    holdings: BTreeMap<SocketAddr, Holding>,
    /// Sum of the shares that nodes may be using.
    committed: u64,
    /// Sum of the tokens that nodes may be holding.
    reserved: u64,
    /// Sum of the tokens in answers that nodes have not confirmed.
    lent: u64,
    /// Sum of the shares that would meet all demands.
    wanted: u64,
    /// Sum of the shares taken over from a predecessor's grants.
    adopted: u64,
    /// Largest share at present, if not all demand can be met, and when it was determined.
    fair_share: Option<(u64, u32)>,
    is_scarce: bool,
    /// Use of the tolerance, if the deployment has one.
    window: Option<Box<ToleranceWindow>>,
    /// Time at which the configuration no longer had the customer.
    removed_us: Option<u64>,
    granted: u64,
    denied: u64,
}

impl CustomerQuota {
    /// A customer with a full bucket, or with an empty one if tokens may have been granted before.
    pub(crate) fn new(now_us: u64, limit: CustomerLimit, is_new: bool) -> Self {
        let mut quota = CustomerQuota {
            limit,
            updated_us: now_us,
            ..CustomerQuota::default()
        };
        if is_new {
            quota.level = quota.bucket_capacity();
        }
        quota
    }

    /// Serves calls beyond the limit as far as the deployment tolerates them. `is_new` tells that no
    /// predecessor has granted tokens.
    pub(crate) fn tolerate(&mut self, now_us: u64, tolerance: QuotaTolerance, is_new: bool) {
        if tolerance.is_none() {
            return;
        }
        let window = match is_new {
            true => ToleranceWindow::new(now_us, tolerance),
            false => {
                ToleranceWindow::after_predecessor(now_us, tolerance, self.rate_per_s(), self.limit)
            }
        };
        self.window = Some(Box::new(window));
    }

    pub(crate) fn set_limit(&mut self, now_us: u64, limit: CustomerLimit, is_settling: bool) {
        self.refill(now_us, is_settling);
        self.limit = limit;
        self.fair_share = None;
        self.clamp_level(is_settling);
    }

    /// The configuration has the customer.
    pub(crate) fn set_present(&mut self) {
        self.removed_us = None;
    }

    /// The configuration doesn't have the customer.
    pub(crate) fn set_removed(&mut self, now_us: u64) {
        self.removed_us.get_or_insert(now_us);
    }

    /// Whether the customer was removed by this time and no node holds anything of it.
    pub(crate) fn is_unused_since(&self, until_us: u64) -> bool {
        self.removed_us.is_some_and(|at_us| at_us <= until_us) && self.holdings.is_empty()
    }

    pub(crate) fn limited_rate(&self) -> Option<f64> {
        self.limit.limited_rate()
    }

    pub(crate) fn nodes(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.holdings.keys().copied()
    }

    pub(crate) fn usage(&self) -> CustomerUse {
        let shares = self.holdings.iter().filter(|(_, held)| held.share > 0);
        CustomerUse {
            limit: self.limit,
            tokens: self.level,
            held: self.reserved + self.lent,
            shares: shares
                .map(|(node, held)| (*node, per_s(held.share)))
                .collect(),
            granted: self.granted,
            denied: self.denied,
        }
    }

    /// Refills the bucket. Must run before each change of the shares.
    pub(crate) fn refill(&mut self, now_us: u64, is_settling: bool) {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        self.updated_us = self.updated_us.max(now_us);
        let refill_per_s = self.refill_per_s(is_settling);
        self.level += elapsed_s * refill_per_s;
        // What doesn't refill the bucket may be used as shares.
        self.record(now_us, elapsed_s * (self.rate_per_s() - refill_per_s));
        self.clamp_level(is_settling);
    }

    fn record(&mut self, now_us: u64, tokens: f64) {
        if let Some(window) = &mut self.window {
            window.record(now_us, tokens);
        }
    }

    /// Whole tokens that the tolerance leaves beyond those of the bucket.
    fn tolerated(&mut self) -> u32 {
        let (now_us, rate, level) = (self.updated_us, self.rate_per_s(), self.level);
        let (limit, reserve) = (self.limit, self.extra());
        let room = self
            .window
            .as_mut()
            .map(|window| window.room(now_us, rate, limit, level, reserve));
        room.unwrap_or(0.0) as u32
    }

    /// Forgets what a node holds; its tokens count as used.
    pub(crate) fn remove(&mut self, node: SocketAddr) {
        if let Some(held) = self.holdings.remove(&node) {
            self.committed -= u64::from(held.committed);
            self.reserved -= u64::from(held.reserved);
            self.lent -= u64::from(held.lent);
            self.wanted -= u64::from(share_for(held.demand));
        }
    }

    /// The node has applied the last grant.
    pub(crate) fn confirm(&mut self, node: SocketAddr) {
        self.update(node, |held| {
            held.committed = held.share;
            held.reserved = max_held(held.share);
            held.lent = 0;
        });
    }

    /// Takes over a share that a node holds from the predecessor's grants.
    pub(crate) fn adopt(&mut self, node: SocketAddr, share: u32) {
        self.adopted += u64::from(share);
        self.update(node, |held| *held = Holding::applied(share));
    }

    /// The node uses only this share from now on.
    pub(crate) fn reduce(&mut self, node: SocketAddr, share: u32) {
        self.update(node, |held| {
            *held = Holding {
                demand: held.demand,
                ..Holding::applied(share.min(held.committed))
            };
        });
    }

    /// Puts back eighths of tokens that a node did not use. They stay recorded as released: when that
    /// was is not known, and a window that began later must not gain by them.
    pub(crate) fn put_back(&mut self, returned: u32, is_settling: bool) {
        self.level += f64::from(returned) / UNITS_PER_CALL;
        self.clamp_level(is_settling);
    }

    /// Sets the share of a node by its demand. Returns the other nodes whose shares are too large
    /// now.
    pub(crate) fn share_out(
        &mut self,
        now_us: u64,
        node: SocketAddr,
        demand: u32,
        is_settling: bool,
    ) -> Vec<SocketAddr> {
        self.update(node, |held| held.demand = demand);
        let held = self.holding(node);
        let pool = self.pool(is_settling);
        let others = self.committed - u64::from(held.committed);
        let mut oversized = self.update_scarcity(node);
        let target = share_for(demand);
        let mut share = target;
        if self.wanted > pool || others + u64::from(target) > pool {
            let (fair, is_recent) = self.fair_share(now_us, pool);
            share = target.min(fair);
            if !is_recent {
                let others = self.holdings.iter().filter(|(other, _)| **other != node);
                let large = others.filter(|(_, held)| held.share > fair);
                oversized.extend(large.map(|(other, _)| *other));
            }
            share = share.min(u32::try_from(pool.saturating_sub(others)).unwrap_or(u32::MAX));
        }
        share = share.min(self.largest_holdable(held));
        if self.is_scarce && share < SPARSE_SHARE {
            share = 0;
        }
        self.update(node, |held| held.grant(share));
        self.clamp_level(is_settling);
        oversized
    }

    /// Determines whether tokens are scarce. Returns the other nodes with small shares if they have
    /// become so.
    fn update_scarcity(&mut self, node: SocketAddr) -> Vec<SocketAddr> {
        let percent = 100.0 * self.level / self.bucket_capacity();
        if self.is_scarce {
            self.is_scarce = percent < SCARCE_PERCENT.1;
            return Vec::new();
        }
        self.is_scarce = percent < SCARCE_PERCENT.0;
        if !self.is_scarce {
            return Vec::new();
        }
        let others = self.holdings.iter().filter(|(other, _)| **other != node);
        let small = others.filter(|(_, held)| held.share > 0 && held.share < SPARSE_SHARE);
        small.map(|(other, _)| *other).collect()
    }

    /// Takes tokens for the waiting calls of a node. Returns their number, and the pause if they do
    /// not suffice.
    pub(crate) fn take(&mut self, node: SocketAddr, waiting: u32, is_settling: bool) -> (u32, u32) {
        if self.limited_rate().is_none() {
            return (waiting, 0);
        }
        let mut tokens = waiting.min(self.level.max(0.0) as u32);
        self.level -= f64::from(tokens);
        if tokens < waiting {
            tokens += self.tolerated().min(waiting - tokens);
        }
        self.record(self.updated_us, f64::from(tokens));
        // Counted as held until the node's next report shows that it has applied the answer.
        self.update(node, |held| held.lent += tokens);
        self.granted += u64::from(tokens);
        self.denied += u64::from(waiting - tokens);
        let missing = f64::from(waiting - tokens);
        let pause_ms = match missing {
            0.0 => 0.0,
            _ => {
                let refill_per_s = self.refill_per_s(is_settling).max(f64::EPSILON);
                let until_full_ms = 500.0 * self.bucket_capacity() / refill_per_s;
                let until_enough_ms = 1_000.0 * missing / refill_per_s;
                until_enough_ms
                    .min(until_full_ms)
                    .clamp(PAUSE_MS.0, PAUSE_MS.1)
            }
        };
        (tokens, pause_ms as u32)
    }

    /// Share of the node as granted last.
    pub(crate) fn share(&self, node: SocketAddr) -> u32 {
        self.holding(node).share
    }

    /// Demand of the node as reported last.
    pub(crate) fn demand(&self, node: SocketAddr) -> u32 {
        self.holding(node).demand
    }

    /// Removes a holding without share and demand; returns whether it is gone.
    pub(crate) fn remove_unused(&mut self, node: SocketAddr) -> bool {
        let held = self.holding(node);
        let is_unused = held.committed == 0 && held.lent == 0 && held.demand == 0;
        if is_unused {
            self.holdings.remove(&node);
        }
        is_unused
    }

    fn holding(&self, node: SocketAddr) -> Holding {
        self.holdings.get(&node).copied().unwrap_or_default()
    }

    fn update(&mut self, node: SocketAddr, change: impl FnOnce(&mut Holding)) {
        let held = self.holdings.entry(node).or_default();
        let before = *held;
        change(held);
        self.committed = self.committed - u64::from(before.committed) + u64::from(held.committed);
        self.reserved = self.reserved - u64::from(before.reserved) + u64::from(held.reserved);
        self.lent = self.lent - u64::from(before.lent) + u64::from(held.lent);
        self.wanted =
            self.wanted - u64::from(share_for(before.demand)) + u64::from(share_for(held.demand));
    }

    fn rate_per_s(&self) -> f64 {
        self.limited_rate().unwrap_or(0.0)
    }

    /// Sum of the shares that may be granted.
    fn pool(&self, is_settling: bool) -> u64 {
        let pool = (self.rate_per_s() * SHARED_PERCENT / 100.0 * UNITS_PER_CALL) as u64;
        match is_settling {
            true => pool.min(self.adopted),
            false => pool,
        }
    }

    fn refill_per_s(&self, is_settling: bool) -> f64 {
        let rate = self.rate_per_s();
        let committed = self.committed as f64 / UNITS_PER_CALL;
        let used = match is_settling {
            true => committed.max(rate * SHARED_PERCENT / 100.0),
            false => committed,
        };
        (rate - used).max(0.0)
    }

    /// Tokens that nodes may hold beyond the burst.
    fn extra(&self) -> f64 {
        EXTRA_TOKENS + EXTRA_S * self.rate_per_s()
    }

    /// Bound of the tokens in the bucket and at the nodes.
    fn capacity(&self) -> f64 {
        self.limit.burst + self.extra()
    }

    fn bucket_capacity(&self) -> f64 {
        self.limit.burst.max(self.extra() / 2.0)
    }

    /// Bound of the tokens at the nodes.
    fn holdable(&self) -> f64 {
        self.capacity() - self.bucket_capacity() * (1.0 - HELD_PERCENT / 100.0)
    }

    fn clamp_level(&mut self, is_settling: bool) {
        // Nodes without a report may hold as many tokens as `largest_holdable` allows.
        let bucket = match is_settling {
            true => self.capacity() - self.holdable(),
            false => self.bucket_capacity(),
        };
        let free = self.capacity() - (self.reserved + self.lent) as f64;
        self.level = self.level.min(bucket).min(free.max(0.0));
    }

    /// Largest share for which nodes hold few enough tokens to leave most of the bucket for calls at
    /// other nodes. Tokens in answers keep shares from growing, but don't reduce them.
    fn largest_holdable(&self, held: Holding) -> u32 {
        let others = self.reserved - u64::from(held.reserved);
        let room = (self.holdable() as u64).saturating_sub(others);
        let growth = share_holding_at_most(room.saturating_sub(self.lent));
        growth.max(share_holding_at_most(room).min(held.committed))
    }

    /// Share up to which each demand is met, such that the shares add up to the pool; and whether it
    /// had been determined recently.
    fn fair_share(&mut self, now_us: u64, pool: u64) -> (u32, bool) {
        if let Some((at_us, share)) = self.fair_share
            && now_us < at_us + FAIR_SHARE_AGE_US
        {
            return (share, true);
        }
        let mut targets: Vec<u32> = self
            .holdings
            .values()
            .map(|held| share_for(held.demand))
            .collect();
        let share = fill_level(&mut targets, pool);
        self.fair_share = Some((now_us, share));
        (share, false)
    }
}

/// The level up to which all targets can be met, such that their sum is at most the pool.
fn fill_level(targets: &mut [u32], pool: u64) -> u32 {
    targets.sort_unstable();
    let (mut left, mut count) = (pool, targets.len() as u64);
    for target in targets.iter().copied().map(u64::from) {
        if target * count > left {
            return u32::try_from(left / count).unwrap_or(u32::MAX);
        }
        left -= target;
        count -= 1;
    }
    u32::MAX
}
