//! Guards the order on a channel, the queue limit and the exact end of every request.

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
    PATIENCE, address, eventually, patient, request, start, start_echo, start_with, wait,
};

/// A message in fragments must not be overtaken by a later one of its channel.
#[test]
fn per_channel() {
    let (a, b) = (start(), start());
    let (sender, receiver) = channel();
    for on in [Channel::Sync, Channel::Consensus] {
        let sender = sender.clone();
        b.set_handler(on, move |inbound| {
            sender.send((on, inbound.payload[0])).unwrap();
        });
    }
    let sending: Vec<_> = [Channel::Sync, Channel::Consensus]
        .into_iter()
        .map(|on| {
            let (a, to) = (a.clone(), address(&b));
            thread::spawn(move || {
                for n in 0..60_u8 {
                    let size = if n % 3 == 0 {
                        4 * MAX_FRAGMENT_BYTES
                    } else {
                        1
                    };
                    a.send(to, on, vec![n; size]).unwrap();
                }
            })
        })
        .collect();
    sending
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
    let got: Vec<_> = (0..120)
        .map(|_| receiver.recv_timeout(PATIENCE).unwrap())
        .collect();
    for on in [Channel::Sync, Channel::Consensus] {
        let order: Vec<u8> = got
            .iter()
            .filter(|(c, _)| *c == on)
            .map(|(_, n)| *n)
            .collect();
        assert_eq!(order, (0..60).collect::<Vec<u8>>());
    }
    a.stop();
    b.stop();
}

/// The peer's handler blocks, so nothing is read; sending fails instead of blocking.
#[test]
fn full_queue() {
    let limits = Limits {
        max_queued_bytes: 4 * 1024 * 1024,
        ..patient()
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
fn many_threads() {
    let (a, b) = (start(), start_echo());
    let to = address(&b);
    let sending: Vec<_> = (0..8_u32)
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
    assert!(sending.into_iter().all(|thread| thread.join().unwrap()));
    assert_eq!(a.stats().bad_frames + b.stats().bad_frames, 0);
    a.stop();
    b.stop();
}

/// Stops either side while requests run: each callback runs exactly once.
#[test]
fn once_on_stop() {
    for stop_asker in [true, false] {
        let (a, b) = (start(), start_echo());
        let ends = Arc::new(AtomicUsize::new(0));
        let asked = 2_000;
        for n in 0..asked {
            let ends = Arc::clone(&ends);
            let deadline = Instant::now() + PATIENCE;
            a.request(address(&b), Channel::Call, *b"x", deadline, move |_| {
                ends.fetch_add(1, Ordering::SeqCst);
            });
            if n == asked / 2 {
                let stopped = if stop_asker { a.clone() } else { b.clone() };
                thread::spawn(move || stopped.stop());
            }
        }
        eventually("all have ended", || ends.load(Ordering::SeqCst) == asked);
        a.stop();
        b.stop();
        assert_eq!(ends.load(Ordering::SeqCst), asked);
    }
}

#[test]
fn nobody_listens() {
    let unused = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = unused.local_addr().unwrap();
    drop(unused);
    let a = start();
    assert_eq!(wait(&request(&a, to, *b"x")), Err(RequestError::NotSent));
    a.stop();
    assert_eq!(wait(&request(&a, to, *b"x")), Err(RequestError::NotSent));
    assert_eq!(a.send(to, Channel::Call, *b"x"), Err(SendError::Stopped));
}

/// A connection that breaks after the request was written leaves its fate open.
#[test]
fn broken_connection() {
    let (a, b) = (start(), start());
    let (held, holder) = channel();
    b.set_handler(Channel::Call, move |inbound| held.send(inbound).unwrap());
    let answer = request(&a, address(&b), *b"x");
    let inbound = holder.recv_timeout(PATIENCE).unwrap();
    b.stop();
    assert_eq!(wait(&answer), Err(RequestError::ConnectionLost));
    assert!(inbound.reply.send(*b"too late").is_err());
    a.stop();
}

/// The last replies before a stop arrive, also when the asker has sent more meanwhile.
#[test]
fn replies_before_stop() {
    for _ in 0..20 {
        let (a, b) = (start(), start_echo());
        let large = vec![5; 2 * 1024 * 1024];
        let answers: Vec<_> = (0..3)
            .map(|_| request(&a, address(&b), large.clone()))
            .collect();
        eventually("the replies are queued", || {
            b.stats().channel(Channel::Call).messages_in == 3
                && b.stats().channel(Channel::Call).messages_out >= 1
        });
        assert!(answers.iter().any(|answer| wait(answer).is_ok()));
        b.stop();
        a.stop();
    }
}
