//! Measures how much latency the hand-offs between threads add to a call that passes two nodes.
//! Calls go to an upstream directly, through two mesh transports whose threads block until the next
//! one answers, and through two transports that work with callbacks.
//! Run: `cargo run --release -p bench --example thread_handoffs`.

use bench::{
    load::{LoadConfig, LoadReport, Spacing, run},
    upstream::{ServiceTime, Upstream, UpstreamConfig},
};
use crossbeam::channel::{bounded, unbounded};
use errors::ErrorKind;
use http::{
    AsyncPool, CancelToken, Pool, PoolConfig, Request, Response, Server, ServerConfig,
    error_response, serve, strip_hop_by_hop,
};
use mesh::{Channel, Inbound, Mesh};
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Runs of each route; the routes alternate.
const ROUNDS: usize = 6;
const ROUND_MS: u64 = 3_000;
const RATE_PER_S: f64 = 240.0;
/// Threads that call the upstream in the blocking chain.
const WORKERS: usize = 6;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn main() {
    let upstream = Upstream::start(UpstreamConfig {
        service_time: ServiceTime::Fixed { us: 500 },
        ..UpstreamConfig::default()
    })
    .expect("the upstream starts");
    let blocking = Chain::blocking(upstream.address());
    let callbacks = Chain::callbacks(upstream.address());
    let routes = [
        ("direct", upstream.address()),
        ("blocking", blocking.server.address()),
        ("callbacks", callbacks.server.address()),
    ];
    let mut reports = routes.map(|_| LoadReport::default());
    for round in 0..ROUNDS {
        for (report, (name, address)) in reports.iter_mut().zip(&routes) {
            report.merge(run(&LoadConfig {
                targets: vec![*address],
                rate_per_s: RATE_PER_S,
                spacing: Spacing::Fixed,
                duration_ms: ROUND_MS,
                request_id_prefix: format!("{name}-{round}"),
                ..LoadConfig::default()
            }));
        }
    }
    println!("route,calls,ok,p50_us,p90_us,p99_us,added_p50_us,added_p99_us");
    let direct = [0.5, 0.9, 0.99].map(|q| reports[0].latency_quantile_us(q));
    for ((name, _), report) in routes.iter().zip(&reports) {
        let latency = [0.5, 0.9, 0.99].map(|q| report.latency_quantile_us(q));
        println!(
            "{name},{},{},{},{},{},{},{}",
            report.counts.total(),
            report.counts.ok,
            latency[0],
            latency[1],
            latency[2],
            latency[0] as i64 - direct[0] as i64,
            latency[2] as i64 - direct[2] as i64
        );
    }
}

/// An HTTP server that sends each call over a pair of mesh transports, as between the entry and the
/// owner of a call, to the upstream.
struct Chain {
    server: Server,
    _meshes: [Mesh; 2],
}

impl Chain {
    /// A chain in which a thread waits at each step: the handler for the mesh reply, and a worker
    /// for the answer of the upstream.
    fn blocking(upstream: SocketAddr) -> Chain {
        let (entry_mesh, owner_mesh) = (start_mesh(), start_mesh());
        let pool = Arc::new(Pool::new(PoolConfig::new(upstream)));
        let (sender, jobs) = unbounded::<Inbound>();
        for _ in 0..WORKERS {
            let (jobs, pool) = (jobs.clone(), Arc::clone(&pool));
            thread::spawn(move || {
                while let Ok(inbound) = jobs.recv() {
                    let request = decode(&inbound.payload);
                    let result = pool.call(&request, deadline(), &CancelToken::new());
                    let _ = inbound.reply.send(encode_answer(result.ok()));
                }
            });
        }
        owner_mesh.set_handler(Channel::Call, move |inbound| {
            let _ = sender.send(inbound);
        });
        let to = owner_mesh.local_id().mesh;
        let requester = entry_mesh.clone();
        let server = serve(listen(), ServerConfig::default(), move |request, _| {
            let (sender, receiver) = bounded(1);
            requester.request(
                to,
                Channel::Call,
                encode(&request),
                deadline(),
                move |reply| {
                    let _ = sender.send(reply);
                },
            );
            decode_answer(receiver.recv().ok().and_then(Result::ok))
        });
        Chain {
            server: server.expect("the server starts"),
            _meshes: [entry_mesh, owner_mesh],
        }
    }

    /// A chain whose steps continue in callbacks. Only the thread of the HTTP handler waits.
    fn callbacks(upstream: SocketAddr) -> Chain {
        let (entry_mesh, owner_mesh) = (start_mesh(), start_mesh());
        let pool = AsyncPool::new(PoolConfig::new(upstream)).expect("the pool starts");
        owner_mesh.set_handler(Channel::Call, move |inbound| {
            let request = decode(&inbound.payload);
            pool.call(&request, deadline(), &CancelToken::new(), move |result| {
                let _ = inbound.reply.send(encode_answer(result.ok()));
            });
        });
        let to = owner_mesh.local_id().mesh;
        let requester = entry_mesh.clone();
        let server = serve(listen(), ServerConfig::default(), move |request, caller| {
            let early = caller.early_reply();
            let (sender, receiver) = bounded(1);
            requester.request(
                to,
                Channel::Call,
                encode(&request),
                deadline(),
                move |reply| {
                    early.send(&decode_answer(reply.ok()));
                    let _ = sender.send(());
                },
            );
            let _ = receiver.recv();
            // The server ignores this response, because the early reply was sent.
            Response::new(200, "")
        });
        Chain {
            server: server.expect("the server starts"),
            _meshes: [entry_mesh, owner_mesh],
        }
    }
}

fn start_mesh() -> Mesh {
    let builder = Mesh::builder().key("measurement");
    builder.start().expect("the transport starts")
}

fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback is usable")
}

fn deadline() -> Instant {
    Instant::now() + CALL_TIMEOUT
}

/// Start of the message, header fields and body.
type Message = (String, Vec<(String, String)>, Vec<u8>);

fn fields(headers: &http::Headers) -> Vec<(String, String)> {
    let to_owned = |(name, value): (&str, &str)| (name.to_owned(), value.to_owned());
    headers.iter().map(to_owned).collect()
}

fn encode(request: &Request) -> Vec<u8> {
    let start = format!("{} {}", request.method, request.target);
    let message: Message = (start, fields(&request.headers), request.body.clone());
    postcard::to_stdvec(&message).expect("it can be encoded")
}

fn decode(bytes: &[u8]) -> Request {
    let (start, headers, body): Message = postcard::from_bytes(bytes).expect("it can be decoded");
    let (method, target) = start.split_once(' ').expect("two words");
    Request {
        method: method.to_owned(),
        target: target.to_owned(),
        headers: headers.into_iter().collect(),
        body,
        peer: (Ipv4Addr::LOCALHOST, 0).into(),
    }
}

fn encode_answer(response: Option<Response>) -> Vec<u8> {
    let mut response = response.unwrap_or_else(|| error_response(ErrorKind::UpstreamLost));
    strip_hop_by_hop(&mut response.headers);
    let status = response.status.to_string();
    let message: Message = (status, fields(&response.headers), response.body);
    postcard::to_stdvec(&message).expect("it can be encoded")
}

fn decode_answer(bytes: Option<Vec<u8>>) -> Response {
    let Some(bytes) = bytes else {
        return error_response(ErrorKind::OwnerLost);
    };
    let (status, headers, body): Message = postcard::from_bytes(&bytes).expect("it can be decoded");
    let mut response = Response::new(status.parse().expect("a status"), body);
    response.headers = headers.into_iter().collect();
    response
}
