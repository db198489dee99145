//! Expected wait of a call. It matters when short and long calls share the slots of one upstream: a
//! short call starts before long ones, so their number says little about its wait.

use super::{
    Admission, AdmissionRequest,
    fairness::{has_customers, work_ahead_us},
    queue_index,
};

impl Admission {
    /// Expected service time of a request.
    pub(super) fn service_us_of(&self, request: &AdmissionRequest) -> u64 {
        match request.expected_us {
            0 => self.service_us,
            expected_us => expected_us,
        }
    }

    pub(super) fn can_meet_target(&self, now_us: u64, request: &AdmissionRequest) -> bool {
        now_us + self.service_us_of(request) <= request.target_us
    }

    pub(super) fn can_finish(&self, start_us: u64, request: &AdmissionRequest) -> bool {
        let service_us = self.service_us_of(request);
        start_us <= request.start_by_us && start_us + service_us <= request.deadline_us
    }

    /// Time until a request that arrives now gets a slot: until one of the running calls ends, and
    /// for the calls that start before it. Each counts with its own service time, so that a short
    /// call is not refused because the instance also runs long calls that start after it.
    pub(super) fn expected_wait_us(&self, now_us: u64, request: &AdmissionRequest) -> u64 {
        let queue = &self.waiting[queue_index(request.priority)];
        let takes_turns = request.customer.is_some() || has_customers(queue);
        let (in_turn, ahead): (Vec<_>, Vec<_>) = self
            .waiting
            .iter()
            .flatten()
            .filter(|other| self.starts_before(now_us, other, request))
            .partition(|other| takes_turns && other.priority == request.priority);
        let work_us: u64 = ahead.iter().map(|other| self.service_us_of(other)).sum();
        let in_turn = in_turn
            .iter()
            .map(|other| (other.customer, self.service_us_of(other)));
        let own_us = self.service_us_of(request);
        let ahead_us = work_us + work_ahead_us(in_turn, request.customer, own_us);
        let slots = u64::from(self.slots_for(request.priority).max(1));
        (self.mean_remaining_us(now_us) + ahead_us) / slots
    }

    /// Whether `next_request` returns the waiting call before the request.
    fn starts_before(
        &self,
        now_us: u64,
        waiting: &AdmissionRequest,
        request: &AdmissionRequest,
    ) -> bool {
        let is_above = queue_index(waiting.priority) < queue_index(request.priority);
        let is_equal = waiting.priority == request.priority;
        match (
            self.can_meet_target(now_us, waiting),
            self.can_meet_target(now_us, request),
        ) {
            (true, true) => is_above || (is_equal && waiting.target_us <= request.target_us),
            (false, false) => is_above || is_equal,
            (can_meet_target, _) => can_meet_target,
        }
    }

    /// Mean time that the running calls still need. A call that has exceeded its expected time is
    /// expected to need as much again, and one whose answer won't come until its deadline.
    pub(super) fn mean_remaining_us(&self, now_us: u64) -> u64 {
        let (calls, total_us) = self
            .remaining_us(now_us)
            .fold((0, 0_u64), |(calls, total_us), us| {
                (calls + 1, total_us + us)
            });
        total_us / u64::max(calls, 1)
    }
}
