//! What the owner would decide now about a call, for route queries. Nothing here changes its state.

use super::state::Owner;
use crate::context::OwnerPreview;
use api::AdmissionInfo;
use errors::ErrorKind;
use limits::{Admission, AdmissionResult};
use model::{Fingerprint, LoadSignal};
use suspects::Verdict;
use wire::RunCall;

impl OwnerPreview for Owner {
    fn upcoming_load(&self) -> Option<LoadSignal> {
        let instance = self.lock_instance();
        Some(instance.as_ref()?.upcoming_load_signal(self.now_us()))
    }

    fn admission(&self, call: &RunCall, customer: Option<&str>) -> AdmissionInfo {
        let now_us = self.now_us();
        let refusal = self.upcoming_refusal(now_us, call);
        let downstream = match refusal {
            None => self.upcoming_downstream_refusal(now_us, call),
            Some(_) => None,
        };
        let refusal = refusal.or_else(|| downstream.is_some().then_some(ErrorKind::Overloaded));
        let guard = self.lock_instance();
        let instance = guard.as_ref();
        let result = match (refusal, instance) {
            (Some(kind), _) => AdmissionResult::Refused(kind),
            (None, Some(instance)) => instance.preview_admission(now_us, call, customer),
            (None, None) => AdmissionResult::Refused(ErrorKind::NoUpstream),
        };
        let (verdict, error) = match result {
            AdmissionResult::Start => ("start", None),
            AdmissionResult::Queued | AdmissionResult::QueuedInstead(_) => ("wait", None),
            AdmissionResult::Refused(kind) => ("refuse", Some(kind.info().code.to_owned())),
        };
        let admission = instance.map(|instance| &instance.admission);
        AdmissionInfo {
            verdict: verdict.to_owned(),
            error,
            downstream,
            source: "owner".to_owned(),
            running: admission.map_or(0, Admission::in_flight),
            waiting: admission.map_or(0, Admission::queued),
            slots: admission.map_or(0, Admission::slots),
            age_ms: Some(0),
            cold: self.shared.cold.state(now_us),
        }
    }
}

impl Owner {
    /// Reason to refuse a call before it comes to admission control.
    fn upcoming_refusal(&self, now_us: u64, call: &RunCall) -> Option<ErrorKind> {
        let evacuated = || self.is_evacuated().then_some(ErrorKind::NoUpstream);
        let origin = call.attempt.call.origin;
        let is_congested = || self.congestion(origin).is_some();
        let is_cold_full = || !self.shared.cold.has_room(now_us);
        self.readiness_refusal(&call.upstream)
            .map(|(kind, _)| kind)
            .or_else(evacuated)
            .or_else(|| is_congested().then_some(ErrorKind::Overloaded))
            .or_else(|| self.upcoming_suspect_refusal(now_us, &call.fingerprint))
            .or_else(|| is_cold_full().then_some(ErrorKind::Overloaded))
    }

    fn upcoming_suspect_refusal(&self, now_us: u64, request: &Fingerprint) -> Option<ErrorKind> {
        match self.context.verdict(now_us, request) {
            Verdict::Clear | Verdict::Suspected => None,
            Verdict::Refuse => Some(ErrorKind::CrashSuspect),
            Verdict::Hold => Some(ErrorKind::CrashHold),
            Verdict::Trial => self.has_trial(now_us).then_some(ErrorKind::CrashHold),
        }
    }
}
