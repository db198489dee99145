//! Health checks of the local instance outside its connection pool.

use http::{CancelToken, Headers, Pool, PoolConfig, Request};
use kernel::Kernel;
use model::{ServiceName, UpstreamName};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Path of health checks of services for which the configuration names none.
const DEFAULT_PATH: &str = "/health";
/// Status of an instance that is healthy and not leaving.
const HEALTHY_STATUS: u16 = 200;
/// Timeout of a check on the same host.
const TIMEOUT: Duration = Duration::from_millis(200);

/// The request of a health check.
pub(crate) fn health_request(kernel: &Kernel, service: &ServiceName) -> Request {
    let routes = kernel.profiles.routes();
    let path = routes.and_then(|table| table.health_path(service));
    Request {
        method: "GET".to_owned(),
        target: path.map_or_else(|| DEFAULT_PATH.to_owned(), |path| path.to_string()),
        headers: Headers::new(),
        body: Vec::new(),
        peer: kernel.mesh.local_id().mesh,
    }
}

/// Whether the instance of this name serves at the address and is not leaving; blocks until the
/// answer. True if instances don't send their names.
pub(crate) fn is_serving(
    kernel: &Kernel,
    service: &ServiceName,
    name: &UpstreamName,
    address: SocketAddr,
) -> bool {
    let Some(header) = kernel.node_settings().headers.upstream_name else {
        return true;
    };
    let request = health_request(kernel, service);
    kernel.metrics.health_checks.inc();
    let response = Pool::new(PoolConfig::new(address)).call(
        &request,
        Instant::now() + TIMEOUT,
        &CancelToken::new(),
    );
    response.is_ok_and(|response| {
        response.status == HEALTHY_STATUS && response.headers.get(header) == Some(name.as_str())
    })
}
