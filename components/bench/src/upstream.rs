//! Test upstream: an HTTP server with slots, service times, and faults that can be switched on.

mod announce;
mod calls;
mod command;
mod control;
mod crash;
mod hang;
mod slots;

use announce::Announcer;
use calls::handle_request;
pub use command::main;
pub use control::{ServiceTime, Switches};
use crash::crash;
use http::{Request, Server, ServerConfig, serve};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use slots::Slots;
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
