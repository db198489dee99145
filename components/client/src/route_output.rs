//! Text output of `route`.

use crate::output::{serialized_word, write_table};
use api::{
    AdmissionInfo, ColdLimitInfo, MatchedRouteInfo, QuotaInfo, RouteAnswer, RouteCandidate,
    RouteOutcome, SplitPart, SuspectInfo,
};
use std::io::{self, Write};

/// Writes what happens to the call, then the reasons in the order of the decision.
pub(crate) fn write_route(out: &mut dyn Write, answer: &RouteAnswer) -> io::Result<()> {
    writeln!(out, "{}\n", outcome_line(answer))?;
    for (label, text) in facts(answer) {
        writeln!(out, "{label:12}  {text}")?;
    }
    if answer.candidates.is_empty() {
        return Ok(());
    }
    writeln!(out)?;
    let header = [
        "CANDIDATE",
        "ZONE",
        "STATE",
        "EXPECTED MS",
        "LOAD",
        "SLOTS",
        "RUNNING",
        "WAITING",
        "SERVICE MS",
        "PACE %",
        "AGE MS",
        "",
    ];
    let rows: Vec<Vec<String>> = answer.candidates.iter().map(candidate_row).collect();
    write_table(out, &header, &rows)
}

fn outcome_line(answer: &RouteAnswer) -> String {
    let call = &answer.call;
    let call = format!("{} {}{}", call.method, call.host, call.path);
    match &answer.outcome {
        RouteOutcome::Sent { upstream, reason } => {
            let admission = answer.admission.as_ref();
            let verdict = match admission.map(|admission| admission.verdict.as_str()) {
                Some("wait") => ", where it waits",
                Some("refuse") => ", whose owner refuses it; it may move to another one",
                _ => "",
            };
            format!("{call} goes to {upstream} ({reason}){verdict}")
        }
        RouteOutcome::Refused {
            error,
            status,
            detail,
            retry_after_ms,
        } => {
            let retry =
                retry_after_ms.map_or_else(String::new, |ms| format!(", retry after {ms} ms"));
            format!("{call} is refused: {status} {error}, {detail}{retry}")
        }
    }
}

/// Labels and texts of the lines before the candidates.
fn facts(answer: &RouteAnswer) -> Vec<(&'static str, String)> {
    let mut facts = vec![(
        "node",
        format!(
            "{} in {}, revision {}, confirmed {} ms ago, {}",
            answer.node,
            answer.availability_zone,
            answer.revision,
            answer.revision_age_ms,
            answer.configuration.map_or_else(
                || "no configuration".to_owned(),
                |version| format!("configuration {version}")
            )
        ),
    )];
    facts.extend(answer.route.iter().map(|r| ("route", route_text(r))));
    if !answer.split.is_empty() {
        let parts: Vec<String> = answer.split.iter().map(split_text).collect();
        facts.push(("split", parts.join(", ")));
    }
    if let Some(service) = &answer.service {
        let priority = answer.priority.as_ref();
        let priority = priority.map(serialized_word).unwrap_or_default();
        facts.push(("service", format!("{service}, priority {priority}")));
    }
    if let Some(customer) = &answer.call.customer {
        facts.push(("customer", customer.clone()));
    }
    facts.extend(answer.quota.iter().map(|q| ("quota", quota_text(q))));
    facts.extend(answer.suspect.iter().map(|s| ("suspect", suspect_text(s))));
    let zones = &answer.evacuated_zones;
    if !zones.is_empty() {
        let zones: Vec<String> = zones.iter().map(ToString::to_string).collect();
        facts.push(("evacuated", zones.join(", ")));
    }
    facts.extend(
        answer
            .cold_limit
            .iter()
            .map(|c| ("cold limit", cold_text(c))),
    );
    let admission = answer.admission.iter();
    facts.extend(admission.map(|a| ("admission", admission_text(a))));
    for group in &answer.left_out {
        let (number, zone, reason) = (group.upstreams, &group.availability_zone, &group.reason);
        facts.push(("left out", format!("{number} in {zone}: {reason}")));
    }
    facts.extend(answer.notes.iter().map(|note| ("note", note.clone())));
    facts
}

fn route_text(route: &MatchedRouteInfo) -> String {
    format!(
        "{} for {}, {}, {}, rank {}, {} attempts, timeout {} ms, target {} ms",
        route.name,
        route.path_prefix,
        if route.public { "public" } else { "not public" },
        if route.idempotent {
            "idempotent"
        } else {
            "not idempotent"
        },
        route.rank,
        route.attempts,
        route.timeout_ms,
        route.latency_target_ms
    )
}

fn split_text(part: &SplitPart) -> String {
    let next = if part.is_next { " (next)" } else { "" };
    format!("{} weight {}{next}", part.service, part.weight)
}

fn quota_text(quota: &QuotaInfo) -> String {
    let contact = if quota.is_cut_off {
        ", no contact with the coordinator"
    } else {
        ""
    };
    format!(
        "{}, rate {}/s, burst {}; share of this node {:.1}/s, {:.1} tokens, {} calls wait, lease {} ms{contact}",
        quota.verdict,
        quota.rate_per_s,
        quota.burst,
        quota.share_per_s,
        quota.tokens,
        quota.waiting,
        quota.lease_ms
    )
}

fn suspect_text(suspect: &SuspectInfo) -> String {
    let age = suspect.newest_age_ms;
    let age = age.map_or_else(String::new, |ms| format!(", the newest {ms} ms ago"));
    format!(
        "{}, {} crashes ({} in trials){age}; this node holds {} requests back and refuses {}",
        suspect.verdict,
        suspect.crashes,
        suspect.trials,
        suspect.held_requests,
        suspect.refused_requests
    )
}

fn cold_text(limit: &ColdLimitInfo) -> String {
    let text = |value: Option<f64>| value.map_or_else(|| "no limit".to_owned(), |v| v.to_string());
    format!(
        "{} calls/s for {} s after a start",
        text(limit.calls_per_s),
        text(limit.duration_s)
    )
}

fn admission_text(admission: &AdmissionInfo) -> String {
    let AdmissionInfo {
        verdict,
        source,
        running,
        waiting,
        slots,
        ..
    } = admission;
    let error = admission.error.as_ref();
    let error = error.map_or_else(String::new, |error| format!(" ({error})"));
    let age = match admission.age_ms {
        Some(age_ms) => format!("{age_ms} ms old"),
        None => "no signal yet".to_owned(),
    };
    let cold = admission.cold.as_ref();
    let cold = cold.map_or_else(String::new, |cold| {
        let most = cold.max_per_s;
        let most = most.map_or_else(
            || "no limit now".to_owned(),
            |most| format!("{most} calls/s"),
        );
        format!(
            "; cold for {} ms, {most}, room in {} ms",
            cold.cold_left_ms, cold.room_in_ms
        )
    });
    let rule = admission.downstream.as_ref();
    let rule = rule.map_or_else(String::new, |rule| format!("; {rule}"));
    format!(
        "{verdict}{error}, by {source}: running {running} of {slots}, waiting {waiting}, {age}{cold}{rule}"
    )
}

fn candidate_row(candidate: &RouteCandidate) -> Vec<String> {
    let signal = candidate.signal.as_ref();
    let figure = |value: Option<u32>| value.map_or_else(|| "-".to_owned(), |v| v.to_string());
    let age = candidate.signal_age_ms;
    let mark = match (candidate.is_chosen, candidate.is_ejected) {
        (true, true) => "chosen, ejected",
        (true, false) => "chosen",
        (false, true) => "ejected",
        (false, false) => "",
    };
    vec![
        candidate.upstream.to_string(),
        candidate.availability_zone.to_string(),
        candidate.state.to_string(),
        format!("{:.1}", f64::from(candidate.expected_us) / 1_000.0),
        format!("{:.1}", candidate.load),
        format!("{:.1}", candidate.usable_slots),
        figure(signal.map(|signal| signal.in_flight)),
        figure(signal.map(|signal| signal.queued)),
        signal.map_or_else(
            || "-".to_owned(),
            |signal| format!("{:.1}", f64::from(signal.service_time_us) / 1_000.0),
        ),
        figure(signal.map(|signal| signal.pace_percent)),
        age.map_or_else(|| "-".to_owned(), |age_ms| age_ms.to_string()),
        mark.to_owned(),
    ]
}
