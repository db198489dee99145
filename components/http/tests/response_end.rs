//! A body without declared length is complete after an orderly close of the server, but truncated
//! by a reset, and by a deadline or a cancellation that closes the connection on this side.

use http::{AsyncPool, CallError, CancelToken, Pool, PoolConfig, Response};
use socket2::SockRef;
use std::{
    io::{Read, Write},
    net::SocketAddr,
    sync::mpsc::channel,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

mod common;
use common::{TEST_TIMEOUT, far_deadline, get, listen};

/// Delay before the connection ends, so that the client reads the first part of the response first.
const CLOSE_DELAY: Duration = Duration::from_millis(100);

/// Answers one request with a body without declared length, then closes orderly or resets.
fn serve_one(reset: bool) -> (SocketAddr, JoinHandle<()>) {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut byte = [0; 1024];
        let _ = stream.read(&mut byte).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nabc").unwrap();
        thread::sleep(CLOSE_DELAY);
        if reset {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
    });
    (address, serving)
}

fn call_with_pool(address: SocketAddr) -> Result<Response, CallError> {
    Pool::new(PoolConfig::new(address)).call(&get("/"), far_deadline(), &CancelToken::new())
}

fn call_with_async_pool(address: SocketAddr) -> Result<Response, CallError> {
    let (sender, receiver) = channel();
    let pool = AsyncPool::new(PoolConfig::new(address)).unwrap();
    pool.call(
        &get("/"),
        far_deadline(),
        &CancelToken::new(),
        move |outcome| {
            sender.send(outcome).unwrap();
        },
    );
    receiver.recv_timeout(TEST_TIMEOUT).unwrap()
}

#[test]
fn orderly_close_ends_body() {
    for call in [call_with_pool, call_with_async_pool] {
        let (address, serving) = serve_one(false);
        assert_eq!(call(address).unwrap().body, b"abc");
        serving.join().unwrap();
    }
}

#[test]
fn reset_truncates_body() {
    for call in [call_with_pool, call_with_async_pool] {
        let (address, serving) = serve_one(true);
        assert_eq!(call(address).unwrap_err(), CallError::Truncated);
        serving.join().unwrap();
    }
}

/// Answers one request with the first part of a body without declared length, and keeps the
/// connection open until the client closes it.
fn serve_part() -> (SocketAddr, JoinHandle<()>) {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = [0; 1024];
        let _ = stream.read(&mut bytes).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nabc").unwrap();
        let _ = stream.read(&mut bytes);
    });
    (address, serving)
}

#[test]
fn deadline_truncates_body() {
    let (address, serving) = serve_part();
    let (sender, receiver) = channel();
    let pool = AsyncPool::new(PoolConfig::new(address)).unwrap();
    let deadline = Instant::now() + CLOSE_DELAY;
    pool.call(&get("/"), deadline, &CancelToken::new(), move |outcome| {
        sender.send(outcome).unwrap();
    });
    let outcome = receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(outcome.unwrap_err(), CallError::TimedOut);
    serving.join().unwrap();
}

#[test]
fn cancellation_truncates_body() {
    let (address, serving) = serve_part();
    let (sender, receiver) = channel();
    let pool = AsyncPool::new(PoolConfig::new(address)).unwrap();
    let cancel = CancelToken::new();
    pool.call(&get("/"), far_deadline(), &cancel, move |outcome| {
        sender.send(outcome).unwrap();
    });
    thread::sleep(CLOSE_DELAY);
    cancel.cancel();
    let outcome = receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(outcome.unwrap_err(), CallError::Cancelled);
    serving.join().unwrap();

    let (address, serving) = serve_part();
    let cancel = CancelToken::new();
    let outcome = thread::scope(|scope| {
        let call = scope
            .spawn(|| Pool::new(PoolConfig::new(address)).call(&get("/"), far_deadline(), &cancel));
        thread::sleep(CLOSE_DELAY);
        cancel.cancel();
        call.join().unwrap()
    });
    assert_eq!(outcome.unwrap_err(), CallError::Cancelled);
    serving.join().unwrap();
}
