//! Figures of route queries, from the values that decisions use.

use crate::context::NodeContext;
use api::{
    AdmissionInfo, ColdLimitInfo, LeftOut, MatchedRouteInfo, QuotaInfo, RouteCandidate, SplitPart,
    SuspectInfo,
};
use config::{Customer, Destination, MatchedRoute, Quantity, Route, RouteTable};
use errors::ErrorKind;
use model::{AvailabilityZone, ServiceName, Upstream};
use quota::{Admission, QuotaPreview, Verdict as QuotaVerdict};
use routing::{CandidateFigures, Router, UpstreamKey};
use serde::Serialize;
use std::collections::BTreeMap;
use suspects::{Evidence, Verdict};

/// Reason of the choice for a request that is tried at one upstream alone.
pub(super) const CRASH_TRIAL: &str = "crash-trial";

/// An enum value as it is serialized.
pub(super) fn word<T: Serialize>(value: &T) -> String {
    let value = serde_json::to_value(value).ok();
    let text = value.as_ref().and_then(|value| value.as_str());
    text.unwrap_or_default().to_owned()
}

pub(super) fn matched_route(matched: &MatchedRoute) -> MatchedRouteInfo {
    let route = &matched.route;
    MatchedRouteInfo {
        name: route.name.to_string(),
        path_prefix: route.path_prefix.to_string(),
        public: route.is_public,
        idempotent: route.idempotent,
        attempts: matched.profile.attempts,
        timeout_ms: route.timeout_ms.to_u64(),
        latency_target_ms: route.latency_target_ms.to_u64(),
        rank: route.rank.to_f64(),
    }
}

/// Parts of a route's split; `upcoming` is the service of the next call.
pub(super) fn split_parts(route: &Route, upcoming: Option<&ServiceName>) -> Vec<SplitPart> {
    let Destination::Split(parts) = &route.destination else {
        return Vec::new();
    };
    let part = parts.iter().map(|part| SplitPart {
        service: part.service.clone(),
        weight: part.weight.to_f64(),
        is_next: upcoming == Some(&part.service),
    });
    part.collect()
}

pub(super) fn cold_limit(table: &RouteTable, service: &ServiceName) -> Option<ColdLimitInfo> {
    let limit = table.cold_limit(service)?;
    let info = ColdLimitInfo {
        duration_s: limit.duration_s.as_ref().map(Quantity::to_f64),
        calls_per_s: limit.calls_per_s.as_ref().map(Quantity::to_f64),
    };
    (info.duration_s.is_some() || info.calls_per_s.is_some()).then_some(info)
}

pub(super) fn suspect_info(
    verdict: Verdict,
    evidence: &Evidence,
    (held_requests, refused_requests): (usize, usize),
) -> SuspectInfo {
    let verdict = match verdict {
        Verdict::Clear => "clear",
        Verdict::Suspected => "suspected",
        Verdict::Trial => "trial",
        Verdict::Hold => "hold",
        Verdict::Refuse => "refuse",
    };
    SuspectInfo {
        verdict: verdict.to_owned(),
        crashes: evidence.crashes,
        trials: evidence.trials,
        newest_age_ms: evidence.newest_age_ms,
        held_requests,
        refused_requests,
    }
}

pub(super) fn quota_info(preview: &QuotaPreview, limits: &Customer) -> QuotaInfo {
    let (verdict, retry_after_ms) = match preview.admission {
        Admission::Waiting => ("asks-coordinator", None),
        Admission::Decided(QuotaVerdict::Admitted) => ("admitted", None),
        Admission::Decided(QuotaVerdict::OverLimit { retry_after_ms }) => {
            ("over-limit", Some(retry_after_ms))
        }
        Admission::Decided(QuotaVerdict::Unavailable { retry_after_ms }) => {
            ("unavailable", Some(retry_after_ms))
        }
    };
    QuotaInfo {
        rate_per_s: limits.limited_rate_per_s().unwrap_or(0.0),
        burst: limits.burst_calls(),
        verdict: verdict.to_owned(),
        retry_after_ms,
        share_per_s: preview.share_per_s,
        tokens: preview.tokens,
        waiting: preview.waiting,
        lease_ms: preview.lease_left_us / 1_000,
        is_cut_off: preview.is_cut_off,
    }
}

/// The weighed upstreams, those with the shortest expected time first.
pub(super) fn candidates(
    router: &Router,
    weighed: &[CandidateFigures],
    chosen: Option<UpstreamKey>,
) -> Vec<RouteCandidate> {
    let entry = |figures: &CandidateFigures| {
        let key = figures.candidate.upstream;
        let upstream = router.upstream(key)?;
        Some(RouteCandidate {
            upstream: upstream.name.clone(),
            node: upstream.node.mesh,
            availability_zone: upstream.availability_zone.clone(),
            state: upstream.state,
            is_chosen: chosen == Some(key),
            is_ejected: figures.candidate.ejected,
            expected_us: figures.candidate.expected_us,
            load: f64::from(figures.candidate.load),
            usable_slots: figures.usable_slots,
            outstanding: figures.outstanding,
            signal: figures.signal,
            signal_age_ms: figures.signal_age_us.map(|age_us| age_us / 1_000),
        })
    };
    let mut entries: Vec<RouteCandidate> = weighed.iter().filter_map(entry).collect();
    entries.sort_by_key(|candidate| candidate.expected_us);
    entries
}

/// Upstreams of a service that a call can't be sent to, by reason and zone.
pub(super) fn left_out(
    context: &NodeContext,
    service: &ServiceName,
    router: &Router,
) -> Vec<LeftOut> {
    let evacuated = context.kernel.profiles.evacuated_zones();
    let mut counts: BTreeMap<(String, AvailabilityZone), usize> = BTreeMap::new();
    for upstream in context.kernel.directory.upstreams(service) {
        let tracked = router
            .key(&upstream.name)
            .and_then(|key| router.upstream(key));
        let reason = match tracked {
            _ if evacuated.contains(&upstream.availability_zone) => "evacuated".to_owned(),
            _ if !upstream.state.accepts_calls() => upstream.state.to_string(),
            Some(tracked) if tracked.state.accepts_calls() => continue,
            // Its owner refused a call, which the directory doesn't show yet.
            Some(tracked) => tracked.state.to_string(),
            None => "not-in-subset".to_owned(),
        };
        *counts
            .entry((reason, upstream.availability_zone))
            .or_default() += 1;
    }
    let groups = counts.into_iter();
    groups
        .map(|((reason, availability_zone), upstreams)| LeftOut {
            reason,
            availability_zone,
            upstreams,
        })
        .collect()
}

/// Verdict of the admission at another owner, as far as its last load signal tells. `start_now` tells
/// whether the attempt is refused unless it can start at once.
pub(super) fn estimated_admission(
    upstream: &Upstream,
    figures: Option<&CandidateFigures>,
    start_now: bool,
) -> AdmissionInfo {
    let signal = figures.and_then(|figures| figures.signal);
    let (verdict, error) = match figures.is_none_or(|figures| figures.has_free_slot) {
        true => ("start", None),
        false if start_now => ("refuse", Some(ErrorKind::Overloaded)),
        false => ("wait", None),
    };
    AdmissionInfo {
        verdict: verdict.to_owned(),
        error: error.map(|kind| kind.info().code.to_owned()),
        downstream: None,
        source: "load-signal".to_owned(),
        running: signal.map_or(0, |signal| signal.in_flight),
        waiting: signal.map_or(0, |signal| signal.queued),
        slots: signal.map_or(upstream.slots, |signal| signal.slots),
        age_ms: figures.and_then(|figures| figures.signal_age_us.map(|age_us| age_us / 1_000)),
        cold: None,
    }
}
