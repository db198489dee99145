//! Compares the `http` crate with `tiny_http` as a server and with `attohttpc` as a client, for the
//! ports where either could serve.
//! Run: `cargo run --release -p bench --example http_libraries`; `--no-load` skips the latencies of
//! the servers.

use attohttpc::{ProxySettings, RequestBuilder};
use bench::{
    load::{LoadConfig, LoadReport, run},
    upstream::response_body,
};
use hdrhistogram::Histogram;
use http::{
    CallerConnection, CancelToken, Pool, PoolConfig, Request, Response, Server, ServerConfig, serve,
};
use std::{
    collections::HashSet,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Worker threads that take requests from `tiny_http`, in addition to its thread per connection.
const WORKERS: usize = 8;
/// Runs of each case. The servers alternate, so that disturbances on the host affect both.
const ROUNDS: usize = 5;
const ROUND_MS: u64 = 4_000;
/// Idle connections for which the threads of a server are counted.
const IDLE_CONNECTIONS: usize = 100;
const OVERSIZED_HEAD_BYTES: usize = 64 * 1024 * 1024;
const CLIENT_CALLS: usize = 2_000;
/// Time without a change after which the number of threads counts as stable; longer than the
/// lifetime of idle threads of `tiny_http`.
const STABLE_TIME: Duration = Duration::from_secs(7);
/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn main() {
    let http_serve = start_http_serve();
    let tiny_http = start_tiny_http();
    if !std::env::args().any(|argument| argument == "--no-load") {
        println!("server,bytes,rate_per_s,calls,ok,p50_us,p99_us,p999_us,connections");
        for bytes in [200, 4_096] {
            for rate in [240.0, 2_000.0] {
                compare_servers(http_serve.address(), tiny_http, bytes, rate);
            }
        }
    }
    for (name, address) in [
        ("http::serve", http_serve.address()),
        ("tiny_http", tiny_http),
    ] {
        println!(
            "{name}: threads for {IDLE_CONNECTIONS} idle connections: {}",
            threads_for_idle_connections(address)
        );
    }
    for (name, address) in [
        ("http::serve", http_serve.address()),
        ("tiny_http", tiny_http),
    ] {
        println!("{name}: oversized head: {}", send_oversized_head(address));
    }
    println!("http::serve: closed caller: {}", closed_caller_http_serve());
    println!("tiny_http: closed caller: {}", closed_caller_tiny_http());
    compare_clients();
}

fn id_and_bytes<'a>(get: impl Fn(&str) -> Option<&'a str>) -> (&'a str, usize) {
    let bytes = get("x-bench-bytes").and_then(|value| value.parse().ok());
    (get("x-request-id").unwrap_or_default(), bytes.unwrap_or(0))
}

fn answer(request: &Request) -> Response {
    let (id, bytes) = id_and_bytes(|name| request.headers.get(name));
    Response::new(200, response_body(id, bytes)).with_header("x-request-id", id)
}

fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback is usable")
}

fn serve_with(
    handler: impl Fn(Request, &CallerConnection) -> Response + Send + Sync + 'static,
) -> Server {
    serve(listen(), ServerConfig::default(), handler).expect("the server starts")
}

fn start_http_serve() -> Server {
    serve_with(|request, _| answer(&request))
}

fn start_tiny_http() -> SocketAddr {
    let server = Arc::new(tiny_http::Server::http("127.0.0.1:0").expect("loopback is usable"));
    for _ in 0..WORKERS {
        let server = Arc::clone(&server);
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                answer_tiny_http(request);
            }
        });
    }
    server.server_addr().to_ip().expect("an IP address")
}

fn answer_tiny_http(request: tiny_http::Request) {
    let get = |name: &str| {
        let mut fields = request.headers().iter();
        let field = fields.find(|field| field.field.as_str().as_str().eq_ignore_ascii_case(name));
        field.map(|field| field.value.as_str())
    };
    let (id, bytes) = id_and_bytes(get);
    let echo = tiny_http::Header::from_bytes("x-request-id", id).expect("a valid field");
    let response = tiny_http::Response::from_data(response_body(id, bytes)).with_header(echo);
    // An error means that the caller closed the connection.
    let _ = request.respond(response);
}

/// Puts the same load on both servers and prints their latencies.
fn compare_servers(http_serve: SocketAddr, tiny_http: SocketAddr, bytes: usize, rate: f64) {
    let mut reports = [LoadReport::default(), LoadReport::default()];
    for round in 0..ROUNDS {
        for (report, address) in reports.iter_mut().zip([http_serve, tiny_http]) {
            report.merge(run(&LoadConfig {
                targets: vec![address],
                rate_per_s: rate,
                duration_ms: ROUND_MS,
                response_bytes: bytes,
                seed: round as u64,
                ..LoadConfig::default()
            }));
        }
    }
    for (report, name) in reports.iter().zip(["http::serve", "tiny_http"]) {
        println!(
            "{name},{bytes},{rate},{},{},{},{},{},{}",
            report.counts.total(),
            report.counts.ok,
            report.latency_quantile_us(0.5),
            report.latency_quantile_us(0.99),
            report.latency_quantile_us(0.999),
            report.connections
        );
        if report.counts.ok != report.counts.total() {
            println!("  not ok: {}", report.counts);
        }
    }
}

/// Number in a field of `/proc/self/status`.
fn status_field(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}

/// Number of threads once it is stable. Threads of earlier connections end with a delay; any that
/// end during a measurement would lower its result.
fn stable_thread_count() -> u64 {
    let mut threads = status_field("Threads:");
    let mut since = Instant::now();
    while since.elapsed() < STABLE_TIME {
        thread::sleep(Duration::from_millis(20));
        let now = status_field("Threads:");
        if now != threads {
            (threads, since) = (now, Instant::now());
        }
    }
    threads
}

/// Number of additional threads that a server uses while idle connections are open.
fn threads_for_idle_connections(address: SocketAddr) -> u64 {
    let before = stable_thread_count();
    let connections: Vec<TcpStream> = (0..IDLE_CONNECTIONS)
        .map(|_| {
            let mut stream = TcpStream::connect(address).expect("the server accepts");
            stream
                .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                .expect("the request is sent");
            let mut answer = [0; 1_024];
            let _ = stream.read(&mut answer).expect("the server answers");
            stream
        })
        .collect();
    let during = status_field("Threads:");
    drop(connections);
    during.saturating_sub(before)
}

/// Sends a head far above usual limits. Returns the answer, the bytes that the server accepted and
/// the growth of the process.
fn send_oversized_head(address: SocketAddr) -> String {
    let before_kb = status_field("VmRSS:");
    let mut stream = TcpStream::connect(address).expect("the server accepts");
    stream
        .set_read_timeout(Some(CALL_TIMEOUT))
        .expect("a timeout");
    stream
        .set_write_timeout(Some(CALL_TIMEOUT))
        .expect("a timeout");
    let mut sent = 0;
    if stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nx: ")
        .is_ok()
    {
        let block = [b'a'; 64 * 1024];
        while sent < OVERSIZED_HEAD_BYTES && stream.write_all(&block).is_ok() {
            sent += block.len();
        }
    }
    let grown_kb = status_field("VmRSS:").saturating_sub(before_kb);
    let mut answer = [0; 64];
    // A server that does not refuse the head waits for its end, so that the read times out.
    let line = match stream.read(&mut answer) {
        Ok(count) if count > 0 => String::from_utf8_lossy(&answer[..count])
            .lines()
            .next()
            .unwrap_or_default()
            .to_owned(),
        Ok(_) => "closed without an answer".to_owned(),
        Err(error) => format!("no answer ({:?})", error.kind()),
    };
    format!("{line}; took {sent} bytes, process grew by {grown_kb} KiB")
}

/// Sends a request and closes the connection once the handler runs.
fn call_and_close(address: SocketAddr, started: &AtomicU64) {
    let mut stream = TcpStream::connect(address).expect("the server accepts");
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .expect("the request is sent");
    while started.load(Ordering::Acquire) == 0 {
        thread::yield_now();
    }
}

/// Whether and how fast a handler of `http::serve` notices that its caller closed the connection.
fn closed_caller_http_serve() -> String {
    let started = Arc::new(AtomicU64::new(0));
    let noticed = Arc::new(Mutex::new(None));
    let server = serve_with({
        let (started, noticed) = (Arc::clone(&started), Arc::clone(&noticed));
        move |_, caller| {
            started.store(1, Ordering::Release);
            let since = Instant::now();
            while !caller.is_closed() && since.elapsed() < CALL_TIMEOUT {
                thread::sleep(Duration::from_micros(200));
            }
            *noticed.lock().expect("no panic") = caller.is_closed().then(|| since.elapsed());
            Response::new(200, "")
        }
    });
    call_and_close(server.address(), &started);
    server.stop();
    let noticed = noticed.lock().expect("no panic");
    noticed.map_or("not noticed".to_owned(), |time| {
        format!("noticed in {time:?} while the handler ran")
    })
}

/// Result of an answer by `tiny_http` to a caller that closed the connection. A handler of
/// `tiny_http` can't ask whether its caller did so.
fn closed_caller_tiny_http() -> String {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("loopback is usable");
    let address = server.server_addr().to_ip().expect("an IP address");
    let started = Arc::new(AtomicU64::new(0));
    let handler = thread::spawn({
        let started = Arc::clone(&started);
        move || {
            let request = server.recv().expect("a request");
            started.store(1, Ordering::Release);
            thread::sleep(Duration::from_millis(200));
            request.respond(tiny_http::Response::from_string("late"))
        }
    });
    call_and_close(address, &started);
    let result = handler.join().expect("no panic");
    format!("no interface to ask; respond() after it returned {result:?}")
}

/// Sends the same calls with both clients and prints their latencies and connections.
fn compare_clients() {
    let callers = Arc::new(Mutex::new(HashSet::new()));
    let server = serve_with({
        let callers = Arc::clone(&callers);
        move |request, _| {
            callers.lock().expect("no panic").insert(request.peer);
            answer(&request)
        }
    });
    let address = server.address();
    let pool = Pool::new(PoolConfig::new(address));
    let mut latencies = [(); 2].map(|()| Histogram::<u64>::new(3).expect("a valid precision"));
    let mut connections = [0; 2];
    // The clients alternate in blocks, so that disturbances on the host affect both.
    for block in 0..20 {
        let client = block % 2;
        callers.lock().expect("no panic").clear();
        for _ in 0..CLIENT_CALLS / 10 {
            let since = Instant::now();
            if client == 0 {
                call_pool(&pool, address);
            } else {
                call_attohttpc(address);
            }
            latencies[client].saturating_record(since.elapsed().as_micros() as u64);
        }
        connections[client] += callers.lock().expect("no panic").len();
    }
    for (client, name) in ["http::Pool", "attohttpc"].iter().enumerate() {
        let latency = &latencies[client];
        println!(
            "{name}: {CLIENT_CALLS} calls one after the other, callers' ports {}, p50 {} us, p99 {} us",
            connections[client],
            latency.value_at_quantile(0.5),
            latency.value_at_quantile(0.99)
        );
    }
}

fn call_pool(pool: &Pool, address: SocketAddr) {
    let request = Request {
        method: "GET".to_owned(),
        target: "/".to_owned(),
        headers: [("x-request-id", "a"), ("x-bench-bytes", "200")]
            .into_iter()
            .collect(),
        body: Vec::new(),
        peer: address,
    };
    let response = pool.call(&request, Instant::now() + CALL_TIMEOUT, &CancelToken::new());
    assert_eq!(response.expect("an answer").body.len(), 200);
}

fn call_attohttpc(address: SocketAddr) {
    let response = RequestBuilder::new(attohttpc::Method::GET, format!("http://{address}/"))
        .proxy_settings(ProxySettings::builder().build())
        .header("x-request-id", "a")
        .header("x-bench-bytes", "200")
        .timeout(CALL_TIMEOUT)
        .send();
    let body = response.and_then(attohttpc::Response::bytes);
    assert_eq!(body.expect("an answer").len(), 200);
}
