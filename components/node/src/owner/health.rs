//! Asks the local instance for its health, to learn how fast its host works.

use super::{instance::Instance, state::Owner};
use http::{AsyncPool, CancelToken, Headers, Request, Response};
use limits::PaceView;
use model::ServiceName;
use std::{sync::Arc, time::Duration};

/// Longest wait for the answer. A call that waits for it is then offered all the same.
const CHECK_TIMEOUT: Duration = Duration::from_millis(30);
/// Place of the pace in the load header.
const PACE_FIELD: usize = 3;

impl Owner {
    /// Asks the instance; the calls that wait for the answer are offered when it comes or fails.
    pub(super) fn check_health(self: &Arc<Self>, service: &ServiceName, pool: &Arc<AsyncPool>) {
        let request = Request {
            method: "GET".to_owned(),
            target: self.health_path(service),
            headers: Headers::new(),
            body: Vec::new(),
            peer: self.context.kernel.mesh.local().mesh,
        };
        let deadline = std::time::Instant::now() + CHECK_TIMEOUT;
        let owner = Arc::clone(self);
        self.context.kernel.metrics.health_checks.inc();
        pool.start(&request, deadline, &CancelToken::new(), move |outcome| {
            if let Ok(response) = &outcome {
                owner.note_load(response);
            }
            owner.end_check();
            owner.offer_arrivals();
        });
    }

    /// Asks again while calls wait for a slow host.
    pub(super) fn look_at_pace(self: &Arc<Self>, now_us: u64, instance: &mut Instance) {
        if instance.pace.view(now_us) != PaceView::Ask {
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

    fn end_check(&self) {
        if let Some(instance) = self.lock_instance().as_mut() {
            instance.pace.ask_ended();
        }
    }

    fn health_path(&self, service: &ServiceName) -> String {
        let routes = self.context.kernel.profiles.routes();
        let path = routes.and_then(|table| table.health_path(service));
        path.map_or_else(|| "/health".to_owned(), |path| path.to_string())
    }
}
