//! Guards pipelined requests against waiting for one another and against answers out of order.

use http::{Response, ServerConfig};
use std::{
    io::Write,
    sync::{Barrier, Mutex, mpsc::channel},
};

mod common;
use common::{PATIENCE, connect, echo, eventually, read_to, start};

fn request(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// The handlers meet, which they can't one after the other.
#[test]
fn handled_together() {
    let config = ServerConfig {
        max_pipelined: 3,
        ..ServerConfig::default()
    };
    let meeting = Barrier::new(3);
    let server = start(config, move |request, caller| {
        meeting.wait();
        echo(request, caller)
    });
    let mut stream = connect(server.address());
    let all = ["/1", "/2", "/3"].map(request).concat();
    stream.write_all(all.as_bytes()).unwrap();
    for n in 1..=3 {
        read_to(&mut stream, &format!("GET /{n} "));
    }
    server.stop();
}

/// The second answer is ready first and waits for the first.
#[test]
fn answered_in_order() {
    let config = ServerConfig {
        max_pipelined: 2,
        ..ServerConfig::default()
    };
    let (done, is_done) = channel::<()>();
    let is_done = Mutex::new(is_done);
    let server = start(config, move |request, _| {
        match request.target.as_str() {
            "/1" => is_done.lock().unwrap().recv_timeout(PATIENCE).unwrap(),
            _ => done.send(()).unwrap(),
        }
        Response::new(200, request.target)
    });
    let mut stream = connect(server.address());
    let both = ["/1", "/2"].map(request).concat();
    stream.write_all(both.as_bytes()).unwrap();
    let text = read_to(&mut stream, "/2");
    assert!(
        text.find("/1").unwrap() < text.rfind("/2").unwrap(),
        "{text}"
    );
    server.stop();
}

/// An answer that closes the connection leaves what was sent behind it unread.
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
    eventually("its thread ends", || server.connection_count() == 0);
    server.stop();
}

/// Both callers of a connection learn that it closed, whichever request they belong to.
#[test]
fn all_learn_of_close() {
    let config = ServerConfig {
        max_pipelined: 2,
        ..ServerConfig::default()
    };
    let (told, learned) = channel();
    let (entered, has_entered) = channel();
    let server = start(config, move |request, caller| {
        entered.send(()).unwrap();
        let told = told.clone();
        caller.on_close(move || told.send(()).unwrap());
        eventually("the caller is gone", || caller.is_closed());
        Response::new(200, request.target)
    });
    let mut stream = connect(server.address());
    let both = ["/1", "/2"].map(request).concat();
    stream.write_all(both.as_bytes()).unwrap();
    for _ in 0..2 {
        has_entered.recv_timeout(PATIENCE).unwrap();
    }
    drop(stream);
    for _ in 0..2 {
        learned.recv_timeout(PATIENCE).unwrap();
    }
    server.stop();
}

/// A server that leaves must answer what it has read behind the request whose reply closes.
#[test]
fn leaving_answers_all() {
    let config = ServerConfig {
        max_pipelined: 2,
        ..ServerConfig::default()
    };
    let (entered, has_entered) = channel();
    let meeting = std::sync::Arc::new(Barrier::new(3));
    let server = start(config, {
        let meeting = std::sync::Arc::clone(&meeting);
        move |request, _| {
            entered.send(()).unwrap();
            meeting.wait();
            Response::new(200, request.target)
        }
    });
    let mut stream = connect(server.address());
    let both = ["/1", "/2"].map(request).concat();
    stream.write_all(both.as_bytes()).unwrap();
    for _ in 0..2 {
        has_entered.recv_timeout(PATIENCE).unwrap();
    }
    server.drain();
    meeting.wait();
    let mut text = String::new();
    std::io::Read::read_to_string(&mut stream, &mut text).unwrap();
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text}");
    assert_eq!(text.matches("connection: close").count(), 1, "{text}");
    server.stop();
}
