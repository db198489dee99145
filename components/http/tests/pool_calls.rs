//! `Pool`: stale connections are not reused, truncated responses are errors, and `NotSent` is
//! reported only if nothing was sent.

use http::{CallError, CancelToken, Pool, PoolConfig, Request, Response, ServerConfig};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, mpsc::channel},
    thread,
    time::{Duration, Instant},
};

mod common;
use common::{TEST_TIMEOUT, echo, far_deadline, get, listen, pool, read_until, start, wait_until};

fn call(pool: &Pool, target: &str) -> Result<Response, CallError> {
    pool.call(&get(target), far_deadline(), &CancelToken::new())
}

/// Starts a server that accepts two connections, one after the other, and runs `script` on each.
fn scripted_server(
    script: impl Fn(usize, &mut TcpStream) + Send + 'static,
) -> (SocketAddr, thread::JoinHandle<()>) {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let thread = thread::spawn(move || {
        for (n, stream) in listener.incoming().enumerate().take(2) {
            script(n, &mut stream.unwrap());
        }
    });
    (address, thread)
}

/// Result of a call whose server sends these bytes and closes the connection.
fn result_of(answer: &'static [u8]) -> Result<Vec<u8>, CallError> {
    let (address, _) = scripted_server(move |_, stream| {
        read_until(stream, "\r\n\r\n");
        stream.write_all(answer).unwrap();
    });
    let mut config = PoolConfig::new(address);
    config.max_body_bytes = 16;
    config.max_head_bytes = 256;
    call(&Pool::new(config), "/").map(|response| response.body)
}

#[test]
fn reuses_connection() {
    let server = start(ServerConfig::default(), echo);
    let pool = pool(server.address());
    for n in 0..20 {
        let target = format!("/{n}");
        let response = call(&pool, &target).unwrap();
        assert_eq!(response.body, format!("GET {target} ").into_bytes());
    }
    assert_eq!((pool.connections_opened(), pool.open_connections()), (1, 1));
    pool.close_idle();
    assert_eq!(pool.open_connections(), 0);
    server.stop();
}

#[test]
fn complete_response_or_error() {
    let head = "HTTP/1.1 200 OK\r\n";
    assert_eq!(head.len(), 17);
    assert_eq!(result_of(b""), Err(CallError::ConnectionLost));
    assert_eq!(result_of(b"HTTP/1.1 2"), Err(CallError::Truncated));
    assert_eq!(
        result_of(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabcd"),
        Err(CallError::Truncated)
    );
    assert_eq!(
        result_of(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"),
        Err(CallError::Truncated)
    );
    assert_eq!(
        result_of(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc"),
        Err(CallError::Truncated)
    );
    // Without a declared length an orderly close ends the body. For a reset, see response_end.rs.
    assert_eq!(
        result_of(b"HTTP/1.1 200 OK\r\n\r\nabc"),
        Ok(b"abc".to_vec())
    );
    assert_eq!(
        result_of(b"HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\n"),
        Err(CallError::TooLarge)
    );
    assert_eq!(
        result_of(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n11\r\n"),
        Err(CallError::TooLarge)
    );
    assert_eq!(result_of(b"SSH-2.0-x\r\n"), Err(CallError::Malformed));
    assert_eq!(
        result_of(
            b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
        ),
        Err(CallError::Malformed)
    );
    assert_eq!(
        result_of(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"),
        Ok(b"abc".to_vec())
    );
    assert_eq!(
        result_of(b"HTTP/1.1 204 No Content\r\n\r\n"),
        Ok(Vec::new())
    );
}

#[test]
fn head_response() {
    let server = start(ServerConfig::default(), |_, _| {
        Response::new(200, "").with_header("content-length", "1234")
    });
    let pool = pool(server.address());
    let request = Request {
        method: "HEAD".to_owned(),
        ..get("/")
    };
    for _ in 0..2 {
        let response = pool
            .call(&request, far_deadline(), &CancelToken::new())
            .unwrap();
        assert_eq!(response.headers.get("Content-Length"), Some("1234"));
        assert!(response.body.is_empty());
    }
    assert_eq!(pool.connections_opened(), 1);
    server.stop();
}

/// Surplus bytes after a response must not be read as the response to the next call.
#[test]
fn leftover_bytes() {
    let (address, _) = scripted_server(|n, stream| {
        read_until(stream, "\r\n\r\n");
        let body = if n == 0 { "1" } else { "2" };
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{body}");
        let extra = if n == 0 { answer.as_str() } else { "" };
        stream
            .write_all(format!("{answer}{extra}").as_bytes())
            .unwrap();
    });
    let pool = pool(address);
    assert_eq!(call(&pool, "/").unwrap().body, b"1");
    assert_eq!(call(&pool, "/").unwrap().body, b"2");
    assert_eq!(pool.connections_opened(), 2);
}

/// After the server closed a keep-alive connection, the next call must use a new one.
#[test]
fn stale_connection() {
    let (closed, wait_closed) = channel();
    let (address, _) = scripted_server(move |_, stream| {
        read_until(stream, "\r\n\r\n");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            .unwrap();
        stream.shutdown(std::net::Shutdown::Both).unwrap();
        closed.send(()).unwrap();
    });
    let pool = pool(address);
    call(&pool, "/").unwrap();
    wait_closed.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(call(&pool, "/").is_ok());
    assert_eq!(pool.connections_opened(), 2);
}

/// A request that was written must not be sent again, even if its keep-alive connection was closed.
#[test]
fn no_resend() {
    let (seen, requests) = channel();
    let (address, _) = scripted_server(move |_, stream| {
        seen.send(read_until(stream, "\r\n\r\n")).unwrap();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            .unwrap();
        seen.send(read_until(stream, "\r\n\r\n")).unwrap();
    });
    let pool = pool(address);
    call(&pool, "/1").unwrap();
    assert_eq!(call(&pool, "/2"), Err(CallError::ConnectionLost));
    assert_eq!(requests.iter().take(2).count(), 2);
    assert!(requests.try_recv().is_err());
    assert_eq!(pool.open_connections(), 0);
}

#[test]
fn not_sent() {
    let address = {
        let unused = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        unused.local_addr().unwrap()
    };
    assert_eq!(call(&pool(address), "/"), Err(CallError::NotSent));

    let server = start(ServerConfig::default(), echo);
    let pool = pool(server.address());
    let cancel = CancelToken::new();
    cancel.cancel();
    assert_eq!(
        pool.call(&get("/"), far_deadline(), &cancel),
        Err(CallError::NotSent)
    );
    let past = Instant::now();
    assert_eq!(
        pool.call(&get("/"), past, &CancelToken::new()),
        Err(CallError::NotSent)
    );
    assert_eq!(call(&pool, "/a b"), Err(CallError::NotSent));
    assert_eq!(pool.open_connections(), 0);
    server.stop();
}

#[test]
fn deadline_passes() {
    let server = start(ServerConfig::default(), |request, caller| {
        wait_until("the caller closes its connection", || caller.is_closed());
        echo(request, caller)
    });
    let pool = pool(server.address());
    // The connection opens first, so that only the response is late.
    let until = Instant::now() + Duration::from_secs(2);
    let result = pool.call(&get("/"), until, &CancelToken::new());
    assert_eq!(result, Err(CallError::TimedOut));
    assert_eq!(pool.open_connections(), 0);
    server.stop();
}

#[test]
fn cancel_running() {
    let (entered, wait_entered) = channel();
    let server = start(ServerConfig::default(), move |request, caller| {
        entered.send(()).unwrap();
        wait_until("the caller closes its connection", || caller.is_closed());
        echo(request, caller)
    });
    let pool = Arc::new(pool(server.address()));
    let cancel = CancelToken::new();
    let calling = thread::spawn({
        let (pool, cancel) = (Arc::clone(&pool), cancel.clone());
        move || pool.call(&get("/"), far_deadline(), &cancel)
    });
    wait_entered.recv_timeout(TEST_TIMEOUT).unwrap();
    cancel.cancel();
    assert_eq!(calling.join().unwrap(), Err(CallError::Cancelled));
    assert_eq!(pool.open_connections(), 0);
    server.stop();
}

/// At `max_connections`, calls wait for a connection instead of opening more than the server
/// accepts.
#[test]
fn connection_limit() {
    let server = start(ServerConfig::default(), echo);
    let mut config = PoolConfig::new(server.address());
    config.max_connections = 2;
    let pool = Arc::new(Pool::new(config));
    let calling: Vec<_> = (0..8)
        .map(|_| {
            let pool = Arc::clone(&pool);
            thread::spawn(move || (0..50).all(|_| call(&pool, "/").is_ok()))
        })
        .collect();
    assert!(calling.into_iter().all(|thread| thread.join().unwrap()));
    assert!(
        pool.connections_opened() <= 2,
        "{} opened",
        pool.connections_opened()
    );
    server.stop();
}

/// A call that is cancelled while it waits for a connection must report `NotSent`.
#[test]
fn cancel_waiting() {
    let (entered, wait_entered) = channel();
    let server = start(ServerConfig::default(), move |request, caller| {
        entered.send(()).unwrap();
        wait_until("the caller closes its connection", || caller.is_closed());
        echo(request, caller)
    });
    let mut config = PoolConfig::new(server.address());
    config.max_connections = 1;
    let pool = Arc::new(Pool::new(config));
    let tokens = [CancelToken::new(), CancelToken::new()];
    let start_call = |cancel: &CancelToken| {
        let (pool, cancel) = (Arc::clone(&pool), cancel.clone());
        thread::spawn(move || pool.call(&get("/"), far_deadline(), &cancel))
    };
    let first = start_call(&tokens[0]);
    wait_entered.recv_timeout(TEST_TIMEOUT).unwrap();
    let second = start_call(&tokens[1]);
    tokens[1].cancel();
    assert_eq!(second.join().unwrap(), Err(CallError::NotSent));
    tokens[0].cancel();
    assert_eq!(first.join().unwrap(), Err(CallError::Cancelled));
    server.stop();
}

#[test]
fn idle_timeout() {
    let server = start(ServerConfig::default(), echo);
    let mut config = PoolConfig::new(server.address());
    config.idle_timeout_ms = 0;
    let pool = Pool::new(config);
    call(&pool, "/").unwrap();
    call(&pool, "/").unwrap();
    assert_eq!(pool.connections_opened(), 2);
    server.stop();
}

/// The encoded request has its own `content-length`; `transfer-encoding`, `expect` and values with
/// line breaks are dropped.
#[test]
fn encoded_request() {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let seen = thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        let mut bytes = vec![0; 4096];
        let count = stream.read(&mut bytes).unwrap();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            .unwrap();
        String::from_utf8(bytes[..count].to_vec()).unwrap()
    });
    let request = Request {
        method: "POST".to_owned(),
        headers: [
            ("Host", "lending"),
            ("Content-Length", "99"),
            ("Transfer-Encoding", "chunked"),
            ("Expect", "100-continue"),
            ("X-Split", "a\r\nx-injected: b"),
            ("Accept", "*/*"),
        ]
        .into_iter()
        .collect(),
        body: b"abc".to_vec(),
        ..get("/loans?x=1")
    };
    pool(address)
        .call(&request, far_deadline(), &CancelToken::new())
        .unwrap();
    assert_eq!(
        seen.join().unwrap(),
        "POST /loans?x=1 HTTP/1.1\r\nHost: lending\r\nAccept: */*\r\ncontent-length: 3\r\n\r\nabc"
    );
}
