//! Early replies from another thread: one response per request, whole bodies, and in order.

use http::{EarlyReply, Response, Server, ServerConfig};
use std::{
    io::{Read, Write},
    sync::{
        Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    time::Duration,
};

mod common;
use common::{TEST_TIMEOUT, connect, read_until, start, wait_until};

/// Starts a server whose handlers pass on their `EarlyReply` and then wait. Each returns a response
/// of its own once a message is sent to the returned sender.
fn start_waiting_server() -> (Server, Receiver<(String, EarlyReply)>, Sender<()>) {
    let (early_replies, replies) = channel();
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let server = start(ServerConfig::default(), move |request, caller| {
        early_replies
            .send((request.target, caller.early_reply()))
            .unwrap();
        released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
        Response::new(500, "from the handler")
    });
    (server, replies, release)
}

#[test]
fn answered_once() {
    let (server, replies, release) = start_waiting_server();
    let mut stream = connect(server.address());
    let request = |target| format!("GET {target} HTTP/1.1\r\nhost: a\r\n\r\n");
    stream
        .write_all((request("/one") + &request("/two")).as_bytes())
        .unwrap();
    for target in ["/one", "/two"] {
        let (got, early) = replies.recv_timeout(TEST_TIMEOUT).unwrap();
        assert_eq!(got, target);
        assert!(
            replies.try_recv().is_err(),
            "the second request was handled before the first one ended"
        );
        assert!(early.send(&Response::new(200, target)));
        assert!(!early.send(&Response::new(200, "again")));
        let answer = read_until(&mut stream, target);
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        release.send(()).unwrap();
    }
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).unwrap();
    assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
    server.stop();
}

/// After a reply that closes the connection, a caller that keeps its side open was noticed only at the
/// idle timeout if the handler ended after the reply was sent.
#[test]
fn handler_ends_after_last_reply() {
    let (server, replies, release) = start_waiting_server();
    let mut stream = connect(server.address());
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .unwrap();
    let (_, early) = replies.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(early.send(&Response::new(200, "early")));
    stream.read_to_end(&mut Vec::new()).unwrap();
    // The loop has seen the reply before the handler ends.
    std::thread::sleep(Duration::from_millis(100));
    release.send(()).unwrap();
    // Ends before the idle timeout, which is longer than the wait.
    wait_until("the connection ends", || server.connection_count() == 0);
    server.stop();
}

/// The socket accepts only part of a large body immediately; the handler's thread sends the rest.
#[test]
fn large_body() {
    let (server, replies, release) = start_waiting_server();
    let mut stream = connect(server.address());
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .unwrap();
    let (_, early) = replies.recv_timeout(TEST_TIMEOUT).unwrap();
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

/// An early reply after the handler has returned must be dropped, since the connection may already
/// serve the next request.
#[test]
fn reply_after_handler_returned() {
    let (server, replies, release) = start_waiting_server();
    let mut stream = connect(server.address());
    stream.write_all(b"GET / HTTP/1.0\r\n\r\n").unwrap();
    let (_, early) = replies.recv_timeout(TEST_TIMEOUT).unwrap();
    release.send(()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.ends_with("from the handler"), "{answer}");
    assert!(!early.send(&Response::new(200, "late")));
    server.stop();
}
