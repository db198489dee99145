//! Clients beside the nodes: they keep connections open, and come again as the pages say.

use crate::{
    deployment::{Deployment, Machine},
    http::Connection,
    random,
    record::Record,
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// A kind of request.
#[derive(Clone, Copy)]
pub struct Kind {
    pub method: &'static str,
    pub path: &'static str,
    pub body: &'static str,
    /// Key of a tenant.
    pub key: Option<&'static str>,
    pub is_safe: bool,
    pub deadline: Duration,
    pub retries: u32,
}

/// One client attempt and its end; status 0 if there was no answer.
#[derive(Clone)]
pub struct Attempt {
    pub sent_ms: u64,
    pub ended_ms: u64,
    pub id: String,
    pub side: u8,
    pub method: &'static str,
    pub path: &'static str,
    pub status: u16,
}

pub struct Clients {
    stop: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients beside each node, each of which sends `per_s` requests per second.
    pub fn start(
        deployment: &Deployment,
        sides: &[u8],
        kinds: &[Kind],
        count: u32,
        per_s: f64,
    ) -> Self {
        let mut clients = Clients {
            stop: Arc::default(),
            attempts: Arc::default(),
            threads: Vec::new(),
        };
        for side in sides {
            for number in 0..count {
                let client = Client {
                    to: deployment.at(Machine::Side(*side), deployment.ports.outbound),
                    side: *side,
                    kind: kinds[number as usize % kinds.len()],
                    record: deployment.record.clone(),
                    attempts: Arc::clone(&clients.attempts),
                };
                let stop = Arc::clone(&clients.stop);
                clients
                    .threads
                    .push(thread::spawn(move || client.run(&stop, per_s)));
            }
        }
        clients
    }

    /// Ends the clients and returns all attempts.
    pub fn stop(self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::Release);
        for thread in self.threads {
            let _ = thread.join();
        }
        let attempts = self.attempts.lock().unwrap();
        attempts.clone()
    }
}

struct Client {
    to: SocketAddr,
    side: u8,
    kind: Kind,
    record: Record,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Client {
    fn run(&self, stop: &AtomicBool, per_s: f64) {
        let mut kept = None;
        while !stop.load(Ordering::Acquire) {
            // Exponential pauses, so that the clients don't move in step.
            let pause_s = -(1.0 - random::fraction()).ln() / per_s;
            thread::sleep(Duration::from_secs_f64(pause_s.min(3.0)));
            self.call(&mut kept);
        }
    }

    /// Sends a request, and again if it may and has time.
    fn call(&self, kept: &mut Option<Connection>) {
        let until = Instant::now() + self.kind.deadline;
        for attempt in 0..=self.kind.retries {
            let left = until.saturating_duration_since(Instant::now());
            if left < Duration::from_millis(20) {
                return;
            }
            if attempt > 0 {
                // Each further attempt takes a new connection.
                *kept = None;
            }
            let (status, retry_after) = self.attempt(kept, left);
            let is_promise = matches!(status, 408 | 421 | 429 | 503);
            let is_final = matches!(status, 200..=299 | 400 | 401 | 404 | 413 | 431);
            if is_final || !(self.kind.is_safe || is_promise) {
                return;
            }
            let left = until.saturating_duration_since(Instant::now());
            thread::sleep(retry_after.min(left / 3));
        }
    }

    fn attempt(&self, kept: &mut Option<Connection>, left: Duration) -> (u16, Duration) {
        let Kind {
            method, path, body, ..
        } = self.kind;
        let key = self.kind.key.map_or_else(String::new, |key| {
            format!("Authorization: Bearer {key}\r\n")
        });
        let id = random::request_id();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Milliseconds: {}\r\n{key}",
            left.as_millis()
        );
        let sent_ms = self.record.now_ms();
        let connection = kept
            .take()
            .map_or_else(|| Connection::open(self.to, Duration::from_secs(1)), Ok);
        let answer = connection.and_then(|mut connection| {
            let answer = connection.exchange(&head, body.as_bytes(), left)?;
            let closes = answer
                .field("connection")
                .is_some_and(|c| c.eq_ignore_ascii_case("close"));
            *kept = (!closes).then_some(connection);
            Ok(answer)
        });
        let (status, retry_after) = match &answer {
            Ok(answer) => {
                let seconds = answer
                    .field("retry-after")
                    .and_then(|t| t.parse::<f64>().ok());
                (answer.status(), seconds.unwrap_or(0.05))
            }
            Err(_) => (0, 0.05),
        };
        let what = match &answer {
            Ok(_) => status.to_string(),
            Err(error) => format!("no answer, {error}"),
        };
        self.record.add(format!(
            "client at node {}: {method} {path} {id} sent at {sent_ms} ms: {what}",
            self.side
        ));
        self.attempts.lock().unwrap().push(Attempt {
            sent_ms,
            ended_ms: self.record.now_ms(),
            id,
            side: self.side,
            method,
            path,
            status,
        });
        (status, Duration::from_secs_f64(retry_after))
    }
}
