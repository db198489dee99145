//! Health checks of the local instance, which read the pace of its host.

use super::{instance::Instance, lost_work::ReportedCalls, state::Owner};
use crate::health_request::health_request;
use http::{AsyncPool, CancelToken, Response};
use limits::PaceStatus;
use model::ServiceName;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Timeout of a health check. Calls that wait for it then go to admission without a current pace.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(30);
/// Index of the pace among the comma-separated fields of the load header.
const PACE_FIELD: usize = 3;

impl Owner {
    /// Sends a health check; when it ends, also by a failure, the calls that wait for it go to
    /// admission.
    pub(super) fn check_health(self: &Arc<Self>, service: &ServiceName, pool: &Arc<AsyncPool>) {
        let request = health_request(&self.context.kernel, service);
        let deadline = Instant::now() + HEALTH_CHECK_TIMEOUT;
        let (owner, checked) = (Arc::clone(self), Arc::clone(pool));
        let sent_us = self.now_us();
        self.context.kernel.metrics.health_checks.inc();
        pool.call(&request, deadline, &CancelToken::new(), move |outcome| {
            if let Ok(response) = &outcome {
                owner.read_cold_header(response);
                owner.read_load_header(response, sent_us);
            }
            owner.end_counted_check(&checked);
            owner.end_health_check();
            owner.admit_pending_arrivals();
        });
    }

    /// Sends another health check if the pace is outdated; used while calls wait for a slow host.
    pub(super) fn refresh_pace(self: &Arc<Self>, now_us: u64, instance: &mut Instance) {
        if instance.pace.check(now_us) != PaceStatus::QueryDue {
            return;
        }
        if !self.try_begin_health_check(instance) {
            instance.pace.cancel_query();
            return;
        }
        let pool = Arc::clone(&instance.pool);
        let service = instance.upstream.service.clone();
        let owner = Arc::clone(self);
        // In another thread: the caller holds the instance lock, and a request that can't be
        // started runs its callback at once, which takes the same lock.
        std::thread::spawn(move || owner.check_health(&service, &pool));
    }

    /// Reads the load header of a response of the instance to a message that was sent at `sent_us`.
    pub(super) fn read_load_header(self: &Arc<Self>, response: &Response, sent_us: u64) {
        let names = &self.context.kernel.node_settings().headers;
        let Some(text) = names.load.and_then(|name| response.headers.get(name)) else {
            return;
        };
        if let Some(reported) = ReportedCalls::parse(text) {
            self.record_reported_calls(sent_us, reported);
        }
        let pace = text.split(',').nth(PACE_FIELD);
        if let Some(percent) = pace.and_then(|field| field.trim().parse().ok()) {
            self.record_pace(percent);
        }
    }

    fn end_health_check(&self) {
        if let Some(instance) = self.lock_instance().as_mut() {
            instance.pace.end_query();
        }
    }
}
