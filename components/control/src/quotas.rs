//! Coordinates the quotas of customers while this replica is the only leader.

use crate::context::{ControlContext, SoleLeadership};
use config::{Configuration, Customer, Quantity};
use kernel::Clock;
use model::NodeId;
use quota::{CustomerLimit, QuotaAnswer, QuotaCoordinator, QuotaReport, QuotaTolerance};
use settings::QuotaToleranceSettings;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The coordinator of one term.
struct TermCoordinator {
    term: u64,
    coordinator: QuotaCoordinator,
    /// The configuration whose limits it applies.
    configuration: Option<Arc<Configuration>>,
}

/// The coordinator of this replica; it has none before it leads.
#[derive(Default)]
pub(crate) struct Quotas {
    current: Mutex<Option<TermCoordinator>>,
}

impl Quotas {
    /// Handles the report of a node.
    pub(crate) fn handle(
        &self,
        control: &ControlContext,
        node: NodeId,
        report: &QuotaReport,
    ) -> QuotaAnswer {
        let answer = self.with_coordinator(control, |now_us, coordinator| {
            coordinator.handle(now_us, node, report)
        });
        answer.unwrap_or_else(|| {
            let own = control.kernel.mesh.local_id().mesh;
            let leader = control.replica_state().leader;
            let leader = leader.and_then(|id| control.address_of(id.number));
            QuotaAnswer::NotCoordinator {
                coordinator: leader.filter(|address| *address != own),
            }
        })
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
        let SoleLeadership {
            term,
            since_boot_us,
        } = control.sole_leadership(now_us)?;
        if guard.as_ref().is_none_or(|current| current.term != term) {
            log::info!("replica: coordinates the quotas of customers in term {term}.");
            *guard = Some(TermCoordinator {
                term,
                coordinator: QuotaCoordinator::new(since_boot_us, term)
                    .with_tolerance(tolerance_of(control)),
                configuration: None,
            });
        }
        let current = guard.as_mut()?;
        current.apply_configuration(control, now_us);
        let result = step(now_us, &mut current.coordinator);
        drop(guard);
        let still = control.sole_leadership(Clock::boot_us())?;
        (still.term == term).then_some(result)
    }

    fn lock(&self) -> MutexGuard<'_, Option<TermCoordinator>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TermCoordinator {
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
        rate_per_s: customer.rate_per_s.map(Quantity::as_f64),
        burst: customer.burst.map_or(0.0, Quantity::as_f64),
    };
    (Arc::clone(&customer.name), limit)
}
