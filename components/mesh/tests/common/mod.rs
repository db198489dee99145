//! Helpers shared by the tests.
// Each test file uses only some of them.
#![allow(dead_code)]

pub(crate) mod relay;

use mesh::{Bytes, Channel, Limits, Mesh, RequestError};
use std::{
    net::SocketAddr,
    sync::mpsc::{Receiver, channel},
    time::{Duration, Instant},
};

/// So long that a test fails because of a wrong event and never because of a slow machine.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);
pub(crate) const KEY: &str = "deployment key of the tests";

/// Limits with timeouts that even a slow machine doesn't reach.
pub(crate) fn generous_limits() -> Limits {
    let timeout_ms = TEST_TIMEOUT.as_millis() as u64;
    Limits {
        connect_timeout_ms: timeout_ms,
        handshake_timeout_ms: timeout_ms,
        silent_after_ms: timeout_ms,
        write_timeout_ms: timeout_ms,
        ..Limits::default()
    }
}

pub(crate) fn start() -> Mesh {
    start_with(generous_limits())
}

pub(crate) fn start_with(limits: Limits) -> Mesh {
    Mesh::builder().key(KEY).limits(limits).start().unwrap()
}

/// Starts a mesh that replies to every request with its payload.
pub(crate) fn start_echo() -> Mesh {
    let mesh = start();
    mesh.set_handler(Channel::Call, |inbound| {
        let _ = inbound.reply.send(inbound.payload);
    });
    mesh
}

pub(crate) fn address(mesh: &Mesh) -> SocketAddr {
    mesh.local_id().mesh
}

pub(crate) type Answer = Result<Bytes, RequestError>;

pub(crate) fn request(mesh: &Mesh, to: SocketAddr, payload: impl Into<Bytes>) -> Receiver<Answer> {
    let (sender, receiver) = channel();
    let deadline = Instant::now() + TEST_TIMEOUT;
    mesh.request(to, Channel::Call, payload, deadline, move |answer| {
        sender.send(answer).unwrap();
    });
    receiver
}

pub(crate) fn wait(receiver: &Receiver<Answer>) -> Answer {
    receiver.recv_timeout(TEST_TIMEOUT).expect("no answer")
}

/// Waits until a condition holds; panics if it takes too long.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "never happened: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
