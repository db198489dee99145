//! A graceful stop must answer the requests in progress and those in transit.

use http::{Server, ServerConfig};
use std::{
    collections::HashSet,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, mpsc::channel},
    thread,
    time::Duration,
};

mod common;
use common::{TEST_TIMEOUT, connect, echo, read_until, start, wait_until};

/// Starts a server whose handlers report that they have started and then wait for a message.
fn start_waiting_server() -> (
    Arc<Server>,
    std::sync::mpsc::Receiver<()>,
    std::sync::mpsc::Sender<()>,
) {
    let (entered, wait_entered) = channel();
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let server = start(ServerConfig::default(), move |request, caller| {
        entered.send(()).unwrap();
        released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
        echo(request, caller)
    });
    (Arc::new(server), wait_entered, release)
}

#[test]
fn stop_waits_for_running_request() {
    let (server, entered, release) = start_waiting_server();
    let mut busy = connect(server.address());
    let mut idle = connect(server.address());
    wait_until("both are connected", || server.connection_count() == 2);
    busy.write_all(b"GET /busy HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    entered.recv_timeout(TEST_TIMEOUT).unwrap();
    let stopping = thread::spawn({
        let server = Arc::clone(&server);
        move || server.stop()
    });
    assert_eq!(
        idle.read(&mut [0]).unwrap(),
        0,
        "the idle connection closes"
    );
    assert!(!stopping.is_finished());
    release.send(()).unwrap();
    let answer = read_until(&mut busy, "GET /busy ");
    assert!(answer.contains("\r\nconnection: close\r\n"), "{answer}");
    assert_eq!(busy.read(&mut [0]).unwrap(), 0);
    drop(busy);
    stopping.join().unwrap();
}

/// A request that arrives on a keep-alive connection during the grace time is answered.
#[test]
fn request_in_grace_time() {
    let config = ServerConfig {
        stop_grace_ms: TEST_TIMEOUT.as_millis() as u64,
        ..ServerConfig::default()
    };
    let server = Arc::new(start(config, echo));
    let mut stream = connect(server.address());
    stream
        .write_all(b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    read_until(&mut stream, "GET /1 ");
    let stopping = thread::spawn({
        let server = Arc::clone(&server);
        move || server.stop()
    });
    wait_until("the listener is closed", || {
        std::net::TcpStream::connect(server.address()).is_err()
    });
    stream
        .write_all(b"GET /2 HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    let answer = read_until(&mut stream, "GET /2 ");
    assert!(answer.contains("\r\nconnection: close\r\n"), "{answer}");
    drop(stream);
    stopping.join().unwrap();
}

#[test]
fn abort_closes_busy_connections() {
    let (server, entered, release) = start_waiting_server();
    let mut busy = connect(server.address());
    busy.write_all(b"GET /busy HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    entered.recv_timeout(TEST_TIMEOUT).unwrap();
    server.abort();
    assert_eq!(busy.read(&mut [0]).unwrap(), 0);
    release.send(()).unwrap();
}

/// Callers that open connections all the time while the server stops: each request that a handler
/// has run is answered in full.
#[test]
fn stop_under_load() {
    const CALLERS: usize = 8;
    const CALLS_BEFORE_STOP: usize = 400;
    let handled = Arc::new(Mutex::new(HashSet::new()));
    let server = start(ServerConfig::default(), {
        let handled = Arc::clone(&handled);
        move |request, caller| {
            handled.lock().unwrap().insert(request.target.clone());
            thread::sleep(Duration::from_millis(5));
            echo(request, caller)
        }
    });
    let address = server.address();
    let answered = Mutex::new(HashSet::new());
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let answered = &answered;
            scope.spawn(move || {
                for n in 0.. {
                    let target = format!("/{caller}-{n}");
                    let Some(answer) = try_get(address, &target) else {
                        return;
                    };
                    if answer.ends_with(&format!("GET {target} ")) {
                        answered.lock().unwrap().insert(target);
                    }
                }
            });
        }
        wait_until("calls are served", || {
            answered.lock().unwrap().len() >= CALLS_BEFORE_STOP
        });
        server.stop();
    });
    let (handled, answered) = (handled.lock().unwrap(), answered.lock().unwrap());
    let lost: Vec<_> = handled.difference(&answered).collect();
    assert!(lost.is_empty(), "run, but not answered: {lost:?}");
}

/// Sends one request over a new connection; `None` if the server no longer takes connections.
fn try_get(address: SocketAddr, target: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let request = format!("GET {target} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    // A reset ends what was read so far, which then lacks the expected end.
    let _ = stream.read_to_string(&mut answer);
    (!answer.is_empty()).then_some(answer)
}
