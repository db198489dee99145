//! Guards against a thread for each connection whose caller keeps the server waiting: a crowd of
//! them would take the memory of the process and the threads of the host.
#![cfg(target_os = "linux")]

use http::{Response, Server, ServerConfig, ServerMemory};
use socket2::{Domain, Socket, Type};
use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
        mpsc::channel,
    },
};

mod common;
use common::{TEST_TIMEOUT, connect, echo, read_until, send_and_read_all, start, wait_until};

const CROWD: usize = 300;
/// Threads of a server beyond those that run handlers.
const MAX_THREADS: usize = 16;
/// More than the buffers of a connection hold whose caller has a small receive buffer.
const LONG_BYTES: usize = 300 * 1024;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Crowds exist one at a time, because all of them together have more descriptors than a process may
/// have.
static ONE_CROWD: Mutex<()> = Mutex::new(());

fn config(thread_name: &str) -> ServerConfig {
    ServerConfig {
        thread_name: thread_name.to_owned(),
        memory: ServerMemory::new(1 << 30),
        idle_timeout_ms: 2 * TEST_TIMEOUT.as_millis() as u64,
        head_timeout_ms: 2 * TEST_TIMEOUT.as_millis() as u64,
        stop_grace_ms: 0,
        ..ServerConfig::default()
    }
}

/// Number of threads of this process with that name.
fn count_threads(name: &str) -> usize {
    let tasks = fs::read_dir("/proc/self/task").unwrap();
    let names = tasks.filter_map(|task| fs::read_to_string(task.unwrap().path().join("comm")).ok());
    names.filter(|found| found.trim_end() == name).count()
}

/// Connects a crowd that sends `start_bytes`, and checks the server's threads and that it still
/// serves. Then each sends `rest`, and the answer must come.
fn check_crowd(name: &str, start_bytes: &[u8], rest: &[u8]) {
    let _one = ONE_CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let server = start(config(name), echo);
    let mut crowd: Vec<_> = (0..CROWD)
        .map(|_| {
            let mut stream = connect(server.address());
            stream.write_all(start_bytes).unwrap();
            stream
        })
        .collect();
    wait_until("all are connected", || server.connection_count() == CROWD);
    check_threads(name, &server);
    for stream in &mut crowd {
        stream.write_all(rest).unwrap();
    }
    for stream in &mut crowd {
        read_until(stream, " / ");
    }
}

fn check_threads(name: &str, server: &Server) {
    let close = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    assert!(send_and_read_all(server.address(), close).starts_with("HTTP/1.1 200"));
    // The threads that ran handlers end after a while.
    wait_until("few threads are left", || {
        count_threads(name) <= MAX_THREADS
    });
}

#[test]
fn idle() {
    check_crowd("crowd-idle", b"", REQUEST);
}

#[test]
fn idle_after_request() {
    let both = [REQUEST, REQUEST].concat();
    check_crowd("crowd-served", &both, REQUEST);
}

#[test]
fn part_of_a_head() {
    let (part, rest) = REQUEST.split_at(20);
    check_crowd("crowd-heads", part, rest);
}

#[test]
fn part_of_a_body() {
    let part = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\nabc";
    check_crowd("crowd-bodies", part, b"def");
}

#[test]
fn part_of_a_chunk() {
    let part = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\nab";
    check_crowd("crowd-chunks", part, b"cd\r\n0\r\n\r\n");
}

fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    // The send buffer of the server grows with the segment size, which is large on loopback.
    socket.set_tcp_mss(1_400).unwrap();
    socket.connect(&address.into()).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Callers that don't read hold no thread, and get their whole responses once they read.
#[test]
fn unread_responses() {
    const NAME: &str = "crowd-unread";
    let _one = ONE_CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let handled = Arc::new(AtomicUsize::new(0));
    let config = config(NAME);
    let memory = config.memory.clone();
    let server = start(config, {
        let handled = Arc::clone(&handled);
        move |_, _| {
            handled.fetch_add(1, Ordering::AcqRel);
            Response::new(200, vec![b'x'; LONG_BYTES])
        }
    });
    let mut crowd: Vec<_> = (0..CROWD)
        .map(|_| {
            let mut stream = connect_with_small_buffer(server.address());
            stream.write_all(REQUEST).unwrap();
            stream
        })
        .collect();
    wait_until("all requests have run", || {
        handled.load(Ordering::Acquire) == CROWD
    });
    wait_until("the responses are unread", || {
        memory.replies.held_bytes() > CROWD * LONG_BYTES / 4
    });
    wait_until("few threads are left", || {
        count_threads(NAME) <= MAX_THREADS
    });
    for stream in &mut crowd {
        read_until(stream, "\r\n\r\n");
        let mut body = vec![0; LONG_BYTES];
        stream.read_exact(&mut body).unwrap();
        assert!(body.iter().all(|byte| *byte == b'x'));
    }
    wait_until("the memory is returned", || {
        memory.replies.held_bytes() == 0
    });
}

/// Callers that are refused because the server is full hold no thread either.
#[test]
fn refused() {
    const NAME: &str = "crowd-refused";
    let _one = ONE_CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let config = ServerConfig {
        max_connections: 1,
        ..config(NAME)
    };
    let (started, has_started) = channel();
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let server = start(config, move |request, caller| {
        started.send(()).unwrap();
        let _ = released.lock().unwrap().recv_timeout(TEST_TIMEOUT);
        echo(request, caller)
    });
    let mut busy = connect(server.address());
    busy.write_all(REQUEST).unwrap();
    has_started.recv_timeout(TEST_TIMEOUT).unwrap();
    let threads = || fs::read_dir("/proc/self/task").unwrap().count();
    let before = threads();
    let crowd: Vec<_> = (0..30).map(|_| connect(server.address())).collect();
    for mut stream in crowd {
        read_until(&mut stream, "\r\n\r\n");
        assert!(threads() < before + MAX_THREADS);
    }
    release.send(()).unwrap();
    read_until(&mut busy, " / ");
}
