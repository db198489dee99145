//! The local instance: its connection pool, admission control, and the calls that wait or run.

use super::running::RunningCalls;
use errors::ErrorKind;
use http::{AsyncPool, CancelToken, PoolConfig, ResponseBudget};
use limits::{Admission, AdmissionConfig, HostPace, QueueDecision, ServiceTimes};
use mesh::ReplyTo;
use model::{AttemptId, LoadSignal, Upstream, UpstreamState};
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
}

/// What the instances that follow one another at an owner have in common.
pub(super) struct SharedByInstances {
    /// Calls that run at any of them.
    pub(super) running: Arc<RunningCalls>,
    /// Memory for the responses that are being received from all of them.
    pub(super) response_budget: Arc<ResponseBudget>,
}

impl SharedByInstances {
    pub(super) fn new(max_response_bytes: usize, memory_budget_bytes: usize) -> Self {
        let budget = ResponseBudget::new(max_response_bytes.max(RESPONSE_BUFFER_BYTES))
            .with_reserved_bytes(memory_budget_bytes / RESPONSE_BUDGET_DIVISOR);
        SharedByInstances {
            running: Arc::default(),
            response_budget: Arc::new(budget),
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
    pub(super) service_times: ServiceTimes,
    pub(super) pace: HostPace,
    /// Calls that wait for a health check to read the host's pace.
    pub(super) pending_arrivals: Vec<PendingArrival>,
}

/// A call that has not been passed to admission control yet.
pub(super) struct PendingArrival {
    pub(super) call: RunCall,
    pub(super) deadline_us: u64,
    pub(super) reply: ReplyTo,
}

impl Instance {
    /// State for a newly announced instance; `None` if its connection pool can't be started.
    pub(super) fn new(
        upstream: &Upstream,
        max_response_bytes: usize,
        health_checks_per_s: u32,
        announced_slots: u32,
        echoed_header: Option<&'static str>,
        shared: &SharedByInstances,
    ) -> Option<Self> {
        let max_connections = upstream
            .connections
            .saturating_sub(SPARE_CONNECTIONS)
            .max(1);
        let config = PoolConfig {
            max_connections: max_connections as usize,
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            max_body_bytes: max_response_bytes,
            echoed_header,
            ..PoolConfig::new(upstream.address)
        };
        let mut admission = Admission::new(AdmissionConfig {
            slots: upstream.slots,
            urgent_slots: announced_slots.saturating_sub(upstream.slots),
            queue_limit: MAX_QUEUE,
        });
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
            service_times: ServiceTimes::default(),
            pace: HostPace::new(health_checks_per_s),
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
        LoadSignal {
            pace_percent: self.pace.percent(),
            ..self.admission.next_load_signal(now_us)
        }
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
