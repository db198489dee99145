//! Guards against an answer whose status no final answer has: one with 000 was passed on to the caller
//! as an answer.

use http::{AsyncPool, CallError, CancelToken, Pool, PoolConfig, Response};
use std::{
    io::{Read, Write},
    net::SocketAddr,
    sync::mpsc::channel,
    thread,
};

mod common;
use common::{TEST_TIMEOUT, far_deadline, get, listen};

/// Answers each request, on a connection each, with its path as the status. One from 100 on is followed by
/// another response with 200.
fn serve_statuses() -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut bytes = [0; 1024];
            let count = stream.read(&mut bytes).unwrap();
            let head = String::from_utf8_lossy(&bytes[..count]).into_owned();
            let status = head.split(' ').nth(1).unwrap().trim_start_matches('/');
            let interim = match status.starts_with('1') {
                true => format!("HTTP/1.1 {status} Interim\r\n\r\n"),
                false => String::new(),
            };
            let status = if interim.is_empty() { status } else { "200" };
            let answer = format!("{interim}HTTP/1.1 {status} Odd\r\nContent-Length: 3\r\n\r\nabc");
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

fn call_with_pool(address: SocketAddr, path: &str) -> Result<Response, CallError> {
    Pool::new(PoolConfig::new(address)).call(&get(path), far_deadline(), &CancelToken::new())
}

fn call_with_async_pool(address: SocketAddr, path: &str) -> Result<Response, CallError> {
    let (sender, receiver) = channel();
    let pool = AsyncPool::new(PoolConfig::new(address)).unwrap();
    let token = CancelToken::new();
    pool.call(&get(path), far_deadline(), &token, move |outcome| {
        sender.send(outcome).unwrap();
    });
    receiver.recv_timeout(TEST_TIMEOUT).unwrap()
}

#[test]
fn no_final_status() {
    let address = serve_statuses();
    let odd = [
        "000", "001", "099", "600", "999", "20", "2000", "-20", "2x0", "",
    ];
    for call in [call_with_pool, call_with_async_pool] {
        for status in odd {
            let result = call(address, &format!("/{status}"));
            assert_eq!(
                result.unwrap_err(),
                CallError::Malformed,
                "status {status:?}"
            );
        }
    }
}

#[test]
fn final_statuses() {
    let address = serve_statuses();
    for call in [call_with_pool, call_with_async_pool] {
        for status in [200, 299, 301, 404, 499, 500, 599] {
            let response = call(address, &format!("/{status}")).unwrap();
            assert_eq!((response.status, response.body), (status, b"abc".to_vec()));
        }
    }
}

/// Guards against a response from 100 to 199 in place of the final one behind it.
#[test]
fn interim_statuses() {
    let address = serve_statuses();
    for call in [call_with_pool, call_with_async_pool] {
        for status in [100, 101, 103, 199] {
            let response = call(address, &format!("/{status}")).unwrap();
            assert_eq!((response.status, response.body), (200, b"abc".to_vec()));
        }
    }
}
