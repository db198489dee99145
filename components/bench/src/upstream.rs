//! Test upstream: an HTTP server with slots, service times, and faults that can be switched on.

mod announce;
mod control;
mod hang;
mod slots;

use crate::options::{parse_rule, wait_for_signal};
use announce::Announcer;
pub use control::{ServiceTime, Switches};
use gumdrop::Options;
use http::{CallerConnection, Request, Response, Server, ServerConfig, serve};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use slots::{Acquired, Slots};
use snafu::{ResultExt, Snafu};
use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Interval at which a running call checks whether its caller has disconnected, and at which other
/// conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a restarting upstream retries to bind its address.
const REBIND_TIMEOUT: Duration = Duration::from_secs(10);

/// Path of health checks; they take no slot.
const HEALTH_PATH: &str = "/health";
/// Header of each response with running calls, waiting calls, slots and pace.
pub const LOAD_HEADER: &str = "x-bench-load";

/// The upstream could not be started.
#[derive(Debug, Snafu)]
pub enum UpstreamError {
    /// The upstream can't listen on its address.
    #[snafu(display("the upstream can't listen on {address}: {source}"))]
    Listen {
        /// Address that the upstream should listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The HTTP server could not be started.
    #[snafu(display("the upstream can't serve: {source}"))]
    Serve {
        /// What the HTTP server failed to do at its start.
        source: http::ServeError,
    },
}

/// Rule of the announcement that assigns a profile to calls by their method and path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AnnouncedRule {
    /// Method that the rule matches; `None` matches every method.
    pub method: Option<String>,
    /// Start of the paths that the rule matches.
    pub path_prefix: String,
    /// Profile of the matching calls.
    pub profile: String,
}

/// Settings of a test upstream.
#[derive(Clone, Debug)]
pub struct UpstreamConfig {
    /// Service that the upstream announces.
    pub service: String,
    /// Name that the instance announces, unique in its service.
    pub name: String,
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Calls that run at once; more wait.
    pub slots: u32,
    /// Connections that are accepted at once.
    pub connections: u32,
    /// Time that a call takes without a disturbance.
    pub service_time: ServiceTime,
    /// Body length of a response, unless the request has `x-bench-bytes`.
    pub response_bytes: usize,
    /// Platform port of the node beside the upstream; without one nothing is announced.
    pub node: Option<SocketAddr>,
    /// Time between announcements.
    pub announce_every_ms: u64,
    /// Profile of the calls that no rule matches.
    pub default_profile: String,
    /// Rules from method and path to profile.
    pub rules: Vec<AnnouncedRule>,
    /// Time after a start or restart in the state `starting`, while service times fall to normal.
    pub cold_start_ms: u64,
    /// Factor on service times at the start of the cold start.
    pub cold_factor: f64,
    /// Time from a crash to the restart; 0 means no restart.
    pub restart_after_ms: u64,
    /// Seed of the service times.
    pub seed: u64,
}

impl Default for UpstreamConfig {
    fn default() -> Self {
        UpstreamConfig {
            service: "catalogue".to_owned(),
            name: "catalogue-1".to_owned(),
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            slots: 6,
            connections: 260,
            service_time: ServiceTime::Fixed { us: 2_000 },
            response_bytes: 200,
            node: None,
            announce_every_ms: 500,
            default_profile: "default".to_owned(),
            rules: Vec::new(),
            cold_start_ms: 0,
            cold_factor: 4.0,
            restart_after_ms: 500,
            seed: 1,
        }
    }
}

/// One call that took a slot and ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Execution {
    /// `x-request-id` of the request; empty if it had none.
    pub request_id: String,
    /// HTTP method of the request.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Start, in microseconds since the upstream started.
    pub at_us: u64,
    /// Time since the request to drain; `None` while not draining.
    pub draining_us: Option<u64>,
}

/// State shared by the HTTP handlers, the announcing thread and restarts.
pub(crate) struct Shared {
    config: UpstreamConfig,
    started: Instant,
    address: SocketAddr,
    slots: Slots,
    switches: Mutex<Switches>,
    draining_since: Mutex<Option<Instant>>,
    cold_since: Mutex<Instant>,
    executions: Mutex<Vec<Execution>>,
    rng: Mutex<Pcg64Mcg>,
    server: Mutex<Option<Server>>,
    crashed: AtomicBool,
    /// Whether the process is about to end and no longer answers.
    hanging: AtomicBool,
    crashes: AtomicU64,
    /// Calls that found no free slot and are never answered.
    hung_full: AtomicU64,
    stopping: AtomicBool,
    announcer: Announcer,
}

/// Locks a mutex, even if a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running test upstream. It stops when dropped.
pub struct Upstream {
    shared: Arc<Shared>,
    announce_thread: Mutex<Option<thread::JoinHandle<()>>>,
}

impl Upstream {
    /// Starts to listen, to serve calls and to announce.
    pub fn start(config: UpstreamConfig) -> Result<Upstream, UpstreamError> {
        let listen = config.listen;
        let listener = TcpListener::bind(listen).context(ListenSnafu { address: listen })?;
        let address = listener
            .local_addr()
            .context(ListenSnafu { address: listen })?;
        let shared = Arc::new(Shared {
            started: Instant::now(),
            address,
            slots: Slots::new(config.slots),
            switches: Mutex::default(),
            draining_since: Mutex::default(),
            cold_since: Mutex::new(Instant::now()),
            executions: Mutex::default(),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(config.seed)),
            server: Mutex::default(),
            crashed: AtomicBool::new(false),
            hanging: AtomicBool::new(false),
            crashes: AtomicU64::new(0),
            hung_full: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            announcer: Announcer::new(&config),
            config,
        });
        shared.serve(listener).context(ServeSnafu)?;
        let announce_thread = thread::spawn({
            let shared = Arc::clone(&shared);
            move || announce::run(&shared)
        });
        Ok(Upstream {
            shared,
            announce_thread: Mutex::new(Some(announce_thread)),
        })
    }

    /// Address that is served.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Changes the switches and sends an announcement at once.
    pub fn update_switches(&self, change: impl FnOnce(&mut Switches)) {
        self.shared.update_switches(change);
    }

    /// Crashes as on a request with `x-bench-crash`: closes all connections and the listener.
    pub fn crash(&self) {
        crash(&self.shared);
    }

    /// Number of crashes since the start.
    pub fn crash_count(&self) -> u64 {
        self.shared.crashes.load(Ordering::Acquire)
    }

    /// All calls that took a slot, in order of their start.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.shared.executions).clone()
    }

    /// Request ids and methods that ran more than once, with the number of runs.
    pub fn repeated_calls(&self) -> Vec<(String, String, usize)> {
        repeated_calls(&self.executions())
    }

    /// Numbers of calls that run now and of calls that wait for a slot.
    pub fn running_and_waiting(&self) -> (u32, u32) {
        self.shared.slots.running_and_waiting()
    }

    /// Number of calls that found no free slot while the switch `hang_full` was on.
    pub fn hung_when_full(&self) -> u64 {
        self.shared.hung_full.load(Ordering::Acquire)
    }

    /// Number of announcements that the node accepted.
    pub fn accepted_announcements(&self) -> u64 {
        self.shared.announcer.accepted()
    }

    /// Withdraws the announcement, finishes the running calls and closes the server.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Release);
        self.shared.announcer.wake();
        if let Some(announce_thread) = lock(&self.announce_thread).take() {
            // A panic in the thread has been printed.
            let _ = announce_thread.join();
        }
        let server = lock(&self.shared.server).take();
        drop(server);
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Request ids and methods that occur more than once in the list, with the number of runs.
pub fn repeated_calls(executions: &[Execution]) -> Vec<(String, String, usize)> {
    let mut counts = BTreeMap::new();
    for execution in executions.iter().filter(|e| !e.request_id.is_empty()) {
        let key = (execution.request_id.clone(), execution.method.clone());
        *counts.entry(key).or_insert(0) += 1;
    }
    counts
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|((id, method), count)| (id, method, count))
        .collect()
}

/// Response body of the given length for a request id: the id and a separator, repeated, so that
/// the response to another call is detected.
pub fn response_body(request_id: &str, bytes: usize) -> Vec<u8> {
    let unit = format!("{request_id};");
    unit.bytes().cycle().take(bytes).collect()
}

impl Shared {
    fn serve(self: &Arc<Self>, listener: TcpListener) -> Result<(), http::ServeError> {
        let config = ServerConfig {
            max_connections: self.config.connections as usize,
            thread_name: "upstream".to_owned(),
            ..ServerConfig::default()
        };
        let shared = Arc::clone(self);
        let server = serve(listener, config, move |request, caller| {
            handle_request(&shared, &request, caller)
        })?;
        *lock(&self.server) = Some(server);
        if self.stopping.load(Ordering::Acquire) {
            // `stop` ran during a restart after a crash and found no server to close.
            let server = lock(&self.server).take();
            drop(server);
        }
        Ok(())
    }

    fn update_switches(&self, change: impl FnOnce(&mut Switches)) {
        let mut switches = lock(&self.switches);
        change(&mut switches);
        let mut draining = lock(&self.draining_since);
        if !switches.drain {
            *draining = None;
        } else if draining.is_none() {
            *draining = Some(Instant::now());
        }
        drop((draining, switches));
        self.slots.wake();
        self.announcer.wake();
    }

    fn switches(&self) -> Switches {
        lock(&self.switches).clone()
    }

    /// Remaining share of the cold start: 1 at its start, 0 from its end on.
    fn cold_start_remaining(&self) -> f64 {
        let total_us = (self.config.cold_start_ms * 1_000) as f64;
        let since_us = lock(&self.cold_since).elapsed().as_micros() as f64;
        if since_us >= total_us {
            0.0
        } else {
            1.0 - since_us / total_us
        }
    }

    /// Draws the service time of one call.
    fn draw_service_time(&self, switches: &Switches) -> Duration {
        let mean = switches.service_time.unwrap_or(self.config.service_time);
        let us = match mean {
            ServiceTime::Fixed { us } => us as f64,
            ServiceTime::Exponential { mean_us } => {
                let uniform: f64 = lock(&self.rng).random();
                -(1.0 - uniform).ln() * mean_us as f64
            }
        };
        let cold = 1.0 + (self.config.cold_factor - 1.0) * self.cold_start_remaining();
        Duration::from_micros((us * switches.slow_factor * cold) as u64)
    }

    fn record(&self, request: &Request, request_id: &str) {
        let draining_us =
            lock(&self.draining_since).map(|since| since.elapsed().as_micros() as u64);
        lock(&self.executions).push(Execution {
            request_id: request_id.to_owned(),
            method: request.method.clone(),
            target: request.target.clone(),
            at_us: self.started.elapsed().as_micros() as u64,
            draining_us,
        });
    }
}

fn handle_request(shared: &Arc<Shared>, request: &Request, caller: &CallerConnection) -> Response {
    if request.target == "/control" {
        return control::handle_control_request(shared, request);
    }
    let request_id = request.headers.get("x-request-id").unwrap_or_default();
    let echo = |response: Response| {
        let load = hang::load_header(shared);
        response
            .with_header("x-request-id", request_id)
            .with_header(LOAD_HEADER, load)
    };
    if shared.hanging.load(Ordering::Acquire) {
        wait_while(|| !caller.is_closed());
        return Response::new(500, "");
    }
    let switches = shared.switches();
    if switches.fail_fast {
        return echo(Response::new(500, "failing fast\n"));
    }
    let is_health_check = request.target == HEALTH_PATH;
    if hang::must_hang(shared, &switches, is_health_check) {
        wait_while(|| !caller.is_closed());
        return Response::new(499, "");
    }
    if is_health_check {
        return echo(Response::new(200, ""));
    }
    let _slot = match shared
        .slots
        .acquire(|| shared.switches().shed, || caller.is_closed())
    {
        Acquired::Slot(slot) => slot,
        Acquired::Shed => return echo(Response::new(503, "shedding load\n")),
        Acquired::Disconnected => return Response::new(499, ""),
    };
    shared.record(request, request_id);
    if let Some(form) = request.headers.get("x-bench-crash") {
        match CrashForm::parse(form) {
            CrashForm::AtOnce => {
                crash(shared);
                wait_while(|| !caller.is_closed());
                return Response::new(500, "");
            }
            CrashForm::Late { after, is_hanging } => {
                shared.hanging.store(is_hanging, Ordering::Release);
                crash_after(shared, after);
                // Ends this connection without a response; the others and the listener live on.
                std::panic::resume_unwind(Box::new("crash"));
            }
        }
    }
    if switches.silent {
        wait_while(|| shared.switches().silent && !caller.is_closed());
    }
    let service_time = shared.draw_service_time(&switches);
    if switches.ignores_disconnects {
        thread::sleep(service_time);
    } else {
        sleep_while_connected(service_time, caller);
    }
    if lock(&shared.rng).random_range(0..100) < switches.drop_percent {
        std::panic::resume_unwind(Box::new("the answer is dropped"));
    }
    let bytes = request
        .headers
        .get("x-bench-bytes")
        .and_then(|value| value.parse().ok())
        .unwrap_or(shared.config.response_bytes);
    echo(
        Response::new(200, response_body(request_id, bytes))
            .with_header("content-type", "application/octet-stream"),
    )
}

/// How an upstream ends under a request with `x-bench-crash`.
enum CrashForm {
    /// With all connections and the listener.
    AtOnce,
    /// The call is cut off; the process ends later.
    Late {
        /// Time for which the process lives on.
        after: Duration,
        /// Whether it no longer answers meanwhile.
        is_hanging: bool,
    },
}

impl CrashForm {
    /// Reads `answer:MS`, `hang:MS` or anything else for an end at once.
    fn parse(text: &str) -> Self {
        let (kind, ms) = text.split_once(':').unwrap_or(("", ""));
        match (kind, ms.parse()) {
            ("answer" | "hang", Ok(ms)) => CrashForm::Late {
                after: Duration::from_millis(ms),
                is_hanging: kind == "hang",
            },
            _ => CrashForm::AtOnce,
        }
    }
}

fn crash_after(shared: &Arc<Shared>, after: Duration) {
    let shared = Arc::clone(shared);
    thread::spawn(move || {
        thread::sleep(after);
        crash(&shared);
    });
}

/// Sleeps for the given time; returns early if the caller disconnects.
fn sleep_while_connected(time: Duration, caller: &CallerConnection) {
    let end = Instant::now() + time;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left <= POLL_INTERVAL {
            thread::sleep(left);
            return;
        }
        thread::sleep(POLL_INTERVAL);
        if caller.is_closed() {
            return;
        }
    }
}

fn wait_while(condition: impl Fn() -> bool) {
    while condition() {
        thread::sleep(POLL_INTERVAL);
    }
}

/// Closes the listener and all connections and restarts after the configured time. Runs on its own
/// thread, because closing the server waits for its handlers, and one of them may be the caller.
fn crash(shared: &Arc<Shared>) {
    if shared.crashed.swap(true, Ordering::AcqRel) {
        return;
    }
    shared.crashes.fetch_add(1, Ordering::AcqRel);
    let shared = Arc::clone(shared);
    thread::spawn(move || {
        let server = lock(&shared.server).take();
        if let Some(server) = &server {
            server.abort();
        }
        drop(server);
        if shared.config.restart_after_ms == 0 {
            return;
        }
        thread::sleep(Duration::from_millis(shared.config.restart_after_ms));
        if let Err(error) = restart(&shared) {
            log::error!(
                "upstream: {} can't be restarted: {error}",
                shared.config.name
            );
        }
    });
}

/// Binds the address again and serves, unless the upstream is being stopped.
fn restart(shared: &Arc<Shared>) -> Result<(), UpstreamError> {
    let deadline = Instant::now() + REBIND_TIMEOUT;
    let address = shared.address;
    while !shared.stopping.load(Ordering::Acquire) {
        match TcpListener::bind(address) {
            Ok(listener) => {
                *lock(&shared.cold_since) = Instant::now();
                shared.crashed.store(false, Ordering::Release);
                shared.hanging.store(false, Ordering::Release);
                shared.serve(listener).context(ServeSnafu)?;
                shared.announcer.wake();
                return Ok(());
            }
            Err(_) if Instant::now() < deadline => thread::sleep(POLL_INTERVAL),
            Err(error) => return Err(error).context(ListenSnafu { address }),
        }
    }
    Ok(())
}

#[derive(Debug, Options)]
struct UpstreamOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "service to announce", default = "catalogue")]
    service: String,
    #[options(no_short, help = "name of the instance", default = "catalogue-1")]
    name: String,
    #[options(
        no_short,
        help = "address to serve",
        meta = "IP:PORT",
        default = "127.0.0.1:0"
    )]
    listen: String,
    #[options(
        no_short,
        help = "platform port of the node beside it",
        meta = "IP:PORT"
    )]
    node: Option<SocketAddr>,
    #[options(no_short, help = "calls that run at once", default = "6")]
    slots: u32,
    #[options(no_short, help = "connections accepted at once", default = "260")]
    connections: u32,
    #[options(no_short, help = "service time in microseconds", default = "2000")]
    service_us: u64,
    #[options(no_short, help = "draw service times from an exponential distribution")]
    exponential: bool,
    #[options(no_short, help = "body length of a response", default = "200")]
    response_bytes: usize,
    #[options(no_short, help = "profile without a rule", default = "default")]
    profile: String,
    #[options(
        no_short,
        help = "rule from method (or *) and path to profile",
        meta = "METHOD:PATH=PROFILE"
    )]
    rule: Vec<String>,
    #[options(no_short, help = "length of the cold start", default = "0")]
    cold_start_ms: u64,
    #[options(
        no_short,
        help = "time that a crash lasts, 0 for ever",
        default = "500"
    )]
    restart_after_ms: u64,
    #[options(no_short, help = "seed of the service times", default = "1")]
    seed: u64,
}

/// `gyard-bench upstream`: serves until SIGINT or SIGTERM, then prints switches and counters as
/// JSON.
pub fn main(args: &[String]) -> i32 {
    let options = match UpstreamOptions::parse_args_default(args) {
        Ok(options) if options.help => {
            println!("{}", UpstreamOptions::usage());
            return 0;
        }
        Ok(options) => options,
        Err(error) => {
            eprintln!("upstream: {error}\n\n{}", UpstreamOptions::usage());
            return 2;
        }
    };
    let config = match options.config() {
        Ok(config) => config,
        Err(error) => {
            eprintln!("upstream: {error}");
            return 2;
        }
    };
    let upstream = match Upstream::start(config) {
        Ok(upstream) => upstream,
        Err(error) => {
            eprintln!("upstream: {error}");
            return 1;
        }
    };
    println!("listening on {}", upstream.address());
    if let Err(error) = wait_for_signal() {
        eprintln!("upstream: signals can't be handled: {error}");
        return 1;
    }
    upstream.stop();
    println!("{}", control::status_json(&upstream.shared));
    0
}

impl UpstreamOptions {
    fn config(self) -> Result<UpstreamConfig, String> {
        let listen = self
            .listen
            .parse()
            .map_err(|_| format!("--listen {}: IP:PORT is expected", self.listen))?;
        let rules: Result<Vec<AnnouncedRule>, String> =
            self.rule.iter().map(|text| parse_rule(text)).collect();
        let service_time = if self.exponential {
            ServiceTime::Exponential {
                mean_us: self.service_us,
            }
        } else {
            ServiceTime::Fixed {
                us: self.service_us,
            }
        };
        Ok(UpstreamConfig {
            service: self.service,
            name: self.name,
            listen,
            slots: self.slots,
            connections: self.connections,
            service_time,
            response_bytes: self.response_bytes,
            node: self.node,
            default_profile: self.profile,
            rules: rules?,
            cold_start_ms: self.cold_start_ms,
            restart_after_ms: self.restart_after_ms,
            seed: self.seed,
            ..UpstreamConfig::default()
        })
    }
}
