//! Passes arriving calls to admission control, after a check of the host's pace.
//!
//! The pace is the time that work takes on the host at present, in percent of the usual time. While
//! the host is slow, calls wait instead of starting.

use super::{
    instance::{Arrival, Instance, Job},
    replies::reply,
    state::Owner,
};
use errors::ErrorKind;
use http::CancelToken;
use limits::{AdmissionRequest, AdmissionResult, CustomerKey, PaceStatus, QueueDecision};
use model::LoadSignal;
use std::sync::{Arc, MutexGuard};
use wire::{RunCall, RunResult};

/// Longest time for which calls wait for a slow host to recover, in microseconds. After that they
/// start anyway, since a host that stays slow still completes some work.
const SLOW_HOLD_US: u64 = 400_000;
/// Divisor of the expected service time that gives the wait granted to every call, even one that
/// will miss its latency target.
const MIN_WAIT_DIVISOR: u64 = 4;

impl Owner {
    /// Passes a call to admission control, after a health check if the host's pace is not known.
    pub(super) fn check_pace_and_admit(self: &Arc<Self>, now_us: u64, arrival: Arrival) {
        let mut guard = self.lock_instance();
        let Some(instance) = guard.as_mut() else {
            drop(guard);
            self.refuse_without_instance(now_us, arrival);
            return;
        };
        let pace_status = match instance.pace.check(now_us) {
            PaceStatus::QueryDue if !self.try_begin_health_check(instance) => {
                instance.pace.cancel_query()
            }
            status => status,
        };
        match pace_status {
            PaceStatus::QueryDue | PaceStatus::QueryPending => {
                instance.pending_arrivals.push(arrival);
                let pool = Arc::clone(&instance.pool);
                let service = instance.upstream.service.clone();
                drop(guard);
                if pace_status == PaceStatus::QueryDue {
                    self.check_health(&service, &pool);
                }
            }
            PaceStatus::Usual => self.admit_call(guard, now_us, arrival),
            PaceStatus::Slow => {
                instance.admission.hold(now_us, SLOW_HOLD_US);
                self.admit_call(guard, now_us, arrival);
            }
        }
    }

    /// Passes the calls that waited for a health check to admission control.
    pub(super) fn admit_pending_arrivals(self: &Arc<Self>) {
        let pending_arrivals = match self.lock_instance().as_mut() {
            Some(instance) => std::mem::take(&mut instance.pending_arrivals),
            None => return,
        };
        let now_us = self.now_us();
        for arrival in pending_arrivals {
            let guard = self.lock_instance();
            if guard.is_none() {
                drop(guard);
                self.refuse_without_instance(now_us, arrival);
                continue;
            }
            self.admit_call(guard, now_us, arrival);
        }
    }

    /// Records the host's pace and holds or releases the queued calls accordingly.
    pub(super) fn record_pace(self: &Arc<Self>, percent: u32) {
        let now_us = self.now_us();
        let mut guard = self.lock_instance();
        let Some(instance) = guard.as_mut() else {
            return;
        };
        instance.pace.record(now_us, percent);
        if instance.pace.is_slow() {
            instance.admission.hold(now_us, SLOW_HOLD_US);
        } else if instance.admission.is_held(now_us) {
            let decisions = instance.admission.resume(now_us);
            self.execute(guard, &decisions);
        }
    }

    fn refuse_without_instance(&self, now_us: u64, arrival: Arrival) {
        self.lock_records().refuse(now_us, arrival.call.attempt);
        reply(
            arrival.reply,
            LoadSignal::default(),
            RunResult::Refused(ErrorKind::NoUpstream),
        );
    }

    fn admit_call(
        self: &Arc<Self>,
        mut guard: MutexGuard<'_, Option<Instance>>,
        now_us: u64,
        arrival: Arrival,
    ) {
        let Arrival {
            call,
            customer,
            done_us,
            deadline_us,
            reply: reply_to,
        } = arrival;
        let attempt = call.attempt;
        let Some(instance) = guard.as_mut() else {
            return;
        };
        if let Some(kind) = self.cold_refusal(now_us) {
            let signal = instance.load_signal(now_us);
            drop(guard);
            self.lock_records().refuse(now_us, attempt);
            reply(reply_to, signal, RunResult::Refused(kind));
            return;
        }
        let request = AdmissionRequest {
            done_us,
            ..instance.admission_request(now_us, deadline_us, &call, customer.as_deref())
        };
        let result = instance.admission.admit(now_us, request);
        log::info!(
            "owner: call {attempt} at {}: {result:?}, running {} of {}, waiting {}, pace {} %.",
            call.upstream,
            instance.admission.in_flight(),
            instance.admission.slots(),
            instance.admission.queued(),
            instance.pace.percent()
        );
        let job = Job {
            call,
            deadline_us,
            arrived_us: now_us,
            cancel: CancelToken::new(),
            pool: Arc::clone(&instance.pool),
            reply: reply_to,
            may_run_until_us: None,
            customer,
        };
        match result {
            AdmissionResult::Start => {
                instance.mark_running(&job);
                self.update_gauges(instance);
                drop(guard);
                self.start_jobs([job]);
            }
            AdmissionResult::Queued => {
                instance.waiting.insert(attempt, job);
                self.update_gauges(instance);
                drop(guard);
                // A lost wake-up is harmless, since the timer also wakes up periodically.
                let _ = self.wake.send(());
            }
            AdmissionResult::QueuedInstead(shed) => {
                instance.waiting.insert(attempt, job);
                self.execute(guard, &[QueueDecision::Refuse(shed, ErrorKind::QueueFull)]);
            }
            AdmissionResult::Refused(kind) => {
                let signal = instance.load_signal(now_us);
                drop(guard);
                self.lock_records().refuse(now_us, attempt);
                reply(job.reply, signal, RunResult::Refused(kind));
            }
        }
    }
}

impl Instance {
    /// What admission control needs to know of a call for which no work was done before.
    pub(super) fn admission_request(
        &self,
        now_us: u64,
        deadline_us: u64,
        call: &RunCall,
        customer: Option<&str>,
    ) -> AdmissionRequest {
        let expected_us = self.service_times.expected_us(&call.profile);
        let target_us = now_us.saturating_add(call.target_us);
        let max_queue_wait_us = call.max_queue_wait_us.unwrap_or(u64::MAX);
        AdmissionRequest {
            attempt: call.attempt,
            priority: call.priority,
            deadline_us,
            start_by_us: latest_useful_start_us(now_us, expected_us, target_us)
                .min(now_us.saturating_add(max_queue_wait_us))
                .min(deadline_us),
            expected_us,
            target_us,
            start_now: call.start_now,
            queue_limit: call.queue_limit,
            customer: customer.map(CustomerKey::of),
            done_us: 0,
        }
    }

    /// Result that admission control would give now to a call, on a copy of its state.
    pub(super) fn preview_admission(
        &self,
        now_us: u64,
        call: &RunCall,
        customer: Option<&str>,
    ) -> AdmissionResult {
        let deadline_us = now_us + call.remaining_us;
        let request = self.admission_request(now_us, deadline_us, call, customer);
        if !self.pace.is_slow() {
            return self.admission.preview(now_us, request);
        }
        let mut admission = self.admission.clone();
        admission.hold(now_us, SLOW_HOLD_US);
        admission.preview(now_us, request)
    }
}

/// Latest start with which a call is expected to meet its latency target, or the end of the wait
/// granted to every call if that is later. A call that is refused then can still be sent to another
/// owner, and its slot goes to a call that can be on time.
fn latest_useful_start_us(now_us: u64, expected_us: u64, target_us: u64) -> u64 {
    let min_us = now_us + expected_us / MIN_WAIT_DIVISOR;
    target_us.saturating_sub(expected_us).max(min_us)
}
