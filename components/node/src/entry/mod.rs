//! Plug-in `entry`: accepts calls from callers and sends them to owners.

mod call;
mod choose;
mod customers;
mod decision;
mod downstream;
mod driver;
mod evacuation;
mod key_claims;
mod preview;
mod quota;
mod reply;
mod routes;
mod status_queries;

use crate::{context::NodeContext, quotas::QuotaGate, refusal_log::RefusalLogs};
use admin::server_memory;
use config::Quantity;
use decision::customer_note;
use downstream::UnansweredCall;
use driver::CallDriver;
use errors::ErrorKind;
use evacuation::watch_evacuations;
use http::{
    CallerConnection, Request, RequestLimits, Response, Server, ServerConfig, error_response, serve,
};
use kernel::{
    CallLabels, ErrorLabels, Event, Kernel, PluginEntry, Role, RunningPlugin, StartError,
};
use limits::{RefusalCause, retry_after_ms};
use model::{CallId, ServiceName};
use routes::Routes;
use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Maximum of concurrent requests of one connection.
const MAX_PIPELINED: usize = 16;
/// Time after the stop notice (`stop_notice_ms`) in which requests still in transit are accepted.
const ARRIVAL_GRACE: Duration = Duration::from_millis(200);
/// Longest wait for the final responses of a stop to be written and their connections to close.
const FINAL_WRITE: Duration = Duration::from_millis(100);
/// Latency target of calls whose route has none, in milliseconds.
const DEFAULT_TARGET_MS: u64 = 400;
/// Interval of the check for lost probes.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

inventory::submit! {
    PluginEntry { name: "entry", role: Role::Node, order: 50, start }
}

/// Accepts the calls of one node's callers and assigns their ids.
pub(crate) struct Entry {
    context: Arc<NodeContext>,
    routes: Routes,
    quotas: Arc<QuotaGate>,
    /// Lines about calls that are refused for their keys.
    key_refusals: RefusalLogs,
    /// Random number of this entry, which is part of the ids of its calls.
    origin: u64,
    next_sequence: AtomicU64,
}

fn start(kernel: &Arc<Kernel>) -> Result<RunningPlugin, StartError> {
    let context = NodeContext::for_kernel(kernel);
    let address = kernel.node_settings().call_listen;
    let listener = TcpListener::bind(address).map_err(|error| {
        StartError::new(
            "entry",
            format!("--call-listen {address} can't be opened: {error}; choose a free port"),
        )
    })?;
    let entry = Arc::new(Entry {
        routes: Routes::new(&context),
        quotas: QuotaGate::for_kernel(kernel),
        key_refusals: RefusalLogs::default(),
        origin: rand::random(),
        next_sequence: AtomicU64::new(1),
        context: Arc::clone(&context),
    });
    kernel.events.subscribe({
        let entry = Arc::clone(&entry);
        move |event| match event {
            Event::UpstreamChanged(upstream) => entry.routes.refresh(&upstream.service),
            Event::UpstreamRemoved { service, .. } => entry.routes.refresh(service),
            Event::ProfilesChanged(_) => entry.context.start_wait.notify(),
            Event::Stopping => {
                let now_us = entry.context.kernel.clock.now_us();
                // A second stop request does not change the time of the first.
                let _ = entry.context.stop_requested_us.set(now_us);
            }
            _ => (),
        }
    });
    watch_evacuations(&entry);
    let weak = Arc::downgrade(&entry);
    // Set once, since the plug-in starts once.
    let _ = context
        .route_preview
        .set(Box::new(move |query| Some(weak.upgrade()?.preview(query))));
    let config = ServerConfig {
        max_connections: kernel.node_settings().max_connections,
        max_connections_per_address: kernel.caller_limits().max_connections_per_address,
        memory: server_memory(kernel),
        max_body_bytes: kernel.node_settings().max_body_bytes,
        max_pipelined: MAX_PIPELINED,
        stop_grace_ms: ARRIVAL_GRACE.as_millis() as u64,
        thread_name: "entry".to_owned(),
        ..ServerConfig::default()
    };
    let server = serve(listener, config, move |request, caller| {
        entry.handle_request(request, caller)
    })
    .map_err(|error| StartError::new("entry", error))?;
    kernel.set_listen_address("entry", server.address());
    let server = Arc::new(server);
    apply_limits_on_change(kernel, &server);
    let probe_thread = thread::spawn({
        let context = Arc::clone(&context);
        move || {
            while !context.kernel.shutdown.wait(PROBE_CHECK_INTERVAL) {
                context.probes.expire_lost();
            }
        }
    });
    let stopping = Arc::clone(&server);
    let stopping_kernel = Arc::downgrade(kernel);
    Ok(RunningPlugin::new(
        move |until| {
            // Callers learn from the readiness check and from replies that this node is stopping.
            stopping.drain();
            let notice = stopping_kernel.upgrade().map(|kernel| stop_notice(&kernel));
            let left = until.saturating_duration_since(Instant::now());
            thread::sleep(notice.unwrap_or_default().min(left));
            stopping.stop_until(Some(until));
            answer_unfinished(&stopping);
        },
        move || {
            server.abort();
            let _ = probe_thread.join();
        },
    ))
}

/// Gives the calls that are still in progress their final response, since the process ends. It also
/// lets finished responses through that wait behind them on their connection.
fn answer_unfinished(server: &Server) {
    let unfinished = server.answer_unfinished(&error_response(ErrorKind::StopTimeout));
    if unfinished > 0 {
        log::warn!("entry: the stop timeout passed with {unfinished} calls in progress.");
        server.stop_until(Some(Instant::now() + FINAL_WRITE));
    }
}

/// Time for which a stopping node still takes new calls. A node that starts again at once takes none:
/// until it has done so, the others can't call the instance beside it.
fn stop_notice(kernel: &Kernel) -> Duration {
    match kernel.superseded_by() {
        Some(_) => Duration::ZERO,
        None => Duration::from_millis(kernel.node_settings().stop_notice_ms),
    }
}

/// Applies the request limits of the configuration in effect, now and whenever it changes.
fn apply_limits_on_change(kernel: &Arc<Kernel>, server: &Arc<Server>) {
    let (weak, largest) = (
        Arc::downgrade(server),
        kernel.node_settings().max_body_bytes,
    );
    let profiles = kernel.profiles.clone();
    let apply = move || {
        let (Some(table), Some(server)) = (profiles.routes(), weak.upgrade()) else {
            return;
        };
        let limits = &table.configuration().limits;
        let bytes = |limit: &Quantity| usize::try_from(limit.to_u64()).unwrap_or(usize::MAX);
        server.set_limits(RequestLimits {
            max_head_bytes: bytes(&limits.max_head_bytes),
            max_body_bytes: bytes(&limits.max_body_bytes).min(largest),
            head_timeout_ms: limits.head_timeout_ms.to_u64(),
            idle_timeout_ms: limits.idle_timeout_ms.to_u64(),
        });
    };
    kernel
        .events
        .apply_on(|event| matches!(event, Event::ProfilesChanged(_)), apply);
}

impl Entry {
    fn handle_request(self: &Arc<Self>, request: Request, caller: &CallerConnection) -> Response {
        let arrived_us = self.context.kernel.clock.now_us();
        let request_id = self.request_id(&request);
        let nested = self.nested_call(&request, arrived_us);
        let prepared = if self.is_stop_notice_over(arrived_us) {
            Err((None, ErrorKind::Stopping))
        } else {
            self.wait_for_start(&request, arrived_us);
            self.prepare(request, arrived_us)
        };
        let prepared = match prepared {
            Ok(prepared) => prepared,
            Err((service, kind)) => {
                self.log_refusal(&request_id, kind);
                let response = self.refusal_response(service.as_ref(), kind, DEFAULT_TARGET_MS);
                if let (Some(nested), Some(service)) = (&nested, &service) {
                    let call = UnansweredCall {
                        cause: kind,
                        until_us: None,
                        has_found_upstream: false,
                    };
                    nested.record_refused(self, service, &call, &response);
                }
                return response;
            }
        };
        let permit = match self.charge_quota(&prepared) {
            Ok(permit) => permit,
            Err(refusal) => return self.quota_response(&prepared, refusal),
        };
        let target_ms = match prepared.target_us {
            u64::MAX => DEFAULT_TARGET_MS,
            target_us => target_us.saturating_sub(arrived_us) / 1_000,
        };
        let metrics = &self.context.kernel.metrics;
        let labels = CallLabels {
            service: prepared.service.to_string(),
            profile: prepared.profile.name.to_string(),
        };
        metrics.calls.get_or_create(&labels).inc();
        let (call, service) = (prepared.call, prepared.service.clone());
        let customer = customer_note(prepared.customer.as_deref());
        if let Some(nested) = &nested {
            nested.record_sent(self, &service);
        }
        let driver = CallDriver::new(self, prepared, caller);
        let result = driver.run(caller);
        Self::settle_quota(permit, &result, driver.has_stored_answer());
        let elapsed_us = self.context.kernel.clock.now_us() - arrived_us;
        metrics
            .call_seconds
            .get_or_create(&labels)
            .observe(elapsed_us as f64 / 1e6);
        match result {
            Ok(response) => {
                if let Some(nested) = nested.filter(|_| !driver.has_stored_answer()) {
                    nested.record_answered(self, &service);
                }
                response
            }
            Err(kind) => {
                log::info!(
                    "entry: request {request_id} call {call}{customer} ended without an answer after {} ms, {kind}.",
                    elapsed_us / 1_000
                );
                let call = driver.unanswered(kind);
                let response = match call.until_us {
                    None => self.refusal_response(Some(&service), kind, target_ms),
                    Some(until_us) => self.downstream_response(&service, kind, target_ms, until_us),
                };
                if let Some(nested) = nested {
                    nested.record_refused(self, &service, &call, &response);
                }
                response
            }
        }
    }

    /// Waits while the node starts until it can decide about the call.
    fn wait_for_start(&self, request: &Request, arrived_us: u64) {
        let kernel = &self.context.kernel;
        if kernel.node_settings().require_configuration {
            let deadline = || {
                let deadline_us = self.known_deadline_us(request, arrived_us)?;
                Some(kernel.clock.instant(deadline_us))
            };
            let has_started = || self.context.can_decide_about_calls();
            let can_decide = || self.needs_no_key(request);
            let start_wait = &self.context.start_wait;
            start_wait.hold(deadline, has_started, can_decide);
        }
    }

    /// Whether the stop notice and the arrival grace have passed, so that a call that starts now
    /// could be cut off. Only connections that were never idle since the stop request still deliver
    /// calls then.
    fn is_stop_notice_over(&self, now_us: u64) -> bool {
        let notice = stop_notice(&self.context.kernel) + ARRIVAL_GRACE;
        let stop_requested_us = self.context.stop_requested_us.get();
        stop_requested_us
            .is_some_and(|stop_requested_us| now_us > stop_requested_us + notice.as_micros() as u64)
    }

    /// Error response for a call; statuses 429 and 503 carry a `retry-after` header.
    fn refusal_response(
        &self,
        service: Option<&ServiceName>,
        kind: ErrorKind,
        target_ms: u64,
    ) -> Response {
        let labels = ErrorLabels {
            service: service.map(ToString::to_string).unwrap_or_default(),
            code: kind.info().code.to_owned(),
        };
        self.context
            .kernel
            .metrics
            .errors
            .get_or_create(&labels)
            .inc();
        let response = error_response(kind);
        if kind == ErrorKind::UnknownKey {
            return response.with_header("www-authenticate", "Bearer");
        }
        if !matches!(response.status, 429 | 503) {
            return response;
        }
        let reason = match kind {
            ErrorKind::NoUpstream | ErrorKind::NotConfigured => RefusalCause::Starting,
            ErrorKind::Overloaded | ErrorKind::QueueFull => RefusalCause::NoCapacity {
                expected_ms: self.shortest_expected_ms(service),
            },
            ErrorKind::CrashHold => RefusalCause::Held,
            ErrorKind::RevocationUnconfirmed => RefusalCause::Unconfirmed,
            _ => RefusalCause::Other,
        };
        let seconds = retry_after_ms(reason, target_ms, rand::random()) / 1_000.0;
        response.with_header("retry-after", format!("{seconds:.3}"))
    }

    /// Shortest latency expected of any upstream at this entry's last choice for the service.
    fn shortest_expected_ms(&self, service: Option<&ServiceName>) -> u64 {
        let routes = service.map(|service| self.routes.get_or_create(service));
        let expected_us = routes.and_then(|routes| routes.router().shortest_expected_us());
        expected_us.unwrap_or(0) / 1_000
    }

    fn configuration_version(&self) -> u64 {
        let routes = self.context.kernel.profiles.routes();
        routes.map_or(0, |table| table.configuration().version)
    }

    fn next_call_id(&self) -> CallId {
        CallId {
            origin: self.origin,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/inside/start_deadline.rs"]
mod tests;
