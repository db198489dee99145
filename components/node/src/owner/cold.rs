//! Limits the calls to the local instance while it is cold.

use super::{instance::Instance, state::Owner};
use crate::refusal_log::is_logged;
use api::ColdState;
use errors::ErrorKind;
use http::Response;
use kernel::{Event, InstanceStart};
use limits::{ColdLimiter, ColdRate};
use model::{LoadSignal, ServiceName};
use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

/// Longest cold period that is accepted, so that a wrong report can't limit an instance for hours.
const MAX_COLD: Duration = Duration::from_secs(600);

/// The limit of the local instance, which outlives its announcement: an instance that announces
/// itself again must not get a second full window.
pub(super) struct ColdInstance {
    limiter: Mutex<ColdLimiter>,
    /// Whether there is a limit, so that calls of services without one take no lock.
    has_rate: AtomicBool,
    /// Time of the last call that was sent without a limit; 0 if there was none.
    last_unlimited_us: AtomicU64,
}

impl ColdInstance {
    pub(super) fn new(started_us: u64) -> Self {
        ColdInstance {
            limiter: Mutex::new(ColdLimiter::new(started_us)),
            has_rate: AtomicBool::new(false),
            last_unlimited_us: AtomicU64::new(0),
        }
    }

    fn set_rate(&self, rate: Option<ColdRate>) {
        let mut limiter = self.lock();
        let last_us = self.last_unlimited_us.load(Ordering::Acquire);
        if last_us > 0 {
            limiter.record_unlimited(last_us);
        }
        limiter.set_rate(rate);
        self.has_rate.store(limiter.has_rate(), Ordering::Release);
    }

    fn extend(&self, now_us: u64, remaining: Duration) {
        let remaining_us = remaining.min(MAX_COLD).as_micros() as u64;
        self.lock().extend(now_us + remaining_us);
    }

    pub(super) fn has_room(&self, now_us: u64) -> bool {
        !self.has_rate.load(Ordering::Acquire) || self.lock().room_in_us(now_us) == 0
    }

    fn try_send(&self, now_us: u64) -> bool {
        if !self.has_rate.load(Ordering::Acquire) {
            self.last_unlimited_us.fetch_max(now_us, Ordering::AcqRel);
            return true;
        }
        self.lock().try_send(now_us)
    }

    /// Rest of the cold period, calls allowed in any second and time until the next one is allowed;
    /// `None` for services without a limit.
    pub(super) fn state(&self, now_us: u64) -> Option<ColdState> {
        if !self.has_rate.load(Ordering::Acquire) {
            return None;
        }
        let limiter = self.lock();
        Some(ColdState {
            cold_left_ms: limiter.cold_left_us(now_us) / 1_000,
            max_per_s: limiter.current_max(now_us),
            room_in_ms: limiter.room_in_us(now_us).div_ceil(1_000),
        })
    }

    pub(super) fn limit_signal(&self, now_us: u64, signal: LoadSignal) -> LoadSignal {
        if !self.has_rate.load(Ordering::Acquire) {
            return signal;
        }
        self.lock().limit_signal(now_us, signal)
    }

    fn lock(&self) -> MutexGuard<'_, ColdLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Owner {
    /// Applies the limit that the configuration sets for the service of the local instance.
    pub(super) fn apply_cold_limit(&self) {
        let service = self.context.local.service();
        let rate = service.and_then(|service| self.cold_rate(&service));
        self.shared.cold.set_rate(rate);
    }

    /// Handles the news that the instance is cold.
    pub(super) fn handle_cold(&self, remaining: Duration) {
        self.shared.cold.extend(self.now_us(), remaining);
    }

    /// Reads the rest of the cold period from the response to a health check.
    pub(super) fn read_cold_header(&self, response: &Response) {
        let names = &self.context.kernel.node_settings().headers;
        let text = names.cold_ms.and_then(|name| response.headers.get(name));
        let remaining_ms = text.and_then(|text| text.trim().parse::<u64>().ok());
        if let Some(remaining_ms) = remaining_ms.filter(|ms| *ms > 0) {
            self.handle_cold(Duration::from_millis(remaining_ms));
        }
    }

    /// The instance takes no connection. When it does, it is a new process, which may get calls
    /// before its first report.
    pub(super) fn expect_cold_start(&self) {
        let remaining_ms = self.context.local.cold_ms_after_start();
        if remaining_ms > 0 {
            self.handle_cold(Duration::from_millis(remaining_ms));
        }
    }

    /// Refusal of a call that arrives while a cold instance can take no more calls.
    pub(super) fn cold_refusal(&self, now_us: u64) -> Option<ErrorKind> {
        (!self.shared.cold.has_room(now_us)).then(|| self.count_cold_refusal(now_us))
    }

    /// As `cold_refusal`, for a call that is about to be sent; otherwise it counts.
    pub(super) fn cold_refusal_at_start(&self, now_us: u64) -> Option<ErrorKind> {
        (!self.shared.cold.try_send(now_us)).then(|| self.count_cold_refusal(now_us))
    }

    fn count_cold_refusal(&self, now_us: u64) -> ErrorKind {
        let refused = self.context.kernel.metrics.cold_refused.inc() + 1;
        if is_logged(refused) {
            let room_in_us = self.shared.cold.lock().room_in_us(now_us);
            log::info!(
                "owner: cold limit of the instance reached; next call allowed in \
                 {} ms, {refused} calls refused so far.",
                room_in_us / 1_000
            );
        }
        ErrorKind::Overloaded
    }

    fn cold_rate(&self, service: &ServiceName) -> Option<ColdRate> {
        let kernel = &self.context.kernel;
        let limit = kernel.profiles.routes()?.cold_limit(service)?;
        let settings = kernel.node_settings();
        Some(ColdRate {
            calls_per_s: limit.calls_per_s.as_ref()?.to_f64(),
            overage_percent: settings.cold_overage_percent,
            slack: settings.cold_slack,
            duration_us: limit
                .duration_s
                .map(|duration_s| (duration_s.to_f64() * 1_000_000.0) as u64),
        })
    }
}

/// Keeps the limit up to date with the configuration and with reports of the instance.
pub(super) fn watch_cold_instance(owner: &Arc<Owner>) {
    let events = &owner.context.kernel.events;
    events.subscribe({
        let owner = Arc::clone(owner);
        move |event| {
            if let Event::LocalInstanceCold {
                remaining_ms,
                start,
            } = event
            {
                let remaining = Duration::from_millis(*remaining_ms).min(MAX_COLD);
                match start {
                    InstanceStart::Unknown => {}
                    InstanceStart::Recent => {
                        let mut limiter = owner.shared.cold.lock();
                        limiter.record_first_report(remaining.as_micros() as u64);
                    }
                    InstanceStart::Observed => owner.shared.cold.lock().upstream_started(),
                }
                owner.handle_cold(remaining);
            }
        }
    });
    events.apply_on(
        |event| {
            matches!(
                event,
                Event::ProfilesChanged(_) | Event::LocalUpstreamChanged(_)
            )
        },
        {
            let owner = Arc::clone(owner);
            move || owner.apply_cold_limit()
        },
    );
}

impl Instance {
    /// Load signal with the capacity that the instance has while it is cold.
    pub(super) fn with_cold_limit(&self, now_us: u64, signal: LoadSignal) -> LoadSignal {
        self.cold.limit_signal(now_us, signal)
    }
}
