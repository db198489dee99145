//! Set-up shared by the tests.
// Each test file uses only some of these.
#![allow(dead_code)]

pub(crate) mod relay;

use mesh::{Bytes, Channel, Limits, Mesh, RequestError};
use std::{
    net::SocketAddr,
    sync::mpsc::{Receiver, channel},
    time::{Duration, Instant},
};

/// Generous: a test fails by a wrong event, never by slowness.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);
pub(crate) const KEY: &str = "deployment key of the tests";

/// Timeouts that no slow machine reaches.
pub(crate) fn patient() -> Limits {
    let patience_ms = PATIENCE.as_millis() as u64;
    Limits {
        connect_timeout_ms: patience_ms,
        handshake_timeout_ms: patience_ms,
        silent_after_ms: patience_ms,
        write_timeout_ms: patience_ms,
        ..Limits::default()
    }
}

pub(crate) fn start() -> Mesh {
    start_with(patient())
}

pub(crate) fn start_with(limits: Limits) -> Mesh {
    Mesh::builder().key(KEY).limits(limits).start().unwrap()
}

/// A mesh that sends every request's payload back.
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
    let deadline = Instant::now() + PATIENCE;
    mesh.request(to, Channel::Call, payload, deadline, move |answer| {
        sender.send(answer).unwrap();
    });
    receiver
}

pub(crate) fn wait(receiver: &Receiver<Answer>) -> Answer {
    receiver.recv_timeout(PATIENCE).expect("no answer")
}

/// Waits until a condition holds.
pub(crate) fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "never happened: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
