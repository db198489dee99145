//! Open-loop load generator.
//!
//! The times of the calls are fixed in advance. Latency is measured from the intended time, so
//! that it includes the wait behind earlier slow calls (no coordinated omission). Failed calls
//! count with at least their deadline.

mod report;
mod schedule;
mod sender;

use gumdrop::Options;
use http::{Pool, PoolConfig};
pub use report::{CallOutcome, CallRecord, Counts, LoadReport};
use schedule::Schedule;
pub use schedule::Spacing;
use sender::Sender;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{Builder, JoinHandle},
    time::{Duration, Instant},
};

/// Stack size of a sender thread.
const STACK_BYTES: usize = 256 * 1024;
/// Delay before the first call, so that the sender threads are ready.
const START_DELAY: Duration = Duration::from_millis(20);
/// A sender thread sleeps until this long before the intended time and yields for the rest, because
/// the operating system wakes a thread about this late.
const YIELD_TIME: Duration = Duration::from_micros(80);

/// Settings of one load run.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Addresses that the calls are sent to in turn.
    pub targets: Vec<SocketAddr>,
    /// Calls per second.
    pub rate_per_s: f64,
    /// Distribution of the time between calls.
    pub spacing: Spacing,
    /// Time during which calls are scheduled.
    pub duration_ms: u64,
    /// Service name in `host` and `x-gyard-service`.
    pub service: String,
    /// HTTP method of each call.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Body length of a request.
    pub body_bytes: usize,
    /// Body length asked for in `x-bench-bytes` and expected in the response.
    pub response_bytes: usize,
    /// Time from the intended time of a call to its deadline.
    pub deadline_ms: u64,
    /// Time that the caller waits beyond the deadline, so that an error response of the load
    /// balancer still arrives.
    pub grace_ms: u64,
    /// Whether `x-gyard-deadline-ms` is sent.
    pub send_deadline: bool,
    /// Whether each call has its own `idempotency-key`.
    pub send_idempotency_key: bool,
    /// Additional header fields of each call.
    pub headers: Vec<(String, String)>,
    /// Maximum number of calls in flight; further calls start late.
    pub max_in_flight: usize,
    /// Whether a record of each call is kept.
    pub keep_records: bool,
    /// Prefix of the request ids; must differ between runs against the same upstreams.
    pub request_id_prefix: String,
    /// Seed of the random spacing.
    pub seed: u64,
}

impl Default for LoadConfig {
    fn default() -> Self {
        LoadConfig {
            targets: Vec::new(),
            rate_per_s: 240.0,
            spacing: Spacing::Poisson,
            duration_ms: 10_000,
            service: "catalogue".to_owned(),
            method: "GET".to_owned(),
            target: "/".to_owned(),
            body_bytes: 0,
            response_bytes: 200,
            deadline_ms: 1_000,
            grace_ms: 250,
            send_deadline: true,
            send_idempotency_key: false,
            headers: Vec::new(),
            max_in_flight: 1_024,
            keep_records: false,
            request_id_prefix: "run".to_owned(),
            seed: 1,
        }
    }
}

/// A load run in progress.
pub struct LoadRun {
    shared: Arc<Shared>,
    first_threads: Vec<JoinHandle<()>>,
}

/// State shared by the sender threads of a run.
struct Shared {
    schedule: Mutex<Schedule>,
    started: Instant,
    sender: Sender,
    report: Mutex<LoadReport>,
    stopped: AtomicBool,
    /// Number of threads that wait for the time of their call.
    idle_threads: AtomicUsize,
    thread_count: AtomicUsize,
    max_threads: usize,
    added_threads: Mutex<Vec<JoinHandle<()>>>,
}

/// Runs the load to its end.
pub fn run(config: &LoadConfig) -> LoadReport {
    start(config).join()
}

/// Starts the load in threads of its own.
pub fn start(config: &LoadConfig) -> LoadRun {
    let pools = config
        .targets
        .iter()
        .map(|&address| {
            let mut pool = PoolConfig::new(address);
            pool.max_connections = config.max_in_flight;
            Pool::new(pool)
        })
        .collect();
    let shared = Arc::new(Shared {
        schedule: Mutex::new(Schedule::new(config)),
        started: Instant::now() + START_DELAY,
        sender: Sender::new(config, pools),
        report: Mutex::new(LoadReport::new(config.keep_records)),
        stopped: AtomicBool::new(false),
        idle_threads: AtomicUsize::new(0),
        thread_count: AtomicUsize::new(0),
        max_threads: config.max_in_flight.max(1),
        added_threads: Mutex::default(),
    });
    let first_threads = (0..2).filter_map(|_| spawn_sender(&shared)).collect();
    LoadRun {
        shared,
        first_threads,
    }
}

impl LoadRun {
    /// Stops sending; `join` then returns as soon as the calls in flight have ended.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Release);
    }

    /// Waits until all calls have ended.
    pub fn join(self) -> LoadReport {
        for thread in self.first_threads {
            // A panic in the thread has been printed.
            let _ = thread.join();
        }
        loop {
            let next = lock(&self.shared.added_threads).pop();
            let Some(thread) = next else { break };
            let _ = thread.join();
        }
        let mut report = std::mem::take(&mut *lock(&self.shared.report));
        report.elapsed_us = self.shared.started.elapsed().as_micros() as u64;
        report.connections = self.shared.sender.connections_opened();
        report
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts another sender thread, unless the limit is reached or the system refuses.
fn spawn_sender(shared: &Arc<Shared>) -> Option<JoinHandle<()>> {
    if shared.thread_count.fetch_add(1, Ordering::AcqRel) >= shared.max_threads {
        shared.thread_count.fetch_sub(1, Ordering::AcqRel);
        return None;
    }
    shared.idle_threads.fetch_add(1, Ordering::AcqRel);
    let spawned = Builder::new()
        .name("load".to_owned())
        .stack_size(STACK_BYTES)
        .spawn({
            let shared = Arc::clone(shared);
            move || send_scheduled_calls(&shared)
        });
    spawned.ok().or_else(|| {
        shared.idle_threads.fetch_sub(1, Ordering::AcqRel);
        shared.thread_count.fetch_sub(1, Ordering::AcqRel);
        None
    })
}

/// Loop of a sender thread: takes the next call of the schedule, waits for its time and sends it.
/// When the last idle thread becomes busy, it starts another one, so that a slow call delays no
/// other call.
fn send_scheduled_calls(shared: &Arc<Shared>) {
    loop {
        let next = lock(&shared.schedule).next();
        let Some((number, at)) = next.filter(|_| !shared.stopped.load(Ordering::Acquire)) else {
            shared.idle_threads.fetch_sub(1, Ordering::AcqRel);
            return;
        };
        let intended = shared.started + at;
        wait_until(intended, &shared.stopped);
        if shared.stopped.load(Ordering::Acquire) {
            shared.idle_threads.fetch_sub(1, Ordering::AcqRel);
            return;
        }
        if shared.idle_threads.fetch_sub(1, Ordering::AcqRel) == 1 {
            let spawned = spawn_sender(shared);
            lock(&shared.added_threads).extend(spawned);
        }
        let record = shared.sender.send(number, at, intended);
        lock(&shared.report).add(record);
        shared.idle_threads.fetch_add(1, Ordering::AcqRel);
    }
}

fn wait_until(time: Instant, stopped: &AtomicBool) {
    loop {
        let left = time.saturating_duration_since(Instant::now());
        if left.is_zero() || stopped.load(Ordering::Acquire) {
            return;
        }
        match left.checked_sub(YIELD_TIME) {
            // Long sleeps are split, so that a stop is noticed.
            Some(sleep) if !sleep.is_zero() => {
                std::thread::sleep(sleep.min(Duration::from_millis(100)));
            }
            _ => std::thread::yield_now(),
        }
    }
}

#[derive(Debug, Options)]
struct LoadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "address that takes calls; may be repeated",
        meta = "IP:PORT"
    )]
    to: Vec<SocketAddr>,
    #[options(no_short, help = "calls per second", default = "240")]
    rate: f64,
    #[options(no_short, help = "equal spacing instead of Poisson")]
    fixed: bool,
    #[options(no_short, help = "length of the run", default = "10000")]
    duration_ms: u64,
    #[options(no_short, help = "service", default = "catalogue")]
    service: String,
    #[options(no_short, help = "method", default = "GET")]
    method: String,
    #[options(no_short, help = "path and query", default = "/")]
    path: String,
    #[options(no_short, help = "body length of a request", default = "0")]
    body_bytes: usize,
    #[options(no_short, help = "body length of a response", default = "200")]
    response_bytes: usize,
    #[options(no_short, help = "time for one call", default = "1000")]
    deadline_ms: u64,
    #[options(no_short, help = "send an idempotency key with each call")]
    keys: bool,
    #[options(
        no_short,
        help = "header field of each call; may be repeated",
        meta = "NAME:VALUE"
    )]
    header: Vec<String>,
    #[options(no_short, help = "most calls in flight", default = "1024")]
    max_in_flight: usize,
    #[options(no_short, help = "start of the request ids", default = "run")]
    run: String,
    #[options(no_short, help = "seed of the spacing", default = "1")]
    seed: u64,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// `gyard-bench load`: returns exit code 0 if every call was answered as expected, 1 if not, and 2
/// for invalid arguments.
pub fn main(args: &[String]) -> i32 {
    let options = match LoadOptions::parse_args_default(args) {
        Ok(options) if options.help => {
            println!("{}", LoadOptions::usage());
            return 0;
        }
        Ok(options) => options,
        Err(error) => {
            eprintln!("load: {error}\n\n{}", LoadOptions::usage());
            return 2;
        }
    };
    let json = options.json;
    let config = match options.config() {
        Ok(config) => config,
        Err(error) => {
            eprintln!("load: {error}");
            return 2;
        }
    };
    let report = run(&config);
    if json {
        println!("{}", report.to_json());
    } else {
        print!("{}", report.to_text());
    }
    i32::from(report.counts.ok != report.counts.total())
}

impl LoadOptions {
    fn config(self) -> Result<LoadConfig, String> {
        if self.to.is_empty() {
            return Err("--to IP:PORT is missing".to_owned());
        }
        if !(self.rate > 0.0 && self.rate <= 1_000_000.0) {
            return Err(format!("--rate {}: 0 to 1000000 is allowed", self.rate));
        }
        let headers: Result<Vec<_>, String> = self
            .header
            .iter()
            .map(|text| {
                text.split_once(':')
                    .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
                    .ok_or_else(|| format!("--header {text}: NAME:VALUE is expected"))
            })
            .collect();
        Ok(LoadConfig {
            targets: self.to,
            rate_per_s: self.rate,
            spacing: if self.fixed {
                Spacing::Fixed
            } else {
                Spacing::Poisson
            },
            duration_ms: self.duration_ms,
            service: self.service,
            method: self.method,
            target: self.path,
            body_bytes: self.body_bytes,
            response_bytes: self.response_bytes,
            deadline_ms: self.deadline_ms,
            send_idempotency_key: self.keys,
            headers: headers?,
            max_in_flight: self.max_in_flight,
            request_id_prefix: self.run,
            seed: self.seed,
            ..LoadConfig::default()
        })
    }
}
