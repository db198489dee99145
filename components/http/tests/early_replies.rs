//! Guards replies sent from another thread against second answers, cut-off bodies and mixed order.

use http::{EarlyReply, Response, Server, ServerConfig};
use std::{
    io::{Read, Write},
    sync::{
        Mutex,
        mpsc::{Receiver, Sender, channel},
    },
};

mod common;
use common::{PATIENCE, connect, read_to, start};

/// Each handler hands out its reply and returns a response of its own when it is told to.
fn held() -> (Server, Receiver<(String, EarlyReply)>, Sender<()>) {
    let (taken, replies) = channel();
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let server = start(ServerConfig::default(), move |request, caller| {
        taken.send((request.target, caller.early_reply())).unwrap();
        released.lock().unwrap().recv_timeout(PATIENCE).unwrap();
        Response::new(500, "from the handler")
    });
    (server, replies, release)
}

#[test]
fn answered_once() {
    let (server, replies, release) = held();
    let mut stream = connect(server.address());
    let request = |target| format!("GET {target} HTTP/1.1\r\nhost: a\r\n\r\n");
    stream
        .write_all((request("/one") + &request("/two")).as_bytes())
        .unwrap();
    for target in ["/one", "/two"] {
        let (got, early) = replies.recv_timeout(PATIENCE).unwrap();
        assert_eq!(got, target);
        assert!(replies.try_recv().is_err(), "the next one came too early");
        assert!(early.send(&Response::new(200, target)));
        assert!(!early.send(&Response::new(200, "again")));
        let answer = read_to(&mut stream, target);
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        release.send(()).unwrap();
    }
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).unwrap();
    assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
    server.stop();
}

/// The socket takes only part of the body; the rest follows from the connection's thread.
#[test]
fn large_body() {
    let (server, replies, release) = held();
    let mut stream = connect(server.address());
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .unwrap();
    let (_, early) = replies.recv_timeout(PATIENCE).unwrap();
    let body: Vec<u8> = (0..32 * 1024 * 1024)
        .map(|n: u32| (n % 251) as u8)
        .collect();
    assert!(early.send(&Response::new(200, body.clone())));
    release.send(()).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    assert!(answer.ends_with(&body));
    server.stop();
}

/// After the handler has returned, the connection belongs to the next request.
#[test]
fn too_late() {
    let (server, replies, release) = held();
    let mut stream = connect(server.address());
    stream.write_all(b"GET / HTTP/1.0\r\n\r\n").unwrap();
    let (_, early) = replies.recv_timeout(PATIENCE).unwrap();
    release.send(()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.ends_with("from the handler"), "{answer}");
    assert!(!early.send(&Response::new(200, "late")));
    server.stop();
}
