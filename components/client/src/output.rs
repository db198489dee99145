//! Text output of results: tables and lists.

use api::{
    ChangeResponse, CustomerList, CustomerStatus, NodeProof, NodeStatus, ProfileEntry, ProfileList,
    Status, ZoneCommandResponse, ZoneEntry, ZoneList,
};
use std::io::{self, Write};

/// Writes rows under a header, each column as wide as its longest cell.
pub(crate) fn write_table(
    out: &mut dyn Write,
    header: &[&str],
    rows: &[Vec<String>],
) -> io::Result<()> {
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
pub(crate) fn serialized_word(value: &impl serde::Serialize) -> String {
    serde_json::to_value(value)
        .ok()
        .and_then(|value| value.as_str().map(str::to_owned))
        .unwrap_or_default()
}

pub(crate) fn write_customers(out: &mut dyn Write, list: &CustomerList) -> io::Result<()> {
    writeln!(out, "revision {}", list.revision)?;
    for node in &list.silent_nodes {
        writeln!(out, "node {node} did not answer; its calls are missing")?;
    }
    if list.customers.is_empty() {
        return writeln!(out, "no customers; a configuration sets them");
    }
    let header = [
        "CUSTOMER",
        "KEYS",
        "RANK",
        "RATE/S",
        "BURST",
        "ADMITTED",
        "OVER LIMIT",
        "UNCONFIRMED",
        "SHARES",
    ];
    let rows: Vec<Vec<String>> = list.customers.iter().map(customer_row).collect();
    write_table(out, &header, &rows)?;
    writeln!(out)?;
    let rows: Vec<Vec<String>> = list.nodes.iter().map(proof_row).collect();
    write_table(out, &["NODE", "HOST", "PROOF AGE MS"], &rows)
}

fn proof_row(node: &NodeProof) -> Vec<String> {
    let age = node.proof_age_ms;
    vec![
        node.node.to_string(),
        node.host.to_string(),
        age.map_or_else(|| "-".to_owned(), |age_ms| age_ms.to_string()),
    ]
}

fn customer_row(customer: &CustomerStatus) -> Vec<String> {
    let shares = customer.shares.iter();
    let shares: Vec<String> = shares
        .map(|share| format!("{} {:.1}", share.node, share.calls_per_s))
        .collect();
    let rate = customer.rate_per_s;
    vec![
        customer.name.clone(),
        customer.keys.to_string(),
        customer
            .rank
            .map_or_else(|| "-".to_owned(), |rank| rank.to_string()),
        rate.map_or_else(|| "no limit".to_owned(), |rate| rate.to_string()),
        customer.burst.to_string(),
        customer.admitted.to_string(),
        customer.over_limit.to_string(),
        customer.unconfirmed.to_string(),
        shares.join(", "),
    ]
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

pub(crate) fn write_zone_command(
    out: &mut dyn Write,
    answer: &ZoneCommandResponse,
    is_in_effect: bool,
) -> io::Result<()> {
    let state = if answer.evacuated {
        "evacuated"
    } else {
        "readmitted"
    };
    let effect = if is_in_effect {
        ", in effect on every live node"
    } else {
        ""
    };
    writeln!(
        out,
        "availability zone {} is {state}, revision {}{effect}",
        answer.zone, answer.revision
    )
}

pub(crate) fn write_zone_list(out: &mut dyn Write, list: &ZoneList) -> io::Result<()> {
    writeln!(
        out,
        "revision {}, {} nodes lag",
        list.revision, list.lagging_nodes
    )?;
    let row = |entry: &ZoneEntry| {
        vec![
            entry.zone.to_string(),
            yes_no(entry.evacuated),
            entry.nodes.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = list.zones.iter().map(row).collect();
    write_table(out, &["AVAILABILITY ZONE", "EVACUATED", "NODES"], &rows)
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
