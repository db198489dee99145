//! The owner: handles messages of entries, the queue of the local instance and the call records.

use super::{
    delayed_replies::DelayedReplies,
    evacuation::Evacuation,
    instance::{Arrival, Instance, Job, SharedByInstances, take_refused},
    replies::{refused_or_duplicate, reply, reply_status},
    run::{FIRST_FAILURE_STATUS, run_job},
    stored_responses::records_config,
    suspects::Suspicions,
    unanswered::UnansweredCalls,
};
use crate::context::NodeContext;
use calls::{AttemptStatus, BeginResult, CallRecords, IncomingAttempt};
use crossbeam::channel::Sender;
use errors::ErrorKind;
use http::ResponseMemory;
use limits::{CancelResult, QueueDecision};
use mesh::{Inbound, ReplyTo};
use model::{AttemptId, LoadSignal, Upstream};
use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, TryLockError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use wire::{AttemptStatusRequest, CallRequest, RunCall, RunResult, decode};

/// Interval of pace checks while calls wait for a slow host, in microseconds.
const PACE_CHECK_INTERVAL_US: u64 = 25_000;

/// Admits and runs the calls to the local instance; every call there goes through it.
pub(crate) struct Owner {
    pub(crate) context: Arc<NodeContext>,
    instance: Mutex<Option<Instance>>,
    pub(super) shared: SharedByInstances,
    pub(super) unanswered: UnansweredCalls,
    records: Mutex<CallRecords>,
    pub(super) suspicions: Suspicions,
    pub(super) evacuation: Evacuation,
    pub(super) delayed_replies: DelayedReplies,
    /// Admitted calls that are still to be sent to the instance.
    start_queue: Mutex<VecDeque<Job>>,
    /// Held by the thread that sends calls to the instance.
    start_lock: Mutex<()>,
    /// Wakes the timer thread.
    pub(super) wake: Sender<()>,
    /// Set when the node stops: every call that has not started is refused.
    pub(super) is_refusing: AtomicBool,
    closed: AtomicBool,
}

impl Owner {
    pub(crate) fn new(context: &Arc<NodeContext>, wake: Sender<()>) -> Self {
        let incarnation = context.kernel.mesh.local_id().incarnation;
        let config = records_config(
            incarnation,
            context.kernel.caller_limits().memory_budget_bytes,
        );
        Owner {
            context: Arc::clone(context),
            instance: Mutex::new(None),
            records: Mutex::new(CallRecords::new(config)),
            suspicions: Suspicions::default(),
            evacuation: Evacuation::default(),
            delayed_replies: DelayedReplies::new(
                context.kernel.caller_limits().memory_budget_bytes,
                &context.kernel.metrics,
            ),
            start_queue: Mutex::default(),
            start_lock: Mutex::default(),
            wake,
            unanswered: UnansweredCalls::new(context.kernel.node_settings().give_up_percent),
            shared: SharedByInstances::new(
                context.kernel.clock.now_us(),
                context.kernel.node_settings().max_response_bytes,
                context.kernel.caller_limits().memory_budget_bytes,
            ),
            is_refusing: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        }
    }

    /// Handles a message of an entry. Runs in a reader thread of the mesh and does not block.
    pub(crate) fn handle_message(self: &Arc<Self>, inbound: Inbound) {
        match decode(&inbound.payload) {
            Ok(CallRequest::Run(call)) => self.handle_run(call, None, 0, inbound.reply),
            Ok(CallRequest::RunFor { call, customer }) => {
                self.handle_run(call, Some(customer), 0, inbound.reply);
            }
            Ok(CallRequest::RunNested {
                call,
                customer,
                done_us,
            }) => self.handle_run(call, customer, done_us, inbound.reply),
            Ok(CallRequest::Cancel(request)) => self.cancel(&request, inbound.reply),
            Ok(CallRequest::QueryStatus(request)) => self.query_status(&request, inbound.reply),
            Err(error) => {
                log::warn!(
                    "owner: a message from {} was dropped: {error}.",
                    inbound.from
                );
            }
        }
    }

    /// Applies a change of the local instance's announcement.
    pub(crate) fn update_instance(self: &Arc<Self>, upstream: Option<&Upstream>) {
        let now_us = self.now_us();
        let announced_slots = self.context.local.announced_slots();
        let mut guard = self.lock_instance();
        let decisions = match (guard.as_mut(), upstream) {
            (Some(instance), Some(next)) if instance.is_same_instance(next) => {
                instance.update(now_us, next, announced_slots)
            }
            (_, next) => {
                let decisions = guard
                    .as_mut()
                    .map(Instance::refuse_waiting)
                    .unwrap_or_default();
                let refused = take_refused(guard.as_mut(), &decisions);
                *guard = next.and_then(|next| {
                    Instance::new(
                        next,
                        self.context.kernel.node_settings(),
                        announced_slots,
                        &self.shared,
                    )
                });
                if let Some(instance) = guard.as_mut()
                    && self.counts_inherited_work()
                {
                    instance.expect_inherited_work(now_us, announced_slots);
                }
                drop(guard);
                self.reply_refused(refused);
                self.query_inherited_work();
                return;
            }
        };
        self.execute(guard, &decisions);
    }

    /// Refuses all calls that have not started, from now on.
    pub(crate) fn refuse_new_calls(self: &Arc<Self>) {
        self.is_refusing.store(true, Ordering::Release);
        let mut guard = self.lock_instance();
        let decisions = guard
            .as_mut()
            .map(Instance::refuse_waiting)
            .unwrap_or_default();
        self.execute(guard, &decisions);
    }

    /// The current load, if an instance is announced.
    pub(crate) fn load_signal(&self) -> Option<LoadSignal> {
        let now_us = self.now_us();
        self.lock_instance()
            .as_mut()
            .map(|instance| instance.load_signal(now_us))
    }

    /// Calls that wait or run, also those that still run at an instance that has withdrawn, and replies
    /// that are still to be sent.
    pub(crate) fn in_flight(&self) -> usize {
        let instance = self.lock_instance();
        let waiting = instance
            .as_ref()
            .map_or(0, |instance| instance.waiting.len());
        waiting + self.shared.running.count() + self.delayed_replies.count()
    }

    /// Refuses queued calls whose latest start has passed; returns the time until the next one.
    pub(crate) fn expire_waiting(self: &Arc<Self>) -> Option<Duration> {
        let now_us = self.now_us();
        self.lock_records().tick(now_us);
        let mut guard = self.lock_instance();
        let instance = guard.as_mut()?;
        let decisions = instance.admission.expire(now_us);
        let mut next = instance.admission.next_expiry_us();
        if instance.admission.is_held(now_us) && instance.admission.queued() > 0 {
            self.refresh_pace(now_us, instance);
            next = next.map(|at_us| at_us.min(now_us + PACE_CHECK_INTERVAL_US));
        }
        self.execute(guard, &decisions);
        next.map(|at_us| Duration::from_micros(at_us.saturating_sub(now_us)))
    }

    /// Ends the timer and sends the replies that it would send later.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::Release);
        self.send_all_delayed_replies();
        // The timer also ends by its own period, so a lost wake-up is harmless.
        let _ = self.wake.send(());
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Records the start of a job; returns false if it was cancelled in the meantime.
    pub(crate) fn try_start(&self, attempt: AttemptId) -> bool {
        let has_started = self.lock_records().try_start(self.now_us(), attempt);
        if has_started {
            self.context.kernel.metrics.started.inc();
        }
        has_started
    }

    /// Ends a job: records its result, frees its slot, replies and starts the next job.
    /// `counted_us` is the time that counts for the load of the instance; it is absent if the call
    /// did not run or was cancelled.
    pub(crate) fn finish(self: &Arc<Self>, job: Job, result: RunResult, counted_us: Option<u64>) {
        self.finish_with_memory(job, result, counted_us, ResponseMemory::default());
    }

    /// Like `finish`, for a response with the memory that is reserved for it.
    pub(crate) fn finish_with_memory(
        self: &Arc<Self>,
        job: Job,
        result: RunResult,
        counted_us: Option<u64>,
        memory: ResponseMemory,
    ) {
        let attempt = job.call.attempt;
        let now_us = self.now_us();
        self.record_result(now_us, attempt, &result);
        self.end_trial(attempt);
        self.shared.running.remove(attempt);
        self.unanswered.end(attempt);
        let is_answered = matches!(result, RunResult::Answer { .. });
        self.context.end_parent(now_us, &job.call, is_answered);
        let (signal, decisions, mut guard) = {
            let mut guard = self.lock_instance();
            let Some(instance) = guard.as_mut() else {
                drop(guard);
                self.reply_or_delay(now_us, job, LoadSignal::default(), result, memory);
                return;
            };
            if let (RunResult::Answer { status, .. }, Some(time_us)) = (&result, counted_us)
                && *status < FIRST_FAILURE_STATUS
            {
                instance.record_answer(&job.call.profile, time_us);
                self.unanswered.record_answer(now_us);
            }
            let decisions = match counted_us {
                _ if let Some(until_us) = job.may_run_until_us => instance
                    .admission
                    .lose(now_us, attempt, until_us, counted_us),
                Some(time_us) => instance.admission.finish(now_us, attempt, time_us),
                None => instance.admission.release_slot(now_us, attempt),
            };
            let signal = instance.load_signal(now_us);
            (signal, decisions, guard)
        };
        let started = guard
            .as_mut()
            .map(|i| i.take_started(&decisions))
            .unwrap_or_default();
        let refused = take_refused(guard.as_mut(), &decisions);
        if let Some(instance) = guard.as_ref() {
            self.update_gauges(instance);
        }
        drop(guard);
        // Reply first, since the caller of the finished call has waited longest.
        self.reply_or_delay(now_us, job, signal, result, memory);
        self.start_jobs(started);
        self.reply_refused(refused);
    }

    pub(crate) fn now_us(&self) -> u64 {
        self.context.kernel.clock.now_us()
    }

    /// Checks a call to run against the state of this owner and its record, then admits it.
    fn handle_run(
        self: &Arc<Self>,
        call: RunCall,
        customer: Option<Arc<str>>,
        done_us: u64,
        reply_to: ReplyTo,
    ) {
        let now_us = self.now_us();
        let deadline_us = now_us + call.remaining_us;
        if call.owner != self.context.kernel.mesh.local_id() {
            // The call is for an earlier process at this address. An attempt is sent once, over a
            // connection that ends with its process, so that process never received it.
            log::info!(
                "owner: call {} refused, it was meant for {}.",
                call.attempt,
                call.owner
            );
            let refusal = RunResult::Refused(ErrorKind::NoUpstream);
            reply(reply_to, LoadSignal::default(), refusal);
            return;
        }
        if let Some(kind) = self.refusal_reason(now_us, deadline_us, &call) {
            let status = self.record_refusal(now_us, deadline_us, &call);
            reply(
                reply_to,
                self.load_signal().unwrap_or_default(),
                refused_or_duplicate(kind, status),
            );
            return;
        }
        if let Some(refused) = self.downstream_refusal(now_us, &call) {
            let result = match self.record_refusal(now_us, deadline_us, &call) {
                None | Some(AttemptStatus::NotStarted) => refused,
                Some(status) => RunResult::Duplicate(status),
            };
            reply(reply_to, self.load_signal().unwrap_or_default(), result);
            return;
        }
        let begin = self
            .lock_records()
            .begin(now_us, &incoming_attempt(&call, deadline_us));
        match begin {
            BeginResult::New => (),
            BeginResult::Duplicate(status) => {
                reply(
                    reply_to,
                    self.load_signal().unwrap_or_default(),
                    RunResult::Duplicate(status),
                );
                return;
            }
            BeginResult::Refused(kind) => {
                reply(
                    reply_to,
                    self.load_signal().unwrap_or_default(),
                    RunResult::Refused(kind),
                );
                return;
            }
        }
        self.check_pace_and_admit(
            now_us,
            Arrival {
                call,
                customer,
                done_us,
                deadline_us,
                reply: reply_to,
            },
        );
    }

    /// Cancels an attempt, whether it waits or runs, and replies with its status.
    pub(super) fn cancel(&self, request: &AttemptStatusRequest, reply_to: ReplyTo) {
        let now_us = self.now_us();
        let mut dropped = None;
        {
            let mut guard = self.lock_instance();
            if let Some(instance) = guard.as_mut()
                && instance.admission.cancel(request.attempt) == CancelResult::NotStarted
            {
                dropped = instance.waiting.remove(&request.attempt);
            }
        }
        self.shared.running.cancel(request.attempt);
        let recorded = self
            .lock_records()
            .cancel(now_us, &request.to_status_query(now_us));
        // The recorded status of a call that must not run twice has its response, which the
        // connection can't take now.
        let status = match self.cancel_delayed(request.attempt) {
            Some(kind) => AttemptStatus::Failed(kind),
            None => recorded,
        };
        if let Some(job) = dropped {
            let signal = self.load_signal().unwrap_or_default();
            reply(job.reply, signal, RunResult::Refused(ErrorKind::Cancelled));
        }
        reply_status(reply_to, status);
    }

    pub(super) fn query_status(&self, request: &AttemptStatusRequest, reply_to: ReplyTo) {
        let now_us = self.now_us();
        let status = self
            .lock_records()
            .query_status(now_us, &request.to_status_query(now_us));
        reply_status(reply_to, status);
    }

    fn record_result(&self, now_us: u64, attempt: AttemptId, result: &RunResult) {
        let mut records = self.lock_records();
        match result {
            RunResult::Answer { message, .. } => {
                records.finish(now_us, attempt, Arc::clone(message));
            }
            RunResult::Refused(kind)
            | RunResult::RefusedFor { kind, .. }
            | RunResult::Failed(kind) => {
                records.fail(now_us, attempt, *kind);
            }
            RunResult::Duplicate(_) => (),
        }
    }

    /// Starts and refuses the waiting calls in `decisions`, after releasing the instance lock.
    pub(super) fn execute(
        self: &Arc<Self>,
        mut guard: MutexGuard<'_, Option<Instance>>,
        decisions: &[QueueDecision],
    ) {
        let Some(instance) = guard.as_mut() else {
            return;
        };
        let started = instance.take_started(decisions);
        let refused = take_refused(Some(instance), decisions);
        self.update_gauges(instance);
        drop(guard);
        self.start_jobs(started);
        self.reply_refused(refused);
    }

    /// Sends calls to the instance. A call that fails at once starts the next one from within this
    /// function; the queue keeps that from recursing.
    pub(super) fn start_jobs(self: &Arc<Self>, jobs: impl IntoIterator<Item = Job>) {
        self.lock_start_queue().extend(jobs);
        loop {
            // The thread that holds the lock checks the queue again after it releases the lock.
            let start_lock = match self.start_lock.try_lock() {
                Ok(start_lock) => start_lock,
                Err(TryLockError::Poisoned(poisoned)) => poisoned.into_inner(),
                Err(TryLockError::WouldBlock) => return,
            };
            while let Some(job) = self.next_job_to_start() {
                run_job(self, job);
            }
            drop(start_lock);
            if self.lock_start_queue().is_empty() {
                return;
            }
        }
    }

    fn next_job_to_start(&self) -> Option<Job> {
        self.lock_start_queue().pop_front()
    }

    fn reply_refused(&self, refused: Vec<(Job, ErrorKind)>) {
        if refused.is_empty() {
            return;
        }
        let now_us = self.now_us();
        let signal = self.load_signal().unwrap_or_default();
        for (job, kind) in refused {
            self.lock_records().refuse(now_us, job.call.attempt);
            log::info!(
                "owner: call {} refused after waiting, {kind}.",
                job.call.attempt
            );
            reply(job.reply, signal, RunResult::Refused(kind));
        }
    }

    pub(super) fn update_gauges(&self, instance: &Instance) {
        let metrics = &self.context.kernel.metrics;
        metrics
            .in_flight
            .set(i64::from(instance.admission.in_flight()));
        metrics.queued.set(i64::from(instance.admission.queued()));
        metrics
            .lost_work
            .set(i64::from(instance.admission.lost_work()));
    }

    pub(super) fn lock_instance(&self) -> MutexGuard<'_, Option<Instance>> {
        self.instance.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_start_queue(&self) -> MutexGuard<'_, VecDeque<Job>> {
        self.start_queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn lock_records(&self) -> MutexGuard<'_, CallRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub(super) fn incoming_attempt(call: &RunCall, deadline_us: u64) -> IncomingAttempt {
    IncomingAttempt {
        attempt: call.attempt,
        target: call.owner.incarnation,
        generation: call.generation,
        deadline_us,
        keyed: call.keyed,
        keep_answer: !call.idempotent,
    }
}
