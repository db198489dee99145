//! An instance goes down and up by turns, and starts again under its id. In between, the time of day
//! goes back on its machine. It then leaves: its notice is acknowledged. Nothing may reach it
//! `drain_ms` later.

use super::{document, prepare, Route};
use crate::{
    client::{Clients, Kind},
    deployment::{Deployment, Machine},
    instance::{Fate, Instance},
    record::Record,
    Outcome,
};
use std::{collections::BTreeMap, io, path::Path, sync::Arc, thread, time::Duration};

/// As many instances as the site has; one of them flaps (share 0.1).
const SERVICES: [&str; 11] = [
    "siparis", "siparis", "siparis", "siparis", "siparis", "siparis", "siparis", "mutfak",
    "mutfak", "mutfak", "mutfak",
];
const SIDES: [u8; 11] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
const DRAIN_MS: u64 = 2_000;
/// Half of the period with which the instance goes down and up.
const HALF_PERIOD: Duration = Duration::from_millis(700);
/// By how much the time of day goes back.
const STEP_MS: i64 = 2_400;
/// Time from the last start to the notice.
const SERVES: Duration = Duration::from_millis(1_000);
/// Time for which the instance serves on after the acknowledgement.
const SERVES_ON: Duration = Duration::from_secs(7);
const WORK: Duration = Duration::from_millis(60);
const LEAVING: &str = "i-0";

pub fn run(root: &Path, record: &Record, has_trouble: bool) -> io::Result<Outcome> {
    let deployment = Deployment::start(root, record, &SERVICES, &[])?;
    let start = |side: u8, ahead_ms: i64| {
        let id = format!("i-{side}");
        let answered = |_: &_| Fate::Answered;
        Instance::start_at(&deployment, side, &id, 9, WORK, ahead_ms, answered)
    };
    let first: io::Result<Vec<Arc<Instance>>> = SIDES.iter().map(|side| start(*side, 0)).collect();
    let first = first?;
    let route = |name, prefix, kind| Route {
        name,
        prefix,
        kind,
        service: "siparis",
    };
    let routes = [
        route("menu-read", "/menu/", "safe"),
        route("order-place", "/orders/", "unsafe"),
    ];
    let document = document(1, &["siparis", "mutfak"], &routes);
    if let Err(outcome) = prepare(&deployment, &document) {
        return Ok(outcome);
    }
    thread::sleep(Duration::from_secs(4));
    let read = Kind {
        method: "GET",
        path: "/menu/today",
        body: "",
        key: None,
        is_safe: true,
        deadline: Duration::from_millis(2_000),
        retries: 2,
    };
    let order = Kind {
        method: "POST",
        path: "/orders/new",
        body: "an order",
        is_safe: false,
        ..read
    };
    let clients = Clients::start(&deployment, &SIDES, &[read, order], 4, 2.0);
    thread::sleep(Duration::from_secs(3));
    // Down, up, down, and up again, as in the first turns of a flapping instance.
    first[0].crash();
    thread::sleep(HALF_PERIOD);
    let second = start(0, 0)?;
    thread::sleep(HALF_PERIOD);
    second.crash();
    let step_ms = if has_trouble { -STEP_MS } else { 0 };
    record.say(format!(
        "the time of day of machine 0 goes on by {step_ms} ms"
    ));
    thread::sleep(HALF_PERIOD);
    let third = start(0, step_ms)?;
    thread::sleep(SERVES);
    third.drain();
    if third.beat() != 200 {
        return Ok(Outcome::NotRun(
            "the notice was not acknowledged".to_owned(),
        ));
    }
    let acknowledged_ms = record.now_ms();
    record.say(format!(
        "{LEAVING} says draining; acknowledged at {acknowledged_ms} ms"
    ));
    thread::sleep(SERVES_ON);
    let exit_ms = record.now_ms();
    third.end();
    thread::sleep(Duration::from_secs(2));
    let attempts = clients.stop();
    let ended = deployment.ended();
    if !ended.is_empty() {
        return Ok(Outcome::NotRun(format!("processes have ended: {ended:?}")));
    }
    let log = deployment.log(Machine::Side(0));
    for line in log.lines().filter(|l| l.contains("a report of instance")) {
        record.add(format!("log of node 0: {line}"));
    }
    let late: Vec<_> = third
        .runs()
        .into_iter()
        .filter(|run| run.arrived_ms > acknowledged_ms + DRAIN_MS)
        .collect();
    for run in &late {
        record.add(format!(
            "late: {} {} at {} ms",
            run.id, run.line, run.arrived_ms
        ));
    }
    let mut by_status: BTreeMap<(&str, u16), usize> = BTreeMap::new();
    for attempt in &attempts {
        *by_status
            .entry((attempt.method, attempt.status))
            .or_default() += 1;
    }
    record.say(format!("requests by method and status: {by_status:?}"));
    let cut = attempts.iter().filter(|a| {
        let is_lost = !matches!(a.status, 200 | 429 | 503);
        is_lost && late.iter().any(|run| run.id == a.id)
    });
    record.say(format!(
        "of the late ones, cut at the exit at {exit_ms} ms: {}",
        cut.count()
    ));
    record.say(format!(
        "DRAIN: {} requests reached {LEAVING} later than {DRAIN_MS} ms after the acknowledgement",
        late.len()
    ));
    Ok(match late.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    })
}
