//! Pipelined requests are handled concurrently and answered in order.

use http::{Response, ServerConfig};
use std::{
    io::Write,
    sync::{Barrier, Mutex, mpsc::channel},
    time::{Duration, Instant},
};

mod common;
use common::{TEST_TIMEOUT, connect, echo, read_until, start, wait_until};

/// Time in which a handler that has nothing to wait for returns.
const HANDLER_END: Duration = Duration::from_millis(200);

fn request(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// The handlers wait for each other at a barrier, which only concurrent handlers pass.
#[test]
fn handled_concurrently() {
    let config = ServerConfig {
        max_pipelined: 3,
        ..ServerConfig::default()
    };
    let barrier = Barrier::new(3);
    let server = start(config, move |request, caller| {
        barrier.wait();
        echo(request, caller)
    });
    let mut stream = connect(server.address());
    let all = ["/1", "/2", "/3"].map(request).concat();
    stream.write_all(all.as_bytes()).unwrap();
    for n in 1..=3 {
        read_until(&mut stream, &format!("GET /{n} "));
    }
    server.stop();
}

/// The second response is ready first and must wait for the first one.
#[test]
fn answered_in_order() {
    let config = ServerConfig {
        max_pipelined: 2,
        ..ServerConfig::default()
    };
    let (finished, wait_finished) = channel::<()>();
    let wait_finished = Mutex::new(wait_finished);
    let server = start(config, move |request, _| {
        match request.target.as_str() {
            "/1" => wait_finished
                .lock()
                .unwrap()
                .recv_timeout(TEST_TIMEOUT)
                .unwrap(),
            _ => finished.send(()).unwrap(),
        }
        Response::new(200, request.target)
    });
    let mut stream = connect(server.address());
    let both = ["/1", "/2"].map(request).concat();
    stream.write_all(both.as_bytes()).unwrap();
    let text = read_until(&mut stream, "/2");
    assert!(
        text.find("/1").unwrap() < text.rfind("/2").unwrap(),
        "{text}"
    );
    server.stop();
}

/// Requests after one whose response closes the connection must stay unanswered.
#[test]
fn nothing_after_close() {
    let config = ServerConfig {
        max_pipelined: 2,
        ..ServerConfig::default()
    };
    let server = start(config, |request, _| {
        let response = Response::new(200, request.target.clone());
        match request.target.as_str() {
            "/1" => response.with_header("connection", "close"),
            _ => response,
        }
    });
    let mut stream = connect(server.address());
    let both = ["/1", "/2"].map(request).concat();
    stream.write_all(both.as_bytes()).unwrap();
    let mut text = String::new();
    std::io::Read::read_to_string(&mut stream, &mut text).unwrap();
    assert!(text.ends_with("/1") && !text.contains("/2"), "{text}");
    drop(stream);
    wait_until("the connection ends", || server.connection_count() == 0);
    server.stop();
}

/// Closing the connection must run the hooks of all its running handlers.
#[test]
fn close_reported_to_all_handlers() {
    let config = ServerConfig {
        max_pipelined: 2,
        ..ServerConfig::default()
    };
    let (report_close, closes) = channel();
    let (entered, wait_entered) = channel();
    let server = start(config, move |request, caller| {
        entered.send(()).unwrap();
        let report_close = report_close.clone();
        caller.on_close(move || report_close.send(()).unwrap());
        wait_until("the caller closes its connection", || caller.is_closed());
        Response::new(200, request.target)
    });
    let mut stream = connect(server.address());
    let both = ["/1", "/2"].map(request).concat();
    stream.write_all(both.as_bytes()).unwrap();
    for _ in 0..2 {
        wait_entered.recv_timeout(TEST_TIMEOUT).unwrap();
    }
    drop(stream);
    for _ in 0..2 {
        closes.recv_timeout(TEST_TIMEOUT).unwrap();
    }
    server.stop();
}

/// A draining server must answer every request that it has read; only the last reply closes the
/// connection.
#[test]
fn draining_server_answers_all() {
    let config = ServerConfig {
        max_pipelined: 2,
        ..ServerConfig::default()
    };
    let (entered, wait_entered) = channel();
    let barrier = std::sync::Arc::new(Barrier::new(3));
    let server = start(config, {
        let barrier = std::sync::Arc::clone(&barrier);
        move |request, _| {
            entered.send(()).unwrap();
            barrier.wait();
            Response::new(200, request.target)
        }
    });
    let mut stream = connect(server.address());
    let both = ["/1", "/2"].map(request).concat();
    stream.write_all(both.as_bytes()).unwrap();
    for _ in 0..2 {
        wait_entered.recv_timeout(TEST_TIMEOUT).unwrap();
    }
    server.drain();
    barrier.wait();
    let mut text = String::new();
    std::io::Read::read_to_string(&mut stream, &mut text).unwrap();
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text}");
    assert_eq!(text.matches("connection: close").count(), 1, "{text}");
    server.stop();
}

/// The second reply waits behind the first one when the server drains, and a third request is read
/// and run meanwhile. A server that took the second reply for the last one would throw away the
/// answer to the third.
#[test]
fn read_behind_waiting_reply() {
    let config = ServerConfig {
        max_pipelined: 3,
        ..ServerConfig::default()
    };
    let (entered, wait_entered) = channel();
    let (release, released) = channel::<()>();
    let (release_second, second_released) = channel::<()>();
    let (released, second_released) = (Mutex::new(released), Mutex::new(second_released));
    let server = start(config, move |request, _| {
        entered.send(()).unwrap();
        let wait_for = match request.target.as_str() {
            "/first" => Some(&released),
            "/second" => Some(&second_released),
            _ => None,
        };
        if let Some(released) = wait_for {
            released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
        }
        Response::new(200, request.target)
    });
    let mut stream = connect(server.address());
    let first_two = ["/first", "/second"].map(request).concat();
    stream.write_all(first_two.as_bytes()).unwrap();
    for _ in 0..2 {
        wait_entered.recv_timeout(TEST_TIMEOUT).unwrap();
    }
    server.drain();
    release_second.send(()).unwrap();
    std::thread::sleep(HANDLER_END);
    stream.write_all(request("/third").as_bytes()).unwrap();
    wait_entered.recv_timeout(TEST_TIMEOUT).unwrap();
    std::thread::sleep(HANDLER_END);
    release.send(()).unwrap();
    let mut text = String::new();
    std::io::Read::read_to_string(&mut stream, &mut text).unwrap();
    assert_eq!(text.matches("HTTP/1.1 200").count(), 3, "{text}");
    assert_eq!(text.matches("connection: close").count(), 1, "{text}");
    assert!(text.ends_with("connection: close\r\n\r\n/third"), "{text}");
    server.stop();
}

/// The reply that comes before a request whose bytes are still arriving must not close the
/// connection of a draining server: that request is answered too.
#[test]
fn reply_beside_arriving_request() {
    let config = ServerConfig {
        max_pipelined: 2,
        ..ServerConfig::default()
    };
    let (entered, wait_entered) = channel();
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let server = start(config, move |request, _| {
        entered.send(()).unwrap();
        if request.target == "/1" {
            released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
        }
        Response::new(200, request.target)
    });
    let mut stream = connect(server.address());
    let both = ["/1", "/2"].map(request).concat();
    let (sent, rest) = both.split_at(both.len() - 10);
    stream.write_all(sent.as_bytes()).unwrap();
    wait_entered.recv_timeout(TEST_TIMEOUT).unwrap();
    std::thread::sleep(HANDLER_END);
    server.drain();
    release.send(()).unwrap();
    read_until(&mut stream, "/1");
    stream.write_all(rest.as_bytes()).unwrap();
    let text = read_until(&mut stream, "/2");
    assert!(text.contains("connection: close\r\n"), "{text}");
    server.stop();
}

/// A request behind one that announces the end of the connection can't be answered, so it must not
/// run.
#[test]
fn nothing_runs_after_last_request() {
    let config = ServerConfig {
        max_pipelined: 2,
        ..ServerConfig::default()
    };
    let (entered, wait_entered) = channel();
    let server = start(config, move |request, _| {
        entered.send(request.target.clone()).unwrap();
        if request.target == "/1" {
            std::thread::sleep(HANDLER_END);
        }
        Response::new(200, request.target)
    });
    let mut stream = connect(server.address());
    let last = "GET /1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream
        .write_all(format!("{last}{}", request("/2")).as_bytes())
        .unwrap();
    let mut text = String::new();
    std::io::Read::read_to_string(&mut stream, &mut text).unwrap();
    assert!(text.ends_with("/1"), "{text}");
    server.stop();
    let run: Vec<String> = wait_entered.try_iter().collect();
    assert_eq!(run, ["/1"]);
}

/// A handler that panics ends the connection in place of its own reply; the reply to a request
/// before it that is still running must not be lost with it.
#[test]
fn panic_behind_running_request() {
    let config = ServerConfig {
        max_pipelined: 2,
        ..ServerConfig::default()
    };
    let server = start(config, |request, _| {
        assert!(request.target != "/panic", "panic of the test");
        std::thread::sleep(HANDLER_END);
        Response::new(200, request.target)
    });
    let mut stream = connect(server.address());
    let both = ["/1", "/panic"].map(request).concat();
    stream.write_all(both.as_bytes()).unwrap();
    let mut text = String::new();
    std::io::Read::read_to_string(&mut stream, &mut text).unwrap();
    assert!(text.ends_with("/1"), "{text}");
    server.stop();
}

/// A request that arrives too slowly, or that is refused, must not cancel the request before it: its
/// caller still waits for that answer.
#[test]
fn bad_request_behind_running_one() {
    let slow_body = "POST /2 HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc";
    let slow_head = "GET /2 HTTP/1.1\r\nhos";
    let malformed = "GET /2 HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n";
    for behind in [slow_body, slow_head, malformed] {
        let config = ServerConfig {
            max_pipelined: 2,
            head_timeout_ms: 100,
            ..ServerConfig::default()
        };
        let (report_close, closes) = channel();
        let server = start(config, move |request, caller| {
            let report_close = report_close.clone();
            // The test may have ended.
            caller.on_close(move || {
                let _ = report_close.send(());
            });
            std::thread::sleep(2 * HANDLER_END);
            Response::new(200, request.target)
        });
        let mut stream = connect(server.address());
        let both = format!("{}{behind}", request("/1"));
        stream.write_all(both.as_bytes()).unwrap();
        let mut text = String::new();
        std::io::Read::read_to_string(&mut stream, &mut text).unwrap();
        assert!(text.starts_with("HTTP/1.1 200 OK"), "{behind:?}: {text}");
        let is_refused = text.contains("HTTP/1.1 400");
        assert_eq!(is_refused, behind == malformed, "{behind:?}: {text}");
        assert!(closes.try_recv().is_err(), "{behind:?}: counted as closed");
        server.stop();
    }
}

/// A caller that closes its connection after a refused request has left: its running request is
/// cancelled.
#[test]
fn closed_behind_bad_request() {
    let config = ServerConfig {
        max_pipelined: 2,
        ..ServerConfig::default()
    };
    let (report_close, closes) = channel();
    let (entered, wait_entered) = channel();
    let server = start(config, move |request, caller| {
        entered.send(()).unwrap();
        let report_close = report_close.clone();
        caller.on_close(move || report_close.send(()).unwrap());
        wait_until("the caller closes its connection", || caller.is_closed());
        Response::new(200, request.target)
    });
    let mut stream = connect(server.address());
    let both = format!("{}GET /2 HTTP/1.1\r\n\r\n", request("/1"));
    stream.write_all(both.as_bytes()).unwrap();
    wait_entered.recv_timeout(TEST_TIMEOUT).unwrap();
    std::thread::sleep(HANDLER_END);
    drop(stream);
    closes.recv_timeout(TEST_TIMEOUT).unwrap();
}

/// At the end of a stop a request is still running. The answer to the request behind it, which is
/// ready, must not be lost with it.
#[test]
fn ready_behind_unfinished() {
    let config = ServerConfig {
        max_pipelined: 2,
        stop_grace_ms: 0,
        ..ServerConfig::default()
    };
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let server = start(config, move |request, _| {
        if request.target == "/running" {
            released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
        }
        Response::new(200, request.target)
    });
    let mut stream = connect(server.address());
    let both = ["/running", "/ready"].map(request).concat();
    stream.write_all(both.as_bytes()).unwrap();
    std::thread::sleep(HANDLER_END);
    server.stop_until(Some(Instant::now() + HANDLER_END));
    let unfinished = server.answer_unfinished(&Response::new(502, "cut off"));
    assert_eq!(unfinished, 1);
    let mut text = String::new();
    std::io::Read::read_to_string(&mut stream, &mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 502"), "{text}");
    assert!(text.ends_with("connection: close\r\n\r\n/ready"), "{text}");
    drop(stream);
    release.send(()).unwrap();
}

/// When requests were answered at the end of a stop while a further one arrived, the reply did not
/// announce the end of the connection, and the stop did not end it.
#[test]
fn unfinished_before_partial_request() {
    let config = ServerConfig {
        stop_grace_ms: 0,
        ..ServerConfig::default()
    };
    let (started, wait_started) = channel();
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let server = start(config, move |request, _| {
        started.send(()).unwrap();
        released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
        Response::new(200, request.target)
    });
    let head = "GET /part HTTP/1.1\r\nhost:";
    let body = "POST /part HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n12";
    let streams = [head, body].map(|part| {
        let mut stream = connect(server.address());
        let sent = request("/running") + part;
        stream.write_all(sent.as_bytes()).unwrap();
        stream
    });
    for _ in &streams {
        wait_started.recv_timeout(TEST_TIMEOUT).unwrap();
    }
    // The rest of what was sent is read meanwhile.
    std::thread::sleep(HANDLER_END);
    assert_eq!(server.answer_unfinished(&Response::new(502, "cut off")), 2);
    for mut stream in &streams {
        let mut text = String::new();
        std::io::Read::read_to_string(&mut stream, &mut text).unwrap();
        assert!(text.contains("\r\nconnection: close\r\n"), "{text}");
    }
    release.send(()).unwrap();
    release.send(()).unwrap();
    server.stop_until(Some(Instant::now() + TEST_TIMEOUT));
    assert_eq!(server.connection_count(), 0);
}
