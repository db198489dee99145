//! The cases.

pub mod drain_clock;
pub mod drain_notice;
pub mod poison_memory;
pub mod popular_read;
pub mod tenant_burst;

use crate::{deployment::Deployment, Outcome};

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
}

/// A configuration document with one virtual host.
pub fn document(version: u32, services: &[&str], routes: &[Route]) -> String {
    document_with(version, services, routes, "")
}

/// Like `document`, with further fields, each of which ends with a comma.
pub fn document_with(version: u32, services: &[&str], routes: &[Route], more: &str) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"health_check_path\":\"/health\",\"max_connections\":260,\"protocol\":\"h1\",\"tls\":false}}")
        })
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{}\",\"path_prefix\":\"{}\",\"kind\":\"{}\",\"timeout_ms\":2500,\"target_latency_ms\":600,\"priority\":1,\"service\":\"{}\",\"attempts\":2}}",
                route.name, route.prefix, route.kind, route.service
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},{more}\"virtual_hosts\":[{{\"host\":\"shop.example\",\"paths\":[{}]}}]}}",
        services.join(","),
        routes.join(",")
    )
}

/// Sends the configuration and waits until all nodes are ready; the reason if that fails.
pub fn prepare(deployment: &Deployment, document: &str) -> Result<(), Outcome> {
    if deployment.configure(document) != Some(200) {
        return Err(Outcome::NotRun(
            "the configuration was not acknowledged".to_owned(),
        ));
    }
    if !deployment.wait_ready() {
        return Err(Outcome::NotRun("the nodes did not become ready".to_owned()));
    }
    Ok(())
}
