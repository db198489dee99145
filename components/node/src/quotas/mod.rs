//! Plug-in `quotas`: admits calls of customers within their limits, by the shares that the
//! coordinator in the control group grants to this node.

mod reporter;

use crate::{context::NodeContext, refusal_log::RefusalLogs};
use config::Configuration;
use crossbeam::channel::{Receiver, Sender, bounded};
use errors::ErrorKind;
use kernel::{Clock, Event, Kernel, KindLabels, PluginEntry, Role, RunningPlugin, StartError};
use quota::{ANSWER_TIMEOUT_US, Admission, NodeQuota, QuotaPreview, QuotaReport, Ticket, Verdict};
use reporter::Reporter;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::Builder,
    time::Duration,
};
use wire::CustomerQuotaUse;

/// Longest wait of a call; the decision is due before, unless this process is short of time.
const MAX_WAIT: Duration = Duration::from_micros(ANSWER_TIMEOUT_US + 100_000);
/// Verdict about a call for which there is no decision.
const UNDECIDED: Verdict = Verdict::Unavailable {
    retry_after_ms: 500,
};

inventory::submit! {
    PluginEntry { name: "quotas", role: Role::Node, order: 45, start }
}

fn start(kernel: &Arc<Kernel>) -> Result<RunningPlugin, StartError> {
    let gate = QuotaGate::for_kernel(kernel);
    kernel
        .events
        .apply_on(|event| matches!(event, Event::ProfilesChanged(_)), {
            let gate = Arc::clone(&gate);
            move || gate.apply_configuration()
        });
    let reporter = Reporter::new(NodeContext::for_kernel(kernel), gate);
    let thread = Builder::new()
        .name("quotas".to_owned())
        .spawn(move || reporter.run())
        .map_err(|error| StartError::new("quotas", error))?;
    Ok(RunningPlugin::with_stop(move || {
        let _ = thread.join();
    }))
}

/// Why a call of a customer is refused, and when to repeat it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// `QuotaExceeded` or `QuotaUnconfirmed`.
    pub kind: ErrorKind,
    /// Time until the call may succeed, in milliseconds.
    pub retry_after_ms: u64,
}

/// Permission to run one call.
pub struct QuotaPermit {
    /// Gate and customer, if the customer has a rate.
    charged: Option<(Arc<QuotaGate>, Arc<str>)>,
}

impl QuotaPermit {
    /// Permission for a call that counts towards no limit.
    pub fn unlimited() -> Self {
        QuotaPermit { charged: None }
    }

    /// Gives the token back, since the call has not run and won't run.
    pub fn give_back(self) {
        if let Some((gate, customer)) = self.charged {
            gate.count("returned");
            let mut state = gate.lock();
            state.quota.give_back(Clock::boot_us(), &customer);
            state.count(&customer, |counts| {
                counts.admitted = counts.admitted.saturating_sub(1);
            });
        }
    }
}

/// Admits the calls of customers at one node.
pub struct QuotaGate {
    kernel: Arc<Kernel>,
    state: Mutex<GateState>,
    /// Wakes the reporter when a call waits.
    wake: Sender<()>,
    wakes: Receiver<()>,
    refusal_logs: RefusalLogs,
}

struct GateState {
    quota: NodeQuota,
    waiting: HashMap<Ticket, Sender<Verdict>>,
    next_ticket: Ticket,
    /// Rates of the customers that have one, in calls per second.
    limited: HashMap<Arc<str>, f64>,
    configuration: Option<Arc<Configuration>>,
    /// Decisions by customer; only customers with a rate have an entry.
    counts: HashMap<Arc<str>, Counts>,
    /// Whether the node has given up what it holds, since its process ends.
    is_closed: bool,
}

/// Decisions about the calls of one customer since the start of this node.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    admitted: u64,
    over_limit: u64,
    unconfirmed: u64,
}

impl QuotaGate {
    /// The gate of this kernel's node, created on first use.
    pub fn for_kernel(kernel: &Arc<Kernel>) -> Arc<QuotaGate> {
        kernel.shared(|| {
            let (wake, wakes) = bounded(1);
            QuotaGate {
                kernel: Arc::clone(kernel),
                state: Mutex::new(GateState {
                    quota: NodeQuota::new(Clock::boot_us()),
                    waiting: HashMap::new(),
                    next_ticket: 0,
                    limited: HashMap::new(),
                    configuration: None,
                    counts: HashMap::new(),
                    is_closed: false,
                }),
                wake,
                wakes,
                refusal_logs: RefusalLogs::default(),
            }
        })
    }

    /// Admits a call of a customer or refuses it; waits for the coordinator if this node has no
    /// token.
    ///
    /// # Errors
    ///
    /// The reason for the refusal. The call must not run then.
    pub fn admit(self: &Arc<Self>, customer: &Arc<str>) -> Result<QuotaPermit, QuotaRefusal> {
        let verdict = match self.decide_or_wait(customer) {
            Decision::Unlimited => return Ok(QuotaPermit::unlimited()),
            Decision::Made(verdict) => verdict,
            Decision::Waiting(ticket, decision) => {
                let decided = decision.recv_timeout(MAX_WAIT).ok();
                decided.unwrap_or_else(|| self.end_wait(customer, ticket, &decision))
            }
        };
        self.lock().count(customer, |counts| match verdict {
            Verdict::Admitted => counts.admitted += 1,
            Verdict::OverLimit { .. } => counts.over_limit += 1,
            Verdict::Unavailable { .. } => counts.unconfirmed += 1,
        });
        let (kind, retry_after_ms) = match verdict {
            Verdict::Admitted => {
                self.count("admitted");
                let charged = Some((Arc::clone(self), Arc::clone(customer)));
                return Ok(QuotaPermit { charged });
            }
            Verdict::OverLimit { retry_after_ms } => {
                self.count("over-limit");
                (ErrorKind::QuotaExceeded, retry_after_ms)
            }
            Verdict::Unavailable { retry_after_ms } => {
                self.count("unconfirmed");
                (ErrorKind::QuotaUnconfirmed, retry_after_ms)
            }
        };
        let refusal = QuotaRefusal {
            kind,
            retry_after_ms,
        };
        if let Some(line) = self.refusal_line(customer, refusal) {
            log::info!("{line}");
        }
        Err(refusal)
    }

    /// What `admit` would decide now about a call of a customer; `None` if it has no rate.
    pub(crate) fn preview(&self, customer: &str) -> Option<QuotaPreview> {
        let state = self.lock();
        let rate_per_s = *state.limited.get(customer)?;
        Some(state.quota.preview(Clock::boot_us(), customer, rate_per_s))
    }

    fn decide_or_wait(&self, customer: &Arc<str>) -> Decision {
        let mut state = self.lock();
        let Some(rate_per_s) = state.limited.get(customer).copied() else {
            return Decision::Unlimited;
        };
        if state.is_closed {
            return Decision::Made(UNDECIDED);
        }
        state.next_ticket += 1;
        let ticket = state.next_ticket;
        let now_us = Clock::boot_us();
        match state.quota.admit(now_us, customer, rate_per_s, ticket) {
            Admission::Decided(verdict) => Decision::Made(verdict),
            Admission::Waiting => {
                let (sender, decision) = bounded(1);
                state.waiting.insert(ticket, sender);
                drop(state);
                // Full if the reporter has not handled the last wake-up yet.
                let _ = self.wake.try_send(());
                Decision::Waiting(ticket, decision)
            }
        }
    }

    /// Ends the wait of a call, unless it has been decided just now.
    fn end_wait(&self, customer: &str, ticket: Ticket, decision: &Receiver<Verdict>) -> Verdict {
        let mut state = self.lock();
        if let Ok(verdict) = decision.try_recv() {
            return verdict;
        }
        state.waiting.remove(&ticket);
        state.quota.cancel(customer, ticket);
        UNDECIDED
    }

    /// Admits no further call of a customer with a rate, so that what the node holds is free.
    fn close(&self) {
        let mut state = self.lock();
        state.is_closed = true;
        let undecided = state.waiting.keys().map(|ticket| (*ticket, UNDECIDED));
        let undecided = undecided.collect();
        state.deliver(undecided);
    }

    /// Passes time: decides waiting calls, and returns the next report if one is due, and the time
    /// until the next step.
    fn poll(&self) -> (Option<QuotaReport>, Duration) {
        let mut state = self.lock();
        let now_us = Clock::boot_us();
        let decided = state.quota.expire(now_us);
        state.deliver(decided);
        let report = state.quota.poll(now_us);
        let wait_us = state.quota.next_poll_us().saturating_sub(now_us);
        let metrics = &self.kernel.metrics;
        metrics
            .quota_customers
            .set(i64::try_from(state.quota.shares().0).unwrap_or(i64::MAX));
        metrics
            .quota_lease
            .set(i64::from(state.quota.has_lease(now_us)));
        let longest = match state.waiting.is_empty() {
            true => reporter::MAX_PAUSE,
            false => reporter::WAITING_PAUSE,
        };
        (report, Duration::from_micros(wait_us).min(longest))
    }

    /// Applies the customers of the configuration in effect.
    fn apply_configuration(&self) {
        let set = self.kernel.profiles.current();
        let mut state = self.lock();
        let is_same = match (set.configuration(), &state.configuration) {
            (Some(newest), Some(applied)) => Arc::ptr_eq(newest, applied),
            (newest, applied) => newest.is_none() && applied.is_none(),
        };
        if is_same {
            return;
        }
        let customers = set.configuration().and_then(|c| c.customers.as_deref());
        let customers = customers.unwrap_or_default();
        let names = customers.iter().map(|customer| Arc::clone(&customer.name));
        state.quota.set_customers(Clock::boot_us(), names);
        let limited = customers.iter().filter_map(|customer| {
            let rate_per_s = customer.limited_rate_per_s()?;
            Some((Arc::clone(&customer.name), rate_per_s))
        });
        state.limited = limited.collect();
        if !state.limited.is_empty() {
            state.quota.start_reports(Clock::boot_us());
        }
        let GateState {
            counts, limited, ..
        } = &mut *state;
        counts.retain(|customer, _| limited.contains_key(customer));
        state.configuration = set.configuration().cloned();
    }

    /// Use of the quotas of all customers at this node.
    pub(crate) fn usage(&self) -> Vec<CustomerQuotaUse> {
        let state = self.lock();
        let usage = state.counts.iter().map(|(customer, counts)| {
            let share_milli_per_s = (state.quota.share_per_s(customer) * 1_000.0) as u64;
            CustomerQuotaUse {
                customer: Arc::clone(customer),
                share_milli_per_s,
                admitted: counts.admitted,
                over_limit: counts.over_limit,
                unconfirmed: counts.unconfirmed,
            }
        });
        usage.collect()
    }

    /// The log line about a refusal, if one is due.
    fn refusal_line(&self, customer: &str, refusal: QuotaRefusal) -> Option<String> {
        let now_us = Clock::boot_us();
        let suppressed = self.refusal_logs.take_turn(now_us, refusal.kind)?;
        let state = self.lock();
        let share_per_s = state.quota.share_per_s(customer);
        let lease_ms = state.quota.lease_left_us(now_us) / 1_000;
        drop(state);
        Some(format!(
            "quotas: a call of customer {customer} refused, {}; share {share_per_s:.1} calls/s, lease {lease_ms} ms, retry after {} ms; {suppressed} more refusals since the last line.",
            refusal.kind, refusal.retry_after_ms
        ))
    }

    fn count(&self, kind: &'static str) {
        let calls = &self.kernel.metrics.quota_calls;
        calls.get_or_create(&KindLabels { kind }).inc();
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Decision about a call on arrival.
enum Decision {
    Unlimited,
    Made(Verdict),
    Waiting(Ticket, Receiver<Verdict>),
}

impl GateState {
    /// Counts a decision, if the customer still has a rate.
    fn count(&mut self, customer: &Arc<str>, change: impl FnOnce(&mut Counts)) {
        if self.limited.contains_key(customer) {
            change(self.counts.entry(Arc::clone(customer)).or_default());
        }
    }

    fn deliver(&mut self, decided: Vec<(Ticket, Verdict)>) {
        for (ticket, verdict) in decided {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // Has room: each ticket is decided once.
                let _ = waiting.try_send(verdict);
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/inside/quota_log.rs"]
mod tests;
