//! Announces the upstream to the node beside it.

use super::{AnnouncedRule, Shared, UpstreamConfig, lock};
use attohttpc::{Method, ProxySettings, RequestBuilder};
use serde::Serialize;
use std::{
    net::SocketAddr,
    sync::{
        Condvar, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Longest wait for the node's answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Wakes the announcing thread and counts accepted announcements.
pub(super) struct Announcer {
    interval: Duration,
    /// Whether to announce before the interval has passed.
    is_due: Mutex<bool>,
    wake: Condvar,
    accepted: AtomicU64,
}

/// Body of `PUT /v1/instance` and `DELETE /v1/instance` on the node.
#[derive(Serialize)]
struct Announcement<'a> {
    service: &'a str,
    name: &'a str,
    address: SocketAddr,
    slots: u32,
    connections: u32,
    state: &'static str,
    default_profile: &'a str,
    rules: &'a [AnnouncedRule],
    in_flight: u32,
    queue: u32,
    load: f64,
}

impl Announcer {
    pub(super) fn new(config: &UpstreamConfig) -> Self {
        Announcer {
            interval: Duration::from_millis(config.announce_every_ms),
            is_due: Mutex::new(false),
            wake: Condvar::new(),
            accepted: AtomicU64::new(0),
        }
    }

    /// Makes the announcing thread announce at once.
    pub(super) fn wake(&self) {
        *lock(&self.is_due) = true;
        self.wake.notify_all();
    }

    pub(super) fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Acquire)
    }

    /// Waits until the next announcement is due.
    fn wait(&self) {
        let mut is_due = self
            .wake
            .wait_timeout_while(lock(&self.is_due), self.interval, |is_due| !*is_due)
            .unwrap_or_else(PoisonError::into_inner)
            .0;
        *is_due = false;
    }
}

/// Announces the upstream until it stops, then withdraws the announcement.
pub(super) fn run(shared: &Shared) {
    let Some(node) = shared.config.node else {
        return;
    };
    let url = format!("http://{node}/v1/instance");
    while !shared.stopping.load(Ordering::Acquire) {
        let is_muted = shared.switches().mute || shared.crashed.load(Ordering::Acquire);
        if !is_muted && send(shared, Method::PUT, &url, announced_state(shared)) {
            shared.announcer.accepted.fetch_add(1, Ordering::AcqRel);
        }
        shared.announcer.wait();
    }
    if !shared.crashed.load(Ordering::Acquire) {
        send(shared, Method::DELETE, &url, "stopping");
    }
}

fn announced_state(shared: &Shared) -> &'static str {
    if shared.switches().drain {
        "draining"
    } else if shared.cold_start_remaining() > 0.0 {
        "starting"
    } else {
        "serving"
    }
}

/// Sends an announcement; true if the node accepted it.
fn send(shared: &Shared, method: Method, url: &str, state: &'static str) -> bool {
    let config = &shared.config;
    let (in_flight, queue) = if shared.switches().misreport {
        (0, 0)
    } else {
        shared.slots.running_and_waiting()
    };
    let announcement = Announcement {
        service: &config.service,
        name: &config.name,
        address: shared.address,
        slots: config.slots,
        connections: config.connections,
        state,
        default_profile: &config.default_profile,
        rules: &config.rules,
        in_flight,
        queue,
        load: f64::from(in_flight + queue) / f64::from(config.slots.max(1)),
    };
    let Ok(body) = serde_json::to_string(&announcement) else {
        return false;
    };
    let result = RequestBuilder::new(method, url)
        .proxy_settings(ProxySettings::builder().build())
        .header("content-type", "application/json")
        .timeout(TIMEOUT)
        .text(body)
        .send();
    match result {
        Ok(response) if response.is_success() => true,
        Ok(response) => {
            let status = response.status();
            let text = response.text().unwrap_or_default();
            log::warn!("upstream: the node answered {status}: {}", text.trim());
            false
        }
        Err(error) => {
            log::debug!("upstream: the node can't be reached: {error}");
            false
        }
    }
}
