//! Guards against connections to an upstream that stay open but carry no data any more, while new
//! connections work: a call on such a connection must end by its deadline and run at most once, and
//! later calls must succeed.

mod system;

use bench::upstream::{Upstream, UpstreamConfig};
use serde_json::json;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};
use system::{
    SERVICE, describe_result, execution_count, request, send, start_deployment, test_lock,
    wait_until,
};

/// TCP proxy whose open connections can be made silent: they stay open and drop all data.
struct Relay {
    address: SocketAddr,
    /// Number of connections accepted so far.
    opened: Arc<AtomicU64>,
    /// Connections with a lower number drop their data.
    silent_below: Arc<AtomicU64>,
}

impl Relay {
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Relay {
            address: listener.local_addr().unwrap(),
            opened: Arc::default(),
            silent_below: Arc::default(),
        };
        let (opened, silent_below) = (Arc::clone(&relay.opened), Arc::clone(&relay.silent_below));
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let number = opened.fetch_add(1, Ordering::AcqRel);
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let pairs = [
                    (client.try_clone().unwrap(), server.try_clone().unwrap()),
                    (server, client),
                ];
                for (from, to) in pairs {
                    let silent_below = Arc::clone(&silent_below);
                    thread::spawn(move || forward(from, to, number, &silent_below));
                }
            }
        });
        relay
    }

    /// Makes all connections silent that are open now.
    fn silence_open_connections(&self) {
        self.silent_below
            .store(self.opened.load(Ordering::Acquire), Ordering::Release);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, number: u64, silent_below: &AtomicU64) {
    let mut buffer = [0; 4096];
    loop {
        match from.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(_) if number < silent_below.load(Ordering::Acquire) => (),
            Ok(length) => {
                if to.write_all(&buffer[..length]).is_err() {
                    return;
                }
            }
        }
    }
}

#[test]
fn silent_upstream_connection() {
    let _lock = test_lock();
    let deployment = start_deployment(1);
    let upstream = Upstream::start(UpstreamConfig {
        service: SERVICE.to_owned(),
        ..UpstreamConfig::default()
    })
    .unwrap();
    let relay = Relay::start(upstream.address());
    let url = format!("http://{}/v1/instance", deployment.platform_address(0));
    let announcement = json!({
        "service": SERVICE,
        "name": "behind-relay",
        "address": relay.address,
        "slots": 4,
        "default_profile": "read",
        "rules": [{ "method": "POST", "path_prefix": "/", "profile": "write" }],
    });
    let announce = || {
        let response = attohttpc::put(&url)
            .text(announcement.to_string())
            .send()
            .unwrap();
        assert!(response.is_success());
    };
    announce();
    deployment.wait_for_upstreams(1).unwrap();
    let upstreams = [upstream];
    let headers = [("x-gyard-deadline-ms", "500")];
    let mut log = Vec::new();
    for method in ["GET", "POST"] {
        announce();
        let id = |when: &str| format!("{method}-{when}");
        let call = |when: &str| {
            let answer = send(
                deployment.call_address(0),
                &request(&id(when), method, &headers, ""),
            );
            let runs = execution_count(&upstreams, &id(when));
            assert!(runs <= 1, "{method} {when} ran {runs} times");
            format!("{method} {when}: {}", describe_result(&answer))
        };
        log.push(call("before"));
        relay.silence_open_connections();
        log.push(call("on-the-silent-connection"));
        announce();
        wait_until("a call gets through again", || {
            call("retry").ends_with("200 from the upstream")
                || execution_count(&upstreams, &id("retry")) > 0
        });
        log.push(call("after"));
    }
    insta::assert_snapshot!(log.join("\n"));
}
