//! Helpers for the tests of the test upstream and of the load generator.
// Each test file uses only some of these helpers.
#![allow(dead_code)]

use bench::upstream::{ServiceTime, Upstream, UpstreamConfig};
use http::{CallError, CancelToken, Pool, PoolConfig, Request, Response};
use std::{
    net::{Ipv4Addr, SocketAddr},
    thread,
    time::{Duration, Instant},
};

/// Longest wait for a condition or an answer.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts an upstream that answers at once, with a changed configuration.
pub(crate) fn start_upstream(change: impl FnOnce(&mut UpstreamConfig)) -> Upstream {
    let mut config = UpstreamConfig {
        service_time: ServiceTime::Fixed { us: 0 },
        ..UpstreamConfig::default()
    };
    change(&mut config);
    Upstream::start(config).unwrap()
}

pub(crate) fn request(id: &str, method: &str, target: &str) -> Request {
    Request {
        method: method.to_owned(),
        target: target.to_owned(),
        headers: [("x-request-id", id)].into_iter().collect(),
        body: Vec::new(),
        peer: (Ipv4Addr::LOCALHOST, 0).into(),
    }
}

/// Sends a request over a new connection and waits for the response.
pub(crate) fn send(address: SocketAddr, request: &Request) -> Result<Response, CallError> {
    let pool = Pool::new(PoolConfig::new(address));
    pool.call(request, Instant::now() + TEST_TIMEOUT, &CancelToken::new())
}

pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(2));
    }
}
