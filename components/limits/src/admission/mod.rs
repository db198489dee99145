//! Admission of calls at the owner: slots, queues by priority, and early refusal of calls that
//! can't finish in time.

mod cost;
mod fairness;
mod hold;
mod lost;
mod request;
mod wait;

pub use cost::AdmissionOrder;
pub use fairness::CustomerKey;
pub use request::{
    AdmissionConfig, AdmissionRequest, AdmissionResult, CancelResult, QueueDecision,
};

use crate::LostWork;
use errors::ErrorKind;
use fairness::{Candidate, CustomerTurns, has_customers, newest_of_largest};
use model::{AttemptId, LoadSignal, Priority, UpstreamState};
use std::collections::VecDeque;

/// Lowest weight of one finished call in the service time estimate, as a divisor.
const SERVICE_WEIGHT_DIVISOR: u64 = 8;
/// Time without a finished call after which the next one replaces the estimate entirely, in
/// microseconds. Otherwise an upstream that few calls reach would seem slow long after it
/// recovered.
const SERVICE_ESTIMATE_LIFE_US: u64 = 100_000;
/// Number of priorities; each has its own queue.
const PRIORITIES: usize = 3;

/// An attempt that holds a slot.
#[derive(Clone, Copy, Debug)]
struct Running {
    attempt: AttemptId,
    started_us: u64,
    /// Expected service time at its start.
    expected_us: u64,
}

/// Slots and queues of one upstream, kept by its owner. It decides which call starts, waits or is
/// refused.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    order: AdmissionOrder,
    state: UpstreamState,
    running: Vec<Running>,
    /// Work at the upstream whose answers won't come.
    lost: LostWork,
    waiting: [VecDeque<AdmissionRequest>; PRIORITIES],
    /// Turns of the customers in each queue.
    turns: [CustomerTurns; PRIORITIES],
    /// Calls that started since the last one of each priority.
    starts_since: [u32; PRIORITIES],
    /// End of the time for which no call starts because the host is slow.
    held_until_us: u64,
    /// Estimate of the service time; 0 before the first finished call.
    service_us: u64,
    /// Time of the last change of the estimate.
    estimated_us: u64,
    /// Sequence number of the last load signal.
    sequence: u64,
}

impl Admission {
    /// An idle upstream that accepts calls.
    pub fn new(config: AdmissionConfig) -> Self {
        Admission {
            config,
            order: AdmissionOrder::default(),
            starts_since: [0; PRIORITIES],
            state: UpstreamState::Serving,
            running: Vec::with_capacity(config.slots as usize),
            lost: LostWork::default(),
            waiting: Default::default(),
            turns: Default::default(),
            held_until_us: 0,
            service_us: 0,
            estimated_us: 0,
            sequence: 0,
        }
    }

    /// Decides whether an attempt starts, waits or is refused.
    pub fn admit(&mut self, now_us: u64, request: AdmissionRequest) -> AdmissionResult {
        if !self.state.accepts_calls() {
            return AdmissionResult::Refused(ErrorKind::Stopping);
        }
        if now_us >= request.deadline_us {
            return AdmissionResult::Refused(ErrorKind::DeadlineExpired);
        }
        self.lost.expire(now_us);
        let is_held = now_us < self.held_until_us;
        if !is_held
            && self.has_slot_for(request.priority)
            && self.queued_from(request.priority) == 0
        {
            self.occupy_slot(now_us, &request);
            return AdmissionResult::Start;
        }
        if request.start_now {
            return AdmissionResult::Refused(ErrorKind::Overloaded);
        }
        if !self.is_worth_waiting(now_us, &request) {
            return AdmissionResult::Refused(ErrorKind::Overloaded);
        }
        if self.queued() < request.queue_limit.min(self.config.queue_limit) {
            self.waiting[queue_index(request.priority)].push_back(request);
            return AdmissionResult::Queued;
        }
        if request.queue_limit == 0 {
            return AdmissionResult::Refused(ErrorKind::QueueFull);
        }
        let shed = self
            .shed_below(request.priority)
            .or_else(|| self.shed_for_customer(&request));
        let Some(shed) = shed else {
            return AdmissionResult::Refused(ErrorKind::QueueFull);
        };
        self.waiting[queue_index(request.priority)].push_back(request);
        AdmissionResult::QueuedInstead(shed)
    }

    /// The result that `admit` would give now. Works on a copy.
    pub fn preview(&self, now_us: u64, request: AdmissionRequest) -> AdmissionResult {
        self.clone().admit(now_us, request)
    }

    /// Whether a call that has no slot can be served in time.
    fn is_worth_waiting(&mut self, now_us: u64, request: &AdmissionRequest) -> bool {
        match self.order {
            AdmissionOrder::Deadline => {
                self.can_finish(now_us + self.expected_wait_us(now_us, request), request)
            }
            AdmissionOrder::Cost => self.fits_by_cost(now_us, request),
        }
    }

    /// Frees the attempt's slot and gives it to waiting calls.
    ///
    /// For a failed call, its whole deadline is passed as service time. The load signal then keeps
    /// entries away from an upstream that fails fast.
    pub fn finish(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        service_time_us: u64,
    ) -> Vec<QueueDecision> {
        let Some(index) = self.running.iter().position(|r| r.attempt == attempt) else {
            return Vec::new();
        };
        self.running.swap_remove(index);
        self.update_service_estimate(now_us, service_time_us);
        self.start_waiting(now_us)
    }

    /// Frees the slot of an attempt whose duration says nothing about the service time, such as a
    /// cancelled one, and gives it to waiting calls.
    pub fn release_slot(&mut self, now_us: u64, attempt: AttemptId) -> Vec<QueueDecision> {
        self.running.retain(|r| r.attempt != attempt);
        self.start_waiting(now_us)
    }

    /// Removes the attempt from its queue if it is waiting.
    pub fn cancel(&mut self, attempt: AttemptId) -> CancelResult {
        for queue in &mut self.waiting {
            if let Some(index) = queue.iter().position(|request| request.attempt == attempt) {
                queue.remove(index);
                return CancelResult::NotStarted;
            }
        }
        if self.running.iter().any(|r| r.attempt == attempt) {
            return CancelResult::Running;
        }
        CancelResult::Unknown
    }

    /// Refuses each waiting attempt whose deadline or latest start has passed, and starts others if
    /// there are free slots.
    pub fn expire(&mut self, now_us: u64) -> Vec<QueueDecision> {
        self.lost.expire(now_us);
        let mut decisions = Vec::new();
        for queue in &mut self.waiting {
            queue.retain(|request| match expiry_reason(now_us, request) {
                Some(kind) => {
                    decisions.push(QueueDecision::Refuse(request.attempt, kind));
                    false
                }
                None => true,
            });
        }
        decisions.extend(self.start_waiting(now_us));
        if self.order == AdmissionOrder::Cost {
            decisions.extend(self.refuse_by_cost(now_us));
        }
        decisions
    }

    /// Sets the upstream's state. If it accepts no new calls, all waiting calls are refused.
    pub fn set_state(&mut self, state: UpstreamState) -> Vec<QueueDecision> {
        self.state = state;
        if state.accepts_calls() {
            return Vec::new();
        }
        self.waiting
            .iter_mut()
            .flat_map(|queue| queue.drain(..))
            .map(|request| QueueDecision::Refuse(request.attempt, ErrorKind::Stopping))
            .collect()
    }

    /// Sets the number of slots after the upstream has announced another one.
    pub fn set_slots(&mut self, now_us: u64, slots: u32, urgent_slots: u32) -> Vec<QueueDecision> {
        self.config.slots = slots;
        self.config.urgent_slots = urgent_slots;
        self.start_waiting(now_us)
    }

    /// The current load with a new sequence number, to be attached to a message.
    pub fn next_load_signal(&mut self, now_us: u64) -> LoadSignal {
        let signal = self.upcoming_load_signal(now_us);
        self.sequence = signal.sequence;
        signal
    }

    /// The signal that `next_load_signal` would return now.
    pub fn upcoming_load_signal(&self, now_us: u64) -> LoadSignal {
        LoadSignal {
            in_flight: self.in_flight(),
            queued: self.queued(),
            slots: self.config.slots,
            service_time_us: u32::try_from(self.reported_service_us(now_us)).unwrap_or(u32::MAX),
            pace_percent: 0,
            sequence: self.sequence + 1,
        }
    }

    /// The next time at which `expire` refuses or starts a call.
    pub fn next_expiry_us(&self) -> Option<u64> {
        self.waiting
            .iter()
            .flatten()
            .map(|request| request.deadline_us.min(request.start_by_us))
            .min()
            .map(|at_us| match self.held_until_us {
                0 => at_us,
                held_until_us => at_us.min(held_until_us),
            })
            .map(|at_us| self.lost.next_end_us().map_or(at_us, |us| us.min(at_us)))
    }

    /// Calls that the upstream can run at once.
    pub fn slots(&self) -> u32 {
        self.config.slots
    }

    /// Calls running at the upstream, those included whose answers won't come.
    pub fn in_flight(&self) -> u32 {
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        running.saturating_add(self.lost.count())
    }

    /// Calls waiting.
    pub fn queued(&self) -> u32 {
        let waiting: usize = self.waiting.iter().map(VecDeque::len).sum();
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    fn has_slot_for(&self, priority: Priority) -> bool {
        self.in_flight() < self.slots_for(priority)
    }

    /// Slots that calls of this priority may use.
    fn slots_for(&self, priority: Priority) -> u32 {
        let urgent_slots = match priority {
            Priority::Low => 0,
            Priority::Normal | Priority::High => self.config.urgent_slots,
        };
        self.config.slots + urgent_slots
    }

    /// Number of waiting calls of this priority and above.
    fn queued_from(&self, priority: Priority) -> usize {
        self.waiting[..=queue_index(priority)]
            .iter()
            .map(VecDeque::len)
            .sum()
    }

    fn occupy_slot(&mut self, now_us: u64, request: &AdmissionRequest) {
        for starts in &mut self.starts_since {
            *starts = starts.saturating_add(1);
        }
        self.starts_since[queue_index(request.priority)] = 0;
        self.running.push(Running {
            attempt: request.attempt,
            started_us: now_us,
            expected_us: self.service_us_of(request),
        });
    }

    /// Starts waiting calls while there are free slots, and refuses those that can no longer finish
    /// in time.
    fn start_waiting(&mut self, now_us: u64) -> Vec<QueueDecision> {
        let mut decisions = Vec::new();
        if now_us < self.held_until_us {
            return decisions;
        }
        self.held_until_us = 0;
        self.lost.expire(now_us);
        while let Some(request) = self.next_request(now_us) {
            let refusal = expiry_reason(now_us, &request)
                .or_else(|| (!self.can_finish(now_us, &request)).then_some(ErrorKind::Overloaded));
            decisions.push(match refusal {
                Some(kind) => QueueDecision::Refuse(request.attempt, kind),
                None => {
                    self.occupy_slot(now_us, &request);
                    QueueDecision::Start(request.attempt)
                }
            });
        }
        decisions
    }

    /// Removes the request that starts next. Within a priority that is the one with the earliest
    /// target among those that can still meet their targets. If none can, it is the first that
    /// waits. Under overload this keeps some answers in time instead of making all of them late,
    /// and short calls don't wait for long ones.
    fn next_request(&mut self, now_us: u64) -> Option<AdmissionRequest> {
        let open_queues = [Priority::High, Priority::Normal, Priority::Low]
            .into_iter()
            .filter(|priority| self.has_slot_for(*priority))
            .count();
        if self.order == AdmissionOrder::Cost {
            return self.next_by_cost(now_us, open_queues);
        }
        for queue in 0..open_queues {
            let waiting = &self.waiting[queue];
            let mut on_time: Vec<usize> = (0..waiting.len())
                .filter(|index| self.can_meet_target(now_us, &waiting[*index]))
                .collect();
            on_time.sort_by_key(|index| waiting[*index].target_us);
            if let Some(index) = self.next_in_turn(queue, &on_time) {
                return self.waiting[queue].remove(index);
            }
        }
        (0..open_queues).find_map(|queue| {
            let all: Vec<usize> = (0..self.waiting[queue].len()).collect();
            let index = self.next_in_turn(queue, &all)?;
            self.waiting[queue].remove(index)
        })
    }

    /// The first of these positions in a queue; if the queue has calls of customers, the first one
    /// of the customer whose turn it is.
    fn next_in_turn(&mut self, queue: usize, positions: &[usize]) -> Option<usize> {
        let waiting = &self.waiting[queue];
        if positions.is_empty() || !has_customers(waiting) {
            return positions.first().copied();
        }
        let candidates: Vec<Candidate> = positions
            .iter()
            .map(|index| Candidate {
                index: *index,
                customer: waiting[*index].customer,
                service_us: self.service_us_of(&waiting[*index]),
            })
            .collect();
        self.turns[queue].choose(waiting, &candidates)
    }

    /// Removes the newest waiting attempt of a customer that has more calls in the queue of the
    /// request than the customer of the request.
    fn shed_for_customer(&mut self, request: &AdmissionRequest) -> Option<AttemptId> {
        request.customer?;
        let waiting = &mut self.waiting[queue_index(request.priority)];
        let index = newest_of_largest(waiting, request.customer)?;
        waiting.remove(index).map(|shed| shed.attempt)
    }

    /// Removes the newest waiting attempt of the lowest priority below this one.
    fn shed_below(&mut self, priority: Priority) -> Option<AttemptId> {
        self.waiting[queue_index(priority) + 1..]
            .iter_mut()
            .rev()
            .find_map(VecDeque::pop_back)
            .map(|request| request.attempt)
    }

    fn update_service_estimate(&mut self, now_us: u64, service_time_us: u64) {
        let gap_us = now_us.saturating_sub(self.estimated_us);
        let weight_us = gap_us.clamp(
            SERVICE_ESTIMATE_LIFE_US / SERVICE_WEIGHT_DIVISOR,
            SERVICE_ESTIMATE_LIFE_US,
        );
        self.estimated_us = now_us;
        if self.service_us == 0 {
            self.service_us = service_time_us;
            return;
        }
        let kept_us = (SERVICE_ESTIMATE_LIFE_US - weight_us).saturating_mul(self.service_us);
        let added_us = weight_us.saturating_mul(service_time_us);
        self.service_us = kept_us.saturating_add(added_us) / SERVICE_ESTIMATE_LIFE_US;
    }

    /// The estimate, raised by the age of running calls that exceed it. Finished calls alone would
    /// show a slow-down only after the first slow call has ended.
    fn reported_service_us(&self, now_us: u64) -> u64 {
        let service_us = self.service_us;
        let overdue_us: u64 = self
            .running
            .iter()
            .map(|r| {
                now_us
                    .saturating_sub(r.started_us)
                    .saturating_sub(service_us)
            })
            .sum();
        service_us + overdue_us / self.running.len().max(1) as u64
    }
}

/// Index of the queue of a priority; the highest priority comes first.
fn queue_index(priority: Priority) -> usize {
    match priority {
        Priority::High => 0,
        Priority::Normal => 1,
        Priority::Low => 2,
    }
}

/// Why a waiting attempt must be refused now, if it must.
fn expiry_reason(now_us: u64, request: &AdmissionRequest) -> Option<ErrorKind> {
    if now_us >= request.deadline_us {
        return Some(ErrorKind::DeadlineExpired);
    }
    (now_us >= request.start_by_us).then_some(ErrorKind::Overloaded)
}
