//! The quotas at one node: decides at once while the node has tokens, and asks the coordinator
//! otherwise.

use crate::{
    ANSWER_TIMEOUT_US, IDLE_REPORTS_US, LEASE_US, REPORT_INTERVAL_US,
    list::CustomerList,
    local::LocalQuota,
    message::{QuotaAnswer, QuotaDemand, QuotaGrants, QuotaReport},
};
use std::{collections::HashMap, sync::Arc};

/// Pause after a report without a useful answer.
const FAILURE_PAUSE_US: u64 = 100_000;
/// Longest wait of a call for the refill of the node's own share, while the coordinator can't be
/// asked.
const MAX_REFILL_WAIT_US: u64 = 100_000;
/// Time after which tokens that a smaller share doesn't allow are given back.
const RETURN_DELAY_US: u64 = 100_000;
/// Retry time of calls that are refused because the coordinator can't be asked, in milliseconds.
const UNAVAILABLE_RETRY_MS: u64 = 500;

/// Identifies a call that waits for a token.
pub type Ticket = u64;

/// Decision about a call on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The decision is final.
    Decided(Verdict),
    /// The call waits for the coordinator.
    Waiting,
}

/// Final decision about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call may run.
    Admitted,
    /// The customer is over its limit.
    OverLimit {
        /// Time until its next token is expected.
        retry_after_ms: u64,
    },
    /// The node has no share left and can't ask the coordinator.
    Unavailable {
        /// Time until another attempt makes sense.
        retry_after_ms: u64,
    },
}

/// Result of [`NodeQuota::preview`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPreview {
    /// The decision.
    pub admission: Admission,
    /// Share of the customer in calls per second.
    pub share_per_s: f64,
    /// Tokens that the node holds for the customer.
    pub tokens: f64,
    /// Calls of the customer that wait for tokens.
    pub waiting: usize,
    /// Time for which the share may still be used.
    pub lease_left_us: u64,
    /// Whether the last report got no useful answer.
    pub is_cut_off: bool,
}

const UNAVAILABLE: Verdict = Verdict::Unavailable {
    retry_after_ms: UNAVAILABLE_RETRY_MS,
};

/// A report whose answer has not arrived.
#[derive(Debug)]
struct Outstanding {
    sequence: u64,
    sent_us: u64,
    /// Waiting calls by customer, as reported.
    asked: Vec<(Arc<str>, usize)>,
}

/// Shares of one node and the calls that wait for tokens. Time is on a clock that counts suspension.
#[derive(Debug)]
pub struct NodeQuota {
    list: CustomerList,
    customers: HashMap<Arc<str>, LocalQuota>,
    /// Epoch of the coordinator that granted the shares.
    epoch: u64,
    sequence: u64,
    lease_until_us: u64,
    outstanding: Option<Outstanding>,
    /// Whether the coordinator may not know what this node holds.
    needs_full_report: bool,
    is_settling: bool,
    /// Whether the last report had no useful answer.
    is_cut_off: bool,
    next_report_us: u64,
    retry_us: u64,
    /// Time until which the node reports although it holds nothing.
    idle_reports_until_us: u64,
}

impl NodeQuota {
    /// A node without shares.
    pub fn new(now_us: u64) -> Self {
        NodeQuota {
            list: CustomerList::default(),
            customers: HashMap::new(),
            epoch: 0,
            sequence: 0,
            lease_until_us: 0,
            outstanding: None,
            needs_full_report: true,
            is_settling: false,
            is_cut_off: false,
            next_report_us: now_us,
            retry_us: now_us,
            idle_reports_until_us: 0,
        }
    }

    /// Reports for a time although the node holds nothing. Must be called once the configuration has
    /// a limit: an earlier process of this node may be recorded as a holder of shares.
    pub fn start_reports(&mut self, now_us: u64) {
        self.idle_reports_until_us = now_us + IDLE_REPORTS_US;
    }

    /// Sets the customers of the configuration in effect.
    pub fn set_customers(&mut self, now_us: u64, names: impl IntoIterator<Item = Arc<str>>) {
        let list = CustomerList::new(names);
        if list.digest() != self.list.digest() && self.outstanding.take().is_some() {
            // The answer will number the customers as in the former list.
            self.needs_full_report = true;
            self.next_report_us = now_us;
        }
        self.customers
            .retain(|name, quota| list.number(name).is_some() || quota.has_waiting());
        self.list = list;
    }

    /// Decides about a call of a customer with this rate over all nodes, or lets it wait under the
    /// ticket.
    pub fn admit(
        &mut self,
        now_us: u64,
        customer: &Arc<str>,
        rate_per_s: f64,
        ticket: Ticket,
    ) -> Admission {
        self.drop_expired(now_us);
        let quota = self
            .customers
            .entry(Arc::clone(customer))
            .or_insert_with(|| LocalQuota::new(now_us));
        quota.count_arrival(now_us, rate_per_s);
        let may_ask = !self.is_cut_off && self.list.number(customer).is_some();
        let admission = decide(now_us, quota, self.is_settling, may_ask);
        if admission == Admission::Waiting {
            quota.add_waiting(now_us, ticket);
        }
        admission
    }

    /// What `admit` would decide now about a call of a customer with this rate, and the figures behind
    /// it. Works on a copy of the customer's share.
    pub fn preview(&self, now_us: u64, customer: &str, rate_per_s: f64) -> QuotaPreview {
        let known = self.customers.get(customer).cloned();
        let mut quota = known.unwrap_or_else(|| LocalQuota::new(now_us));
        if self.has_expired(now_us) {
            quota.drop_share();
        }
        let share_per_s = quota.share_per_s();
        let tokens = quota.held(now_us);
        let waiting = quota.waiting();
        quota.count_arrival(now_us, rate_per_s);
        let may_ask = !self.is_cut_off && self.list.number(customer).is_some();
        QuotaPreview {
            admission: decide(now_us, &mut quota, self.is_settling, may_ask),
            share_per_s,
            tokens,
            waiting,
            lease_left_us: self.lease_left_us(now_us),
            is_cut_off: self.is_cut_off,
        }
    }

    /// Gives back the token of a call that was admitted and has not run.
    pub fn give_back(&mut self, now_us: u64, customer: &str) {
        self.drop_expired(now_us);
        if let Some(quota) = self.customers.get_mut(customer) {
            quota.give_back(now_us);
        }
    }

    /// Takes a waiting call out, since its caller has gone.
    pub fn cancel(&mut self, customer: &str, ticket: Ticket) {
        if let Some(quota) = self.customers.get_mut(customer) {
            quota.remove_waiting(ticket);
        }
    }

    /// The next report, if one is due; its answer is awaited from then on.
    pub fn poll(&mut self, now_us: u64) -> Option<QuotaReport> {
        self.drop_expired(now_us);
        if self.outstanding.is_some() || now_us < self.retry_us {
            return None;
        }
        let is_regular = now_us >= self.next_report_us;
        let has_waiting = self.customers.values().any(LocalQuota::has_waiting);
        if !is_regular && !has_waiting {
            return None;
        }
        if is_regular {
            self.next_report_us = now_us + REPORT_INTERVAL_US;
            for quota in self.customers.values_mut() {
                quota.measure(now_us);
            }
            // Removed customers were kept for their waiting calls.
            let list = &self.list;
            self.customers.retain(|name, quota| {
                let is_listed = list.number(name).is_some() || quota.has_waiting();
                is_listed && !quota.is_idle(now_us)
            });
        }
        let (demands, asked) = self.demands(now_us, is_regular);
        if !demands.is_empty() || self.customers.values().any(LocalQuota::has_share) {
            self.idle_reports_until_us = now_us + IDLE_REPORTS_US;
        } else if now_us < self.idle_reports_until_us {
            // A full report shows the coordinator that all demand has ended.
            self.needs_full_report |= self.customers.is_empty();
        } else {
            return None;
        }
        self.sequence += 1;
        self.outstanding = Some(Outstanding {
            sequence: self.sequence,
            sent_us: now_us,
            asked,
        });
        Some(QuotaReport {
            list: self.list.digest(),
            epoch: self.epoch,
            sequence: self.sequence,
            is_full: std::mem::take(&mut self.needs_full_report),
            demands,
        })
    }

    /// Handles the answer to a report; returns the calls that are decided by it.
    pub fn on_answer(
        &mut self,
        now_us: u64,
        sequence: u64,
        answer: &QuotaAnswer,
    ) -> Vec<(Ticket, Verdict)> {
        if self.outstanding.as_ref().map(|sent| sent.sequence) != Some(sequence) {
            return Vec::new();
        }
        match answer {
            QuotaAnswer::Granted(grants) => self.apply(now_us, grants),
            QuotaAnswer::ReportAll { .. } => {
                self.outstanding = None;
                self.needs_full_report = true;
                self.next_report_us = now_us;
                Vec::new()
            }
            _ => self.on_failure(now_us, sequence),
        }
    }

    /// Handles a report that got no answer; returns the calls that are decided by it.
    pub fn on_failure(&mut self, now_us: u64, sequence: u64) -> Vec<(Ticket, Verdict)> {
        if self.outstanding.as_ref().map(|sent| sent.sequence) != Some(sequence) {
            return Vec::new();
        }
        self.outstanding = None;
        self.needs_full_report = true;
        self.is_cut_off = true;
        self.retry_us = now_us + FAILURE_PAUSE_US;
        // A node without calls has nothing to gain from a quick retry.
        self.next_report_us = match self.customers.is_empty() {
            true => now_us + REPORT_INTERVAL_US,
            false => self.retry_us,
        };
        self.expire(now_us)
    }

    /// Admits waiting calls as the node's own shares are refilled, refuses calls that have waited too
    /// long, and gives up on a late answer.
    pub fn expire(&mut self, now_us: u64) -> Vec<(Ticket, Verdict)> {
        self.drop_expired(now_us);
        if let Some(sent) = &self.outstanding
            && sent.sent_us + ANSWER_TIMEOUT_US <= now_us
        {
            let sequence = sent.sequence;
            return self.on_failure(now_us, sequence);
        }
        let mut decided = Vec::new();
        for quota in self.customers.values_mut() {
            let refilled = quota.take_refilled(now_us);
            decided.extend(
                refilled
                    .into_iter()
                    .map(|ticket| (ticket, Verdict::Admitted)),
            );
            let expired = quota.take_waiting_since(now_us.saturating_sub(ANSWER_TIMEOUT_US));
            decided.extend(expired.map(|ticket| (ticket, UNAVAILABLE)));
        }
        decided
    }

    /// Time of the next report or expiry, apart from waiting calls.
    pub fn next_poll_us(&self) -> u64 {
        match &self.outstanding {
            Some(sent) => sent.sent_us + ANSWER_TIMEOUT_US,
            None => self.next_report_us.max(self.retry_us),
        }
    }

    /// Number of customers with a share, and the calls per second of all shares.
    pub fn shares(&self) -> (usize, f64) {
        let shares = self.customers.values().map(LocalQuota::share_per_s);
        let held = shares.filter(|share| *share > 0.0);
        held.fold((0, 0.0), |(count, sum), share| (count + 1, sum + share))
    }

    /// Share of a customer in calls per second.
    pub fn share_per_s(&self, customer: &str) -> f64 {
        let quota = self.customers.get(customer);
        quota.map_or(0.0, LocalQuota::share_per_s)
    }

    /// Time for which the node's shares may still be used.
    pub fn lease_left_us(&self, now_us: u64) -> u64 {
        self.lease_until_us.saturating_sub(now_us)
    }

    /// Whether the node's shares may be used.
    pub fn has_lease(&self, now_us: u64) -> bool {
        now_us < self.lease_until_us
    }

    /// Whether shares are left whose lease has ended.
    fn has_expired(&self, now_us: u64) -> bool {
        self.lease_until_us > 0 && now_us >= self.lease_until_us
    }

    fn drop_expired(&mut self, now_us: u64) {
        if !self.has_expired(now_us) {
            return;
        }
        self.lease_until_us = 0;
        self.needs_full_report = true;
        for quota in self.customers.values_mut() {
            quota.drop_share();
        }
    }

    /// What to report about the customers, and their waiting calls.
    fn demands(
        &mut self,
        now_us: u64,
        is_regular: bool,
    ) -> (Vec<QuotaDemand>, Vec<(Arc<str>, usize)>) {
        let (mut demands, mut asked) = (Vec::new(), Vec::new());
        for (name, quota) in &mut self.customers {
            let Some(customer) = self.list.number(name) else {
                continue;
            };
            let waiting = quota.waiting();
            let is_due =
                waiting > 0 || quota.has_returned() || (is_regular && quota.needs_report(now_us));
            let is_listed = self.needs_full_report && quota.has_share();
            if !is_due && !is_listed {
                continue;
            }
            demands.push(quota.report(now_us, customer));
            if waiting > 0 {
                asked.push((Arc::clone(name), waiting));
            }
        }
        (demands, asked)
    }

    fn apply(&mut self, now_us: u64, grants: &QuotaGrants) -> Vec<(Ticket, Verdict)> {
        let Some(sent) = self.outstanding.take() else {
            return Vec::new();
        };
        if grants.is_settling && self.epoch != grants.epoch {
            // The coordinator counts on what this node holds once it knows that this was applied.
            self.next_report_us = now_us;
        }
        self.epoch = grants.epoch;
        self.is_settling = grants.is_settling;
        self.is_cut_off = false;
        self.lease_until_us = sent.sent_us + LEASE_US;
        for grant in &grants.grants {
            let name = self.list.name(grant.customer);
            if let Some(quota) = name.and_then(|name| self.customers.get_mut(name)) {
                quota.apply(now_us, grant);
            }
        }
        self.drop_expired(now_us);
        let has_lease = self.has_lease(now_us);
        let mut decided = Vec::new();
        for (name, asked) in sent.asked {
            let Some(quota) = self.customers.get_mut(&name) else {
                continue;
            };
            for ticket in quota.take_waiting(asked) {
                let verdict = if quota.take_granted(now_us) {
                    Verdict::Admitted
                } else if has_lease {
                    let pause_ms = quota.pause_ms(now_us).unwrap_or(0);
                    shortage(now_us, self.is_settling, quota, pause_ms)
                } else {
                    UNAVAILABLE
                };
                decided.push((ticket, verdict));
            }
        }
        for quota in self.customers.values_mut() {
            quota.limit_held();
            if quota.has_returned() {
                self.next_report_us = self.next_report_us.min(now_us + RETURN_DELAY_US);
            }
        }
        decided
    }
}

/// Decision about a call of a customer. Takes the token of an admitted call; one that waits is yet to
/// be added. `may_ask` tells whether the coordinator can be asked.
fn decide(now_us: u64, quota: &mut LocalQuota, is_settling: bool, may_ask: bool) -> Admission {
    if quota.try_take(now_us) {
        return Admission::Decided(Verdict::Admitted);
    }
    if let Some(pause_ms) = quota.pause_ms(now_us) {
        return Admission::Decided(shortage(now_us, is_settling, quota, pause_ms));
    }
    if !may_ask && !quota.refills_within(MAX_REFILL_WAIT_US) {
        return Admission::Decided(UNAVAILABLE);
    }
    Admission::Waiting
}

/// Verdict about a call for which the coordinator had no token.
fn shortage(now_us: u64, is_settling: bool, quota: &mut LocalQuota, pause_ms: u64) -> Verdict {
    match is_settling {
        true => UNAVAILABLE,
        false => Verdict::OverLimit {
            retry_after_ms: quota.retry_after_ms(now_us, pause_ms),
        },
    }
}
