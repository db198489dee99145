//! Guards against peers that lack the deployment key, use another version or protocol, stay silent
//! or send damaged data: each must be refused without reaching a handler or occupying a thread.

use mesh::{Channel, Limits, Mesh, RequestError};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
};

mod common;
use common::{
    TEST_TIMEOUT, address, generous_limits,
    relay::{Damage, Relay},
    request, start, start_echo, start_with, wait, wait_until,
};

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Sends bytes, waits until the peer closes the connection, and returns what the peer sent.
fn send_and_read_to_end(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect(to);
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    // The peer may also reset the connection, which counts as closed here.
    let _ = stream.read_to_end(&mut answer);
    answer
}

#[test]
fn wrong_key_is_refused() {
    let b = start_echo();
    let stranger = Mesh::builder().key("another key").start().unwrap();
    let answer = request(&stranger, address(&b), *b"let me in");
    assert_eq!(wait(&answer), Err(RequestError::NotSent));
    assert_eq!(stranger.stats().refused_key, 1);
    assert_eq!(b.stats().handshakes, 0);
    stranger.stop();
    b.stop();
}

/// A dialler without the key could skip the check of the acceptor's proof, but its own is wrong.
#[test]
fn wrong_proof_is_refused() {
    let b = start_echo();
    let mut hello = [0; 70];
    hello[..6].copy_from_slice(b"GYRD\x00\x01");
    let mut stream = connect(address(&b));
    stream.write_all(&hello).unwrap();
    stream.read_exact(&mut [0; 102]).unwrap();
    stream.write_all(&[0; 32]).unwrap();
    let _ = stream.read(&mut [0]);
    wait_until("the proof is refused", || b.stats().refused_key == 1);
    assert_eq!(b.stats().handshakes, 0);
    b.stop();
}

#[test]
fn other_version_is_refused() {
    let b = start_echo();
    let mut hello = [0; 70];
    hello[..6].copy_from_slice(b"GYRD\x00\x02");
    let answer = send_and_read_to_end(address(&b), &hello);
    assert_eq!(
        &answer[..6],
        b"GYRD\x00\x01",
        "the answer has its own version"
    );
    wait_until("the version is refused", || b.stats().refused_version == 1);
    b.stop();
}

#[test]
fn other_protocol_is_refused() {
    let b = start_echo();
    let text = "GET / HTTP/1.1\r\nhost: b\r\n".repeat(10);
    assert!(send_and_read_to_end(address(&b), text.as_bytes()).is_empty());
    wait_until("it is refused", || b.stats().refused_handshake == 1);
    b.stop();
}

#[test]
fn silent_dialler_is_dropped() {
    let b = start_with(Limits {
        handshake_timeout_ms: 50,
        ..generous_limits()
    });
    assert!(send_and_read_to_end(address(&b), b"").is_empty());
    assert!(send_and_read_to_end(address(&b), b"GYRD").is_empty());
    wait_until("both are dropped", || b.stats().refused_handshake == 2);
    b.stop();
}

#[test]
fn handshakes_are_limited() {
    let b = start_with(Limits {
        max_handshakes: 2,
        ..generous_limits()
    });
    let _silent = [connect(address(&b)), connect(address(&b))];
    assert!(send_and_read_to_end(address(&b), b"").is_empty());
    assert_eq!(b.stats().refused_limit, 1);
    b.stop();
}

#[test]
fn forged_datagrams_are_dropped() {
    let (a, b) = (start(), start());
    let (sender, receiver) = std::sync::mpsc::channel();
    b.set_handler(Channel::Gossip, move |inbound| {
        sender.send((inbound.from, inbound.payload)).unwrap();
    });
    let udp = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    for size in [0, 10, 60, 1_200, 1_500] {
        udp.send_to(&vec![0; size], address(&b)).unwrap();
    }
    wait_until("all are refused", || b.stats().bad_datagrams == 5);
    a.send_datagram(address(&b), Channel::Gossip, b"real")
        .unwrap();
    let got = receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(got, (a.local_id(), b"real".to_vec()));
    let long = vec![0; mesh::MAX_DATAGRAM_PAYLOAD_BYTES + 1];
    assert!(
        a.send_datagram(address(&b), Channel::Gossip, &long)
            .is_err()
    );
    a.stop();
    b.stop();
}

/// A frame that was altered, repeated or truncated on the way closes the connection before a
/// handler runs on it.
#[test]
fn damaged_frames_close_the_connection() {
    for damage in [Damage::Alter, Damage::Repeat, Damage::Truncate] {
        let (a, b) = (start(), start());
        let (sender, receiver) = std::sync::mpsc::channel();
        b.set_handler(Channel::Sync, move |inbound| {
            sender.send(inbound.payload).unwrap();
        });
        let relay = Relay::start(address(&b));
        assert!(wait(&request(&a, relay.address, *b"no handler")).is_err());
        relay.damage_next(damage);
        a.send(relay.address, Channel::Sync, *b"once").unwrap();
        wait_until("it is counted", || b.stats().bad_frames == 1);
        wait_until("the connection is closed", || b.stats().connections == 0);
        let expected = usize::from(matches!(damage, Damage::Repeat));
        assert_eq!(receiver.try_iter().count(), expected, "{damage:?}");
        a.stop();
        b.stop();
    }
}

/// If a peer accepts the connection but sends no hello, the request fails after the connect timeout
/// as not sent, not as lost.
#[test]
fn silent_acceptor_times_out() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let a = start_with(Limits {
        connect_timeout_ms: 100,
        ..generous_limits()
    });
    let answer = request(&a, listener.local_addr().unwrap(), *b"anyone");
    assert_eq!(wait(&answer), Err(RequestError::NotSent));
    assert_eq!(a.stats().failed_dials, 1);
    a.stop();
}
