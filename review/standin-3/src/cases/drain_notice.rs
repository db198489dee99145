//! Another writer has sent a heartbeat with a number that is too large. The instance then leaves:
//! its notice is acknowledged. Nothing may reach it `drain_ms` later.

use super::{document, prepare, Route};
use crate::{
    client::{Clients, Kind},
    deployment::{Deployment, Machine},
    instance::{Fate, Instance},
    record::Record,
    Outcome,
};
use std::{collections::BTreeMap, io, path::Path, thread, time::Duration};

const SERVICES: [&str; 4] = ["catalogue", "catalogue", "catalogue", "lending"];
const SIDES: [u8; 4] = [0, 1, 2, 3];
const DRAIN_MS: u64 = 2_000;
/// Time for which the instance serves on after the acknowledgement.
const SERVES_ON: Duration = Duration::from_secs(7);
const WORK: Duration = Duration::from_millis(60);

pub fn run(root: &Path, record: &Record, has_trouble: bool) -> io::Result<Outcome> {
    let deployment = Deployment::start(root, record, &SERVICES, &[])?;
    let mut instances = Vec::new();
    for side in SIDES {
        let id = format!("i-{side}");
        let answered = |_: &_| Fate::Answered;
        instances.push(Instance::start(&deployment, side, &id, 6, WORK, answered)?);
    }
    let routes = [
        Route {
            name: "score-browse",
            prefix: "/scores/",
            kind: "safe",
            service: "catalogue",
        },
        Route {
            name: "score-swap",
            prefix: "/swaps/",
            kind: "unsafe",
            service: "catalogue",
        },
    ];
    let document = document(1, &["catalogue", "lending"], &routes);
    if let Err(outcome) = prepare(&deployment, &document) {
        return Ok(outcome);
    }
    thread::sleep(Duration::from_secs(4));
    let browse = Kind {
        method: "GET",
        path: "/scores/list",
        body: "",
        key: None,
        is_safe: true,
        deadline: Duration::from_millis(800),
        retries: 1,
    };
    let swap = Kind {
        method: "POST",
        path: "/swaps/new",
        body: "a swap",
        key: None,
        is_safe: false,
        deadline: Duration::from_millis(1_000),
        retries: 1,
    };
    let clients = Clients::start(&deployment, &SIDES, &[browse, swap], 4, 3.0);
    thread::sleep(Duration::from_secs(3));
    let leaving = &instances[0];
    if has_trouble {
        let status = leaving.send(&leaving.heartbeat("ready", 1 << 63));
        record.say(format!(
            "another writer: heartbeat of {} with sequence {}: {status}",
            leaving.id,
            1u64 << 63
        ));
        // The next heartbeats are regular ones.
        thread::sleep(Duration::from_millis(200));
    }
    leaving.drain();
    if leaving.beat() != 200 {
        return Ok(Outcome::NotRun(
            "the notice was not acknowledged".to_owned(),
        ));
    }
    let acknowledged_ms = record.now_ms();
    record.say(format!(
        "instance {} says draining; acknowledged at {acknowledged_ms} ms",
        leaving.id
    ));
    thread::sleep(SERVES_ON);
    let exit_ms = record.now_ms();
    leaving.end();
    thread::sleep(Duration::from_secs(2));
    let attempts = clients.stop();
    let ended = deployment.ended();
    if !ended.is_empty() {
        return Ok(Outcome::NotRun(format!("processes have ended: {ended:?}")));
    }
    for line in deployment
        .log(Machine::Side(0))
        .lines()
        .filter(|l| l.contains("a report of instance"))
    {
        record.add(format!("log of node 0: {line}"));
    }
    let late: Vec<_> = leaving
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
        "DRAIN: {} requests reached {} later than {DRAIN_MS} ms after the acknowledgement",
        late.len(),
        leaving.id
    ));
    Ok(match late.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    })
}
