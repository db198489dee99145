//! Owner-side admission: slots, a queue by priority and early refusal.

use errors::ErrorKind;
use model::{AttemptId, LoadSignal, Priority, UpstreamState};
use std::collections::VecDeque;

/// Least weight of one finished call in the service time estimate, as a divisor.
const SERVICE_WEIGHT_DIVISOR: u64 = 8;
/// Time without a finished call after which the estimate gives way to the next one entirely, in
/// microseconds; an upstream that few calls reach would otherwise seem slow long after it
/// recovered.
const SERVICE_FORGET_US: u64 = 100_000;
/// Number of priorities, each with a queue of its own.
const PRIORITIES: usize = 3;

/// Limits of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionConfig {
    /// Calls that the upstream can run at once.
    pub slots: u32,
    /// Slots on top of these for calls above the lowest priority, which go ahead where more calls
    /// would only slow one another down.
    pub urgent_slots: u32,
    /// Most calls waiting, whatever their tickets allow.
    pub queue_limit: u32,
}

/// An attempt that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Priority in the queue.
    pub priority: Priority,
    /// The call's deadline; nothing starts at or after it.
    pub deadline_us: u64,
    /// Latest start; an attempt that still waits then is refused so that the entry can move it.
    /// The deadline, or later, if the attempt may wait as long as it can.
    pub start_by_us: u64,
    /// Expected service time, or 0 to use the owner's own estimate.
    pub expected_us: u64,
    /// Time up to which an answer is fully useful; later ones are served when nothing else waits.
    /// The deadline, or later, if all answers are alike.
    pub target_us: u64,
    /// Refuse the attempt unless it can start at once on a host that works as usual.
    pub start_now: bool,
    /// Most calls waiting for this one to join them; 0 starts at once or not at all.
    pub queue_limit: u32,
}

/// Answer to a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionResult {
    /// Has a slot; run it now.
    Start,
    /// Waits; a later step decides.
    Queued,
    /// Waits in place of another attempt of lower priority, which is refused as `QueueFull`.
    QueuedInstead(AttemptId),
    /// Was not run and won't be.
    Refused(ErrorKind),
}

/// Decision on an attempt that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// Run it now.
    Start(AttemptId),
    /// It was not run and won't be.
    Refuse(AttemptId, ErrorKind),
}

/// What a cancellation found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// It waited and is removed; it never starts.
    NotStarted,
    /// It holds a slot until `finish` is called.
    Running,
    /// It is neither waiting nor running.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    attempt: AttemptId,
    started_us: u64,
}

/// Slots and queue of one upstream.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    state: UpstreamState,
    running: Vec<Running>,
    waiting: [VecDeque<AdmissionRequest>; PRIORITIES],
    /// Until when calls are held back because the host is slow.
    held_until_us: u64,
    service_us: u64,
    learned_us: u64,
    sequence: u64,
}

impl Admission {
    /// An idle upstream that accepts calls.
    pub fn new(config: AdmissionConfig) -> Self {
        Admission {
            config,
            state: UpstreamState::Serving,
            running: Vec::with_capacity(config.slots as usize),
            waiting: Default::default(),
            held_until_us: 0,
            service_us: 0,
            learned_us: 0,
            sequence: 0,
        }
    }

    /// Starts, queues or refuses an attempt.
    pub fn admit(&mut self, now_us: u64, ticket: AdmissionRequest) -> AdmissionResult {
        if !self.state.accepts_calls() {
            return AdmissionResult::Refused(ErrorKind::Stopping);
        }
        if now_us >= ticket.deadline_us {
            return AdmissionResult::Refused(ErrorKind::DeadlineExpired);
        }
        let is_held = now_us < self.held_until_us;
        if !is_held && self.has_slot_for(ticket.priority) && self.queued_from(ticket.priority) == 0
        {
            self.run(now_us, ticket.attempt);
            return AdmissionResult::Start;
        }
        if ticket.start_now {
            return AdmissionResult::Refused(ErrorKind::Overloaded);
        }
        if !self.can_finish(now_us + self.expected_wait_us(ticket.priority), &ticket) {
            return AdmissionResult::Refused(ErrorKind::Overloaded);
        }
        if self.queued() < ticket.queue_limit.min(self.config.queue_limit) {
            self.waiting[rank(ticket.priority)].push_back(ticket);
            return AdmissionResult::Queued;
        }
        if ticket.queue_limit == 0 {
            return AdmissionResult::Refused(ErrorKind::QueueFull);
        }
        let Some(shed) = self.shed_below(ticket.priority) else {
            return AdmissionResult::Refused(ErrorKind::QueueFull);
        };
        self.waiting[rank(ticket.priority)].push_back(ticket);
        AdmissionResult::QueuedInstead(shed)
    }

    /// Frees the attempt's slot and hands it on.
    ///
    /// A failed call passes its whole deadline as service time, so that the load signal keeps
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
        self.learn(now_us, service_time_us);
        self.fill(now_us)
    }

    /// Frees the slot of an attempt whose run says nothing about the service time, such as a
    /// cancelled one.
    pub fn release_slot(&mut self, now_us: u64, attempt: AttemptId) -> Vec<QueueDecision> {
        self.running.retain(|r| r.attempt != attempt);
        self.fill(now_us)
    }

    /// Removes the attempt if it waits.
    pub fn cancel(&mut self, attempt: AttemptId) -> CancelResult {
        for queue in &mut self.waiting {
            if let Some(index) = queue.iter().position(|t| t.attempt == attempt) {
                queue.remove(index);
                return CancelResult::NotStarted;
            }
        }
        if self.running.iter().any(|r| r.attempt == attempt) {
            return CancelResult::Running;
        }
        CancelResult::Unknown
    }

    /// Refuses each waiting attempt that can't start or finish in time any more.
    pub fn expire(&mut self, now_us: u64) -> Vec<QueueDecision> {
        let mut steps = Vec::new();
        for queue in &mut self.waiting {
            queue.retain(|ticket| match lateness(now_us, ticket) {
                Some(kind) => {
                    steps.push(QueueDecision::Refuse(ticket.attempt, kind));
                    false
                }
                None => true,
            });
        }
        steps.extend(self.fill(now_us));
        steps
    }

    /// Follows the upstream's state; one that takes no new calls refuses the waiting ones.
    pub fn set_state(&mut self, state: UpstreamState) -> Vec<QueueDecision> {
        self.state = state;
        if state.accepts_calls() {
            return Vec::new();
        }
        self.waiting
            .iter_mut()
            .flat_map(|queue| queue.drain(..))
            .map(|ticket| QueueDecision::Refuse(ticket.attempt, ErrorKind::Stopping))
            .collect()
    }

    /// Holds calls back for a while because the host is slow; they start when it is over, or with
    /// `resume`.
    pub fn hold(&mut self, now_us: u64, for_us: u64) {
        if now_us >= self.held_until_us {
            self.held_until_us = now_us + for_us;
        }
    }

    /// Whether calls are held back.
    pub fn is_held(&self, now_us: u64) -> bool {
        now_us < self.held_until_us
    }

    /// Starts what was held back, as far as there are slots.
    pub fn resume(&mut self, now_us: u64) -> Vec<QueueDecision> {
        self.held_until_us = 0;
        self.fill(now_us)
    }

    /// Follows a change of the announced slots.
    pub fn set_slots(&mut self, now_us: u64, slots: u32, urgent_slots: u32) -> Vec<QueueDecision> {
        self.config.slots = slots;
        self.config.urgent_slots = urgent_slots;
        self.fill(now_us)
    }

    /// The load to attach to a message, with a new sequence number.
    pub fn next_load_signal(&mut self, now_us: u64) -> LoadSignal {
        self.sequence += 1;
        LoadSignal {
            in_flight: self.in_flight(),
            queued: self.queued(),
            slots: self.config.slots,
            service_time_us: u32::try_from(self.visible_service_us(now_us)).unwrap_or(u32::MAX),
            pace_percent: 0,
            sequence: self.sequence,
        }
    }

    /// The next time at which `expire` has something to do.
    pub fn next_expiry_us(&self) -> Option<u64> {
        self.waiting
            .iter()
            .flatten()
            .map(|ticket| ticket.deadline_us.min(ticket.start_by_us))
            .min()
            .map(|at_us| match self.held_until_us {
                0 => at_us,
                held_until_us => at_us.min(held_until_us),
            })
    }

    /// Calls that the upstream can run at once.
    pub fn slots(&self) -> u32 {
        self.config.slots
    }

    /// Calls running at the upstream.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Calls waiting.
    pub fn queued(&self) -> u32 {
        let waiting: usize = self.waiting.iter().map(VecDeque::len).sum();
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    fn has_slot_for(&self, priority: Priority) -> bool {
        let urgent_slots = match priority {
            Priority::Low => 0,
            Priority::Normal | Priority::High => self.config.urgent_slots,
        };
        self.in_flight() < self.config.slots + urgent_slots
    }

    /// Calls of this priority and above that wait.
    fn queued_from(&self, priority: Priority) -> usize {
        self.waiting[..=rank(priority)]
            .iter()
            .map(VecDeque::len)
            .sum()
    }

    fn run(&mut self, now_us: u64, attempt: AttemptId) {
        self.running.push(Running {
            attempt,
            started_us: now_us,
        });
    }

    fn fill(&mut self, now_us: u64) -> Vec<QueueDecision> {
        let mut steps = Vec::new();
        if now_us < self.held_until_us {
            return steps;
        }
        self.held_until_us = 0;
        while let Some(ticket) = self.next_ticket(now_us) {
            let refusal = lateness(now_us, &ticket)
                .or_else(|| (!self.can_finish(now_us, &ticket)).then_some(ErrorKind::Overloaded));
            steps.push(match refusal {
                Some(kind) => QueueDecision::Refuse(ticket.attempt, kind),
                None => {
                    self.run(now_us, ticket.attempt);
                    QueueDecision::Start(ticket.attempt)
                }
            });
        }
        steps
    }

    /// By priority, the ticket with the earliest target among those that can still meet their
    /// targets; without one, the first that waits. Under pressure this keeps answers useful instead
    /// of making all of them late, and short calls are not held up by long ones.
    fn next_ticket(&mut self, now_us: u64) -> Option<AdmissionRequest> {
        let open = [Priority::High, Priority::Normal, Priority::Low]
            .into_iter()
            .filter(|priority| self.has_slot_for(*priority))
            .count();
        let average_us = self.service_us;
        let is_useful = |ticket: &AdmissionRequest| {
            let service_us = match ticket.expected_us {
                0 => average_us,
                expected_us => expected_us,
            };
            now_us + service_us <= ticket.target_us
        };
        let queues = &mut self.waiting[..open];
        for queue in queues.iter_mut() {
            let most_urgent = (0..queue.len())
                .filter(|index| is_useful(&queue[*index]))
                .min_by_key(|index| queue[*index].target_us);
            if let Some(index) = most_urgent {
                return queue.remove(index);
            }
        }
        queues.iter_mut().find_map(VecDeque::pop_front)
    }

    fn can_finish(&self, start_us: u64, ticket: &AdmissionRequest) -> bool {
        let service_us = match ticket.expected_us {
            0 => self.service_us,
            expected_us => expected_us,
        };
        start_us <= ticket.start_by_us && start_us + service_us <= ticket.deadline_us
    }

    fn expected_wait_us(&self, priority: Priority) -> u64 {
        let ahead = self.queued_from(priority);
        let slots = u64::from(self.config.slots.max(1));
        (ahead as u64 + 1) * self.service_us / slots
    }

    fn shed_below(&mut self, priority: Priority) -> Option<AttemptId> {
        self.waiting[rank(priority) + 1..]
            .iter_mut()
            .rev()
            .find_map(VecDeque::pop_back)
            .map(|ticket| ticket.attempt)
    }

    fn learn(&mut self, now_us: u64, service_time_us: u64) {
        let gap_us = now_us.saturating_sub(self.learned_us);
        let weight_us = gap_us.clamp(
            SERVICE_FORGET_US / SERVICE_WEIGHT_DIVISOR,
            SERVICE_FORGET_US,
        );
        self.learned_us = now_us;
        if self.service_us == 0 {
            self.service_us = service_time_us;
            return;
        }
        let kept_us = (SERVICE_FORGET_US - weight_us).saturating_mul(self.service_us);
        let added_us = weight_us.saturating_mul(service_time_us);
        self.service_us = kept_us.saturating_add(added_us) / SERVICE_FORGET_US;
    }

    /// The estimate raised by running calls that are already older than it, because finished
    /// calls show a slow-down only after the first slow call is over.
    fn visible_service_us(&self, now_us: u64) -> u64 {
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

fn rank(priority: Priority) -> usize {
    match priority {
        Priority::High => 0,
        Priority::Normal => 1,
        Priority::Low => 2,
    }
}

fn lateness(now_us: u64, ticket: &AdmissionRequest) -> Option<ErrorKind> {
    if now_us >= ticket.deadline_us {
        return Some(ErrorKind::DeadlineExpired);
    }
    (now_us >= ticket.start_by_us).then_some(ErrorKind::Overloaded)
}
