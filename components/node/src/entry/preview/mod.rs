//! Where a call would go now and why, for route queries. The steps and rules are those of a real call;
//! the parts that change state are read or run on copies. Nothing is counted, taken or logged.

mod figures;

use super::{
    Entry,
    call::{fingerprint, requested_service, sender_identity},
    customers::identify,
    driver::send::{QueueWait, queue_wait},
};
use api::{AdmissionInfo, RouteAnswer, RouteOutcome, RouteQuery};
use config::{MatchedRoute, Quantity, RouteTable};
use errors::ErrorKind;
use figures::{candidates, cold_limit, left_out, matched_route, quota_info, split_parts};
use http::{Headers, Request};
use model::{
    AttemptId, CallId, Fingerprint, Profile, ServiceName, Upstream, UpstreamName, ZonePreference,
};
use quota::{Admission, Verdict as QuotaVerdict};
use routing::{CandidateFigures, Router};
use std::{net::Ipv4Addr, sync::Arc};
use suspects::Verdict;
use wire::{HttpMessage, RunCall};

/// Longest time left that is assumed at the owner for calls without a latency target.
const NO_TARGET_US: u64 = u64::MAX;

/// A refusal: its kind and what it refers to.
struct Refusal {
    kind: ErrorKind,
    detail: String,
    retry_after_ms: Option<u64>,
}

/// Service and profile of a call, and its customer.
struct Target {
    service: ServiceName,
    profile: Profile,
    target_us: u64,
    customer: Option<Arc<str>>,
}

fn refuse(kind: ErrorKind, detail: impl Into<String>) -> Refusal {
    Refusal {
        kind,
        detail: detail.into(),
        retry_after_ms: None,
    }
}

impl Entry {
    /// Answers a route query. Has no effect on later decisions and on counters.
    pub(super) fn preview(&self, query: &RouteQuery) -> RouteAnswer {
        let now_us = self.context.kernel.clock.now_us();
        let mut answer = self.empty_answer(now_us, query);
        answer.outcome = match self.preview_decision(now_us, &mut answer) {
            Ok((upstream, reason)) => RouteOutcome::Sent { upstream, reason },
            Err(refusal) => RouteOutcome::Refused {
                error: refusal.kind.info().code.to_owned(),
                status: refusal.kind.info().status,
                detail: refusal.detail,
                retry_after_ms: refusal.retry_after_ms,
            },
        };
        answer
    }

    /// An answer with the state of this node, for a call about which nothing is decided yet.
    fn empty_answer(&self, now_us: u64, query: &RouteQuery) -> RouteAnswer {
        let kernel = &self.context.kernel;
        RouteAnswer {
            node: kernel.mesh.local_id().mesh,
            availability_zone: kernel.node_settings().availability_zone.clone(),
            revision: kernel.profiles.revision(),
            revision_age_ms: kernel.profiles.age_ms(now_us),
            configuration: None,
            call: query.clone(),
            outcome: RouteOutcome::Refused {
                error: String::new(),
                status: 0,
                detail: String::new(),
                retry_after_ms: None,
            },
            notes: Vec::new(),
            route: None,
            split: Vec::new(),
            service: None,
            priority: None,
            suspect: None,
            quota: None,
            evacuated_zones: kernel.profiles.evacuated_zones().iter().cloned().collect(),
            cold_limit: None,
            candidates: Vec::new(),
            left_out: Vec::new(),
            admission: None,
        }
    }

    /// Decides as for a call that arrives now, and fills the answer with what it comes to.
    fn preview_decision(
        &self,
        now_us: u64,
        answer: &mut RouteAnswer,
    ) -> Result<(UpstreamName, String), Refusal> {
        if self.is_stop_notice_over(now_us) {
            return Err(refuse(ErrorKind::Stopping, "this node is stopping"));
        }
        let request = request_of(&answer.call);
        // Before the table, as for calls.
        let may_accept_keys = self.context.revocation.may_accept_keys();
        // Read once, so that the whole answer is from one configuration.
        let table = self.context.kernel.profiles.routes();
        let table = table.as_deref();
        let target = self.preview_target(&request, table, may_accept_keys, answer)?;
        answer.service = Some(target.service.clone());
        answer.priority = Some(target.profile.priority);
        let router = self.preview_router(now_us, &target.service);
        answer.left_out = left_out(&self.context, &target.service, &router);
        let (identity, verdict) = self.preview_suspect(now_us, &request, &target, answer)?;
        if let Some(customer) = &target.customer {
            self.preview_quota(customer, table, answer)?;
        }
        self.preview_choice(now_us, &router, &target, (identity, verdict), answer)
    }

    /// As `resolve_target`, with the customer by its name.
    fn preview_target(
        &self,
        request: &Request,
        table: Option<&RouteTable>,
        may_accept_keys: bool,
        answer: &mut RouteAnswer,
    ) -> Result<Target, Refusal> {
        if let Some(table) = table {
            answer.configuration = Some(table.configuration().version);
            return self.preview_route(table, may_accept_keys, answer);
        }
        if self.context.kernel.node_settings().require_configuration {
            let detail = "this node has no configuration yet";
            return Err(refuse(ErrorKind::NotConfigured, detail));
        }
        answer.notes.push(
            "there is no configuration; the service is told by the host, the profile by the rules \
             of its instances, and customers and ranks have no effect"
                .to_owned(),
        );
        let unknown = || {
            format!(
                "no instance of a service named by host {:?}",
                answer.call.host
            )
        };
        let service = requested_service(request)
            .ok_or_else(|| refuse(ErrorKind::UnknownService, unknown()))?;
        let profile = self
            .announced_profile(&service, &answer.call.method, path_of(&answer.call))
            .map_err(|kind| refuse(kind, unknown()))?;
        Ok(Target {
            service,
            profile,
            target_us: NO_TARGET_US,
            customer: None,
        })
    }

    fn preview_route(
        &self,
        table: &RouteTable,
        may_accept_keys: bool,
        answer: &mut RouteAnswer,
    ) -> Result<Target, Refusal> {
        let (host, path) = (answer.call.host.trim(), path_of(&answer.call));
        let version = table.configuration().version;
        let matched = table.find(host, path).ok_or_else(|| {
            let detail = match table.has_host(host) {
                true => format!("host {host} has no route for path {path}"),
                false => format!("configuration {version} has no host {host}"),
            };
            refuse(ErrorKind::NoRoute, detail)
        })?;
        answer.route = Some(matched_route(matched));
        let upcoming = matched.upcoming_service();
        answer.split = split_parts(&matched.route, upcoming.as_ref());
        let customer = self.preview_customer(table, matched, may_accept_keys, answer)?;
        let service = upcoming.ok_or_else(|| {
            let detail = format!("all weights of route {} are 0", matched.route.name);
            refuse(ErrorKind::NoUpstream, detail)
        })?;
        let rank = preview_rank(table, customer.as_deref(), answer);
        let priority = rank.as_ref().map(|rank| table.priority_of_rank(rank));
        answer.cold_limit = cold_limit(table, &service);
        Ok(Target {
            service,
            profile: self.route_profile(matched, priority),
            target_us: matched
                .route
                .latency_target_ms
                .to_u64()
                .saturating_mul(1_000),
            customer,
        })
    }

    /// As `authenticate`, for a customer that is named instead of told by its key.
    fn preview_customer(
        &self,
        table: &RouteTable,
        matched: &MatchedRoute,
        may_accept_keys: bool,
        answer: &mut RouteAnswer,
    ) -> Result<Option<Arc<str>>, Refusal> {
        let (route, name) = (&matched.route, answer.call.customer.as_deref());
        if table.customers().is_none() {
            if name.is_some() {
                let note = "the configuration has no customers; the named one has no effect";
                answer.notes.push(note.to_owned());
            }
            return Ok(None);
        }
        let customer = identify(route, may_accept_keys, name, |name| table.customer(name));
        let customer = customer.map_err(|kind| {
            let detail = match (kind, name) {
                (ErrorKind::UnknownKey, Some(name)) => {
                    let version = table.configuration().version;
                    format!("configuration {version} has no customer {name}")
                }
                (ErrorKind::UnknownKey, None) => {
                    format!("route {} needs a key and no customer is given", route.name)
                }
                _ => format!("keys are refused{}", self.key_detail(kind)),
            };
            refuse(kind, detail)
        })?;
        if route.is_public && name.is_some() {
            let note = format!("route {} is public; its calls have no customer", route.name);
            answer.notes.push(note);
        }
        let Some(customer) = customer else {
            return Ok(None);
        };
        if customer.keys.is_empty() {
            let note = format!("customer {} has no key to send calls with", customer.name);
            answer.notes.push(note);
        }
        Ok(Some(Arc::clone(&customer.name)))
    }

    /// Adds what is known against the request.
    fn preview_suspect(
        &self,
        now_us: u64,
        request: &Request,
        target: &Target,
        answer: &mut RouteAnswer,
    ) -> Result<(Fingerprint, Verdict), Refusal> {
        let headers = &self.context.kernel.node_settings().headers;
        let fingerprint = fingerprint(&target.service, request);
        let customer = target.customer.as_deref();
        let identity = sender_identity(headers, &fingerprint, request, customer);
        let verdict = self.context.verdict(now_us, &identity);
        let evidence = self.context.evidence(now_us, &identity);
        let blocked = self.context.kernel.suspects.with(|s| s.blocked(now_us));
        answer.suspect = Some(figures::suspect_info(verdict, &evidence, blocked));
        match verdict {
            Verdict::Hold => Err(refuse(ErrorKind::CrashHold, evidence.to_string())),
            Verdict::Refuse => Err(refuse(ErrorKind::CrashSuspect, evidence.to_string())),
            _ => Ok((identity, verdict)),
        }
    }

    /// Adds the quota of the customer.
    fn preview_quota(
        &self,
        customer: &str,
        table: Option<&RouteTable>,
        answer: &mut RouteAnswer,
    ) -> Result<(), Refusal> {
        let limits = table.and_then(|table| table.customer(customer));
        let (Some(preview), Some(limits)) = (self.quotas.preview(customer), limits) else {
            return Ok(());
        };
        answer.quota = Some(quota_info(&preview, limits));
        let (kind, retry_after_ms) = match preview.admission {
            Admission::Waiting | Admission::Decided(QuotaVerdict::Admitted) => return Ok(()),
            Admission::Decided(QuotaVerdict::OverLimit { retry_after_ms }) => {
                (ErrorKind::QuotaExceeded, retry_after_ms)
            }
            Admission::Decided(QuotaVerdict::Unavailable { retry_after_ms }) => {
                (ErrorKind::QuotaUnconfirmed, retry_after_ms)
            }
        };
        Err(Refusal {
            retry_after_ms: Some(retry_after_ms),
            ..refuse(kind, format!("customer {customer}"))
        })
    }

    /// The router as the next call of the service finds it, with the load of the local instance.
    fn preview_router(&self, now_us: u64, service: &ServiceName) -> Router {
        let mut router = self.routes.router_copy(service);
        let local = self.context.local.upstream();
        if let Some(upstream) = local.filter(|upstream| upstream.service == *service)
            && let Some(owner) = self.context.owner_preview.get()
            && let Some(signal) = owner.upcoming_load()
            && let Some(key) = router.key(&upstream.name)
        {
            router.record_signal(now_us, key, signal);
        }
        router
    }

    /// Chooses an upstream and adds the candidates and the verdict of admission there.
    fn preview_choice(
        &self,
        now_us: u64,
        router: &Router,
        target: &Target,
        (identity, verdict): (Fingerprint, Verdict),
        answer: &mut RouteAnswer,
    ) -> Result<(UpstreamName, String), Refusal> {
        let request = self.route_request(&target.profile);
        let is_zone_usable = !answer.evacuated_zones.contains(request.zone);
        if request.zone_preference != ZonePreference::None && is_zone_usable {
            answer.notes.push(format!(
                "upstreams of {} are preferred (zone preference {})",
                request.zone,
                figures::word(&request.zone_preference)
            ));
        }
        let preview = router.preview(now_us, &request);
        let choice = preview.choice.as_ref();
        let (chosen, reason) = match (verdict, choice) {
            (Verdict::Trial, _) => {
                let name = self
                    .context
                    .trial_upstream(now_us, &target.service, &identity);
                let key = name.and_then(|name| router.key(&name));
                (key, figures::CRASH_TRIAL.to_owned())
            }
            (_, Ok(choice)) => (Some(choice.upstream), figures::word(&choice.reason)),
            (_, Err(_)) => (None, String::new()),
        };
        let max_queue_wait_us = choice.ok().and_then(|choice| choice.max_queue_wait_us);
        let max_queue_wait_us = max_queue_wait_us.filter(|_| verdict != Verdict::Trial);
        answer.candidates = candidates(router, &preview.candidates, chosen);
        let Some(upstream) = chosen.and_then(|key| router.upstream(key)) else {
            let kind = match verdict {
                Verdict::Trial => ErrorKind::CrashHold,
                _ => choice.err().copied().unwrap_or(ErrorKind::NoUpstream),
            };
            let detail = format!("no upstream of {} can be chosen", target.service);
            return Err(refuse(kind, detail));
        };
        let figures = preview
            .candidates
            .iter()
            .find(|figures| Some(figures.candidate.upstream) == chosen);
        answer.admission =
            Some(self.preview_admission(upstream, target, identity, max_queue_wait_us, figures));
        Ok((upstream.name.clone(), reason))
    }

    /// Verdict of admission at the chosen upstream: of the owner in this process, or an estimate by
    /// the last load signal of another one.
    fn preview_admission(
        &self,
        upstream: &Upstream,
        target: &Target,
        identity: Fingerprint,
        max_queue_wait_us: Option<u64>,
        figures: Option<&CandidateFigures>,
    ) -> AdmissionInfo {
        let profile = &target.profile;
        let max_moves = self.context.kernel.node_settings().moves;
        let mut wait = queue_wait(profile, max_moves, 0, max_queue_wait_us);
        if !self.routes.can_reserve_retry(&target.service, profile) {
            wait.max_queue_wait_us = None;
        }
        if upstream.node != self.context.kernel.mesh.local_id() {
            return figures::estimated_admission(upstream, figures, wait.start_now);
        }
        let call = run_call(self.origin, upstream, target, identity, &wait);
        match self.context.owner_preview.get() {
            Some(owner) => owner.admission(&call, target.customer.as_deref()),
            None => figures::estimated_admission(upstream, figures, wait.start_now),
        }
    }
}

/// Rank in place of the route's: that of the query, or that of the customer.
fn preview_rank(
    table: &RouteTable,
    customer: Option<&str>,
    answer: &mut RouteAnswer,
) -> Option<Quantity> {
    let of_customer = customer.and_then(|name| table.customer(name)?.rank.clone());
    let (rank, source) = match (answer.call.rank, of_customer) {
        (Some(rank), _) => (Quantity::from(u64::from(rank)), "query"),
        (None, Some(rank)) => (rank, "customer"),
        (None, None) => return None,
    };
    let note = format!("rank {rank} of the {source} is used in place of the route's");
    answer.notes.push(note);
    Some(rank)
}

fn path_of(call: &RouteQuery) -> &str {
    call.path.split('?').next().unwrap_or("/")
}

/// The request of a call without a body.
fn request_of(call: &RouteQuery) -> Request {
    let mut headers = Headers::new();
    headers.set("host", call.host.as_str());
    Request {
        method: call.method.clone(),
        target: call.path.clone(),
        headers,
        body: Vec::new(),
        peer: (Ipv4Addr::LOCALHOST, 0).into(),
    }
}

/// The first attempt of a call as its owner gets it, without the request.
fn run_call(
    origin: u64,
    upstream: &Upstream,
    target: &Target,
    identity: Fingerprint,
    wait: &QueueWait,
) -> RunCall {
    let profile = &target.profile;
    RunCall {
        attempt: AttemptId {
            call: CallId {
                origin,
                sequence: 0,
            },
            attempt: 0,
        },
        owner: upstream.node,
        upstream: upstream.name.clone(),
        generation: 0,
        keyed: false,
        idempotent: profile.idempotent,
        profile: profile.name.clone(),
        priority: profile.priority,
        queue_limit: profile.queue_limit,
        remaining_us: u64::from(profile.deadline_ms) * 1_000,
        max_queue_wait_us: wait.max_queue_wait_us,
        start_now: wait.start_now,
        target_us: target.target_us,
        fingerprint: identity,
        request: HttpMessage {
            start_line: (String::new(), String::new()),
            headers: Vec::new(),
            body: Vec::new(),
        },
    }
}
