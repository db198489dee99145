//! Guards against replies that are lost, repeated or delivered to the wrong request.

use mesh::{Channel, MAX_FRAGMENT_BYTES, RequestError};
use std::{sync::mpsc::channel, time::Instant};

mod common;
use common::{TEST_TIMEOUT, address, request, start, start_echo, wait, wait_until};

#[test]
fn each_request_gets_its_own_reply() {
    let (a, b) = (start(), start_echo());
    let waiting: Vec<_> = (0..500_u32)
        .map(|n| (n, request(&a, address(&b), n.to_be_bytes())))
        .collect();
    for (n, receiver) in waiting {
        assert_eq!(wait(&receiver).unwrap(), n.to_be_bytes());
        assert!(receiver.recv().is_err(), "a second reply to {n}");
    }
    assert_eq!(a.stats().channel(Channel::Call).messages_out, 500);
    assert_eq!(b.stats().channel(Channel::Call).messages_in, 500);
    assert_eq!(a.stats().handshakes, 1);
    a.stop();
    b.stop();
}

#[test]
fn small_reply_beside_large_ones() {
    let (a, b) = (start(), start_echo());
    let large: Vec<u8> = (0..10 * MAX_FRAGMENT_BYTES + 7)
        .map(|n| (n * 31) as u8)
        .collect();
    let first = request(&a, address(&b), large.clone());
    let second = request(&a, address(&b), *b"small");
    let third = request(&a, address(&b), large.clone());
    assert_eq!(wait(&second).unwrap(), b"small");
    assert_eq!(wait(&third).unwrap(), large);
    assert_eq!(wait(&first).unwrap(), large);
    a.stop();
    b.stop();
}

#[test]
fn handler_sees_sender_identity() {
    let (a, b) = (start(), start());
    let (sender, receiver) = channel();
    b.set_handler(Channel::Sync, move |inbound| {
        sender.send((inbound.from, inbound.payload)).unwrap();
    });
    a.send(address(&b), Channel::Sync, *b"hello").unwrap();
    let got = receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(got, (a.local_id(), b"hello".to_vec()));
    a.stop();
    b.stop();
}

#[test]
fn request_without_handler() {
    let (a, b) = (start(), start());
    let answer = request(&a, address(&b), *b"anyone");
    assert_eq!(wait(&answer), Err(RequestError::ConnectionLost));
    a.stop();
    b.stop();
}

#[test]
fn late_reply_is_dropped() {
    let (a, b) = (start(), start());
    // Opens the connection first, so that the time to open it doesn't count towards the deadline.
    assert!(wait(&request(&a, address(&b), *b"no handler yet")).is_err());
    let (inbound_sender, inbound_receiver) = channel();
    b.set_handler(Channel::Call, move |inbound| {
        inbound_sender.send(inbound).unwrap();
    });
    let (sender, receiver) = channel();
    a.request(
        address(&b),
        Channel::Call,
        *b"wait",
        Instant::now() + std::time::Duration::from_millis(400),
        move |answer| sender.send(answer).unwrap(),
    );
    assert_eq!(
        receiver.recv_timeout(TEST_TIMEOUT).unwrap(),
        Err(RequestError::TimedOut)
    );
    // The late reply must not run the callback again.
    let inbound = inbound_receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    inbound.reply.send(*b"late").unwrap();
    let next = request(&a, address(&b), *b"next");
    let inbound = inbound_receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    inbound.reply.send(inbound.payload).unwrap();
    assert_eq!(wait(&next).unwrap(), b"next");
    assert!(receiver.recv().is_err());
    a.stop();
    b.stop();
}

#[test]
fn unused_connection_is_closed() {
    let limits = mesh::Limits {
        idle_timeout_ms: 50,
        ..common::generous_limits()
    };
    let (a, b) = (common::start_with(limits), start_echo());
    assert!(wait(&request(&a, address(&b), *b"one")).is_ok());
    wait_until("the unused connection is closed", || {
        a.stats().connections == 0 && b.stats().connections == 0
    });
    assert!(wait(&request(&a, address(&b), *b"two")).is_ok());
    a.stop();
    b.stop();
}
