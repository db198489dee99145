//! Plug-in `platform`: HTTP port for the local instance, for metrics and for the node's state.

use crate::{announce::Announcement, context::NodeContext, route_query::answer_route_query};
use admin::{AdminResponse, PortLimits, error_response, json_response, metrics_response};
use errors::ErrorKind;
use http::Request;
use kernel::{Kernel, PluginEntry, Role, RunningPlugin, StartError};
use serde_json::json;
use std::{sync::Arc, thread, time::Duration};

const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

inventory::submit! {
    PluginEntry { name: "platform", role: Role::Node, order: 40, start }
}

fn start(kernel: &Arc<Kernel>) -> Result<RunningPlugin, StartError> {
    let context = NodeContext::for_kernel(kernel);
    let address = kernel.node_settings().platform_listen;
    let server = {
        let context = Arc::clone(&context);
        let address = ("--platform-listen", address);
        admin::serve(
            kernel,
            "platform",
            address,
            &PortLimits::DEFAULT,
            move |request| handle_request(request, &context),
        )?
    };
    let lease_thread = thread::spawn({
        let context = Arc::clone(&context);
        move || {
            while !context.kernel.shutdown.wait(LEASE_CHECK_INTERVAL) {
                context.local.expire_lease();
            }
        }
    });
    Ok(server.and_stop(move || {
        let _ = lease_thread.join();
    }))
}

fn handle_request(request: &Request, context: &NodeContext) -> AdminResponse {
    let path = request.target.split('?').next().unwrap_or_default();
    match (request.method.as_str(), path) {
        ("PUT", "/v1/instance") => handle_announcement(request, context),
        ("DELETE", "/v1/instance") => {
            if context.local.withdraw() {
                json_response(200, &json!({ "withdrawn": true }))
            } else {
                error_response(ErrorKind::NotFound, "no instance is announced")
            }
        }
        ("GET", "/v1/instance") => match context.local.upstream() {
            Some(upstream) => json_response(200, &json!(upstream)),
            None => error_response(ErrorKind::NotFound, "no instance is announced"),
        },
        ("GET", "/v1/state") => json_response(200, &node_state(context)),
        ("GET", "/v1/route") => answer_route_query(request, context),
        ("GET", "/metrics") => {
            context.refresh_metrics();
            metrics_response(context.kernel.metrics.render())
        }
        ("GET", "/healthz") if !context.kernel.stop.is_raised() => {
            json_response(200, &json!({ "ok": true }))
        }
        ("GET", "/healthz") => error_response(ErrorKind::Stopping, "the node is stopping"),
        _ => error_response(ErrorKind::NotFound, path),
    }
}

fn handle_announcement(request: &Request, context: &NodeContext) -> AdminResponse {
    let announcement = match Announcement::parse(&request.body) {
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
