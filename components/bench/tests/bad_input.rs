//! Guards each port against invalid input: it must be answered with a specific error, must not run,
//! and must not affect later calls.

mod system;

use serde_json::{Value, json};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream, UdpSocket},
};
use system::{
    describe_result, execution_count, request, send, start_deployment, start_upstreams, test_lock,
};

/// Sends raw bytes and returns the status line and the error code of the answer.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(bytes).unwrap();
    let mut text = String::new();
    // A refused connection may end with a reset after the answer.
    let _ = stream.read_to_string(&mut text);
    let status = text.lines().next().unwrap_or("closed").to_owned();
    let code = text
        .split("\"error\":\"")
        .nth(1)
        .and_then(|rest| rest.split('"').next());
    format!("{status}, {}", code.unwrap_or("no error body"))
}

/// Sends an invalid announcement and returns status, error code and detail of the answer.
fn announce(address: SocketAddr, body: &Value) -> String {
    let url = format!("http://{address}/v1/instance");
    let response = attohttpc::put(url).text(body.to_string()).send().unwrap();
    let status = response.status().as_u16();
    let body: Value = serde_json::from_str(&response.text().unwrap()).unwrap();
    format!(
        "{status} {}: {}",
        body["error"].as_str().unwrap(),
        body["detail"].as_str().unwrap()
    )
}

#[test]
fn call_port() {
    let _lock = test_lock();
    let deployment = start_deployment(1);
    let upstreams = start_upstreams(&deployment, 1);
    let address = deployment.call_address(0);
    let post_with = |headers: &[(&str, &str)]| {
        describe_result(&send(address, &request("bad", "POST", headers, "x")))
    };
    let long_key = "k".repeat(256);
    let big_body = vec![b'x'; (4 << 20) + 1];
    let mut big_request = request("bad", "POST", &[], "");
    big_request.body = big_body;
    let log = [
        format!("unknown service: {}", post_with(&[("host", "nowhere")])),
        format!(
            "service name not allowed: {}",
            post_with(&[("x-gyard-service", "No Such")])
        ),
        format!(
            "deadline zero: {}",
            post_with(&[("x-gyard-deadline-ms", "0")])
        ),
        format!(
            "deadline not a number: {}",
            post_with(&[("x-gyard-deadline-ms", "soon")])
        ),
        format!(
            "key too long: {}",
            post_with(&[("idempotency-key", &long_key)])
        ),
        format!(
            "body too large: {}",
            describe_result(&send(address, &big_request))
        ),
        format!("not HTTP: {}", send_raw(address, b"hello there\r\n\r\n")),
        format!(
            "two lengths: {}",
            send_raw(
                address,
                b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nx"
            )
        ),
        format!(
            "head too large: {}",
            send_raw(
                address,
                format!(
                    "GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
                    "y".repeat(20_000)
                )
                .as_bytes()
            )
        ),
        format!(
            "an ordinary call: {}",
            describe_result(&send(address, &request("good", "POST", &[], "x")))
        ),
    ];
    insta::assert_snapshot!(log.join("\n"));
    assert_eq!(execution_count(&upstreams, "bad"), 0);
    assert_eq!(execution_count(&upstreams, "good"), 1);
}

#[test]
fn platform_port() {
    let _lock = test_lock();
    let deployment = start_deployment(1);
    let address = deployment.platform_address(0);
    let valid = json!({
        "service": "catalogue",
        "name": "catalogue-1",
        "address": "127.0.0.1:9",
        "slots": 4,
        "default_profile": "read",
    });
    let announce_with = |field: &str, value: Value| {
        let mut body = valid.clone();
        body[field] = value;
        format!("{field}: {}", announce(address, &body))
    };
    let rules: Vec<Value> = (0..17)
        .map(|n| json!({ "path_prefix": format!("/{n}"), "profile": "read" }))
        .collect();
    let log = [
        announce_with("slots", json!(0)),
        announce_with("connections", json!(2)),
        announce_with("service", json!("Not A Name")),
        announce_with("state", json!("resting")),
        announce_with("colour", json!("red")),
        announce_with("rules", json!(rules)),
        announce_with(
            "rules",
            json!([{ "path_prefix": "no-slash", "profile": "read" }]),
        ),
    ];
    insta::assert_snapshot!(log.join("\n"));
    assert!(deployment.node(0).directory.all().is_empty());
}

#[test]
fn mesh_port() {
    let _lock = test_lock();
    let deployment = start_deployment(2);
    let upstreams = start_upstreams(&deployment, 2);
    let mesh = deployment.node(1).mesh.local_id().mesh;
    // Bytes that are no frame, and a frame length above the limit, must not stop the port.
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &[0; 3]] {
        let mut stream = TcpStream::connect(mesh).unwrap();
        stream.write_all(bytes).unwrap();
        drop(stream);
        let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
        udp.send_to(bytes, mesh).unwrap();
    }
    let foreign = mesh::Mesh::builder().key([9; 32]).start().unwrap();
    let (sender, receiver) = std::sync::mpsc::channel();
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(5);
    foreign.request(mesh, mesh::Channel::Sync, vec![1], deadline, move |reply| {
        sender.send(reply).unwrap();
    });
    assert!(
        receiver.recv().unwrap().is_err(),
        "a peer with another key got a reply"
    );
    foreign.stop();
    for (number, node) in [0, 1].into_iter().enumerate() {
        let id = format!("after-{number}");
        let answer = send(
            deployment.call_address(node),
            &request(&id, "POST", &[], "x"),
        )
        .unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(execution_count(&upstreams, &id), 1);
    }
}
