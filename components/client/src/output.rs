//! Text output of results: tables and lists.

use api::{ChangeResponse, CustomerList, NodeStatus, ProfileEntry, ProfileList, Status};
use std::io::{self, Write};

/// Writes rows under a header, each column as wide as its longest cell.
fn write_table(out: &mut dyn Write, header: &[&str], rows: &[Vec<String>]) -> io::Result<()> {
    let header: Vec<String> = header.iter().map(ToString::to_string).collect();
    let width = |column: usize| {
        let cells = rows.iter().chain([&header]);
        cells.map(|row| row[column].len()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    for row in [&header].into_iter().chain(rows) {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        writeln!(out, "{}", line.join("  ").trim_end())?;
    }
    Ok(())
}

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// Returns an enum value as it is written in files and flags.
fn serialized_word(value: &impl serde::Serialize) -> String {
    serde_json::to_value(value)
        .ok()
        .and_then(|value| value.as_str().map(str::to_owned))
        .unwrap_or_default()
}

pub(crate) fn write_profile_list(out: &mut dyn Write, list: &ProfileList) -> io::Result<()> {
    writeln!(out, "revision {}", list.revision)?;
    if list.profiles.is_empty() {
        return writeln!(out, "no profiles; add one with `gyard profile add`");
    }
    let header = [
        "PROFILE",
        "REVISION",
        "IDEMPOTENT",
        "DEADLINE MS",
        "ATTEMPTS",
        "PRIORITY",
        "MEASURE",
    ];
    let row = |entry: &ProfileEntry| {
        let profile = &entry.profile;
        vec![
            profile.name.to_string(),
            entry.revision.to_string(),
            yes_no(profile.idempotent),
            profile.deadline_ms.to_string(),
            profile.attempts.to_string(),
            serialized_word(&profile.priority),
            serialized_word(&profile.measure),
        ]
    };
    let rows: Vec<Vec<String>> = list.profiles.iter().map(row).collect();
    write_table(out, &header, &rows)
}

pub(crate) fn write_profile(out: &mut dyn Write, entry: &ProfileEntry) -> io::Result<()> {
    let profile = &entry.profile;
    let rows = [
        ("name", profile.name.to_string()),
        ("revision", entry.revision.to_string()),
        ("generation", entry.generation.to_string()),
        ("idempotent", yes_no(profile.idempotent)),
        ("deadline_ms", profile.deadline_ms.to_string()),
        ("attempts", profile.attempts.to_string()),
        ("hedge.enabled", yes_no(profile.hedge.enabled)),
        (
            "hedge.quantile_percent",
            profile.hedge.quantile_percent.to_string(),
        ),
        ("hedge.max_percent", profile.hedge.max_percent.to_string()),
        ("priority", serialized_word(&profile.priority)),
        ("queue_limit", profile.queue_limit.to_string()),
        ("measure", serialized_word(&profile.measure)),
        ("probe_budget_per_s", profile.probe_budget_per_s.to_string()),
        ("zone_preference", serialized_word(&profile.zone_preference)),
        (
            "retry_budget_percent",
            profile.retry_budget_percent.to_string(),
        ),
    ];
    for (field, value) in rows {
        writeln!(out, "{field:22}  {value}")?;
    }
    Ok(())
}

pub(crate) fn write_change(
    out: &mut dyn Write,
    answer: &ChangeResponse,
    is_in_effect: bool,
) -> io::Result<()> {
    let effect = if is_in_effect {
        ", in effect on every live node"
    } else {
        ""
    };
    writeln!(
        out,
        "accepted as revision {} (profile revision {}){effect}",
        answer.revision, answer.profile_revision
    )
}

fn node_row(node: &NodeStatus) -> Vec<String> {
    let effect = match (node.stale, node.in_effect) {
        (true, _) => format!("no report for {} ms", node.age_ms),
        (false, true) => "in effect".to_owned(),
        (false, false) => "lags".to_owned(),
    };
    vec![
        node.node.to_string(),
        node.host.to_string(),
        node.availability_zone.to_string(),
        node.revision.to_string(),
        effect,
    ]
}

pub(crate) fn write_customers(out: &mut dyn Write, list: &CustomerList) -> io::Result<()> {
    writeln!(out, "configuration {}", list.version)?;
    let Some(customers) = &list.customers else {
        return writeln!(out, "no customers; callers need no key");
    };
    let number = |value: Option<f64>| value.map_or("-".to_owned(), |value| value.to_string());
    let rows: Vec<Vec<String>> = customers
        .iter()
        .map(|customer| {
            vec![
                customer.name.clone(),
                customer.keys.to_string(),
                customer
                    .rank
                    .map_or("-".to_owned(), |rank| rank.to_string()),
                number(customer.rate_per_s),
                number(customer.burst),
            ]
        })
        .collect();
    writeln!(out)?;
    write_table(out, &["CUSTOMER", "KEYS", "RANK", "RATE/S", "BURST"], &rows)?;
    writeln!(out)?;
    let rows: Vec<Vec<String>> = list
        .nodes
        .iter()
        .map(|node| {
            let age = node.proof_age_ms;
            vec![
                node.node.to_string(),
                node.host.to_string(),
                age.map_or("-".to_owned(), |age_ms| age_ms.to_string()),
            ]
        })
        .collect();
    write_table(out, &["NODE", "HOST", "PROOF AGE MS"], &rows)
}

pub(crate) fn write_status(out: &mut dyn Write, status: &Status) -> io::Result<()> {
    let leader = status.leader.map_or_else(
        || "no leader; changes wait for a majority of replicas".to_owned(),
        |leader| format!("leader: replica {leader}"),
    );
    writeln!(out, "{leader}\nrevision {}\n", status.revision)?;
    let replicas: Vec<Vec<String>> = status
        .replicas
        .iter()
        .map(|replica| {
            vec![
                replica.replica.to_string(),
                replica.address.to_string(),
                replica.role.clone(),
                yes_no(replica.reachable),
                replica.matched.map_or("-".to_owned(), |at| at.to_string()),
                replica.disk_id.clone().unwrap_or("-".to_owned()),
            ]
        })
        .collect();
    let header = [
        "REPLICA",
        "ADDRESS",
        "ROLE",
        "REACHABLE",
        "LOG INDEX",
        "DISK",
    ];
    write_table(out, &header, &replicas)?;
    writeln!(out)?;
    let nodes: Vec<Vec<String>> = status.nodes.iter().map(node_row).collect();
    let header = ["NODE", "HOST", "AVAILABILITY ZONE", "REVISION", "EFFECT"];
    write_table(out, &header, &nodes)?;
    writeln!(out)?;
    let instances: Vec<Vec<String>> = status
        .nodes
        .iter()
        .flat_map(|node| node.instances.iter().map(move |instance| (node, instance)))
        .map(|(node, instance)| {
            vec![
                instance.service.to_string(),
                instance.name.to_string(),
                instance.state.to_string(),
                instance.address.to_string(),
                node.node.to_string(),
            ]
        })
        .collect();
    let header = ["SERVICE", "INSTANCE", "STATE", "ADDRESS", "NODE"];
    write_table(out, &header, &instances)
}
