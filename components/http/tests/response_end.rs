//! Guards against a body that was cut off by a reset and passes for complete.

use http::{AsyncPool, CallError, CancelToken, Pool, PoolConfig, Response};
use socket2::SockRef;
use std::{
    io::{Read, Write},
    net::SocketAddr,
    sync::mpsc::channel,
    thread::{self, JoinHandle},
    time::Duration,
};

mod common;
use common::{PATIENCE, far, get, listen};

/// Time in which the first part of the response certainly arrives before the end of the connection.
const HEAD_START: Duration = Duration::from_millis(100);

/// Answers one request with a body without length, then closes in order or resets.
fn serve_one(reset: bool) -> (SocketAddr, JoinHandle<()>) {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut byte = [0; 1024];
        let _ = stream.read(&mut byte).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nabc").unwrap();
        thread::sleep(HEAD_START);
        if reset {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
    });
    (address, serving)
}

fn by_pool(address: SocketAddr) -> Result<Response, CallError> {
    Pool::new(PoolConfig::new(address)).call(&get("/"), far(), &CancelToken::new())
}

fn by_async_pool(address: SocketAddr) -> Result<Response, CallError> {
    let (sender, receiver) = channel();
    let pool = AsyncPool::new(PoolConfig::new(address)).unwrap();
    pool.call(&get("/"), far(), &CancelToken::new(), move |outcome| {
        sender.send(outcome).unwrap();
    });
    receiver.recv_timeout(PATIENCE).unwrap()
}

#[test]
fn orderly_close_ends_body() {
    for call in [by_pool, by_async_pool] {
        let (address, serving) = serve_one(false);
        assert_eq!(call(address).unwrap().body, b"abc");
        serving.join().unwrap();
    }
}

#[test]
fn reset_cuts_body() {
    for call in [by_pool, by_async_pool] {
        let (address, serving) = serve_one(true);
        assert_eq!(call(address).unwrap_err(), CallError::Truncated);
        serving.join().unwrap();
    }
}
