//! Calls wait while the upstream's host is slow. It matters when a noisy neighbour slows the host for
//! some hundred milliseconds: a call that starts meanwhile stays slow to its end.

use super::{Admission, AdmissionRequest, QueueDecision, queue_index};
use crate::USUAL_PACE_PERCENT;
use model::Priority;

impl Admission {
    /// Starts no calls for `for_us` because work takes `pace_percent` of the usual time on the host.
    /// They start at the end of that time, or with `resume`; a call whose latest start comes before
    /// that starts then, if it can finish in time at this pace. Has no effect on the time while
    /// calls are already held.
    pub fn hold(&mut self, now_us: u64, for_us: u64, pace_percent: u32) {
        self.held_pace_percent = pace_percent;
        if now_us >= self.held_until_us {
            self.held_until_us = now_us + for_us;
        }
    }

    /// Whether no calls start because the host is slow.
    pub fn is_held(&self, now_us: u64) -> bool {
        now_us < self.held_until_us
    }

    /// Ends a hold and starts waiting calls as far as there are free slots.
    pub fn resume(&mut self, now_us: u64) -> Vec<QueueDecision> {
        self.held_until_us = 0;
        self.start_waiting(now_us)
    }

    /// Starts the calls of a held queue whose latest start has come, as far as there are free slots
    /// and the calls can finish before their deadlines at the present pace. Refused, their callers
    /// would have waited for nothing.
    pub(super) fn start_despite_hold(&mut self, now_us: u64) -> Vec<QueueDecision> {
        let mut decisions = Vec::new();
        if !self.is_held(now_us) {
            return decisions;
        }
        for priority in [Priority::High, Priority::Normal, Priority::Low] {
            while self.has_slot_for(priority) {
                let queue = &self.waiting[queue_index(priority)];
                let due = queue.iter().position(|request| {
                    now_us >= request.start_by_us && self.can_finish_slowly(now_us, request)
                });
                let Some(request) =
                    due.and_then(|index| self.waiting[queue_index(priority)].remove(index))
                else {
                    break;
                };
                self.occupy_slot(now_us, &request);
                decisions.push(QueueDecision::Start(request.attempt));
            }
        }
        decisions
    }

    /// Whether a call that starts now ends before its deadline at the pace of the slow host.
    fn can_finish_slowly(&self, now_us: u64, request: &AdmissionRequest) -> bool {
        let service_us = self.service_us_of(request).max(1);
        let slow_us = service_us.saturating_mul(u64::from(self.held_pace_percent))
            / u64::from(USUAL_PACE_PERCENT);
        now_us.saturating_add(slow_us) <= request.deadline_us
    }
}
