//! Guards against requests and responses that take more memory than the budget of the process.

use errors::ErrorKind;
use http::{Response, ServerConfig, ServerMemory, error_response};
use limits::SMALL_BYTES;
use socket2::{Domain, Socket, Type};
use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    sync::{Mutex, mpsc::channel},
};

mod common;
use common::{TEST_TIMEOUT, connect, echo, read_until, send_and_read_all, start, wait_until};

const BUDGET_BYTES: usize = 2 << 20;
const LONG_BYTES: usize = 256 << 10;

fn config() -> ServerConfig {
    ServerConfig {
        memory: ServerMemory::new(BUDGET_BYTES),
        max_pipelined: 4,
        ..ServerConfig::default()
    }
}

/// A body that does not fit is refused as not run, before it is read; an ordinary request is served
/// beside the body that holds the memory.
#[test]
fn body_without_memory() {
    let config = config();
    let memory = config.memory.clone();
    let server = start(config, echo);
    let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 250000\r\n\r\n";
    let mut holder = connect(server.address());
    holder.write_all(head.as_bytes()).unwrap();
    wait_until("its memory is reserved", || {
        memory.requests.held_bytes() > 4 * 250_000
    });
    let refused = send_and_read_all(server.address(), head.as_bytes());
    let expected = error_response(ErrorKind::MemoryFull);
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    assert!(refused.contains("\r\nretry-after: 1\r\n"), "{refused}");
    assert!(refused.as_bytes().ends_with(&expected.body), "{refused}");
    assert_eq!(memory.requests.refused(), 1);
    let small = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 4096\r\n\r\n{}",
        "x".repeat(4096)
    );
    let answer = send_and_read_all(server.address(), small.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    drop(holder);
    wait_until("the memory is returned", || {
        memory.requests.held_bytes() == 0
    });
    server.stop();
}

/// Requests of this size may use the reserve for small ones: 8 KB of body with copies.
const SMALL_HEAD: &str = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 8000\r\n\r\n";

/// Fills the memory of a server with bodies that stop short of their end: large ones, and small ones
/// that use up the reserve.
fn fill_with_stalled_bodies(address: SocketAddr, memory: &ServerMemory) -> Vec<TcpStream> {
    let large = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 180000\r\n\r\n";
    let full = BUDGET_BYTES / 2 * 5 / 4 - SMALL_BYTES;
    let mut stalled = Vec::new();
    wait_until("the memory is in use", || {
        for head in [large, SMALL_HEAD] {
            // One address alone can't use up the reserve.
            let source = Ipv4Addr::new(127, 0, 0, 2 + (stalled.len() / 2 % 4) as u8);
            let mut stream = connect_from(source, address);
            // Fails if the memory is in use already.
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(&[b'x'; 7_000]);
            stalled.push(stream);
        }
        memory.requests.held_bytes() > full
    });
    stalled
}

fn connect_from(source: Ipv4Addr, address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from((source, 0)).into()).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.into()
}

fn small_request(body_bytes: usize) -> Vec<u8> {
    let head = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: ";
    let head = format!("{head}{body_bytes}\r\n\r\n");
    [head.as_bytes(), &vec![b'x'; body_bytes]].concat()
}

/// Small bodies that stop short of their end use up the reserve for small requests; ordinary requests
/// were refused until the end of the stalled ones.
#[test]
fn small_bodies_that_stall() {
    let config = config();
    let memory = config.memory.clone();
    let server = start(config, echo);
    let stalled = fill_with_stalled_bodies(server.address(), &memory);
    for _ in 0..4 {
        let answer = send_and_read_all(server.address(), &small_request(4_096));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert!(memory.replies.closed_bodies() > 0);
    drop(stalled);
    wait_until("the memory is returned", || {
        memory.requests.held_bytes() == 0
    });
    server.stop();
}

/// A request that waited for memory which running handlers hold was closed without an answer, as the
/// oldest one whose body had not arrived.
#[test]
fn memory_of_running_handlers() {
    const HANDLERS: usize = 40;
    let config = config();
    let memory = config.memory.clone();
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let server = start(config, move |request, caller| {
        released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
        echo(request, caller)
    });
    let mut holders: Vec<_> = (0..HANDLERS)
        .map(|n| {
            let source = Ipv4Addr::new(127, 0, 0, 2 + (n % 4) as u8);
            let mut stream = connect_from(source, server.address());
            stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            stream.write_all(SMALL_HEAD.as_bytes()).unwrap();
            stream.write_all(&[b'x'; 8_000]).unwrap();
            stream
        })
        .collect();
    wait_until("the memory is in use", || {
        memory.requests.held_bytes() > BUDGET_BYTES / 2 * 5 / 4 - SMALL_BYTES
    });
    let answer = send_and_read_all(server.address(), &small_request(8_000));
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert!(answer.contains("\r\nretry-after: 1\r\n"), "{answer}");
    assert_eq!(memory.replies.closed_bodies(), 0);
    for _ in 0..HANDLERS {
        release.send(()).unwrap();
    }
    for holder in &mut holders {
        assert!(read_until(holder, "\r\n\r\n").starts_with("HTTP/1.1 200 "));
    }
    server.stop();
}

/// A small request whose own address had used its part closed the uploads of others.
#[test]
fn part_of_one_address() {
    let config = config();
    let memory = config.memory.clone();
    let server = start(config, echo);
    let part = BUDGET_BYTES / 2 - SMALL_BYTES;
    let mut stalled = Vec::new();
    wait_until("the part of the address is in use", || {
        let mut stream = connect(server.address());
        // Fails if the part is in use already.
        let _ = stream.write_all(SMALL_HEAD.as_bytes());
        stalled.push(stream);
        memory.requests.held_bytes() > part
    });
    let mut upload = connect_from(Ipv4Addr::new(127, 0, 0, 2), server.address());
    upload.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n";
    upload.write_all(head.as_bytes()).unwrap();
    let answer = send_and_read_all(server.address(), &small_request(8_000));
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:.80}");
    assert_eq!(memory.replies.closed_bodies(), 0);
    upload.write_all(b"hello").unwrap();
    read_until(&mut upload, "POST / hello");
    server.abort();
}

/// Callers whose bodies take all memory kept a process from hearing of its instance and operators.
#[test]
fn port_with_own_part() {
    let callers = config();
    let memory = callers.memory.clone();
    let operators = ServerConfig {
        memory: memory.with_own_part(),
        ..config()
    };
    let server = start(callers, echo);
    let operator_server = start(operators, echo);
    let _stalled = fill_with_stalled_bodies(server.address(), &memory);
    let answer = send_and_read_all(operator_server.address(), &small_request(4_096));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    // Nothing of the callers was closed for it.
    assert_eq!(memory.replies.closed_bodies(), 0);
    server.abort();
    operator_server.stop();
}

/// The largest request is served where the budget is smaller than its copies.
#[test]
fn body_above_the_budget() {
    let server = start(config(), |request, _| {
        Response::new(200, request.body.len().to_string())
    });
    let mut request =
        b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 1000000\r\n\r\n"
            .to_vec();
    request.extend(vec![b'x'; 1_000_000]);
    let answer = send_and_read_all(server.address(), &request);
    assert!(answer.ends_with("1000000"), "{answer}");
    server.stop();
}

/// Pipelined requests whose replies are not read are not run any more, and all replies arrive once
/// the caller reads.
#[test]
fn unread_replies() {
    let config = ServerConfig {
        memory: ServerMemory::new(2 * BUDGET_BYTES),
        ..config()
    };
    let memory = config.memory.clone();
    let server = start(config, |_, _| Response::new(200, vec![b'x'; LONG_BYTES]));
    let mut stream = connect(server.address());
    let requests = "GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(40);
    stream.write_all(requests.as_bytes()).unwrap();
    wait_until("replies are unread", || {
        memory.replies.held_bytes() > LONG_BYTES
    });
    std::thread::sleep(std::time::Duration::from_millis(100));
    assert!(memory.replies.held_bytes() <= 6 * (LONG_BYTES + 1_024));
    for _ in 0..40 {
        read_until(&mut stream, "\r\n\r\n");
        stream.read_exact(&mut vec![0; LONG_BYTES]).unwrap();
    }
    wait_until("the memory is returned", || {
        memory.replies.held_bytes() == 0
    });
    server.stop();
}

/// Connections whose callers don't read are closed when all replies together are over the budget.
#[test]
fn callers_that_do_not_read() {
    let config = config();
    let memory = config.memory.clone();
    let server = start(config, |_, _| Response::new(200, vec![b'x'; 4 << 20]));
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let silent: Vec<_> = (0..8)
        .map(|_| {
            let mut stream = connect(server.address());
            stream.write_all(request).unwrap();
            stream
        })
        .collect();
    wait_until("connections are closed", || memory.replies.closed() >= 7);
    drop(silent);
    wait_until("the memory is returned", || {
        memory.replies.held_bytes() == 0
    });
    server.stop();
}
