//! Counts work at the local instance whose answers won't come, if the settings ask for it.
//!
//! An instance that is full may never answer a request that it can't queue. Calls whose connection
//! was cut, health checks, and calls of an earlier process of this node therefore take slots.

use super::{
    instance::{Instance, Job},
    state::Owner,
};
use http::{AsyncPool, CallError};
use std::sync::Arc;

/// Time within which the instance is expected to report its load after this node starts, in
/// microseconds. Until then all slots count as in use; an instance that reports none is served after
/// it.
const START_REPORT_US: u64 = 2_000_000;
/// Longest time for which calls of an earlier process of this node are counted, in microseconds.
/// Load reports end the count earlier; without them no deadline is known.
const INHERITED_WORK_US: u64 = 10_000_000;

/// Time between the health checks that ask for the load while calls of an earlier process of this
/// node are counted, in microseconds. They may be the only messages to the instance.
const START_QUERY_INTERVAL_US: u64 = 250_000;

/// Load reports that are needed because of an earlier process of this node.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportWait {
    /// Whether the instance has not reported yet.
    is_first: bool,
    next_query_us: u64,
    until_us: u64,
}

/// Running and waiting calls that the instance reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReportedCalls {
    pub(super) running: u32,
    pub(super) waiting: u32,
}

impl ReportedCalls {
    /// Reads the first two comma-separated fields of the load header.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split(',').map(|field| field.trim().parse().ok());
        Some(ReportedCalls {
            running: fields.next()??,
            waiting: fields.next()??,
        })
    }
}

impl Instance {
    /// Counts all slots as in use until the instance reports what an earlier process of this node
    /// has left there.
    pub(super) fn expect_inherited_work(&mut self, now_us: u64, announced_slots: u32) {
        let slots = announced_slots.max(self.upstream.slots);
        let until_us = now_us + START_REPORT_US;
        self.report_wait = Some(ReportWait {
            is_first: true,
            next_query_us: now_us,
            until_us,
        });
        self.admission.inherit_work(slots, until_us);
    }
}

impl Owner {
    pub(super) fn counts_lost_work(&self) -> bool {
        self.context.kernel.node_settings().count_lost_work
    }

    /// Whether an instance tells what runs there, so that work of earlier owners can be counted.
    pub(super) fn counts_inherited_work(&self) -> bool {
        let has_load_header = self.context.kernel.node_settings().headers.load.is_some();
        self.counts_lost_work() && has_load_header
    }

    /// Asks the instance what runs there, until nothing of an earlier process is left.
    pub(super) fn query_inherited_work(self: &Arc<Self>) {
        let now_us = self.now_us();
        let mut guard = self.lock_instance();
        let Some(instance) = guard.as_mut() else {
            return;
        };
        instance.report_wait.take_if(|wait| now_us >= wait.until_us);
        let is_due = |wait: &&mut ReportWait| now_us >= wait.next_query_us;
        let Some(wait) = instance.report_wait.as_mut().filter(is_due) else {
            return;
        };
        wait.next_query_us = now_us + START_QUERY_INTERVAL_US;
        instance.admission.begin_health_check();
        let pool = Arc::clone(&instance.pool);
        let service = instance.upstream.service.clone();
        drop(guard);
        self.check_health(&service, &pool);
    }

    /// Applies the load that the instance reported in its answer to a message sent at `sent_us`.
    pub(super) fn record_reported_calls(self: &Arc<Self>, sent_us: u64, reported: ReportedCalls) {
        let now_us = self.now_us();
        self.unanswered.record_report(now_us, reported.waiting);
        if !self.counts_lost_work() {
            return;
        }
        let mut guard = self.lock_instance();
        let Some(instance) = guard.as_mut() else {
            return;
        };
        let calls = reported.running.saturating_add(reported.waiting);
        if let Some(wait) = &mut instance.report_wait
            && std::mem::take(&mut wait.is_first)
        {
            wait.until_us = now_us + INHERITED_WORK_US;
            instance.admission.inherit_work(calls, wait.until_us);
        }
        let decisions = instance
            .admission
            .limit_inherited_work(now_us, sent_us, calls);
        if instance.admission.inherited_work() == 0 {
            instance.report_wait = None;
        }
        self.execute(guard, &decisions);
    }

    /// Whether a health check may be sent to the instance; counts it if so.
    pub(super) fn try_begin_health_check(&self, instance: &mut Instance) -> bool {
        if !self.counts_lost_work() {
            return true;
        }
        let has_room = instance.admission.has_room_for_health_check();
        if has_room {
            instance.admission.begin_health_check();
        }
        has_room
    }

    /// Counts a health check that is sent whatever runs at the instance: it looks for evidence of a
    /// crash, which only a refused connection gives.
    pub(super) fn begin_crash_check(&self, pool: &Arc<AsyncPool>) {
        if let Some(instance) = self.lock_instance().as_mut()
            && self.counts_lost_work()
            && Arc::ptr_eq(&instance.pool, pool)
        {
            instance.admission.begin_health_check();
        }
    }

    /// Ends a health check that was counted at the instance of this pool.
    pub(super) fn end_counted_check(self: &Arc<Self>, pool: &Arc<AsyncPool>) {
        if !self.counts_lost_work() {
            return;
        }
        let now_us = self.now_us();
        let mut guard = self.lock_instance();
        let Some(instance) = guard.as_mut().filter(|i| Arc::ptr_eq(&i.pool, pool)) else {
            return;
        };
        let decisions = instance.admission.end_health_check(now_us);
        self.execute(guard, &decisions);
    }

    /// Drops the work of the process that the instance has replaced.
    pub(super) fn clear_lost_work(self: &Arc<Self>) {
        if !self.counts_lost_work() {
            return;
        }
        let now_us = self.now_us();
        let mut guard = self.lock_instance();
        let Some(instance) = guard.as_mut() else {
            return;
        };
        let lost = instance.admission.lost_work();
        let decisions = instance.admission.clear_lost_work(now_us);
        if lost > 0 {
            log::info!(
                "owner: instance {} has restarted; {lost} calls of its earlier start are no \
                 longer counted.",
                instance.upstream.name
            );
        }
        self.execute(guard, &decisions);
    }

    /// Notes on a job without a complete response that the instance may still run it. That is so after
    /// every error but `NotSent`: a response to another call says nothing of this one, and an instance
    /// may still produce a response that is cut off here because it is too large or malformed.
    pub(super) fn mark_lost(&self, job: &mut Job, error: CallError) {
        if self.counts_lost_work() && error != CallError::NotSent {
            job.may_run_until_us = Some(job.deadline_us);
        }
    }
}
