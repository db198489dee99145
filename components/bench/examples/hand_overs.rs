//! Measures what thread hand-overs add to a call through two processes: direct, through a chain
//! whose threads wait for each other, and through one that works by callbacks.
//! Run: `cargo run --release -p bench --example hand_overs`.

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

const ROUNDS: usize = 6;
const ROUND_MS: u64 = 3_000;
const RATE_PER_S: f64 = 240.0;
const WORKERS: usize = 6;
const PATIENCE: Duration = Duration::from_secs(10);

fn main() {
    let upstream = Upstream::start(UpstreamConfig {
        service_time: ServiceTime::Fixed { us: 500 },
        ..UpstreamConfig::default()
    })
    .expect("the upstream starts");
    let blocking = Chain::blocking(upstream.address());
    let callbacks = Chain::callbacks(upstream.address());
    let ways = [
        ("direct", upstream.address()),
        ("blocking", blocking.server.address()),
        ("callbacks", callbacks.server.address()),
    ];
    let mut reports = ways.map(|_| LoadReport::default());
    for round in 0..ROUNDS {
        for (report, (name, address)) in reports.iter_mut().zip(&ways) {
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
    println!("way,calls,ok,p50_us,p90_us,p99_us,added_p50_us,added_p99_us");
    let base = [0.5, 0.9, 0.99].map(|q| reports[0].latency_quantile_us(q));
    for ((name, _), report) in ways.iter().zip(&reports) {
        let at = [0.5, 0.9, 0.99].map(|q| report.latency_quantile_us(q));
        println!(
            "{name},{},{},{},{},{},{},{}",
            report.counts.total(),
            report.counts.ok,
            at[0],
            at[1],
            at[2],
            at[0] as i64 - base[0] as i64,
            at[2] as i64 - base[2] as i64
        );
    }
}

/// Two transports, with an HTTP server in front and the upstream behind.
struct Chain {
    server: Server,
    _meshes: [Mesh; 2],
}

impl Chain {
    fn blocking(upstream: SocketAddr) -> Chain {
        let (near, far) = (start_mesh(), start_mesh());
        let pool = Arc::new(Pool::new(PoolConfig::new(upstream)));
        let (jobs, taken) = unbounded::<Inbound>();
        for _ in 0..WORKERS {
            let (taken, pool) = (taken.clone(), Arc::clone(&pool));
            thread::spawn(move || {
                while let Ok(inbound) = taken.recv() {
                    let request = decode(&inbound.payload);
                    let result = pool.call(&request, deadline(), &CancelToken::new());
                    let _ = inbound.reply.send(encode_answer(result.ok()));
                }
            });
        }
        far.set_handler(Channel::Call, move |inbound| {
            let _ = jobs.send(inbound);
        });
        let to = far.local_id().mesh;
        let asking = near.clone();
        let server = serve(listen(), ServerConfig::default(), move |request, _| {
            let (sender, receiver) = bounded(1);
            asking.request(
                to,
                Channel::Call,
                encode(&request),
                deadline(),
                move |reply| {
                    let _ = sender.send(reply);
                },
            );
            answer(receiver.recv().ok().and_then(Result::ok))
        });
        Chain {
            server: server.expect("the server starts"),
            _meshes: [near, far],
        }
    }

    fn callbacks(upstream: SocketAddr) -> Chain {
        let (near, far) = (start_mesh(), start_mesh());
        let pool = AsyncPool::new(PoolConfig::new(upstream)).expect("the pool starts");
        far.set_handler(Channel::Call, move |inbound| {
            let request = decode(&inbound.payload);
            pool.call(&request, deadline(), &CancelToken::new(), move |result| {
                let _ = inbound.reply.send(encode_answer(result.ok()));
            });
        });
        let to = far.local_id().mesh;
        let asking = near.clone();
        let server = serve(listen(), ServerConfig::default(), move |request, caller| {
            let early = caller.early_reply();
            let (sender, receiver) = bounded(1);
            asking.request(
                to,
                Channel::Call,
                encode(&request),
                deadline(),
                move |reply| {
                    early.send(&answer(reply.ok()));
                    let _ = sender.send(());
                },
            );
            let _ = receiver.recv();
            // Dropped, because the early reply was sent.
            Response::new(200, "")
        });
        Chain {
            server: server.expect("the server starts"),
            _meshes: [near, far],
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
    Instant::now() + PATIENCE
}

type Parts = (String, Vec<(String, String)>, Vec<u8>);

fn fields(headers: &http::Headers) -> Vec<(String, String)> {
    let own = |(name, value): (&str, &str)| (name.to_owned(), value.to_owned());
    headers.iter().map(own).collect()
}

fn encode(request: &Request) -> Vec<u8> {
    let start = format!("{} {}", request.method, request.target);
    let parts: Parts = (start, fields(&request.headers), request.body.clone());
    postcard::to_stdvec(&parts).expect("it can be encoded")
}

fn decode(bytes: &[u8]) -> Request {
    let (start, headers, body): Parts = postcard::from_bytes(bytes).expect("it can be decoded");
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
    let parts: Parts = (status, fields(&response.headers), response.body);
    postcard::to_stdvec(&parts).expect("it can be encoded")
}

fn answer(bytes: Option<Vec<u8>>) -> Response {
    let Some(bytes) = bytes else {
        return error_response(ErrorKind::OwnerLost);
    };
    let (status, headers, body): Parts = postcard::from_bytes(&bytes).expect("it can be decoded");
    let mut response = Response::new(status.parse().expect("a status"), body);
    response.headers = headers.into_iter().collect();
    response
}
