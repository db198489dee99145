//! Order of the waiting calls by what their delay or refusal costs callers.
//!
//! Workload: demand in waves of plus and minus 55 %, an instance that is five times slower for 150 ms
//! at a time, and one kind of call with six times the value of the others, in the highest priority.
//! Of the calls that can still meet their targets, the highest priority starts first, and in it the
//! call with the most value for the work that it needs. The others wait for spare capacity, or are
//! refused at once if they would come too late.

use super::{Admission, AdmissionRequest, PRIORITIES, QueueDecision, queue_index};
use errors::ErrorKind;

/// Order in which waiting calls start, and in which they are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionOrder {
    /// By priority, then by latency target.
    #[default]
    Deadline,
    /// By what the delay or refusal of a call costs its caller.
    Cost,
}

impl std::str::FromStr for AdmissionOrder {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "deadline" => Ok(AdmissionOrder::Deadline),
            "cost" => Ok(AdmissionOrder::Cost),
            _ => Err(()),
        }
    }
}

/// Starts after which a call of a priority that got none is next. Its callers then still get some
/// answers, at about 3 % of the capacity.
const STARTS_PER_STARVED_CALL: u32 = 32;

/// Position of a waiting call: its queue and its index there.
type Position = (usize, usize);

/// Which of the waiting calls can be served in time.
#[derive(Clone, Debug, Default)]
struct Plan {
    /// Calls that meet their targets, those to serve first at the front.
    on_time: Vec<Position>,
    /// The other calls, those to serve first at the front.
    left_out: Vec<Position>,
    /// Time that the calls on time need.
    busy_us: u64,
}

impl Admission {
    /// The same upstream with another order of the waiting calls.
    pub fn with_order(self, order: AdmissionOrder) -> Self {
        Admission { order, ..self }
    }

    fn request_at(&self, (queue, index): Position) -> &AdmissionRequest {
        &self.waiting[queue][index]
    }

    /// Value of a call for the work that it needs. Work that was already done for it would be wasted
    /// by its refusal; a call for which as much was done as it still needs is worth twice as much.
    fn value_per_work(&self, request: &AdmissionRequest) -> f64 {
        let service_us = self.service_us_of(request).max(1) as f64;
        (service_us + request.done_us as f64) / (service_us * service_us)
    }

    /// Orders calls by what is served first.
    fn compare_cost(&self, a: Position, b: Position) -> std::cmp::Ordering {
        let value = |position| self.value_per_work(self.request_at(position));
        let by_value = value(b).total_cmp(&value(a));
        a.0.cmp(&b.0).then(by_value).then(a.1.cmp(&b.1))
    }

    /// Time that a call takes of the slots that its priority may use.
    fn share_us(&self, position: Position) -> u64 {
        let request = self.request_at(position);
        self.service_us_of(request) / u64::from(self.slots_for(request.priority).max(1))
    }

    /// Decides which calls of the first queues can be served in time if they start from `start_us`.
    fn plan(&self, start_us: u64, queues: usize) -> Plan {
        let mut calls: Vec<Position> = (0..queues)
            .flat_map(|queue| (0..self.waiting[queue].len()).map(move |index| (queue, index)))
            .collect();
        calls.sort_by(|a, b| self.compare_cost(*a, *b));
        let mut plan = Plan::default();
        for position in calls {
            let request = self.request_at(position);
            let starts_us = start_us.saturating_add(plan.busy_us);
            if self.can_meet_target(starts_us, request) {
                plan.busy_us += self.share_us(position);
                plan.on_time.push(position);
            } else {
                plan.left_out.push(position);
            }
        }
        plan
    }

    /// Removes the request that starts next.
    pub(super) fn next_by_cost(
        &mut self,
        now_us: u64,
        open_queues: usize,
    ) -> Option<AdmissionRequest> {
        let plan = self.plan(now_us, open_queues);
        let first = *plan.on_time.first().or(plan.left_out.first())?;
        let starved = (0..open_queues).rfind(|queue| self.is_starved(*queue));
        let queue = starved.unwrap_or(first.0);
        let of_queue = |list: &[Position]| -> Vec<usize> {
            let positions = list.iter().filter(|position| position.0 == queue);
            positions.map(|position| position.1).collect()
        };
        let mut positions = of_queue(&plan.on_time);
        if positions.is_empty() {
            positions = of_queue(&plan.left_out);
        }
        let index = self.next_in_turn(queue, &positions)?;
        self.waiting[queue].remove(index)
    }

    /// Whether a call of this queue waits and none has started for long.
    fn is_starved(&self, queue: usize) -> bool {
        !self.waiting[queue].is_empty() && self.is_due(queue)
    }

    fn is_due(&self, queue: usize) -> bool {
        self.starts_since[queue] >= STARTS_PER_STARVED_CALL
    }

    /// Refuses waiting calls that would start too late, so that they can be sent elsewhere at once.
    pub(super) fn refuse_by_cost(&mut self, now_us: u64) -> Vec<QueueDecision> {
        let first_free_us = now_us.max(self.held_until_us) + self.wait_for_slot_us(now_us);
        let plan = self.plan(first_free_us, PRIORITIES);
        let mut busy_us = plan.busy_us;
        let mut refused = Vec::new();
        for position in plan.left_out {
            let request = self.request_at(position);
            let is_next_of_starved = self.is_due(position.0) && position.1 == 0;
            let start_us = first_free_us.saturating_add(busy_us);
            if is_next_of_starved || self.can_finish(start_us, request) {
                busy_us += self.share_us(position);
            } else {
                refused.push(request.attempt);
            }
        }
        let is_refused = |request: &AdmissionRequest| refused.contains(&request.attempt);
        for queue in &mut self.waiting {
            queue.retain(|request| !is_refused(request));
        }
        let decision = |attempt| QueueDecision::Refuse(attempt, ErrorKind::Overloaded);
        refused.into_iter().map(decision).collect()
    }

    /// Whether a call that arrives would be served in time, possibly in place of cheaper ones.
    pub(super) fn fits_by_cost(&mut self, now_us: u64, request: &AdmissionRequest) -> bool {
        let queue = queue_index(request.priority);
        if self.is_due(queue) && self.waiting[queue].is_empty() {
            return true;
        }
        self.waiting[queue].push_back(*request);
        let position = (queue, self.waiting[queue].len() - 1);
        let first_free_us = now_us.max(self.held_until_us) + self.wait_for_slot_us(now_us);
        let plan = self.plan(first_free_us, PRIORITIES);
        let fits = plan.on_time.contains(&position) || {
            let ahead = plan.left_out.iter().take_while(|other| **other != position);
            let ahead_us: u64 = ahead.map(|other| self.share_us(*other)).sum();
            self.can_finish(first_free_us + plan.busy_us + ahead_us, request)
        };
        self.waiting[queue].pop_back();
        fits
    }

    /// Time until one of the running calls ends, on average.
    fn wait_for_slot_us(&self, now_us: u64) -> u64 {
        self.mean_remaining_us(now_us) / u64::from(self.config.slots.max(1))
    }
}
