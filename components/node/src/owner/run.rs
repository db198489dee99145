//! Runs one admitted call at the instance. Nothing here blocks: the thread that admits a call
//! writes it to the instance, and the thread that reads the response sends the reply.

use super::{instance::Job, state::Owner};
use errors::ErrorKind;
use http::{CallError, Headers, Request, Response};
use std::sync::Arc;
use wire::{RunCall, RunResult, WireMessage, encode};

/// Lowest status that counts as a failure of the upstream.
const FIRST_FAILURE_STATUS: u16 = 500;

/// Sends the call to the instance and hands its result to the owner.
pub(crate) fn run_job(owner: &Arc<Owner>, job: Job) {
    let started_us = owner.now_us();
    if started_us >= job.deadline_us {
        owner.finish(job, RunResult::Refused(ErrorKind::DeadlineExpired), None);
        return;
    }
    if !owner.may_start(job.call.attempt) {
        owner.finish(job, RunResult::Refused(ErrorKind::Cancelled), None);
        return;
    }
    let request = upstream_request(&job, started_us);
    let deadline = owner.context.kernel.clock.instant(job.deadline_us);
    let (pool, cancel) = (Arc::clone(&job.pool), job.cancel.clone());
    let owner = Arc::clone(owner);
    pool.start(&request, deadline, &cancel, move |outcome| {
        end_job(&owner, job, started_us, outcome);
    });
}

fn end_job(owner: &Arc<Owner>, job: Job, started_us: u64, outcome: Result<Response, CallError>) {
    let service_us = owner.now_us() - started_us;
    log::trace!(
        "owner: call {} waited {} us and ran {service_us} us.",
        job.call.attempt,
        started_us - job.arrived_us
    );
    match outcome {
        Ok(response) => finish_answer(owner, job, response, service_us),
        Err(error) => finish_error(owner, job, error),
    }
}

fn finish_answer(owner: &Arc<Owner>, job: Job, mut response: Response, service_us: u64) {
    http::strip_hop_by_hop(&mut response.headers);
    owner.note_answered(&job.call.fingerprint);
    // A fast failure must not look like a fast upstream.
    let counted_us = if response.status >= FIRST_FAILURE_STATUS {
        job.deadline_us
            .saturating_sub(job.arrived_us)
            .max(service_us)
    } else {
        service_us
    };
    let message = WireMessage {
        start: (response.status.to_string(), response.reason),
        headers: response.headers.iter().map(own).collect(),
        body: response.body,
    };
    let result = RunResult::Answer {
        status: response.status,
        message: encode(&message).into(),
    };
    owner.finish(job, result, Some(counted_us));
}

fn finish_error(owner: &Arc<Owner>, job: Job, error: CallError) {
    let lost = matches!(error, CallError::Lost | CallError::Truncated);
    if lost {
        owner.note_crash(&job.call);
    }
    if error == CallError::TimedOut {
        // Connections as old as a silent one may be silent too.
        job.pool.close_idle();
    }
    let result = match error {
        CallError::NotSent if job.cancel.is_cancelled() => RunResult::Refused(ErrorKind::Cancelled),
        CallError::NotSent => RunResult::Refused(ErrorKind::UpstreamRefused),
        CallError::TimedOut | CallError::Cancelled => RunResult::Failed(ErrorKind::DeadlinePassed),
        CallError::Lost | CallError::Malformed => RunResult::Failed(ErrorKind::UpstreamLost),
        CallError::Truncated => RunResult::Failed(ErrorKind::AnswerTruncated),
        CallError::TooLarge => RunResult::Failed(ErrorKind::AnswerTooLarge),
    };
    log::info!(
        "owner: call {} failed at {}: {error}.",
        job.call.attempt,
        job.call.upstream
    );
    let counted_us =
        (error != CallError::Cancelled).then(|| job.deadline_us.saturating_sub(job.arrived_us));
    owner.finish(job, result, counted_us);
}

fn upstream_request(job: &Job, now_us: u64) -> Request {
    let RunCall {
        request, attempt, ..
    } = &job.call;
    let mut headers = Headers::new();
    for (name, value) in &request.headers {
        headers.append(name.as_str(), value.as_str());
    }
    let remaining_ms = job.deadline_us.saturating_sub(now_us).div_ceil(1000);
    headers.set("x-gyard-deadline-ms", remaining_ms.to_string());
    headers.set("x-gyard-call-id", attempt.to_string());
    Request {
        method: request.start.0.clone(),
        target: request.start.1.clone(),
        headers,
        body: request.body.clone(),
        peer: job.call.owner.mesh,
    }
}

fn own((name, value): (&str, &str)) -> (String, String) {
    (name.to_owned(), value.to_owned())
}
