//! Slow, silent or excess callers must not occupy threads or connections forever.

use http::{ServerConfig, error_response};
use std::{
    io::{ErrorKind, Read, Write},
    net::TcpStream,
    sync::{Arc, mpsc::channel},
    time::Duration,
};

mod common;
use common::{TEST_TIMEOUT, connect, echo, read_until, send_and_read_all, start, wait_until};

fn config(head_timeout_ms: u64, idle_timeout_ms: u64) -> ServerConfig {
    ServerConfig {
        head_timeout_ms,
        idle_timeout_ms,
        ..ServerConfig::default()
    }
}

/// Checks that the server has closed the connection. A read that times out is no sign of that.
fn assert_closed(stream: &mut TcpStream) {
    match stream.read(&mut [0]) {
        Ok(0) => {}
        Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
        other => panic!("the idle one is closed, but its read gave {other:?}"),
    }
}

/// Each byte arrives well within the head timeout, but the head never ends.
#[test]
fn slow_head() {
    let server = start(config(300, 60_000), echo);
    let mut stream = connect(server.address());
    stream.write_all(b"GET / HTTP/1.1\r\na: ").unwrap();
    wait_until("the server closes", || {
        std::thread::sleep(Duration::from_millis(20));
        stream.write_all(b"b").is_err()
    });
    wait_until("the connection ends", || server.connection_count() == 0);
    server.stop();
}

#[test]
fn slow_body() {
    let server = start(config(100, 60_000), echo);
    let mut stream = connect(server.address());
    stream
        .write_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc")
        .unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    assert!(answer.is_empty());
    server.stop();
}

#[test]
fn silent_caller() {
    let server = start(config(60_000, 100), echo);
    let mut stream = connect(server.address());
    assert_eq!(stream.read(&mut [0]).unwrap(), 0);
    server.stop();
}

/// A connection whose request is handled keeps its place.
#[test]
fn too_many_connections() {
    let limit = ServerConfig {
        max_connections: 1,
        ..ServerConfig::default()
    };
    let (started, has_started) = channel();
    let server = start(limit, move |request, caller| {
        if request.target == "/held" {
            started.send(()).unwrap();
            wait_until("the caller closes its connection", || caller.is_closed());
        }
        echo(request, caller)
    });
    let mut first = connect(server.address());
    first
        .write_all(b"GET /held HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    has_started.recv_timeout(TEST_TIMEOUT).unwrap();
    let answer = send_and_read_all(server.address(), b"GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    let expected = error_response(errors::ErrorKind::TooManyConnections);
    assert!(
        answer.contains("\r\nx-gyard-outcome: not-run\r\n"),
        "{answer}"
    );
    assert!(answer.contains("\r\nretry-after: 1\r\n"), "{answer}");
    assert!(answer.as_bytes().ends_with(&expected.body), "{answer}");
    drop(first);
    wait_until("no connection is open", || server.connection_count() == 0);
    let close = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    assert!(send_and_read_all(server.address(), close).starts_with("HTTP/1.1 200"));
    server.stop();
}

/// Callers that stay idle or trickle their heads must not keep others out; the one that is idle for
/// the longest time gives its place first.
#[test]
fn place_of_idle_connection() {
    let limit = ServerConfig {
        max_connections: 2,
        ..ServerConfig::default()
    };
    let server = start(limit, echo);
    let mut trickling = connect(server.address());
    trickling
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nb")
        .unwrap();
    let mut idle = connect(server.address());
    wait_until("both have a place", || server.connection_count() == 2);
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let mut third = connect(server.address());
    third.write_all(request).unwrap();
    read_until(&mut third, "GET / ");
    assert_closed(&mut idle);
    trickling.write_all(b": c\r\n\r\n").unwrap();
    read_until(&mut trickling, "GET / ");
    server.stop();
}

/// Callers that keep their side open after the reply that closes their connection must not keep others
/// out.
#[test]
fn place_of_lingering_connection() {
    const PLACES: usize = 4;
    let config = ServerConfig {
        max_connections: PLACES,
        ..ServerConfig::default()
    };
    let places = Arc::clone(&config.memory.places);
    let server = start(config, echo);
    let close = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let lingering: Vec<_> = (0..PLACES)
        .map(|_| {
            let mut stream = connect(server.address());
            stream.write_all(close).unwrap();
            stream.read_to_end(&mut Vec::new()).unwrap();
            stream
        })
        .collect();
    // Repeated, because a handler may end some time after its reply.
    wait_until("another caller has a place", || {
        send_and_read_all(server.address(), close).starts_with("HTTP/1.1 200")
    });
    assert!(places.closed_for_room() > 0);
    drop(lingering);
    server.stop();
}

#[test]
fn places_of_one_address() {
    let limit = ServerConfig {
        max_connections_per_address: 1,
        ..ServerConfig::default()
    };
    let server = start(limit, echo);
    let mut idle = connect(server.address());
    wait_until("it has a place", || server.connection_count() == 1);
    let close = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    assert!(send_and_read_all(server.address(), close).starts_with("HTTP/1.1 200"));
    assert_closed(&mut idle);
    server.stop();
}

#[test]
fn expect_continue() {
    let server = start(ServerConfig::default(), echo);
    let mut stream = connect(server.address());
    stream
        .write_all(
            b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n",
        )
        .unwrap();
    assert_eq!(
        read_until(&mut stream, "\r\n\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n"
    );
    stream.write_all(b"abc").unwrap();
    assert!(read_until(&mut stream, "abc").starts_with("HTTP/1.1 200"));
    server.stop();
}

/// A panic of a handler closes its connection only, not the server.
#[test]
fn handler_panics() {
    let server = start(ServerConfig::default(), |request, caller| {
        assert!(request.target != "/panic", "panic of the test");
        echo(request, caller)
    });
    let answer = send_and_read_all(server.address(), b"GET /panic HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(answer, "");
    wait_until("the connection ends", || server.connection_count() == 0);
    let answer = send_and_read_all(server.address(), b"GET / HTTP/1.0\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 200"));
    server.stop();
}

#[test]
fn caller_closes_connection() {
    let (sender, receiver) = channel();
    let server = start(ServerConfig::default(), move |request, caller| {
        assert!(!caller.is_closed());
        sender.send(()).unwrap();
        wait_until("the caller closes its connection", || caller.is_closed());
        sender.send(()).unwrap();
        echo(request, caller)
    });
    let mut stream = connect(server.address());
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    drop(stream);
    receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    server.stop();
}

/// Checking whether the connection is closed must not consume the next request.
#[test]
fn pipelined_not_consumed() {
    let server = start(ServerConfig::default(), |request, caller| {
        assert!(!caller.is_closed());
        echo(request, caller)
    });
    let mut stream = connect(server.address());
    for n in 0..20 {
        let request = format!("GET /{n} HTTP/1.1\r\nhost: a\r\n\r\n");
        stream.write_all(request.as_bytes()).unwrap();
    }
    for n in 0..20 {
        read_until(&mut stream, &format!("GET /{n} "));
    }
    server.stop();
}

/// A caller that stops reading its response must not keep the connection and the memory forever.
#[test]
fn silent_reader() {
    let config = ServerConfig {
        stop_grace_ms: 0,
        ..config(200, 60_000)
    };
    let memory = config.memory.clone();
    let server = start(config, |_, _| {
        http::Response::new(200, vec![b'x'; 16 << 20])
    });
    let mut stream = connect(server.address());
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    read_until(&mut stream, "\r\n\r\n");
    wait_until("the connection is closed", || {
        server.connection_count() == 0
    });
    assert_eq!(memory.replies.held_bytes(), 0);
    server.stop();
}
