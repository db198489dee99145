//! Set-up shared by the tests of upstream and load.
// Each test file uses only some of these.
#![allow(dead_code)]

use bench::upstream::{ServiceTime, Upstream, UpstreamConfig};
use http::{CallError, CancelToken, Pool, PoolConfig, Request, Response};
use std::{
    net::{Ipv4Addr, SocketAddr},
    thread,
    time::{Duration, Instant},
};

pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

pub(crate) fn upstream(change: impl FnOnce(&mut UpstreamConfig)) -> Upstream {
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

pub(crate) fn send(address: SocketAddr, request: &Request) -> Result<Response, CallError> {
    let pool = Pool::new(PoolConfig::new(address));
    pool.call(request, Instant::now() + PATIENCE, &CancelToken::new())
}

pub(crate) fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "never happened: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}
