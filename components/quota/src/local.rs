//! Share, tokens and demand of one customer at one node.

use crate::{
    message::{QuotaDemand, QuotaGrant},
    node::Ticket,
    share::{SPARSE_SHARE, UNITS_PER_CALL, kept, max_held, per_s, share_for, units},
};
use std::collections::VecDeque;

/// Calls in an interval from which the demand follows the newest interval.
const DENSE_CALLS: f64 = 6.0;
/// Weight of the newest interval with many calls.
const DENSE_WEIGHT: f64 = 0.7;
/// Time over which the demand of a customer with few calls is averaged.
const SPARSE_S: f64 = 2.0;
/// Time without a call after which a customer's share is given up.
const IDLE_US: u64 = 4_000_000;
/// Time after which a demand that was not met is reported again.
const REPEAT_US: u64 = 1_000_000;
/// Change of the needed share from which it is reported, as factors.
const LOWER: f64 = 0.7;
const HIGHER: f64 = 1.25;
/// Longest time after which a refused call is to be repeated, unless the customer's next token comes
/// later. Callers that don't repeat their calls must not delay others for longer.
const MAX_BACKLOG_US: u64 = 5_000_000;
/// Longest time after which a refused call is to be repeated, for rates below one call per minute.
const MAX_RETRY_US: u64 = 60_000_000;
/// Least part of a token that is given back.
const MIN_RETURNED: f64 = 1.0 / UNITS_PER_CALL;
/// Time whose share is given back at once, in seconds.
const RETURN_S: f64 = 0.2;

#[derive(Clone, Debug)]
pub(crate) struct LocalQuota {
    share: u32,
    held: f64,
    updated_us: u64,
    /// Calls since the last measurement.
    arrivals: u32,
    measured_us: u64,
    demand_per_s: f64,
    last_call_us: u64,
    /// Waiting calls with their arrival.
    waiting: VecDeque<(u64, Ticket)>,
    /// Tokens of calls that have not run, beyond what may be held.
    returned: f64,
    /// The coordinator is not asked again before.
    paused_until_us: u64,
    reported_us: u64,
    /// Time in which the customer gets a token over all nodes, at most [`MAX_RETRY_US`].
    refill_us: u64,
    /// Time of the last token, taken by a call or expected for one that was refused.
    last_token_us: Option<u64>,
}

impl LocalQuota {
    pub(crate) fn new(now_us: u64) -> Self {
        LocalQuota {
            share: 0,
            held: 0.0,
            updated_us: now_us,
            arrivals: 0,
            measured_us: now_us,
            demand_per_s: 0.0,
            last_call_us: now_us,
            waiting: VecDeque::new(),
            returned: 0.0,
            paused_until_us: 0,
            reported_us: 0,
            refill_us: 0,
            last_token_us: None,
        }
    }

    /// Counts a call of a customer with this rate over all nodes.
    pub(crate) fn count_arrival(&mut self, now_us: u64, rate_per_s: f64) {
        self.refill_us = (1e6 / rate_per_s).min(MAX_RETRY_US as f64) as u64;
        self.arrivals = self.arrivals.saturating_add(1);
        self.last_call_us = now_us;
    }

    /// Takes a token, if there is one that no earlier call waits for.
    pub(crate) fn try_take(&mut self, now_us: u64) -> bool {
        self.accrue(now_us);
        self.waiting.is_empty() && self.take_granted(now_us)
    }

    /// Takes a token that has been granted already.
    pub(crate) fn take_granted(&mut self, now_us: u64) -> bool {
        let has_token = self.held >= 1.0;
        if has_token {
            self.held -= 1.0;
            self.last_token_us = self.last_token_us.max(Some(now_us));
        }
        has_token
    }

    pub(crate) fn give_back(&mut self, now_us: u64) {
        self.accrue(now_us);
        if self.held + 1.0 <= f64::from(max_held(self.share)) {
            self.held += 1.0;
        } else {
            self.returned += 1.0;
        }
    }

    /// Time for which the coordinator is not asked, if any.
    pub(crate) fn pause_ms(&self, now_us: u64) -> Option<u64> {
        let left_us = self.paused_until_us.saturating_sub(now_us);
        (left_us > 0).then_some(left_us.div_ceil(1_000))
    }

    /// Time until the customer gets a token for one more refused call, after those that were refused
    /// before and are still to be repeated, by its rate over all nodes. The node refuses calls until
    /// the pause is over or its share has a token, so the time is not shorter than that.
    pub(crate) fn retry_after_ms(&mut self, now_us: u64, pause_ms: u64) -> u64 {
        let pause_us = match self.share {
            0 => pause_ms * 1_000,
            share => (pause_ms * 1_000).min((1e6 / per_s(share)) as u64),
        };
        // If the last token is long ago, other nodes have got those since.
        let next_us = self.last_token_us.map(|last_us| last_us + self.refill_us);
        let next_us = next_us
            .filter(|next_us| *next_us > now_us)
            .unwrap_or(now_us + self.refill_us);
        let latest_us = now_us + self.refill_us.max(MAX_BACKLOG_US);
        let retry_us = next_us.max(now_us + pause_us).min(latest_us);
        self.last_token_us = Some(retry_us);
        (retry_us - now_us).div_ceil(1_000)
    }

    pub(crate) fn add_waiting(&mut self, now_us: u64, ticket: Ticket) {
        self.waiting.push_back((now_us, ticket));
    }

    pub(crate) fn remove_waiting(&mut self, ticket: Ticket) {
        self.waiting.retain(|(_, other)| *other != ticket);
    }

    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The first waiting calls.
    pub(crate) fn take_waiting(&mut self, count: usize) -> Vec<Ticket> {
        let count = count.min(self.waiting.len());
        let first = self.waiting.drain(..count);
        first.map(|(_, ticket)| ticket).collect()
    }

    /// Whether the share refills a token for one more waiting call within this time.
    pub(crate) fn refills_within(&self, wait_us: u64) -> bool {
        let missing = self.waiting.len() as f64 + 1.0 - self.held;
        missing <= per_s(self.share) * wait_us as f64 / 1e6
    }

    /// The waiting calls for which there are tokens now.
    pub(crate) fn take_refilled(&mut self, now_us: u64) -> Vec<Ticket> {
        self.accrue(now_us);
        let mut served = Vec::new();
        while self.held >= 1.0
            && let Some((_, ticket)) = self.waiting.pop_front()
        {
            self.held -= 1.0;
            self.last_token_us = self.last_token_us.max(Some(now_us));
            served.push(ticket);
        }
        served
    }

    /// The calls that arrived by this time.
    pub(crate) fn take_waiting_since(&mut self, until_us: u64) -> impl Iterator<Item = Ticket> {
        let count = self
            .waiting
            .iter()
            .take_while(|(arrived_us, _)| *arrived_us <= until_us)
            .count();
        self.waiting.drain(..count).map(|(_, ticket)| ticket)
    }

    pub(crate) fn has_share(&self) -> bool {
        self.share > 0
    }

    pub(crate) fn share_per_s(&self) -> f64 {
        per_s(self.share)
    }

    /// Whole and partial tokens at this time.
    pub(crate) fn held(&mut self, now_us: u64) -> f64 {
        self.accrue(now_us);
        self.held
    }

    pub(crate) fn drop_share(&mut self) {
        self.share = 0;
        self.held = 0.0;
        self.paused_until_us = 0;
    }

    /// Sets tokens beyond those that the share allows aside, to be given back.
    pub(crate) fn limit_held(&mut self) {
        let surplus = (self.held - f64::from(max_held(self.share))).max(0.0);
        self.returned += surplus;
        self.held -= surplus;
    }

    /// Whether tokens are set aside to be given back. They go with the next report, which confirms
    /// that they aren't held any more.
    pub(crate) fn has_returned(&self) -> bool {
        self.returned >= MIN_RETURNED
    }

    /// Ends a measuring interval.
    pub(crate) fn measure(&mut self, now_us: u64) {
        self.accrue(now_us);
        let elapsed_s = now_us.saturating_sub(self.measured_us) as f64 / 1e6;
        if elapsed_s <= 0.0 {
            return;
        }
        let arrivals = f64::from(std::mem::take(&mut self.arrivals));
        self.measured_us = now_us;
        let weight = if arrivals.max(self.demand_per_s * elapsed_s) >= DENSE_CALLS {
            DENSE_WEIGHT
        } else {
            elapsed_s / (elapsed_s + SPARSE_S)
        };
        self.demand_per_s += weight * (arrivals / elapsed_s - self.demand_per_s);
    }

    /// Whether nothing is left to be reported or kept.
    pub(crate) fn is_idle(&self, now_us: u64) -> bool {
        now_us >= self.last_call_us + IDLE_US
            && self.share == 0
            && self.returned < MIN_RETURNED
            && self.waiting.is_empty()
    }

    /// Whether the coordinator should know about a change of the demand or unused tokens. Larger
    /// demands of few calls per second are reported with the calls that need a token.
    pub(crate) fn needs_report(&self, now_us: u64) -> bool {
        let (share, needed) = (f64::from(self.share), f64::from(self.needed_share(now_us)));
        let is_growth_due =
            needed >= f64::from(SPARSE_SHARE) && now_us >= self.reported_us + REPEAT_US;
        needed < LOWER * share || (needed > HIGHER * share && is_growth_due) || self.unneeded() > 0
    }

    /// The report, which gives up the part of the share and the tokens that aren't needed.
    pub(crate) fn report(&mut self, now_us: u64, customer: u32) -> QuotaDemand {
        self.accrue(now_us);
        let needed = self.needed_share(now_us);
        if f64::from(needed) < LOWER * f64::from(self.share) {
            self.share = needed;
        }
        let unneeded = match self.waiting.is_empty() {
            true => self.unneeded(),
            false => 0,
        };
        self.held -= f64::from(unneeded);
        self.limit_held();
        self.reported_us = now_us;
        let returned = std::mem::take(&mut self.returned);
        QuotaDemand {
            customer,
            share: self.share,
            demand: self.demand(now_us),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            returned: ((f64::from(unneeded) + returned) * UNITS_PER_CALL) as u32,
        }
    }

    pub(crate) fn apply(&mut self, now_us: u64, grant: &QuotaGrant) {
        self.accrue(now_us);
        self.share = grant.share;
        self.held += f64::from(grant.tokens);
        if grant.pause_ms > 0 {
            self.paused_until_us = now_us + u64::from(grant.pause_ms) * 1_000;
        }
    }

    fn accrue(&mut self, now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        self.updated_us = self.updated_us.max(now_us);
        if self.share > 0 {
            let most = f64::from(max_held(self.share)).max(self.held);
            self.held = (self.held + elapsed_s * per_s(self.share)).min(most);
        }
    }

    /// Recent demand in units. A customer with a recent call needs a token at hand.
    fn demand(&self, now_us: u64) -> u32 {
        match now_us < self.last_call_us + IDLE_US {
            true => units(self.demand_per_s).max(1),
            false => 0,
        }
    }

    fn needed_share(&self, now_us: u64) -> u32 {
        share_for(self.demand(now_us))
    }

    /// Whole tokens that aren't needed soon, if they are worth a message.
    fn unneeded(&self) -> u32 {
        let surplus = self.held - kept(self.share);
        match surplus >= (per_s(self.share) * RETURN_S).max(1.0) {
            true => surplus as u32,
            false => 0,
        }
    }
}
