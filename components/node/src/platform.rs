//! Plug-in `platform`: HTTP port for the local instance, for metrics and for the node's state.

use crate::{announce::Announcement, context::NodeContext};
use admin::{AdminResponse, error_response, json_response, metrics_response, read_body};
use errors::ErrorKind;
use kernel::{Kernel, PluginEntry, Role, RunningPlugin, StartError};
use serde_json::json;
use std::{sync::Arc, thread, time::Duration};
use tiny_http::{Method, Request, Server};

const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

inventory::submit! {
    PluginEntry { name: "platform", role: Role::Node, order: 40, start }
}

fn start(kernel: &Arc<Kernel>) -> Result<RunningPlugin, StartError> {
    let context = NodeContext::for_kernel(kernel);
    let address = kernel.node_settings().platform_listen;
    let server = Server::http(address).map_err(|error| {
        StartError::new(
            "platform",
            format!("--platform-listen {address} can't be opened: {error}; choose a free port"),
        )
    })?;
    if let Some(bound) = server.server_addr().to_ip() {
        kernel.set_listen_address("platform", bound);
    }
    let server = Arc::new(server);
    let server_thread = thread::spawn({
        let (server, context) = (Arc::clone(&server), Arc::clone(&context));
        move || serve(&server, &context)
    });
    let lease_thread = thread::spawn({
        let context = Arc::clone(&context);
        move || {
            while !context.kernel.shutdown.wait(LEASE_CHECK_INTERVAL) {
                context.local.expire_lease();
            }
        }
    });
    Ok(RunningPlugin::with_stop(move || {
        server.unblock();
        let _ = server_thread.join();
        let _ = lease_thread.join();
    }))
}

fn serve(server: &Server, context: &NodeContext) {
    while let Ok(mut request) = server.recv() {
        let response = handle_request(&mut request, context);
        if let Err(error) = request.respond(response) {
            log::debug!("platform: the response could not be sent: {error}.");
        }
    }
}

fn handle_request(request: &mut Request, context: &NodeContext) -> AdminResponse {
    let path = request.url().split('?').next().unwrap_or("").to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::Put, "/v1/instance") => handle_announcement(request, context),
        (Method::Delete, "/v1/instance") => {
            if context.local.withdraw() {
                json_response(200, &json!({ "withdrawn": true }))
            } else {
                error_response(ErrorKind::NotFound, "no instance is announced")
            }
        }
        (Method::Get, "/v1/instance") => match context.local.upstream() {
            Some(upstream) => json_response(200, &json!(upstream)),
            None => error_response(ErrorKind::NotFound, "no instance is announced"),
        },
        (Method::Get, "/v1/state") => json_response(200, &node_state(context)),
        (Method::Get, "/metrics") => {
            context.refresh_metrics();
            metrics_response(context.kernel.metrics.render())
        }
        (Method::Get, "/healthz") if !context.kernel.stop.is_raised() => {
            json_response(200, &json!({ "ok": true }))
        }
        (Method::Get, "/healthz") => error_response(ErrorKind::Stopping, "the node is stopping"),
        _ => error_response(ErrorKind::NotFound, &path),
    }
}

fn handle_announcement(request: &mut Request, context: &NodeContext) -> AdminResponse {
    let body = match read_body(request) {
        Ok(body) => body,
        Err((kind, detail)) => return error_response(kind, detail),
    };
    let announcement = match Announcement::parse(&body) {
        Ok(announcement) => announcement,
        Err(reason) => return error_response(ErrorKind::MalformedRequest, &reason),
    };
    let missing = context.unknown_profiles(&announcement);
    if !missing.is_empty() {
        let names = missing.join(", ");
        log::warn!(
            "platform: instance of {} names unknown profiles: {names}.",
            announcement.service
        );
    }
    let upstream = context.local.announce(&announcement);
    json_response(
        200,
        &json!({
            "name": upstream.name,
            "state": upstream.state,
            "lease_ms": context.kernel.node_settings().lease_ms,
            "unknown_profiles": missing,
        }),
    )
}

fn node_state(context: &NodeContext) -> serde_json::Value {
    let kernel = &context.kernel;
    json!({
        "node": kernel.mesh.local_id().to_string(),
        "host": kernel.node_settings().host,
        "availability_zone": kernel.node_settings().availability_zone,
        "revision": kernel.profiles.revision(),
        "config_age_ms": kernel.profiles.age_ms(kernel.clock.now_us()),
        "revocation_proof_age_ms": context.revocation.age_ms(),
        "stopping": kernel.stop.is_raised(),
        "instance": context.local.upstream(),
        "upstreams": kernel.directory.all(),
    })
}
