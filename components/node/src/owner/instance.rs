//! The local instance: its connection pool, admission control, and the calls that wait or run.

use super::{cold::ColdInstance, lost_work::ReportWait, running::RunningCalls};
use calls::ParentCall;
use errors::ErrorKind;
use http::{AsyncPool, CancelToken, PoolConfig, ResponseBudget};
use limits::{Admission, AdmissionConfig, AnswerTimes, HostPace, QueueDecision, ServiceTimes};
use mesh::ReplyTo;
use model::{AttemptId, LoadSignal, ProfileName, Upstream, UpstreamState};
use settings::NodeSettings;
use std::{collections::HashMap, sync::Arc};
use wire::RunCall;

/// Maximum of calls waiting at one owner, whatever their profiles allow.
const MAX_QUEUE: u32 = 10_000;
/// Timeout for opening a connection to the instance, which runs on the same host.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Memory for the responses that are being received at once, if one response alone may not be larger.
const RESPONSE_BUFFER_BYTES: usize = 32 << 20;
/// Divisor of the process's memory budget that gives the memory for responses of the instance on
/// their way to the mesh.
const RESPONSE_BUDGET_DIVISOR: usize = 4;
/// Connections kept free for the instance's other clients.
const SPARE_CONNECTIONS: u32 = 4;

/// A call that waits or runs at this owner, with what is needed to run it and to reply.
pub(crate) struct Job {
    pub(crate) call: RunCall,
    pub(crate) deadline_us: u64,
    pub(crate) arrived_us: u64,
    pub(crate) cancel: CancelToken,
    pub(crate) pool: Arc<AsyncPool>,
    pub(crate) reply: ReplyTo,
    /// Time until which the instance may run the call although its answer won't come.
    pub(crate) may_run_until_us: Option<u64>,
    /// Customer that the call belongs to.
    pub(crate) customer: Option<Arc<str>>,
}

impl Job {
    /// The call as one that the instance may make others for.
    pub(super) fn as_parent(&self, started_us: u64) -> ParentCall {
        ParentCall {
            attempt: self.call.attempt,
            started_us,
            deadline_us: self.deadline_us,
            priority: self.call.priority,
            customer: self.customer.clone(),
        }
    }
}

/// What the instances that follow one another at an owner have in common.
pub(super) struct SharedByInstances {
    /// Calls that run at any of them.
    pub(super) running: Arc<RunningCalls>,
    /// Memory for the responses that are being received from all of them.
    pub(super) response_budget: Arc<ResponseBudget>,
    /// Limit on the calls to a cold instance.
    pub(super) cold: Arc<ColdInstance>,
}

impl SharedByInstances {
    pub(super) fn new(
        started_us: u64,
        max_response_bytes: usize,
        memory_budget_bytes: usize,
    ) -> Self {
        let budget = ResponseBudget::new(max_response_bytes.max(RESPONSE_BUFFER_BYTES))
            .with_reserved_bytes(memory_budget_bytes / RESPONSE_BUDGET_DIVISOR);
        SharedByInstances {
            running: Arc::default(),
            response_budget: Arc::new(budget),
            cold: Arc::new(ColdInstance::new(started_us)),
        }
    }
}

/// State of the local instance and its calls, under one lock since a node has one instance.
pub(super) struct Instance {
    pub(super) upstream: Upstream,
    pub(super) pool: Arc<AsyncPool>,
    pub(super) admission: Admission,
    pub(super) waiting: HashMap<AttemptId, Job>,
    running: Arc<RunningCalls>,
    pub(super) cold: Arc<ColdInstance>,
    pub(super) service_times: ServiceTimes,
    pub(super) answer_times: AnswerTimes,
    /// Set until the instance has reported the calls of earlier owners.
    pub(super) report_wait: Option<ReportWait>,
    pub(super) pace: HostPace,
    /// Calls that wait for a health check to read the host's pace.
    pub(super) pending_arrivals: Vec<Arrival>,
}

/// A call that has not been passed to admission control yet.
pub(super) struct Arrival {
    pub(super) call: RunCall,
    /// Customer that the call belongs to, for fairness in the queue.
    pub(super) customer: Option<Arc<str>>,
    /// Work that was already done for the call that this one is made for.
    pub(super) done_us: u64,
    pub(super) deadline_us: u64,
    pub(super) reply: ReplyTo,
}

impl Instance {
    /// State for a newly announced instance; `None` if its connection pool can't be started.
    pub(super) fn new(
        upstream: &Upstream,
        settings: &NodeSettings,
        announced_slots: u32,
        shared: &SharedByInstances,
    ) -> Option<Self> {
        let max_connections = max_connections(upstream, settings, announced_slots);
        let config = PoolConfig {
            max_connections: max_connections as usize,
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            max_body_bytes: settings.max_response_bytes,
            echoed_header: settings.headers.request_id,
            ..PoolConfig::new(upstream.address)
        };
        let mut admission = Admission::new(AdmissionConfig {
            slots: upstream.slots,
            urgent_slots: announced_slots.saturating_sub(upstream.slots),
            queue_limit: MAX_QUEUE,
        })
        .with_order(settings.admission);
        admission.set_state(upstream.state);
        let pool = match AsyncPool::with_budget(config, &shared.response_budget) {
            Ok(pool) => Arc::new(pool),
            Err(error) => {
                log::error!("owner: no thread could be started for the instance: {error}.");
                return None;
            }
        };
        Some(Instance {
            upstream: upstream.clone(),
            pool,
            admission,
            waiting: HashMap::new(),
            running: Arc::clone(&shared.running),
            cold: Arc::clone(&shared.cold),
            service_times: ServiceTimes::default(),
            answer_times: AnswerTimes::default(),
            report_wait: None,
            pace: HostPace::new(settings.health_checks_per_s),
            pending_arrivals: Vec::new(),
        })
    }

    /// Whether `next` is a later record of the same instance, whose calls and pool can be kept.
    pub(super) fn is_same_instance(&self, next: &Upstream) -> bool {
        self.upstream.name == next.name
            && self.upstream.service == next.service
            && self.upstream.address == next.address
            && self.upstream.connections == next.connections
    }

    /// Applies a later record of the same instance.
    pub(super) fn update(
        &mut self,
        now_us: u64,
        next: &Upstream,
        announced_slots: u32,
    ) -> Vec<QueueDecision> {
        self.upstream = next.clone();
        let urgent_slots = announced_slots.saturating_sub(next.slots);
        let mut decisions = self.admission.set_state(next.state);
        decisions.extend(self.admission.set_slots(now_us, next.slots, urgent_slots));
        decisions
    }

    /// Stops admission; the returned decisions refuse all waiting calls.
    pub(super) fn refuse_waiting(&mut self) -> Vec<QueueDecision> {
        self.admission.set_state(UpstreamState::Stopping)
    }

    /// Current load, as attached to replies and probe replies.
    pub(super) fn load_signal(&mut self, now_us: u64) -> LoadSignal {
        let signal = self.admission.next_load_signal(now_us);
        self.completed_signal(now_us, signal)
    }

    /// The load that `load_signal` would return now.
    pub(super) fn upcoming_load_signal(&self, now_us: u64) -> LoadSignal {
        self.completed_signal(now_us, self.admission.upcoming_load_signal(now_us))
    }

    fn completed_signal(&self, now_us: u64, signal: LoadSignal) -> LoadSignal {
        let signal = LoadSignal {
            pace_percent: self.pace.percent(),
            ..signal
        };
        self.with_cold_limit(now_us, signal)
    }

    /// Records the time of a call that ended with an answer.
    pub(super) fn record_answer(&mut self, profile: &ProfileName, time_us: u64) {
        self.service_times.record(profile, time_us);
        self.answer_times.record(profile, time_us);
    }

    pub(super) fn mark_running(&self, job: &Job) {
        self.running.insert(job.call.attempt, job.cancel.clone());
    }

    /// Moves the calls that admission started from the waiting to the running ones.
    pub(super) fn take_started(&mut self, decisions: &[QueueDecision]) -> Vec<Job> {
        let mut started = Vec::new();
        for decision in decisions {
            if let QueueDecision::Start(attempt) = decision
                && let Some(job) = self.waiting.remove(attempt)
            {
                self.mark_running(&job);
                started.push(job);
            }
        }
        started
    }
}

/// Most connections that are open at once. If lost work is counted, the instance may keep one more
/// for each call whose connection was cut, of which there are at most as many as slots.
fn max_connections(upstream: &Upstream, settings: &NodeSettings, announced_slots: u32) -> u32 {
    let all = upstream
        .connections
        .saturating_sub(SPARE_CONNECTIONS)
        .max(1);
    if settings.count_lost_work {
        all.saturating_sub(announced_slots)
            .max(announced_slots.min(all))
    } else {
        all
    }
}

/// Removes the waiting calls that admission refused.
pub(super) fn take_refused(
    instance: Option<&mut Instance>,
    decisions: &[QueueDecision],
) -> Vec<(Job, ErrorKind)> {
    let Some(instance) = instance else {
        return Vec::new();
    };
    decisions
        .iter()
        .filter_map(|decision| match decision {
            QueueDecision::Refuse(attempt, kind) => {
                Some((instance.waiting.remove(attempt)?, *kind))
            }
            QueueDecision::Start(_) => None,
        })
        .collect()
}
