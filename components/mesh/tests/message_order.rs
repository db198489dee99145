//! Guards the message order on a channel and the queue limit, and that every request ends exactly
//! once.

use mesh::{Channel, Limits, MAX_FRAGMENT_BYTES, RequestError, SendError};
use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc::channel,
    },
    thread,
    time::Instant,
};

mod common;
use common::{
    TEST_TIMEOUT, address, generous_limits, request, start, start_echo, start_with, wait,
    wait_until,
};

/// A message sent in fragments must not be overtaken by a later one on its channel.
#[test]
fn order_per_channel() {
    let (a, b) = (start(), start());
    let (sender, receiver) = channel();
    for mesh_channel in [Channel::Sync, Channel::Consensus] {
        let sender = sender.clone();
        b.set_handler(mesh_channel, move |inbound| {
            sender.send((mesh_channel, inbound.payload[0])).unwrap();
        });
    }
    let senders: Vec<_> = [Channel::Sync, Channel::Consensus]
        .into_iter()
        .map(|mesh_channel| {
            let (a, to) = (a.clone(), address(&b));
            thread::spawn(move || {
                for n in 0..60_u8 {
                    let size = if n % 3 == 0 {
                        4 * MAX_FRAGMENT_BYTES
                    } else {
                        1
                    };
                    a.send(to, mesh_channel, vec![n; size]).unwrap();
                }
            })
        })
        .collect();
    senders
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
    let got: Vec<_> = (0..120)
        .map(|_| receiver.recv_timeout(TEST_TIMEOUT).unwrap())
        .collect();
    for mesh_channel in [Channel::Sync, Channel::Consensus] {
        let order: Vec<u8> = got
            .iter()
            .filter(|(c, _)| *c == mesh_channel)
            .map(|(_, n)| *n)
            .collect();
        assert_eq!(order, (0..60).collect::<Vec<u8>>());
    }
    a.stop();
    b.stop();
}

/// If the peer's handler blocks, nothing is read; once the queue is full, sending must fail and not
/// block.
#[test]
fn full_queue() {
    let limits = Limits {
        max_queued_bytes: 4 * 1024 * 1024,
        ..generous_limits()
    };
    let (a, b) = (start_with(limits), start());
    let (release, blocked) = channel::<()>();
    let blocked = std::sync::Mutex::new(blocked);
    b.set_handler(Channel::Sync, move |_| {
        let _ = blocked.lock().unwrap().recv();
    });
    let mut accepted = 0;
    let error = loop {
        match a.send(address(&b), Channel::Sync, vec![0; 1024 * 1024]) {
            Ok(()) => accepted += 1,
            Err(error) => break error,
        }
        assert!(accepted < 1_000, "the queue has no limit");
    };
    assert_eq!(error, SendError::QueueFull);
    let too_large = vec![0; Limits::default().max_message_bytes + 1];
    assert_eq!(
        a.send(address(&b), Channel::Sync, too_large),
        Err(SendError::TooLarge)
    );
    drop(release);
    a.stop();
    b.stop();
}

#[test]
fn requests_from_many_threads() {
    let (a, b) = (start(), start_echo());
    let to = address(&b);
    let senders: Vec<_> = (0..8_u32)
        .map(|thread| {
            let a = a.clone();
            thread::spawn(move || {
                (0..200_u32).all(|n| {
                    let size = if n % 50 == 0 { 100_000 } else { 8 };
                    let payload = (thread * 1_000 + n).to_be_bytes().repeat(size);
                    wait(&request(&a, to, payload.clone())) == Ok(payload)
                })
            })
        })
        .collect();
    assert!(senders.into_iter().all(|thread| thread.join().unwrap()));
    assert_eq!(a.stats().bad_frames + b.stats().bad_frames, 0);
    a.stop();
    b.stop();
}

/// Each callback runs exactly once, also when either side stops while requests are pending.
#[test]
fn stop_ends_each_request_once() {
    for stop_requester in [true, false] {
        let (a, b) = (start(), start_echo());
        let callback_count = Arc::new(AtomicUsize::new(0));
        let request_count = 2_000;
        for n in 0..request_count {
            let callback_count = Arc::clone(&callback_count);
            let deadline = Instant::now() + TEST_TIMEOUT;
            a.request(address(&b), Channel::Call, *b"x", deadline, move |_| {
                callback_count.fetch_add(1, Ordering::SeqCst);
            });
            if n == request_count / 2 {
                let stopped = if stop_requester { a.clone() } else { b.clone() };
                thread::spawn(move || stopped.stop());
            }
        }
        wait_until("all have ended", || {
            callback_count.load(Ordering::SeqCst) == request_count
        });
        a.stop();
        b.stop();
        assert_eq!(callback_count.load(Ordering::SeqCst), request_count);
    }
}

#[test]
fn request_without_listener_is_not_sent() {
    // Other tests bind the ports of another address: one that got this port would accept.
    let unused = TcpListener::bind("127.0.0.2:0").unwrap();
    let to = unused.local_addr().unwrap();
    drop(unused);
    let a = start();
    assert_eq!(wait(&request(&a, to, *b"x")), Err(RequestError::NotSent));
    a.stop();
    assert_eq!(wait(&request(&a, to, *b"x")), Err(RequestError::NotSent));
    assert_eq!(a.send(to, Channel::Call, *b"x"), Err(SendError::Stopped));
}

/// If a connection breaks after the request was written, the request may have arrived.
#[test]
fn broken_connection_loses_request() {
    let (a, b) = (start(), start());
    let (inbound_sender, inbound_receiver) = channel();
    b.set_handler(Channel::Call, move |inbound| {
        inbound_sender.send(inbound).unwrap();
    });
    let answer = request(&a, address(&b), *b"x");
    let inbound = inbound_receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    b.stop();
    assert_eq!(wait(&answer), Err(RequestError::ConnectionLost));
    assert!(inbound.reply.send(*b"too late").is_err());
    a.stop();
}

/// Replies queued before a stop arrive, even if the requester has sent more in the meantime.
#[test]
fn queued_replies_arrive_before_stop() {
    for _ in 0..20 {
        let (a, b) = (start(), start_echo());
        let large = vec![5; 2 * 1024 * 1024];
        let answers: Vec<_> = (0..3)
            .map(|_| request(&a, address(&b), large.clone()))
            .collect();
        wait_until("the replies are queued", || {
            b.stats().channel(Channel::Call).messages_in == 3
                && b.stats().channel(Channel::Call).messages_out >= 1
        });
        assert!(answers.iter().any(|answer| wait(answer).is_ok()));
        b.stop();
        a.stop();
    }
}
