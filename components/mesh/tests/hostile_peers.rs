//! Guards against peers without the key, of another version, or that say nothing.

use mesh::{Channel, Limits, Mesh, RequestError};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
};

mod common;
use common::{
    PATIENCE, address, eventually, patient,
    relay::{Damage, Relay},
    request, start, start_echo, start_with, wait,
};

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// Sends bytes and waits until the other side closes.
fn dropped_after(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect(to);
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    // A reset is as good as an end here.
    let _ = stream.read_to_end(&mut answer);
    answer
}

#[test]
fn wrong_key() {
    let b = start_echo();
    let stranger = Mesh::builder().key("another key").start().unwrap();
    let answer = request(&stranger, address(&b), *b"let me in");
    assert_eq!(wait(&answer), Err(RequestError::NotSent));
    assert_eq!(stranger.stats().refused_key, 1);
    assert_eq!(b.stats().handshakes, 0);
    stranger.stop();
    b.stop();
}

/// A dialler that skips the check of the acceptor's proof has none to send.
#[test]
fn no_proof() {
    let b = start_echo();
    let mut hello = [0; 70];
    hello[..6].copy_from_slice(b"GYRD\x00\x01");
    let mut stream = connect(address(&b));
    stream.write_all(&hello).unwrap();
    stream.read_exact(&mut [0; 102]).unwrap();
    stream.write_all(&[0; 32]).unwrap();
    let _ = stream.read(&mut [0]);
    eventually("the proof is refused", || b.stats().refused_key == 1);
    assert_eq!(b.stats().handshakes, 0);
    b.stop();
}

#[test]
fn other_version() {
    let b = start_echo();
    let mut hello = [0; 70];
    hello[..6].copy_from_slice(b"GYRD\x00\x02");
    let answer = dropped_after(address(&b), &hello);
    assert_eq!(&answer[..6], b"GYRD\x00\x01", "it tells its own version");
    eventually("the version is refused", || b.stats().refused_version == 1);
    b.stop();
}

#[test]
fn other_protocol() {
    let b = start_echo();
    let text = "GET / HTTP/1.1\r\nhost: b\r\n".repeat(10);
    assert!(dropped_after(address(&b), text.as_bytes()).is_empty());
    eventually("it is refused", || b.stats().refused_handshake == 1);
    b.stop();
}

#[test]
fn says_nothing() {
    let b = start_with(Limits {
        handshake_timeout_ms: 50,
        ..patient()
    });
    assert!(dropped_after(address(&b), b"").is_empty());
    assert!(dropped_after(address(&b), b"GYRD").is_empty());
    eventually("both are dropped", || b.stats().refused_handshake == 2);
    b.stop();
}

#[test]
fn too_many_silent() {
    let b = start_with(Limits {
        max_handshakes: 2,
        ..patient()
    });
    let _silent = [connect(address(&b)), connect(address(&b))];
    assert!(dropped_after(address(&b), b"").is_empty());
    assert_eq!(b.stats().refused_limit, 1);
    b.stop();
}

#[test]
fn forged_datagram() {
    let (a, b) = (start(), start());
    let (sender, receiver) = std::sync::mpsc::channel();
    b.set_handler(Channel::Gossip, move |inbound| {
        sender.send((inbound.from, inbound.payload)).unwrap();
    });
    let udp = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    for size in [0, 10, 60, 1_200, 1_500] {
        udp.send_to(&vec![0; size], address(&b)).unwrap();
    }
    eventually("all are refused", || b.stats().bad_datagrams == 5);
    a.send_datagram(address(&b), Channel::Gossip, b"real")
        .unwrap();
    let got = receiver.recv_timeout(PATIENCE).unwrap();
    assert_eq!(got, (a.local_id(), b"real".to_vec()));
    let long = vec![0; mesh::MAX_DATAGRAM_PAYLOAD_BYTES + 1];
    assert!(
        a.send_datagram(address(&b), Channel::Gossip, &long)
            .is_err()
    );
    a.stop();
    b.stop();
}

/// Envelopes altered, repeated or cut off on the way end the connection before the handler runs
/// on them.
#[test]
fn damaged_envelopes() {
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
        eventually("it is counted", || b.stats().bad_frames == 1);
        eventually("the connection is closed", || b.stats().connections == 0);
        let expected = usize::from(matches!(damage, Damage::Repeat));
        assert_eq!(receiver.try_iter().count(), expected, "{damage:?}");
        a.stop();
        b.stop();
    }
}

/// A dialled address that accepts and says nothing costs the connect timeout, and is not "lost".
#[test]
fn silent_acceptor() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let a = start_with(Limits {
        connect_timeout_ms: 100,
        ..patient()
    });
    let answer = request(&a, listener.local_addr().unwrap(), *b"anyone");
    assert_eq!(wait(&answer), Err(RequestError::NotSent));
    assert_eq!(a.stats().failed_dials, 1);
    a.stop();
}
