//! HTTP server of a port. Its connections share one thread and their requests have a time limit, so
//! that connections that fall silent don't keep others from being served.

use crate::{AdminResponse, port_memory};
use http::{Request, ServerConfig};
use kernel::{Kernel, RunningPlugin, StartError};
use std::{
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

/// Longest wait at a stop for requests in progress.
const STOP_WAIT: Duration = Duration::from_millis(500);

/// What a port accepts.
#[derive(Clone, Copy, Debug)]
pub struct PortLimits {
    /// Most connections at once.
    pub max_connections: usize,
    /// Connections that one address leaves to others. None where all connections come from one
    /// address, as those of an instance do. It is small, because operators may share a proxy.
    pub places_for_others: usize,
    /// Most bytes of a request body.
    pub max_body_bytes: usize,
    /// Longest time for a whole head, then for a whole body.
    pub request_timeout_ms: u64,
}

impl PortLimits {
    /// Limits of a port of the product whose connections may all come from one address.
    pub const DEFAULT: PortLimits = PortLimits {
        max_connections: 256,
        places_for_others: 0,
        max_body_bytes: 64 << 10,
        request_timeout_ms: 10_000,
    };
}

/// Serves `address`, which the setting `flag` gives, until the process stops.
pub fn serve(
    kernel: &Kernel,
    plugin: &'static str,
    (flag, address): (&str, SocketAddr),
    limits: &PortLimits,
    handler: impl Fn(&Request) -> AdminResponse + Send + Sync + 'static,
) -> Result<RunningPlugin, StartError> {
    let listener = TcpListener::bind(address).map_err(|error| {
        StartError::new(
            plugin,
            format!("{flag} {address} can't be opened: {error}; choose a free port"),
        )
    })?;
    let config = ServerConfig {
        max_connections: limits.max_connections,
        max_connections_per_address: limits.max_connections - limits.places_for_others,
        memory: port_memory(kernel),
        max_body_bytes: limits.max_body_bytes,
        head_timeout_ms: limits.request_timeout_ms,
        stop_grace_ms: 0,
        thread_name: plugin.to_owned(),
        ..ServerConfig::default()
    };
    let server = http::serve(listener, config, move |request, _| handler(&request))
        .map_err(|error| StartError::new(plugin, error))?;
    kernel.set_listen_address(plugin, server.address());
    Ok(RunningPlugin::with_stop(move || {
        server.stop_until(Some(Instant::now() + STOP_WAIT));
        server.abort();
    }))
}
