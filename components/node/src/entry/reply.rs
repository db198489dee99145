//! Handles the owner's reply to an attempt, also after the call has ended.

use super::{
    driver::{CallDriver, CallEvent},
    routes::ServiceRoutes,
};
use crate::context::NodeContext;
use calls::Event;
use errors::ErrorKind;
use mesh::RequestError;
use model::{AttemptId, NodeId};
use routing::{AttemptResult, UpstreamKey};
use std::sync::Arc;
use wire::{CallReply, RunResult, decode};

/// Lowest status that counts as a failure of the upstream.
const FIRST_FAILURE_STATUS: u16 = 500;

/// An attempt that was sent, with everything needed to handle its reply.
pub(crate) struct PendingAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) key: UpstreamKey,
    pub(crate) owner: NodeId,
    pub(crate) sent_us: u64,
    pub(crate) deadline_us: u64,
    pub(crate) routes: Arc<ServiceRoutes>,
    pub(crate) driver: Arc<CallDriver>,
    pub(crate) context: Arc<NodeContext>,
}

impl PendingAttempt {
    pub(crate) fn handle_reply(self, outcome: Result<Vec<u8>, RequestError>) {
        let now_us = self.context.kernel.clock.now_us();
        let latency_us = now_us - self.sent_us;
        let (attempt_result, signal, event) = match outcome {
            Err(RequestError::NotSent) => {
                (AttemptResult::Failed, None, Event::SendFailed(self.attempt))
            }
            Err(RequestError::ConnectionLost) => {
                self.context.generations.advance(self.owner);
                (
                    self.failed_or_timed_out(now_us),
                    None,
                    Event::ConnectionLost(self.attempt),
                )
            }
            // The connection is still open, so the status of later attempts on it stays known.
            Err(RequestError::TimedOut) => (
                self.failed_or_timed_out(now_us),
                None,
                Event::ConnectionLost(self.attempt),
            ),
            Ok(bytes) => match decode(bytes) {
                Ok(CallReply::Ran { signal, result }) => {
                    let (attempt_result, event) = self.classify(result, now_us);
                    (attempt_result, Some(signal), event)
                }
                _ => (
                    AttemptResult::Failed,
                    None,
                    Event::ConnectionLost(self.attempt),
                ),
            },
        };
        if matches!(event, Event::Refused(_, ErrorKind::Stopping)) {
            self.routes.mark_draining(now_us, self.key);
        }
        let record_result = || {
            self.routes.router().record_result(
                now_us,
                self.key,
                attempt_result,
                latency_us,
                signal,
            );
        };
        if matches!(event, Event::Answered(..)) {
            // The answer goes to the caller before the bookkeeping.
            self.driver.dispatch(CallEvent::Machine(event));
            record_result();
        } else {
            // The next choice of this call needs the load that came with the refusal.
            record_result();
            self.driver.dispatch(CallEvent::Machine(event));
        }
    }

    /// The result as the router counts it, and the event for the call.
    fn classify(&self, result: RunResult, now_us: u64) -> (AttemptResult, Event<UpstreamKey>) {
        let attempt = self.attempt;
        match result {
            RunResult::Answer { status, message } => {
                // An error status must count against its upstream.
                let attempt_result = if status < FIRST_FAILURE_STATUS {
                    AttemptResult::Ok
                } else {
                    AttemptResult::Failed
                };
                (attempt_result, Event::Answered(attempt, message))
            }
            RunResult::Refused(ErrorKind::Cancelled) => (
                AttemptResult::Cancelled,
                Event::Refused(attempt, ErrorKind::Cancelled),
            ),
            RunResult::Refused(kind) => {
                self.driver.record_refusal(kind, None);
                (AttemptResult::Refused, Event::Refused(attempt, kind))
            }
            RunResult::RefusedFor { kind, wait_us } => {
                // From the time of sending, so that a slow reply doesn't extend the shortage.
                let until_us = self.sent_us.saturating_add(wait_us);
                self.driver.record_refusal(kind, Some(until_us));
                (AttemptResult::Refused, Event::Refused(attempt, kind))
            }
            RunResult::Failed(kind) => (
                self.failed_or_timed_out(now_us),
                Event::Failed(attempt, kind),
            ),
            RunResult::Duplicate(status) => {
                (AttemptResult::Cancelled, Event::Status(attempt, status))
            }
        }
    }

    fn failed_or_timed_out(&self, now_us: u64) -> AttemptResult {
        if now_us >= self.deadline_us {
            AttemptResult::TimedOut
        } else {
            AttemptResult::Failed
        }
    }
}
