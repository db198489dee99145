//! Asks the local instance for its health, to learn how fast its host works.

use super::{
    instance::{Instance, Job},
    state::Owner,
};
use calls::Fingerprint;
use http::{AsyncPool, CallError, CancelToken, Headers, Request, Response};
use kernel::Event;
use limits::PaceStatus;
use model::ServiceName;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Longest wait for the answer. A call that waits for it is then offered all the same.
const CHECK_TIMEOUT: Duration = Duration::from_millis(30);
/// Checks whether an instance still listens after it cut off a call.
const CRASH_CHECKS: u32 = 4;
/// Pause between two such checks.
const CRASH_CHECK_PAUSE: Duration = Duration::from_millis(15);
/// Longest wait for a sign of life after a call was cut off.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Place of the pace in the load header.
const PACE_FIELD: usize = 3;

impl Owner {
    /// Asks the instance; the calls that wait for the answer are offered when it comes or fails.
    pub(super) fn check_health(self: &Arc<Self>, service: &ServiceName, pool: &Arc<AsyncPool>) {
        let request = self.health_request(service);
        let deadline = Instant::now() + CHECK_TIMEOUT;
        let owner = Arc::clone(self);
        self.context.kernel.metrics.health_checks.inc();
        pool.call(&request, deadline, &CancelToken::new(), move |outcome| {
            if let Ok(response) = &outcome {
                owner.note_load(response);
            }
            owner.end_check();
            owner.offer_arrivals();
        });
    }

    /// Notes that the instance cut off a call, and takes it back if something still listens there. A
    /// lost answer or a reset connection says nothing about the request, and one that is refused as
    /// a suspect could not clear itself by another run. The note comes first, because its caller may
    /// send the request to another node at once.
    pub(super) fn suspect_crash(self: &Arc<Self>, job: &Job) {
        self.note_crash(&job.call);
        self.check_listening(&job.pool, job.call.fingerprint, CRASH_CHECKS);
    }

    fn check_listening(
        self: &Arc<Self>,
        pool: &Arc<AsyncPool>,
        fingerprint: Fingerprint,
        checks_left: u32,
    ) {
        let service = self
            .lock_instance()
            .as_ref()
            .map(|instance| instance.upstream.service.clone());
        let Some(service) = service else {
            return;
        };
        let request = self.health_request(&service);
        let deadline = Instant::now() + CRASH_CHECK_TIMEOUT;
        let (owner, next) = (Arc::clone(self), Arc::clone(pool));
        pool.call(&request, deadline, &CancelToken::new(), move |outcome| {
            match outcome {
                Err(CallError::NotSent) => {}
                // The listener of a crashing process may outlive its connections for a moment.
                Err(CallError::ConnectionLost) if checks_left > 1 => {
                    std::thread::spawn(move || {
                        std::thread::sleep(CRASH_CHECK_PAUSE);
                        owner.check_listening(&next, fingerprint, checks_left - 1);
                    });
                }
                _ => owner.clear_suspect(&fingerprint),
            }
        });
    }

    fn clear_suspect(&self, fingerprint: &Fingerprint) {
        log::info!("owner: the instance still listens, so the call that it cut off is no suspect.");
        self.note_answered(fingerprint);
        self.context
            .kernel
            .events
            .publish(&Event::CrashSuspectsChanged);
    }

    /// Asks again while calls wait for a slow host.
    pub(super) fn look_at_pace(self: &Arc<Self>, now_us: u64, instance: &mut Instance) {
        if instance.pace.check(now_us) != PaceStatus::QueryDue {
            return;
        }
        let pool = Arc::clone(&instance.pool);
        let service = instance.upstream.service.clone();
        let owner = Arc::clone(self);
        // The lock on the instance is held here, and a failed start calls back at once.
        std::thread::spawn(move || owner.check_health(&service, &pool));
    }

    /// Takes in the load header of any message of the instance.
    pub(super) fn note_load(self: &Arc<Self>, response: &Response) {
        let names = &self.context.kernel.node_settings().headers;
        let Some(text) = names.load.and_then(|name| response.headers.get(name)) else {
            return;
        };
        let pace = text.split(',').nth(PACE_FIELD);
        if let Some(percent) = pace.and_then(|field| field.trim().parse().ok()) {
            self.note_pace(percent);
        }
    }

    fn health_request(&self, service: &ServiceName) -> Request {
        Request {
            method: "GET".to_owned(),
            target: self.health_path(service),
            headers: Headers::new(),
            body: Vec::new(),
            peer: self.context.kernel.mesh.local_id().mesh,
        }
    }

    fn end_check(&self) {
        if let Some(instance) = self.lock_instance().as_mut() {
            instance.pace.end_query();
        }
    }

    fn health_path(&self, service: &ServiceName) -> String {
        let routes = self.context.kernel.profiles.routes();
        let path = routes.and_then(|table| table.health_path(service));
        path.map_or_else(|| "/health".to_owned(), |path| path.to_string())
    }
}
