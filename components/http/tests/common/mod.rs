//! Helpers shared by the tests.
// Each test file uses only some of these.
#![allow(dead_code)]

use http::{CallerConnection, Pool, PoolConfig, Request, Response, Server, ServerConfig, serve};
use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    time::{Duration, Instant},
};

/// Longest wait of a test, long enough that no test fails because the machine is slow.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap()
}

pub(crate) fn start(
    config: ServerConfig,
    handler: impl Fn(Request, &CallerConnection) -> Response + Send + Sync + 'static,
) -> Server {
    serve(listen(), config, handler).unwrap()
}

/// Handler that answers with the method, target and body of the request.
pub(crate) fn echo(request: Request, _: &CallerConnection) -> Response {
    let body = String::from_utf8(request.body).unwrap();
    Response::new(200, format!("{} {} {body}", request.method, request.target))
}

pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Sends bytes and reads until the server closes the connection.
pub(crate) fn send_and_read_all(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    String::from_utf8(answer).unwrap()
}

/// Reads byte by byte until the text ends with `end`.
pub(crate) fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    while !text.ends_with(end) {
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).unwrap(), 1, "closed after {text:?}");
        text.push(char::from(byte[0]));
    }
    text
}

pub(crate) fn get(target: &str) -> Request {
    Request {
        method: "GET".to_owned(),
        target: target.to_owned(),
        headers: [("host", "test")].into_iter().collect(),
        body: Vec::new(),
        peer: (Ipv4Addr::LOCALHOST, 0).into(),
    }
}

pub(crate) fn pool(address: SocketAddr) -> Pool {
    Pool::new(PoolConfig::new(address))
}

/// A deadline that no call reaches.
pub(crate) fn far_deadline() -> Instant {
    Instant::now() + TEST_TIMEOUT
}

/// Polls until the condition holds; fails the test after `TEST_TIMEOUT`.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = far_deadline();
    while !holds() {
        assert!(Instant::now() < until, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
