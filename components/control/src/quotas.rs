//! Coordinates the quotas of customers while this replica is the only leader.

use crate::{
    context::{ControlContext, SoleLeadership},
    replica::reply,
};
use config::{Configuration, Customer};
use crossbeam::channel::{Receiver, Sender, unbounded};
use kernel::Clock;
use mesh::Inbound;
use model::NodeId;
use quota::{
    ANSWER_TIMEOUT_US, CustomerLimit, HolderRecord, QuotaAnswer, QuotaCoordinator, QuotaReport,
    QuotaTolerance,
};
use registry::HolderUpdate;
use settings::QuotaToleranceSettings;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use wire::ControlReply;

/// The coordinator of one term.
struct TermCoordinator {
    term: u64,
    coordinator: QuotaCoordinator,
    /// The configuration whose limits it applies.
    configuration: Option<Arc<Configuration>>,
    /// Start of its role.
    since_boot_us: u64,
    is_settling: bool,
}

/// A report that waits until its node is recorded as a holder.
struct WaitingReport {
    inbound: Inbound,
    report: QuotaReport,
    until_us: u64,
}

/// End of an update of the record: the term of its leader, and whether it is known to be committed.
type EndedUpdate = (u64, bool);

/// The coordinator of this replica; it has none before it leads.
pub(crate) struct Quotas {
    current: Mutex<Option<TermCoordinator>>,
    /// Reports that wait, by node; a node sends the next one when it has given up the last.
    waiting: Mutex<BTreeMap<SocketAddr, WaitingReport>>,
    ended: (Sender<EndedUpdate>, Receiver<EndedUpdate>),
}

impl Default for Quotas {
    fn default() -> Self {
        Quotas {
            current: Mutex::default(),
            waiting: Mutex::default(),
            ended: unbounded(),
        }
    }
}

impl Quotas {
    /// Handles the report of a node. The answer waits while its node is not recorded as a holder.
    pub(crate) fn handle(&self, control: &ControlContext, inbound: Inbound, report: QuotaReport) {
        let until_us = Clock::boot_us() + ANSWER_TIMEOUT_US;
        self.handle_until(
            control,
            WaitingReport {
                inbound,
                report,
                until_us,
            },
        );
    }

    fn handle_until(&self, control: &ControlContext, waiting: WaitingReport) {
        let (node, report) = (waiting.inbound.from, &waiting.report);
        let answer = self.with_coordinator(control, |now_us, coordinator| {
            let awaits_record = coordinator.awaits_record(node, report);
            let answer = (!awaits_record).then(|| coordinator.handle(now_us, node, report));
            propose_update(control, now_us, coordinator);
            answer
        });
        let answer = match answer {
            Some(Some(answer)) => answer,
            Some(None) => {
                self.lock_waiting().insert(node.mesh, waiting);
                return;
            }
            None => not_coordinator(control),
        };
        reply(waiting.inbound, &ControlReply::Quota(answer));
    }

    /// A process of a node ends and uses nothing that it holds any more.
    pub(crate) fn leave(&self, control: &ControlContext, node: NodeId) {
        self.lock_waiting()
            .retain(|_, waiting| waiting.inbound.from != node);
        self.with_coordinator(control, |now_us, coordinator| {
            coordinator.leave(now_us, node);
            propose_update(control, now_us, coordinator);
        });
    }

    /// An update of the record by the leader of `term` has ended.
    pub(crate) fn end_update(&self, term: u64, is_committed: bool) {
        // Can't fail: this value also holds the receiver.
        let _ = self.ended.0.send((term, is_committed));
    }

    /// Waits for the end of an update, then handles the reports that wait. Not called by the event
    /// loop, which many reports would delay.
    pub(crate) fn retry_reports(&self, control: &ControlContext, wait: Duration) {
        if let Ok((term, is_committed)) = self.ended.1.recv_timeout(wait) {
            let mut current = self.lock();
            if let Some(current) = current.as_mut().filter(|current| current.term == term) {
                let now_us = Clock::boot_us();
                current.coordinator.end_record_change(now_us, is_committed);
            }
        }
        let waiting = std::mem::take(&mut *self.lock_waiting());
        let now_us = Clock::boot_us();
        for report in waiting.into_values() {
            // The node has given up the others.
            if now_us < report.until_us {
                self.handle_until(control, report);
            }
        }
    }

    /// Runs a step of the coordinator if this replica is the only leader, before and after it: a
    /// process that was frozen in between must not send the result.
    fn with_coordinator<T>(
        &self,
        control: &ControlContext,
        step: impl FnOnce(u64, &mut QuotaCoordinator) -> T,
    ) -> Option<T> {
        let mut guard = self.lock();
        // Read under the lock, so that the coordinator's time never goes back.
        let now_us = Clock::boot_us();
        let leadership = control.sole_leadership(now_us)?;
        let term = leadership.term;
        if guard.as_ref().is_none_or(|current| current.term != term) {
            *guard = Some(TermCoordinator::new(control, leadership));
        }
        let current = guard.as_mut()?;
        current.apply_configuration(control, now_us);
        let result = step(now_us, &mut current.coordinator);
        current.log_settled(now_us);
        drop(guard);
        let still = control.sole_leadership(Clock::boot_us())?;
        (still.term == term).then_some(result)
    }

    fn lock(&self) -> MutexGuard<'_, Option<TermCoordinator>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_waiting(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, WaitingReport>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TermCoordinator {
    fn new(control: &ControlContext, leadership: SoleLeadership) -> Self {
        let SoleLeadership {
            term,
            since_boot_us,
            term_before,
        } = leadership;
        let holders = control.replica_state().quota_holders;
        // A leader of a later term than the record may have lent shares without it.
        let record = HolderRecord {
            nodes: holders.nodes.clone(),
            is_complete: holders.is_complete && holders.term == term_before,
        };
        log::info!(
            "replica: coordinates the quotas of customers in term {term}; {} nodes may hold shares, the record of term {} is {}.",
            record.nodes.len(),
            holders.term,
            if record.is_complete {
                "complete"
            } else {
                "not complete"
            }
        );
        TermCoordinator {
            term,
            coordinator: QuotaCoordinator::new(since_boot_us, term)
                .with_holders(record)
                .with_tolerance(tolerance_of(control)),
            configuration: None,
            since_boot_us,
            is_settling: true,
        }
    }

    fn log_settled(&mut self, now_us: u64) {
        if self.is_settling && !self.coordinator.is_settling() {
            self.is_settling = false;
            log::info!(
                "replica: refills the quotas at the full rate, {} ms after the start of term {}.",
                now_us.saturating_sub(self.since_boot_us) / 1_000,
                self.term
            );
        }
    }

    /// Applies the limits of the configuration in effect, if they have changed.
    fn apply_configuration(&mut self, control: &ControlContext, now_us: u64) {
        let set = control.kernel.profiles.current();
        let newest = set.configuration();
        let is_same = match (newest, &self.configuration) {
            (Some(newest), Some(applied)) => Arc::ptr_eq(newest, applied),
            (newest, applied) => newest.is_none() && applied.is_none(),
        };
        if is_same {
            return;
        }
        self.configuration = newest.cloned();
        let customers = newest.and_then(|newest| newest.customers.as_deref());
        let limits = customers.unwrap_or_default().iter().map(limit_of);
        self.coordinator.set_customers(now_us, limits);
    }
}

/// Proposes the next update of the record, if one is due.
fn propose_update(control: &ControlContext, now_us: u64, coordinator: &mut QuotaCoordinator) {
    if let Some(change) = coordinator.next_record_change(now_us) {
        control.propose_holders(HolderUpdate {
            term: coordinator.epoch(),
            is_complete: change.is_complete,
            added: change.added,
            removed: change.removed,
        });
    }
}

fn not_coordinator(control: &ControlContext) -> QuotaAnswer {
    let own = control.kernel.mesh.local_id().mesh;
    let leader = control.replica_state().leader;
    let leader = leader.and_then(|id| control.address_of(id.number));
    QuotaAnswer::NotCoordinator {
        coordinator: leader.filter(|address| *address != own),
    }
}

fn tolerance_of(control: &ControlContext) -> QuotaTolerance {
    let settings = control.kernel.control_settings();
    let settings = settings.map_or_else(QuotaToleranceSettings::default, |all| all.quota_tolerance);
    QuotaTolerance {
        window_s: settings.window_ms as f64 / 1_000.0,
        overage_percent: f64::from(settings.overage_percent),
        slack: f64::from(settings.slack),
    }
}

fn limit_of(customer: &Customer) -> (Arc<str>, CustomerLimit) {
    let limit = CustomerLimit {
        rate_per_s: customer.limited_rate_per_s(),
        burst: customer.burst_calls(),
    };
    (Arc::clone(&customer.name), limit)
}
