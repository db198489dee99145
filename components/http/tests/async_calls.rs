//! Guards calls by callback against lost or repeated callbacks, wrong claims about what was sent,
//! and connections that are used for two calls at once.

use http::{AsyncPool, CallError, CancelToken, PoolConfig, Request, Response, ServerConfig};
use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::mpsc::{Receiver, channel},
    thread,
    time::{Duration, Instant},
};

mod common;
use common::{PATIENCE, echo, eventually, far, get, listen, read_to, start};

type Outcome = Result<Response, CallError>;

fn pool(address: SocketAddr, change: impl FnOnce(&mut PoolConfig)) -> AsyncPool {
    let mut config = PoolConfig::new(address);
    change(&mut config);
    AsyncPool::new(config).unwrap()
}

fn begin(
    pool: &AsyncPool,
    request: &Request,
    deadline: Instant,
    cancel: &CancelToken,
) -> Receiver<Outcome> {
    let (sender, receiver) = channel();
    pool.call(request, deadline, cancel, move |outcome| {
        sender.send(outcome).unwrap();
    });
    receiver
}

fn call(pool: &AsyncPool, target: &str) -> Outcome {
    let receiver = begin(pool, &get(target), far(), &CancelToken::new());
    let outcome = receiver.recv_timeout(PATIENCE).expect("no callback");
    assert!(receiver.recv().is_err(), "a second callback");
    outcome
}

#[test]
fn reuse() {
    let server = start(ServerConfig::default(), echo);
    let pool = pool(server.address(), |_| {});
    for n in 0..20 {
        let target = format!("/{n}");
        let response = call(&pool, &target).unwrap();
        assert_eq!(response.body, format!("GET {target} ").into_bytes());
    }
    assert_eq!((pool.connections_opened(), pool.open_connections()), (1, 1));
    drop(pool);
    eventually("the connection closes", || server.connection_count() == 0);
    server.stop();
}

/// More calls than connections: each gets its own answer, none waits for ever.
#[test]
fn many_at_once() {
    let server = start(ServerConfig::default(), echo);
    let pool = pool(server.address(), |config| config.max_connections = 4);
    let cancel = CancelToken::new();
    let waiting: Vec<_> = (0..500)
        .map(|n| {
            let target = format!("/{n}");
            (begin(&pool, &get(&target), far(), &cancel), target)
        })
        .collect();
    for (receiver, target) in waiting {
        let response = receiver.recv_timeout(PATIENCE).unwrap().unwrap();
        assert_eq!(response.body, format!("GET {target} ").into_bytes());
    }
    assert!(
        pool.connections_opened() <= 4,
        "{} opened",
        pool.connections_opened()
    );
    server.stop();
}

/// The socket takes only part of it at once; the calling thread must not block.
#[test]
fn large_request() {
    let config = ServerConfig {
        max_body_bytes: 64 * 1024 * 1024,
        ..ServerConfig::default()
    };
    let server = start(config, |request, _| {
        Response::new(200, request.body.len().to_string())
    });
    let pool = pool(server.address(), |_| {});
    let request = Request {
        method: "POST".to_owned(),
        body: vec![1; 32 * 1024 * 1024],
        ..get("/")
    };
    let receiver = begin(&pool, &request, far(), &CancelToken::new());
    let response = receiver.recv_timeout(PATIENCE).unwrap().unwrap();
    assert_eq!(response.body, request.body.len().to_string().into_bytes());
    server.stop();
}

#[test]
fn deadline_or_cancel() {
    let (entered, wait_entered) = channel();
    let server = start(ServerConfig::default(), move |request, caller| {
        entered.send(()).unwrap();
        eventually("the call is given up", || caller.is_closed());
        echo(request, caller)
    });
    let pool = pool(server.address(), |config| config.max_connections = 1);
    let until = Instant::now() + Duration::from_secs(2);
    let late = begin(&pool, &get("/"), until, &CancelToken::new());
    let waiting = begin(&pool, &get("/"), until, &CancelToken::new());
    assert_eq!(
        late.recv_timeout(PATIENCE).unwrap(),
        Err(CallError::TimedOut)
    );
    assert_eq!(
        waiting.recv_timeout(PATIENCE).unwrap(),
        Err(CallError::NotSent)
    );
    wait_entered.recv_timeout(PATIENCE).unwrap();

    let cancel = CancelToken::new();
    let cancelled = begin(&pool, &get("/"), far(), &cancel);
    wait_entered.recv_timeout(PATIENCE).unwrap();
    cancel.cancel();
    let outcome = cancelled.recv_timeout(PATIENCE).unwrap();
    assert_eq!(outcome, Err(CallError::Cancelled));
    eventually("the places are free", || pool.open_connections() == 0);
    server.stop();
}

#[test]
fn not_sent() {
    let address = {
        let unused = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        unused.local_addr().unwrap()
    };
    let pool = pool(address, |_| {});
    assert_eq!(call(&pool, "/"), Err(CallError::NotSent));
    assert_eq!(call(&pool, "/a b"), Err(CallError::NotSent));
    let cancel = CancelToken::new();
    cancel.cancel();
    let receiver = begin(&pool, &get("/"), far(), &cancel);
    assert_eq!(receiver.recv().unwrap(), Err(CallError::NotSent));
    eventually("the place is free", || pool.open_connections() == 0);
}

/// The first connection answers and closes, the second closes after a second request.
#[test]
fn closing_server() {
    let (seen, requests) = channel();
    let listener = listen();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (n, stream) in listener.incoming().enumerate().take(2) {
            let mut stream = stream.unwrap();
            seen.send(read_to(&mut stream, "\r\n\r\n")).unwrap();
            stream
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                .unwrap();
            if n == 1 {
                seen.send(read_to(&mut stream, "\r\n\r\n")).unwrap();
            }
        }
    });
    let pool = pool(address, |_| {});
    assert!(call(&pool, "/1").is_ok());
    eventually("the closed connection is dropped", || {
        pool.open_connections() == 0
    });
    assert!(call(&pool, "/2").is_ok());
    assert_eq!(call(&pool, "/3"), Err(CallError::ConnectionLost));
    assert_eq!(pool.connections_opened(), 2);
    assert_eq!(requests.iter().take(3).count(), 3);
    assert!(requests.try_recv().is_err(), "a request was sent twice");
}

#[test]
fn idle_timeout() {
    let server = start(ServerConfig::default(), echo);
    let pool = pool(server.address(), |config| config.idle_timeout_ms = 50);
    call(&pool, "/").unwrap();
    eventually("the idle connection closes", || {
        pool.open_connections() == 0
    });
    server.stop();
}

#[test]
fn callback_panics() {
    let server = start(ServerConfig::default(), echo);
    let pool = pool(server.address(), |config| config.max_connections = 1);
    pool.call(&get("/"), far(), &CancelToken::new(), |_| {
        panic!("asked to")
    });
    assert!(call(&pool, "/").is_ok());
    server.stop();
}
