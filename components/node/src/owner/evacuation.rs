//! Refuses calls to the local instance while its availability zone is evacuated. Entries that don't
//! know of the evacuation yet move the refused calls to other zones.

use super::state::Owner;
use crate::refusal_log::is_logged;
use errors::ErrorKind;
use kernel::Event;
use limits::QueueDecision;
use model::{AttemptId, AvailabilityZone, Revision};
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};
use wire::RunCall;

/// Whether the zone of this owner is evacuated.
#[derive(Default)]
pub(super) struct Evacuation {
    is_active: AtomicBool,
}

/// Keeps the state of the own zone up to date with the control group's.
pub(super) fn watch_evacuation(owner: &Arc<Owner>) {
    let watching = Arc::clone(owner);
    owner.context.kernel.events.apply_on(
        |event| matches!(event, Event::ProfilesChanged(_)),
        move || watching.apply_evacuation(),
    );
}

impl Owner {
    fn apply_evacuation(self: &Arc<Self>) {
        let kernel = &self.context.kernel;
        let zone = &kernel.node_settings().availability_zone;
        let is_active = kernel.profiles.evacuated_zones().contains(zone);
        let was_active = self.evacuation.is_active.swap(is_active, Ordering::AcqRel);
        if is_active && !was_active {
            self.refuse_waiting_calls();
        }
    }

    /// Refusal of a call because the zone is evacuated. Checked when a call arrives and again when it
    /// is about to be sent to the instance, since it may have waited meanwhile.
    pub(super) fn evacuation_refusal(&self, now_us: u64, call: &RunCall) -> Option<ErrorKind> {
        if !self.is_evacuated() {
            return None;
        }
        let refused = self.context.kernel.metrics.evacuation_refused.inc() + 1;
        if is_logged(refused) {
            log::info!(
                "owner: call {} refused, no-upstream: {}; {refused} refused so far.",
                call.attempt,
                self.evacuation_rule(now_us)
            );
        }
        Some(ErrorKind::NoUpstream)
    }

    /// Whether the zone of this owner is evacuated.
    pub(super) fn is_evacuated(&self) -> bool {
        self.evacuation.is_active.load(Ordering::Acquire)
    }

    /// The rule by which calls are refused, with its revision and age.
    fn evacuation_rule(&self, now_us: u64) -> String {
        let kernel = &self.context.kernel;
        describe_rule(
            &kernel.node_settings().availability_zone,
            kernel.profiles.revision(),
            kernel.profiles.age_ms(now_us),
        )
    }

    /// Refuses the calls that wait in the queue. Running ones continue.
    fn refuse_waiting_calls(self: &Arc<Self>) {
        let mut guard = self.lock_instance();
        let Some(instance) = guard.as_mut() else {
            return;
        };
        let waiting: Vec<AttemptId> = instance.waiting.keys().copied().collect();
        let decisions: Vec<QueueDecision> = waiting
            .into_iter()
            .map(|attempt| {
                instance.admission.cancel(attempt);
                QueueDecision::Refuse(attempt, ErrorKind::NoUpstream)
            })
            .collect();
        let refused = decisions.len();
        let running = instance.admission.in_flight();
        self.context
            .kernel
            .metrics
            .evacuation_refused
            .inc_by(refused as u64);
        self.execute(guard, &decisions);
        log::info!(
            "owner: {}; {refused} waiting calls were refused, {running} running ones continue.",
            self.evacuation_rule(self.now_us())
        );
    }
}

fn describe_rule(zone: &AvailabilityZone, revision: Revision, age_ms: u64) -> String {
    format!("availability zone {zone} is evacuated, revision {revision}, confirmed {age_ms} ms ago")
}

#[cfg(test)]
#[path = "../../tests/inside/evacuation_log.rs"]
mod tests;
