//! Crashes of a test upstream, and its restarts.

use super::{ListenSnafu, POLL_INTERVAL, ServeSnafu, Shared, UpstreamError, lock};
use snafu::ResultExt;
use std::{
    net::TcpListener,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

/// How long a restarting upstream retries to bind its address.
const REBIND_TIMEOUT: Duration = Duration::from_secs(10);

/// How an upstream ends under a request with `x-bench-crash`.
pub(super) enum CrashForm {
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
    pub(super) fn parse(text: &str) -> Self {
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

pub(super) fn crash_after(shared: &Arc<Shared>, after: Duration) {
    let shared = Arc::clone(shared);
    thread::spawn(move || {
        thread::sleep(after);
        crash(&shared);
    });
}

/// Closes the listener and all connections and restarts after the configured time. Runs on its own
/// thread, because closing the server waits for its handlers, and one of them may be the caller.
pub(super) fn crash(shared: &Arc<Shared>) {
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
