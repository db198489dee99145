//! The calls that the local instance makes for a running call: which services they go to, and how they
//! end. Recorded only with `--downstream-admission`. Also the response to calls that an owner with this
//! setting refuses, which an entry without it gives too.

use super::Entry;
use calls::ParentCall;
use errors::ErrorKind;
use http::{Request, Response};
use limits::{DownstreamOutcome, RefusalCause, retry_after_ms};
use model::ServiceName;

/// A call that the instance makes for a running call.
pub(super) struct NestedCall {
    parent: ParentCall,
    sent_us: u64,
}

/// How a call ended without an answer.
pub(super) struct UnansweredCall {
    /// Why it ended; for a call that could not be retried, its last refusal by an owner.
    pub(super) cause: ErrorKind,
    /// Time at which the owner that refused it last expects to admit such calls, if it said so.
    pub(super) until_us: Option<u64>,
    /// Whether this entry knew an upstream for it.
    pub(super) has_found_upstream: bool,
}

impl Entry {
    /// The request as a call of the local instance, if it is one.
    pub(super) fn nested_call(&self, request: &Request, sent_us: u64) -> Option<NestedCall> {
        self.context.downstream.as_ref()?;
        let parent = self.parent_of(request)?;
        Some(NestedCall { parent, sent_us })
    }

    /// Response to a call that an owner refused because a service which the call would call is short of
    /// capacity until this time.
    pub(super) fn downstream_response(
        &self,
        service: &ServiceName,
        kind: ErrorKind,
        target_ms: u64,
        until_us: u64,
    ) -> Response {
        let mut response = self.refusal_response(Some(service), kind, target_ms);
        let wait_us = until_us.saturating_sub(self.context.kernel.clock.now_us());
        let cause = RefusalCause::Downstream {
            wait_ms: wait_us.div_ceil(1_000),
        };
        let seconds = retry_after_ms(cause, target_ms, rand::random()) / 1_000.0;
        response.headers.set("retry-after", format!("{seconds:.3}"));
        response
    }
}

impl NestedCall {
    /// Records that the call goes to a service.
    pub(super) fn record_sent(&self, entry: &Entry, service: &ServiceName) {
        if let Some(downstream) = &entry.context.downstream {
            downstream.lock().record_call(self.parent.attempt, service);
        }
    }

    /// Records that an upstream answered the call.
    pub(super) fn record_answered(&self, entry: &Entry, service: &ServiceName) {
        self.record(entry, service, DownstreamOutcome::Answered);
    }

    /// Records that the call went to a service, perhaps only to be refused here, and ended without an
    /// answer; `response` has the time after which it may be sent again.
    pub(super) fn record_refused(
        &self,
        entry: &Entry,
        service: &ServiceName,
        call: &UnansweredCall,
        response: &Response,
    ) {
        self.record_sent(entry, service);
        if let Some(outcome) = refused_outcome(call, response) {
            self.record(entry, service, outcome);
        }
    }

    fn record(&self, entry: &Entry, service: &ServiceName, outcome: DownstreamOutcome) {
        let Some(downstream) = &entry.context.downstream else {
            return;
        };
        let now_us = entry.context.kernel.clock.now_us();
        let priority = self.parent.priority;
        downstream
            .lock()
            .record_outcome(now_us, self.sent_us, service, priority, outcome);
    }
}

/// What a call that ended without an answer shows of the capacity of its service. An owner that has no
/// upstream, such as one in an evacuated zone, shows nothing: other instances may have capacity.
fn refused_outcome(call: &UnansweredCall, response: &Response) -> Option<DownstreamOutcome> {
    let retry_after_us = retry_after_us(response);
    match (call.cause, call.until_us) {
        (ErrorKind::Overloaded | ErrorKind::QueueFull, Some(until_us)) => {
            Some(DownstreamOutcome::RefusedUntil { until_us })
        }
        (ErrorKind::Overloaded | ErrorKind::QueueFull, None) => {
            Some(DownstreamOutcome::Overloaded { retry_after_us })
        }
        (ErrorKind::NoUpstream, _) if !call.has_found_upstream => {
            Some(DownstreamOutcome::NoUpstream { retry_after_us })
        }
        _ => None,
    }
}

fn retry_after_us(response: &Response) -> u64 {
    let seconds = response.headers.get("retry-after");
    let seconds: Option<f64> = seconds.and_then(|seconds| seconds.parse().ok());
    seconds.map_or(0, |seconds| (seconds * 1e6) as u64)
}

#[cfg(test)]
#[path = "../../tests/inside/refused_outcomes.rs"]
mod tests;
