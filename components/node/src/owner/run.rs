//! Runs one admitted call at the instance. Nothing here blocks: the thread that admits a call
//! writes the request to the instance, and the thread that reads the response sends the reply.

use super::{instance::Job, state::Owner};
use errors::ErrorKind;
use http::{CallError, Headers, Request, Response, ResponseMemory};
use settings::CallHeaders;
use std::sync::Arc;
use wire::{HttpMessage, RunCall, RunResult, encode};

/// Lowest HTTP status that counts as a failure of the upstream.
pub(super) const FIRST_FAILURE_STATUS: u16 = 500;

/// Longest time in which a host refuses a connection to itself, in microseconds. A connection that
/// takes longer to fail is one to a full instance, which continues to run it.
const MAX_REFUSAL_US: u64 = 100_000;

/// Sends the call to the instance; the result is passed to `Owner::finish`.
pub(crate) fn run_job(owner: &Arc<Owner>, job: Job) {
    let started_us = owner.now_us();
    if started_us >= job.deadline_us {
        owner.finish(job, RunResult::Refused(ErrorKind::DeadlineExpired), None);
        return;
    }
    if let Some(kind) = owner.suspect_refusal_at_start(started_us, &job.call) {
        let evidence = owner
            .context
            .count_refused(started_us, &job.call.fingerprint);
        log::info!(
            "owner: call {} refused before its start, {kind}; {evidence}.",
            job.call.attempt
        );
        owner.finish(job, RunResult::Refused(kind), None);
        return;
    }
    let refusal = owner
        .evacuation_refusal(started_us, &job.call)
        .or_else(|| owner.congestion_refusal(started_us, &job.call))
        .or_else(|| owner.cold_refusal_at_start(started_us));
    if let Some(kind) = refusal {
        owner.finish(job, RunResult::Refused(kind), None);
        return;
    }
    if !owner.try_start(job.call.attempt) {
        owner.finish(job, RunResult::Refused(ErrorKind::Cancelled), None);
        return;
    }
    owner.watch_answer(&job, started_us);
    owner
        .context
        .start_parent(&job.call, job.as_parent(started_us));
    let names = owner.context.kernel.node_settings().headers;
    let request = upstream_request(&names, &job, started_us);
    let deadline = owner.context.kernel.clock.instant(job.deadline_us);
    let (pool, cancel) = (Arc::clone(&job.pool), job.cancel.clone());
    let owner = Arc::clone(owner);
    pool.call_with_memory(&request, deadline, &cancel, move |outcome, memory| {
        handle_response(&owner, job, started_us, outcome, memory);
    });
}

fn handle_response(
    owner: &Arc<Owner>,
    mut job: Job,
    started_us: u64,
    outcome: Result<Response, CallError>,
    memory: ResponseMemory,
) {
    let service_us = owner.now_us() - started_us;
    log::trace!(
        "owner: call {} waited {} us and ran {service_us} us.",
        job.call.attempt,
        started_us - job.arrived_us
    );
    if let Ok(response) = &outcome {
        owner.read_load_header(response, started_us);
    }
    match outcome {
        Ok(response) if is_refusal(owner, &response) => finish_refusal(owner, job, &response),
        Ok(response) if is_encoded(owner, &response) => {
            // Not lost work: the instance has answered.
            finish_error(owner, job, started_us, CallError::Malformed);
        }
        Ok(response) => finish_answer(owner, job, response, service_us, memory),
        Err(error) => {
            owner.mark_lost(&mut job, error);
            finish_error(owner, job, started_us, error);
        }
    }
}

/// HTTP status of an instance that is not the one the call was addressed to.
const MISDIRECTED_STATUS: u16 = 421;

/// Whether the response states that the instance did not run the call.
fn is_refusal(owner: &Owner, response: &Response) -> bool {
    let names = &owner.context.kernel.node_settings().headers;
    let is_marked = names
        .not_run
        .is_some_and(|name| response.headers.contains(name));
    let is_misdirected = names.expected_upstream.is_some() && response.status == MISDIRECTED_STATUS;
    is_marked || is_misdirected
}

/// Whether the body was encoded on its way. Where upstreams repeat the request id, requests ask for
/// no encoding, so these are not the bytes of the instance.
fn is_encoded(owner: &Owner, response: &Response) -> bool {
    let names = &owner.context.kernel.node_settings().headers;
    names.request_id.is_some() && response.headers.contains("content-encoding")
}

fn finish_refusal(owner: &Arc<Owner>, job: Job, response: &Response) {
    let kind = if response.status == MISDIRECTED_STATUS {
        ErrorKind::NoUpstream
    } else {
        ErrorKind::UpstreamRefused
    };
    log::info!(
        "owner: call {} was refused by instance {} with {}.",
        job.call.attempt,
        job.call.upstream,
        response.status
    );
    owner.finish(job, RunResult::Refused(kind), None);
}

fn finish_answer(
    owner: &Arc<Owner>,
    job: Job,
    mut response: Response,
    service_us: u64,
    memory: ResponseMemory,
) {
    http::strip_hop_by_hop(&mut response.headers);
    owner.record_answered(&job.call.fingerprint);
    // An error status counts as if the call had used its whole time, so that an upstream that fails
    // fast does not look fast.
    let counted_us = if response.status >= FIRST_FAILURE_STATUS {
        job.deadline_us
            .saturating_sub(job.arrived_us)
            .max(service_us)
    } else {
        service_us
    };
    let message = HttpMessage {
        start_line: (response.status.to_string(), response.reason),
        headers: response.headers.iter().map(to_owned_header).collect(),
        body: response.body,
    };
    let encoded = encode(&message);
    // A long body should not be held while its encoded form is passed on.
    drop(message);
    let result = RunResult::Answer {
        status: response.status,
        message: encoded.into(),
    };
    owner.finish_with_memory(job, result, Some(counted_us), memory);
}

fn finish_error(owner: &Arc<Owner>, job: Job, started_us: u64, error: CallError) {
    let was_given_up = owner.unanswered.end(job.call.attempt);
    let was_cut_off = matches!(error, CallError::ConnectionLost | CallError::Truncated);
    if was_cut_off {
        owner.suspect_crash(&job, started_us);
    }
    if error == CallError::TimedOut {
        // If one connection is silent, idle ones of the same age may be silent too.
        job.pool.close_idle();
    }
    let ended_us = owner.now_us();
    let was_refused = ended_us < job.deadline_us && ended_us - started_us < MAX_REFUSAL_US;
    if error == CallError::NotSent && was_refused && !job.cancel.is_cancelled() {
        owner.expect_cold_start();
    }
    let result = match error {
        CallError::NotSent if job.cancel.is_cancelled() && !was_given_up => {
            RunResult::Refused(ErrorKind::Cancelled)
        }
        CallError::NotSent => RunResult::Refused(ErrorKind::UpstreamRefused),
        CallError::TimedOut => RunResult::Failed(ErrorKind::DeadlinePassed),
        CallError::Cancelled if was_given_up => RunResult::Failed(ErrorKind::UpstreamSilent),
        CallError::Cancelled => RunResult::Failed(ErrorKind::DeadlinePassed),
        CallError::ConnectionLost | CallError::Malformed | CallError::Mismatched => {
            RunResult::Failed(ErrorKind::UpstreamLost)
        }
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

fn upstream_request(names: &CallHeaders, job: &Job, now_us: u64) -> Request {
    let RunCall {
        request, attempt, ..
    } = &job.call;
    let mut headers = Headers::new();
    for (name, value) in &request.headers {
        headers.append(name.as_str(), value.as_str());
    }
    let remaining_ms = job.deadline_us.saturating_sub(now_us).div_ceil(1000);
    headers.set(names.deadline_ms, remaining_ms.to_string());
    if names.request_id.is_none() {
        headers.set("x-gyard-call-id", attempt.to_string());
    }
    if let Some(name) = names.expected_upstream {
        headers.set(name, job.call.upstream.as_str());
    }
    Request {
        method: request.start_line.0.clone(),
        target: request.start_line.1.clone(),
        headers,
        body: request.body.clone(),
        peer: job.call.owner.mesh,
    }
}

fn to_owned_header((name, value): (&str, &str)) -> (String, String) {
    (name.to_owned(), value.to_owned())
}
