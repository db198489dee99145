//! Guards against calls that hang on a connection that went silent without closing.

use mesh::{Channel, Limits, RequestError};
use std::{
    sync::mpsc::channel,
    time::{Duration, Instant},
};

mod common;
use common::{
    PATIENCE, address, eventually, patient, relay::Relay, request, start, start_echo, start_with,
    wait,
};

#[test]
fn lost_then_new() {
    let (a, b) = (start_with(Limits::default()), start_echo());
    let relay = Relay::start(address(&b));
    let answered = || wait(&request(&a, relay.address, *b"one")).is_ok();
    // On a slow machine a connection may count as silent by itself; then the next one works.
    eventually("the connection works", answered);

    relay.silence();
    let asked = Instant::now();
    let lost = request(&a, relay.address, *b"two");
    assert_eq!(wait(&lost), Err(RequestError::ConnectionLost));
    assert!(
        asked.elapsed() >= Duration::from_millis(740),
        "{:?}",
        asked.elapsed()
    );
    assert_eq!(a.stats().silent_connections, 1);

    assert_eq!(
        wait(&request(&a, relay.address, *b"three")).unwrap(),
        b"three"
    );
    assert_eq!(relay.accepted(), 2);
    a.stop();
    b.stop();
}

/// One-way messages have nobody who waits for a reply; the connection is replaced all the same.
#[test]
fn one_way_too() {
    let (a, b) = (start_with(Limits::default()), start());
    let (sender, receiver) = channel();
    b.set_handler(Channel::Consensus, move |inbound| {
        let _ = sender.send(inbound.payload);
    });
    let relay = Relay::start(address(&b));
    a.send(relay.address, Channel::Consensus, *b"one").unwrap();
    assert_eq!(receiver.recv_timeout(PATIENCE).unwrap(), b"one");
    relay.silence();
    eventually("a message arrives again", || {
        a.send(relay.address, Channel::Consensus, *b"two").unwrap();
        receiver.try_recv().is_ok()
    });
    assert!(a.stats().silent_connections >= 1);
    a.stop();
    b.stop();
}

/// A peer that works for seconds on a request but answers pings is not silent.
#[test]
fn slow_answer_kept() {
    let limits = Limits {
        ping_after_ms: 100,
        silent_after_ms: 2_000,
        ..patient()
    };
    let (a, b) = (start_with(limits), start());
    b.set_handler(Channel::Call, |inbound| {
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(3));
            inbound.reply.send(inbound.payload).unwrap();
        });
    });
    assert_eq!(wait(&request(&a, address(&b), *b"slow")).unwrap(), b"slow");
    assert!(a.stats().heartbeats_out >= 1);
    assert_eq!(a.stats().silent_connections, 0);
    a.stop();
    b.stop();
}
