//! HTTP server of a port. Each connection has a thread and its requests a time limit, so that
//! connections that fall silent don't keep others from being served.

use crate::{AdminResponse, port_memory};
use http::{Request, ServerConfig};
use kernel::{Kernel, RunningPlugin, StartError};
use std::{
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

/// Most connections of a port at once.
const MAX_CONNECTIONS: usize = 256;
/// Largest request body in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Longest wait at a stop for requests in progress.
const STOP_WAIT: Duration = Duration::from_millis(500);

/// Serves `address`, which the setting `flag` gives, until the process stops.
pub fn serve(
    kernel: &Kernel,
    plugin: &'static str,
    flag: &str,
    address: SocketAddr,
    handler: impl Fn(&Request) -> AdminResponse + Send + Sync + 'static,
) -> Result<RunningPlugin, StartError> {
    let listener = TcpListener::bind(address).map_err(|error| {
        StartError::new(
            plugin,
            format!("{flag} {address} can't be opened: {error}; choose a free port"),
        )
    })?;
    let config = ServerConfig {
        max_connections: MAX_CONNECTIONS,
        max_connections_per_address: MAX_CONNECTIONS,
        memory: port_memory(kernel),
        max_body_bytes: MAX_BODY_BYTES,
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
