//! Work at the upstream that the owner has lost sight of and that still takes slots. It matters at
//! upstreams that never answer a request which they can't queue.

use super::{Admission, QueueDecision};
use model::AttemptId;

impl Admission {
    /// Ends an attempt whose answer won't come although the upstream may run it until `until_us`.
    /// Its slot stays in use until then. `service_time_us` is as for `finish`, if it counts.
    pub fn lose(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        until_us: u64,
        service_time_us: Option<u64>,
    ) -> Vec<QueueDecision> {
        let Some(index) = self.running.iter().position(|r| r.attempt == attempt) else {
            return Vec::new();
        };
        self.running.swap_remove(index);
        self.lost.add(until_us);
        if let Some(service_time_us) = service_time_us {
            self.update_service_estimate(now_us, service_time_us);
        }
        self.start_waiting(now_us)
    }

    /// Counts calls that an earlier owner may have left at the upstream, at most until `until_us`.
    pub fn inherit_work(&mut self, calls: u32, until_us: u64) {
        self.lost.inherit(calls, until_us);
    }

    /// Lowers the inherited work after the upstream has reported how many calls run and wait there.
    /// The message that was answered with the report was sent at `sent_us`; calls that ran before
    /// that and still run are certainly part of the report.
    pub fn limit_inherited_work(
        &mut self,
        now_us: u64,
        sent_us: u64,
        reported_calls: u32,
    ) -> Vec<QueueDecision> {
        let own = self.running.iter().filter(|r| r.started_us <= sent_us);
        let own = u32::try_from(own.count()).unwrap_or(u32::MAX);
        self.lost
            .limit_inherited(reported_calls.saturating_sub(own));
        self.start_waiting(now_us)
    }

    /// Drops all lost work, after the upstream has restarted.
    pub fn clear_lost_work(&mut self, now_us: u64) -> Vec<QueueDecision> {
        self.lost.clear();
        self.start_waiting(now_us)
    }

    /// Whether the upstream can queue a health check. A check whose answer matters should not be
    /// sent otherwise.
    pub fn has_room_for_health_check(&self) -> bool {
        self.in_flight() < self.config.slots + self.config.urgent_slots
    }

    /// Counts a health check that is sent as work at the upstream.
    pub fn begin_health_check(&mut self) {
        self.lost.begin_health_check();
    }

    /// Ends a health check that was counted.
    pub fn end_health_check(&mut self, now_us: u64) -> Vec<QueueDecision> {
        self.lost.end_health_check();
        self.start_waiting(now_us)
    }

    /// Calls and health checks that count as running although no answer is expected.
    pub fn lost_work(&self) -> u32 {
        self.lost.count()
    }

    /// Calls of earlier owners that count as running.
    pub fn inherited_work(&self) -> u32 {
        self.lost.inherited()
    }

    /// Times that the running and the lost calls still need.
    pub(super) fn remaining_us(&self, now_us: u64) -> impl Iterator<Item = u64> {
        let running = self.running.iter().map(move |running| {
            let age_us = now_us.saturating_sub(running.started_us);
            running.expected_us.checked_sub(age_us).unwrap_or(age_us)
        });
        let lost = self.lost.ends_us();
        running.chain(lost.map(move |end_us| end_us.saturating_sub(now_us)))
    }
}
