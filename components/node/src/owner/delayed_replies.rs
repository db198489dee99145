//! Long responses that wait until the connection to their entry has written most of the earlier ones.
//!
//! Workload: an entry on a slow or paused link gets long responses. Their calls have ended: they take
//! no slot, and their status is known. Their memory stays reserved, so that further responses of a
//! known length are not read from the instance, and the entry gets no further calls run here once its
//! responses take a quarter of what all may take.

use super::{instance::Job, replies::reply, state::Owner};
use crate::refusal_log::is_logged;
use errors::ErrorKind;
use http::ResponseMemory;
use kernel::Metrics;
use mesh::ReplyTo;
use model::{AttemptId, LoadSignal};
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use wire::{RunCall, RunResult};

/// Longer responses wait.
const LONG_BYTES: usize = 64 * 1024;
/// Bytes that may wait on the connection to an entry when a long response is added.
const MAX_QUEUED_BYTES: usize = 1 << 20;
/// How often the connections are checked while responses wait.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait, in microseconds. The mesh closes a connection that makes no progress earlier.
const MAX_WAIT_US: u64 = 10_000_000;
/// Divisor of the process's memory budget that gives the memory of all waiting responses.
const BUDGET_DIVISOR: usize = 4;
/// Divisor of that memory that gives the part of one entry.
const ENTRY_DIVISOR: usize = 4;

/// A response that waits. Its call has ended.
struct DelayedReply {
    attempt: AttemptId,
    reply: ReplyTo,
    signal: LoadSignal,
    result: RunResult,
    bytes: usize,
    since_us: u64,
    deadline_us: u64,
    /// Returned when the response is dropped.
    _memory: ResponseMemory,
}

impl DelayedReply {
    fn is_due(&self, now_us: u64) -> bool {
        now_us >= self.deadline_us
            || now_us.saturating_sub(self.since_us) >= MAX_WAIT_US
            || self.reply.queued_bytes() <= MAX_QUEUED_BYTES
    }

    /// Sends the response, or only the error if its caller has stopped waiting.
    fn send(self, now_us: u64) {
        let result = if now_us >= self.deadline_us {
            RunResult::Failed(ErrorKind::DeadlinePassed)
        } else {
            self.result
        };
        reply(self.reply, self.signal, result);
    }
}

/// Bytes of the waiting responses of an entry, of all entries, and the longest wait of the entry's.
pub(super) struct Backlog {
    entry_bytes: usize,
    all_bytes: usize,
    entry_since_us: Option<u64>,
}

/// All responses that wait, in the order in which they came.
pub(super) struct DelayedReplies {
    max_bytes: usize,
    waiting: Mutex<Vec<DelayedReply>>,
    metrics: Metrics,
}

impl DelayedReplies {
    /// Responses of a process with this memory budget, counted in these metrics.
    pub(super) fn new(memory_budget_bytes: usize, metrics: &Metrics) -> Self {
        DelayedReplies {
            max_bytes: memory_budget_bytes / BUDGET_DIVISOR,
            waiting: Mutex::default(),
            metrics: metrics.clone(),
        }
    }

    fn max_entry_bytes(&self) -> usize {
        self.max_bytes / ENTRY_DIVISOR
    }

    pub(super) fn count(&self) -> usize {
        self.lock().len()
    }

    fn take(&self, attempt: AttemptId) -> Option<DelayedReply> {
        let mut waiting = self.lock();
        let index = waiting.iter().position(|other| other.attempt == attempt)?;
        Some(self.remove(&mut waiting, index))
    }

    /// Lets a response wait, if the connection to its entry has much to write or others wait for that
    /// entry already, which it must not overtake. Returns it if it can be sent now.
    fn add(&self, delayed: DelayedReply) -> Option<DelayedReply> {
        let mut waiting = self.lock();
        let origin = delayed.attempt.call.origin;
        let is_behind_others = waiting.iter().any(|r| r.attempt.call.origin == origin);
        if !is_behind_others && delayed.reply.queued_bytes() <= MAX_QUEUED_BYTES {
            return Some(delayed);
        }
        let bytes = &self.metrics.delayed_reply_bytes;
        bytes.inc_by(delayed.bytes as i64);
        waiting.push(delayed);
        None
    }

    fn take_first(&self) -> Option<DelayedReply> {
        let mut waiting = self.lock();
        (!waiting.is_empty()).then(|| self.remove(&mut waiting, 0))
    }

    fn take_due(&self, now_us: u64) -> Option<DelayedReply> {
        let mut waiting = self.lock();
        let index = waiting.iter().position(|other| other.is_due(now_us))?;
        Some(self.remove(&mut waiting, index))
    }

    fn remove(&self, waiting: &mut Vec<DelayedReply>, index: usize) -> DelayedReply {
        let delayed = waiting.remove(index);
        let bytes = &self.metrics.delayed_reply_bytes;
        bytes.dec_by(delayed.bytes as i64);
        delayed
    }

    /// What waits for the entry with this origin of calls.
    fn backlog(&self, origin: u64) -> Backlog {
        let waiting = self.lock();
        let of_entry = || waiting.iter().filter(|r| r.attempt.call.origin == origin);
        Backlog {
            entry_bytes: of_entry().map(|r| r.bytes).sum(),
            all_bytes: waiting.iter().map(|r| r.bytes).sum(),
            entry_since_us: of_entry().map(|r| r.since_us).min(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<DelayedReply>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Owner {
    /// Sends the result of a call that has ended, or lets it wait if it is long and the connection to
    /// its entry has much to write, or others wait for that entry.
    pub(super) fn reply_or_delay(
        &self,
        now_us: u64,
        job: Job,
        signal: LoadSignal,
        result: RunResult,
        mut memory: ResponseMemory,
    ) {
        let bytes = match &result {
            RunResult::Answer { message, .. } => message.len(),
            _ => 0,
        };
        if bytes <= LONG_BYTES {
            reply(job.reply, signal, result);
            return;
        }
        // Only the encoded response is held by now.
        memory.keep(bytes);
        let not_delayed = self.delayed_replies.add(DelayedReply {
            attempt: job.call.attempt,
            reply: job.reply,
            signal,
            result,
            bytes,
            since_us: now_us,
            deadline_us: job.deadline_us,
            _memory: memory,
        });
        if let Some(delayed) = not_delayed {
            reply(delayed.reply, delayed.signal, delayed.result);
            return;
        }
        // After the close, which may have sent the others before this one was added, no timer runs.
        if self.is_closed() {
            self.send_all_delayed_replies();
            return;
        }
        // A lost wake-up is harmless, since the timer also wakes up periodically.
        let _ = self.wake.send(());
    }

    /// Replies to a cancelled call without its response, if that waits. Returns the kind with which
    /// the call has ended then. Its status stays as it is, so that later queries get the response.
    pub(super) fn cancel_delayed(&self, attempt: AttemptId) -> Option<ErrorKind> {
        let delayed = self.delayed_replies.take(attempt)?;
        // As for a running call. Without a reply, the entry would take the connection for lost.
        let kind = ErrorKind::DeadlinePassed;
        reply(delayed.reply, delayed.signal, RunResult::Failed(kind));
        Some(kind)
    }

    /// Sends the responses that need not wait any longer; returns the time until the next check.
    pub(super) fn send_delayed_replies(&self) -> Option<Duration> {
        while let Some(delayed) = self.delayed_replies.take_due(self.now_us()) {
            delayed.send(self.now_us());
        }
        (self.delayed_replies.count() > 0).then_some(CHECK_INTERVAL)
    }

    /// Sends all responses that wait, whatever is queued on their connections: the mesh still writes
    /// for a moment when the process ends.
    pub(super) fn send_all_delayed_replies(&self) {
        while let Some(delayed) = self.delayed_replies.take_first() {
            delayed.send(self.now_us());
        }
    }

    /// What waits, if it is too much for further calls of the entry with this origin to run: its own
    /// responses take all that they may, or those of all entries do. Reads only.
    pub(super) fn congestion(&self, origin: u64) -> Option<Backlog> {
        let delayed = &self.delayed_replies;
        let backlog = delayed.backlog(origin);
        let is_entry_full = backlog.entry_bytes > delayed.max_entry_bytes();
        (is_entry_full || backlog.all_bytes > delayed.max_bytes).then_some(backlog)
    }

    /// Refusal of a call by `congestion`, counted and logged. Checked on arrival and right before the
    /// start.
    pub(super) fn congestion_refusal(&self, now_us: u64, call: &RunCall) -> Option<ErrorKind> {
        let backlog = self.congestion(call.attempt.call.origin)?;
        let delayed = &self.delayed_replies;
        let refused = delayed.metrics.congestion_refused.inc() + 1;
        if is_logged(refused) {
            let since_us = backlog.entry_since_us.unwrap_or(now_us);
            log::warn!(
                "owner: call {} refused, overloaded: responses of {} of at most {} bytes wait for \
                 its entry, the first for {} ms, and of {} of at most {} bytes for all; {refused} \
                 refused so far.",
                call.attempt,
                backlog.entry_bytes,
                delayed.max_entry_bytes(),
                now_us.saturating_sub(since_us) / 1_000,
                backlog.all_bytes,
                delayed.max_bytes
            );
        }
        Some(ErrorKind::Overloaded)
    }
}

#[cfg(test)]
#[path = "../../tests/inside/delayed_replies.rs"]
mod tests;
