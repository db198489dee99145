//! Guards against servers in trouble that send bytes without end, in a head, in interim responses
//! or in a body: a call must fail with a clear error long before its deadline, and the connection
//! must be closed, so that memory and processor time stay bounded.

use http::{AsyncPool, CallError, CancelToken, Pool, PoolConfig, Response, ResponseBudget};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};

mod common;
use common::{TEST_TIMEOUT, far_deadline, get, listen};

const MAX_BODY_BYTES: usize = 256 * 1024;
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Bytes that the kernel may buffer on a loopback connection beyond what the client reads.
const SOCKET_BUFFER_BYTES: usize = 16 * 1024 * 1024;
/// Bytes sent at once.
const PIECE_BYTES: usize = 64 * 1024;

fn config(address: SocketAddr) -> PoolConfig {
    PoolConfig {
        max_body_bytes: MAX_BODY_BYTES,
        max_buffered_bytes: MAX_BUFFERED_BYTES,
        ..PoolConfig::new(address)
    }
}

/// Answers one request with `start` and then repeats `rest` until the client closes the connection;
/// reports the number of bytes that were sent.
fn serve_endless(start: &'static str, rest: &'static str) -> (SocketAddr, Receiver<usize>) {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let (sender, sent) = channel();
    thread::spawn(move || {
        let mut stream = accept_request(&listener);
        stream.write_all(start.as_bytes()).unwrap();
        let piece = rest.repeat(PIECE_BYTES / rest.len());
        let mut total = 0;
        while stream.write_all(piece.as_bytes()).is_ok() {
            total += piece.len();
        }
        let _ = sender.send(total);
    });
    (address, sent)
}

fn accept_request(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().unwrap();
    let mut bytes = [0; 1024];
    assert!(stream.read(&mut bytes).unwrap() > 0);
    stream
}

fn call_with_pool(address: SocketAddr) -> Result<Response, CallError> {
    Pool::new(config(address)).call(&get("/"), far_deadline(), &CancelToken::new())
}

fn call_with_async_pool(address: SocketAddr) -> Result<Response, CallError> {
    let pool = AsyncPool::new(config(address)).unwrap();
    let (sender, receiver) = channel();
    start_call(&pool, sender);
    receiver.recv_timeout(2 * TEST_TIMEOUT).unwrap()
}

fn start_call(pool: &AsyncPool, results: Sender<Result<Response, CallError>>) {
    pool.call(
        &get("/"),
        far_deadline(),
        &CancelToken::new(),
        move |outcome| {
            let _ = results.send(outcome);
        },
    );
}

fn check_cut_off(start: &'static str, rest: &'static str, expected: CallError) {
    for call in [call_with_pool, call_with_async_pool] {
        let (address, sent) = serve_endless(start, rest);
        assert_eq!(call(address), Err(expected), "{start:?} {rest:?}");
        let sent_bytes = sent.recv_timeout(TEST_TIMEOUT).unwrap();
        assert!(
            sent_bytes < SOCKET_BUFFER_BYTES,
            "{sent_bytes} bytes of {rest:?}"
        );
    }
}

#[test]
fn endless_head() {
    check_cut_off(
        "HTTP/1.1 200 OK\r\n",
        "x-field: value\r\n",
        CallError::TooLarge,
    );
    check_cut_off("HTTP/1.1 200 OK\r\nx-field: ", "aaaa", CallError::TooLarge);
    check_cut_off("HTTP/1.1 200 ", "aaaa", CallError::TooLarge);
}

#[test]
fn endless_interim_responses() {
    check_cut_off("", "HTTP/1.1 100 Continue\r\n\r\n", CallError::TooLarge);
}

#[test]
fn endless_garbage() {
    check_cut_off("\x16\x03\x01", "\x02\x00\x01", CallError::Malformed);
}

#[test]
fn endless_body() {
    check_cut_off("HTTP/1.1 200 OK\r\n\r\n", "bytes", CallError::TooLarge);
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    check_cut_off(chunked, "4\r\nabcd\r\n", CallError::TooLarge);
    check_cut_off(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "x-trailer: value\r\n",
        CallError::TooLarge,
    );
    check_cut_off(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;",
        "extension",
        CallError::Malformed,
    );
}

/// Bytes that follow a complete response belong to no request.
#[test]
fn endless_bytes_after_response() {
    for call in [call_with_pool, call_with_async_pool] {
        let (address, sent) =
            serve_endless("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "more");
        assert_eq!(call(address).unwrap().body, b"ok");
        let sent_bytes = sent.recv_timeout(TEST_TIMEOUT).unwrap();
        assert!(sent_bytes < SOCKET_BUFFER_BYTES, "{sent_bytes} bytes");
    }
}

/// Several large responses at once may not use more memory than the pool allows; a small one among
/// them must not suffer.
#[test]
fn large_responses_share_memory() {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let held = MAX_BUFFERED_BYTES / 4;
    thread::spawn(move || {
        let mut open = Vec::new();
        for number in 0..8 {
            let mut stream = accept_request(&listener);
            let body = if number == 4 { 2 } else { held };
            let head = format!("HTTP/1.1 200 OK\r\nx-number: {number}\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            let _ = stream.write_all(&vec![b'a'; body]);
            if number != 4 {
                open.push(stream);
            }
        }
        thread::sleep(TEST_TIMEOUT);
    });
    let mut config = config(address);
    config.max_body_bytes = MAX_BUFFERED_BYTES;
    let pool = AsyncPool::new(config).unwrap();
    let (sender, results) = channel();
    for _ in 0..8 {
        start_call(&pool, sender.clone());
        thread::sleep(Duration::from_millis(20));
    }
    let received: Vec<_> = (0..4)
        .map(|_| results.recv_timeout(TEST_TIMEOUT).unwrap())
        .collect();
    let small = received
        .iter()
        .flatten()
        .filter(|r| r.body == b"aa")
        .count();
    let too_large = received
        .iter()
        .filter(|r| **r == Err(CallError::TooLarge))
        .count();
    assert_eq!((small, too_large), (1, 3), "{} received", received.len());
}

/// Responses of several pools may not use more memory together than the budget that they share.
#[test]
fn pools_share_memory() {
    const POOLS: usize = 6;
    let budget = std::sync::Arc::new(ResponseBudget::new(MAX_BUFFERED_BYTES));
    let (sender, results) = channel();
    let pools: Vec<_> = (0..POOLS)
        .map(|_| {
            let listener = listen();
            let address = listener.local_addr().unwrap();
            thread::spawn(move || {
                let mut stream = accept_request(&listener);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
                let _ = stream.write_all(&vec![b'a'; MAX_BUFFERED_BYTES / 4]);
                thread::sleep(TEST_TIMEOUT);
            });
            let mut config = config(address);
            config.max_body_bytes = MAX_BUFFERED_BYTES;
            let pool = AsyncPool::with_budget(config, &budget).unwrap();
            start_call(&pool, sender.clone());
            pool
        })
        .collect();
    for _ in 0..POOLS - 4 {
        let result = results.recv_timeout(TEST_TIMEOUT).unwrap();
        assert_eq!(result, Err(CallError::TooLarge));
    }
    drop(pools);
}
