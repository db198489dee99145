//! Guards against calls that hang because their connection went silent without being closed.

use mesh::{Channel, Limits, RequestError};
use std::{
    sync::mpsc::channel,
    time::{Duration, Instant},
};

mod common;
use common::{
    TEST_TIMEOUT, address, generous_limits, relay::Relay, request, start, start_echo, start_with,
    wait, wait_until,
};

#[test]
fn silent_connection_is_replaced() {
    let (a, b) = (start_with(Limits::default()), start_echo());
    let relay = Relay::start(address(&b));
    let answered = || wait(&request(&a, relay.address, *b"one")).is_ok();
    // On a slow machine a connection may be taken for silent without a fault; then it is replaced.
    wait_until("the connection works", answered);

    relay.silence();
    let requested_at = Instant::now();
    let lost = request(&a, relay.address, *b"two");
    assert_eq!(wait(&lost), Err(RequestError::ConnectionLost));
    assert!(
        requested_at.elapsed() >= Duration::from_millis(740),
        "{:?}",
        requested_at.elapsed()
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

/// No reply is awaited for one-way messages; a silent connection must be replaced all the same.
#[test]
fn silence_is_detected_for_one_way_messages() {
    let (a, b) = (start_with(Limits::default()), start());
    let (sender, receiver) = channel();
    b.set_handler(Channel::Consensus, move |inbound| {
        let _ = sender.send(inbound.payload);
    });
    let relay = Relay::start(address(&b));
    a.send(relay.address, Channel::Consensus, *b"one").unwrap();
    assert_eq!(receiver.recv_timeout(TEST_TIMEOUT).unwrap(), b"one");
    relay.silence();
    wait_until("a message arrives again", || {
        a.send(relay.address, Channel::Consensus, *b"two").unwrap();
        receiver.try_recv().is_ok()
    });
    assert!(a.stats().silent_connections >= 1);
    a.stop();
    b.stop();
}

/// A peer that takes seconds for a request but answers pings is not silent.
#[test]
fn slow_reply_is_not_silence() {
    let limits = Limits {
        ping_after_ms: 100,
        silent_after_ms: 2_000,
        ..generous_limits()
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
