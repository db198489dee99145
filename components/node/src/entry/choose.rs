//! Chooses an upstream for one attempt, sends due load probes and logs the decision.

use super::{
    Entry,
    decision::log_decision,
    driver::{CallDriver, DriverState},
};
use calls::Event;
use errors::ErrorKind;
use model::{LoadSignal, NodeId, Profile, UpstreamName};
use routing::{RouteRequest, UpstreamKey};
use std::sync::Arc;
use suspects::Verdict;

/// Messages of one probe: request and reply.
const MESSAGES_PER_PROBE: u32 = 2;

impl Entry {
    /// What the router needs to know for the first attempt of a call.
    pub(super) fn route_request(&self, profile: &Profile) -> RouteRequest<'_> {
        RouteRequest {
            zone: &self.context.kernel.node_settings().availability_zone,
            exclude: &[],
            measure: profile.measure,
            zone_preference: profile.zone_preference,
            idempotent: profile.idempotent,
            hedge: false,
        }
    }
}

impl CallDriver {
    /// Chooses an upstream outside `exclude` and sends the load probes that are due.
    pub(super) fn choose_upstream(
        self: &Arc<Self>,
        state: &mut DriverState,
        exclude: &[UpstreamKey],
    ) -> Event<UpstreamKey> {
        if let Err(kind) = self.entry.check_key(&self.call) {
            return Event::NoRoute(kind);
        }
        if self.call.verdict == Verdict::Trial {
            return self.choose_trial_upstream(exclude);
        }
        let kernel = &self.entry.context.kernel;
        let request = RouteRequest {
            exclude,
            hedge: state.is_hedge,
            ..self.entry.route_request(&self.call.profile)
        };
        let now_us = kernel.clock.now_us();
        let local_load = self.local_load();
        let mut router = self.routes.router();
        if let Some((name, signal)) = local_load
            && let Some(key) = router.key(&name)
        {
            router.record_signal(now_us, key, signal);
        }
        let choice = match router.choose(now_us, &request) {
            Ok(choice) => choice,
            Err(kind) => {
                log::info!(
                    "entry: request {} call {} finds no upstream of {}, {kind}.",
                    self.call.request_id,
                    self.call.call,
                    self.call.service
                );
                return Event::NoRoute(kind);
            }
        };
        if self.should_log_decision(exclude) {
            let attempt = state.owners.len();
            log_decision(&self.call, now_us, &router, &choice, attempt);
        }
        let due = router.take_due_probes(now_us);
        let targets: Vec<(UpstreamKey, NodeId)> = due
            .iter()
            .filter_map(|key| Some((*key, router.upstream(*key)?.node)))
            .collect();
        drop(router);
        for (key, node) in targets {
            self.send_probe(key, node);
        }
        self.record_upstream_found();
        state.max_queue_wait = choice
            .max_queue_wait_us
            .map(|max_queue_wait_us| (choice.upstream, max_queue_wait_us));
        Event::Routed(choice.upstream)
    }

    /// The upstream at which a suspected request is tried. All nodes choose the same one, so that
    /// there is one trial at a time.
    fn choose_trial_upstream(&self, exclude: &[UpstreamKey]) -> Event<UpstreamKey> {
        let context = &self.entry.context;
        let (service, identity) = (&self.call.service, &self.call.identity);
        let name = context.trial_upstream(self.now_us(), service, identity);
        let key = name.and_then(|name| self.routes.router().key(&name));
        match key.filter(|key| !exclude.contains(key)) {
            Some(key) => {
                self.record_upstream_found();
                Event::Routed(key)
            }
            None => Event::NoRoute(ErrorKind::CrashHold),
        }
    }

    /// Load of the local instance, if it belongs to the called service.
    fn local_load(&self) -> Option<(UpstreamName, LoadSignal)> {
        let context = &self.entry.context;
        let upstream = context.local.upstream()?;
        if upstream.service != self.call.service {
            return None;
        }
        let signal = context.local_load.get().and_then(|load| load())?;
        Some((upstream.name, signal))
    }

    /// Retries are always logged, first attempts at the percentage in the settings.
    fn should_log_decision(&self, exclude: &[UpstreamKey]) -> bool {
        let percent = u64::from(
            self.entry
                .context
                .kernel
                .node_settings()
                .decision_log_percent,
        );
        !exclude.is_empty() || self.call.call.sequence % 100 < percent
    }

    fn send_probe(&self, key: UpstreamKey, node: NodeId) {
        let context = &self.entry.context;
        let now_us = self.now_us();
        let in_budget = self.routes.with_budgets(&self.call.profile, |b| {
            b.probes.try_take(now_us, MESSAGES_PER_PROBE)
        });
        if !in_budget {
            context.kernel.metrics.probes_held_back.inc();
            self.routes.router().record_probe_loss(now_us, key);
            return;
        }
        let (routes, clock) = (Arc::clone(&self.routes), context.kernel.clock);
        let was_sent = context.probes.send(
            node.mesh,
            Box::new(move |reply| match reply {
                Some((signal, round_trip_us)) => {
                    routes
                        .router()
                        .record_probe_reply(clock.now_us(), key, signal, round_trip_us);
                }
                None => routes.router().record_probe_loss(clock.now_us(), key),
            }),
        );
        if !was_sent {
            self.routes.router().record_probe_loss(self.now_us(), key);
        }
    }
}
