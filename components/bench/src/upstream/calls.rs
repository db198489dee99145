//! Handling of requests at a test upstream.

use super::{
    HEALTH_PATH, LOAD_HEADER, POLL_INTERVAL, Shared, control,
    crash::{CrashForm, crash, crash_after},
    hang, lock, response_body,
    slots::Acquired,
};
use http::{CallerConnection, Request, Response};
use rand::RngExt;
use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

pub(super) fn handle_request(
    shared: &Arc<Shared>,
    request: &Request,
    caller: &CallerConnection,
) -> Response {
    if request.target == "/control" {
        return control::handle_control_request(shared, request);
    }
    let request_id = request.headers.get("x-request-id").unwrap_or_default();
    let echo = |response: Response| {
        let load = hang::load_header(shared);
        response
            .with_header("x-request-id", request_id)
            .with_header(LOAD_HEADER, load)
    };
    if shared.hanging.load(Ordering::Acquire) {
        wait_while(|| !caller.is_closed());
        return Response::new(500, "");
    }
    let switches = shared.switches();
    if switches.fail_fast {
        return echo(Response::new(500, "failing fast\n"));
    }
    let is_health_check = request.target == HEALTH_PATH;
    if hang::must_hang(shared, &switches, is_health_check) {
        wait_while(|| !caller.is_closed());
        return Response::new(499, "");
    }
    if is_health_check {
        return echo(Response::new(200, ""));
    }
    let _slot = match shared
        .slots
        .acquire(|| shared.switches().shed, || caller.is_closed())
    {
        Acquired::Slot(slot) => slot,
        Acquired::Shed => return echo(Response::new(503, "shedding load\n")),
        Acquired::Disconnected => return Response::new(499, ""),
    };
    shared.record(request, request_id);
    if let Some(form) = request.headers.get("x-bench-crash") {
        match CrashForm::parse(form) {
            CrashForm::AtOnce => {
                crash(shared);
                wait_while(|| !caller.is_closed());
                return Response::new(500, "");
            }
            CrashForm::Late { after, is_hanging } => {
                shared.hanging.store(is_hanging, Ordering::Release);
                crash_after(shared, after);
                // Ends this connection without a response; the others and the listener live on.
                std::panic::resume_unwind(Box::new("crash"));
            }
        }
    }
    if switches.silent {
        wait_while(|| shared.switches().silent && !caller.is_closed());
    }
    let service_time = shared.draw_service_time(&switches);
    if switches.ignores_disconnects {
        thread::sleep(service_time);
    } else {
        sleep_while_connected(service_time, caller);
    }
    if lock(&shared.rng).random_range(0..100) < switches.drop_percent {
        std::panic::resume_unwind(Box::new("the answer is dropped"));
    }
    let bytes = request
        .headers
        .get("x-bench-bytes")
        .and_then(|value| value.parse().ok())
        .unwrap_or(shared.config.response_bytes);
    echo(
        Response::new(200, response_body(request_id, bytes))
            .with_header("content-type", "application/octet-stream"),
    )
}

/// Sleeps for the given time; returns early if the caller disconnects.
fn sleep_while_connected(time: Duration, caller: &CallerConnection) {
    let end = Instant::now() + time;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left <= POLL_INTERVAL {
            thread::sleep(left);
            return;
        }
        thread::sleep(POLL_INTERVAL);
        if caller.is_closed() {
            return;
        }
    }
}

fn wait_while(condition: impl Fn() -> bool) {
    while condition() {
        thread::sleep(POLL_INTERVAL);
    }
}
