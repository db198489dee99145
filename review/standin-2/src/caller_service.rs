//! A heartbeat of another writer names an unknown service before the first configuration is there.

use crate::{
    deployment::{unix_ms, wait_until, Deployment, Plan},
    http::exchange,
    instance::Instance,
    operator::{configuration, route, submit},
    record::Record,
    Verdict,
};
use std::{
    thread,
    time::{Duration, Instant},
};

const CALLER: &str = "huvo11a";
const CALLED: &str = "wuno96b";
/// A service that no configuration names.
const UNKNOWN: &str = "zefa07c";
const TRAFFIC: Duration = Duration::from_secs(12);

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(Plan {
        cores: 3,
        tolerated: 1,
        sidecars: vec![CALLER, CALLED],
    })?;
    (0..3).try_for_each(|core| deployment.start_core(core, true))?;
    (0..2).try_for_each(|sidecar| deployment.start_sidecar(sidecar))?;
    let places = |n: u8| (deployment.application(n), deployment.heartbeats(n));
    let work = Duration::from_millis(5);
    let io = |e: std::io::Error| e.to_string();
    let _caller = Instance::start("i-7f3a91c2", CALLER, places(0), work, record).map_err(io)?;
    let called = Instance::start("i-51d0b8e4", CALLED, places(1), work, record).map_err(io)?;
    // Three heartbeats of each instance, before the operator begins.
    thread::sleep(Duration::from_millis(4_000));
    if has_trouble {
        send_odd_heartbeat(&deployment, record);
    }
    let routes = [route("r-2b9wu3f", "/pufi791/", "safe", CALLED)];
    submit(
        &deployment.operators(),
        &configuration(7, &routes),
        Duration::from_secs(30),
        record,
    )?;
    if !wait_until(Duration::from_secs(10), || deployment.is_ready(0)) {
        return Err("the node does not become ready".to_owned());
    }
    record.line("the node of the callers is ready");
    let served = send_traffic(&deployment, record);
    if !deployment.all_run() {
        return Err("a process has ended".to_owned());
    }
    let runs = called.runs();
    let wrong: Vec<_> = runs.iter().filter(|run| run.caller != CALLER).collect();
    record.line(format!(
        "{served} answers 200, {} runs, {} with another caller",
        runs.len(),
        wrong.len()
    ));
    match wrong.first() {
        _ if runs.is_empty() => Err("no request ran".to_owned()),
        None => Ok(Verdict::Held),
        Some(first) => Ok(Verdict::Broken(format!(
            "{} of {} runs had another X-Caller-Service than {CALLER:?}; the first was {} with {:?}",
            wrong.len(),
            runs.len(),
            first.id,
            first.caller
        ))),
    }
}

/// A heartbeat that names no instance to use: its service is unknown.
fn send_odd_heartbeat(deployment: &Deployment, record: &Record) {
    let body = format!(
        r#"{{"address":"{}","information":{{"service":"{UNKNOWN}","version":"v1","zone":"zone-a","slots":6}},"status":{{"state":"ready","sequence":0,"cold_remaining_ms":0}},"born":{}}}"#,
        deployment.application(0),
        unix_ms()
    );
    let fields = [("Content-Type", "application/json".to_owned())];
    let reply = exchange(
        deployment.heartbeats(0),
        "PUT",
        "/instances/i-c4e91a77",
        &fields,
        body.as_bytes(),
        Duration::from_secs(1),
    );
    let status = reply.map(|reply| reply.status);
    record.line(format!("heartbeat of another writer {body}: {status:?}"));
}

/// Sends requests from the first machine, as its clients do; returns how many were served.
fn send_traffic(deployment: &Deployment, record: &Record) -> usize {
    let until = Instant::now() + TRAFFIC;
    let mut served = 0;
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("9c41d07b{number:08x}");
        let fields = [
            ("Host", "ficu95.example".to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Milliseconds", "2000".to_owned()),
        ];
        let reply = exchange(
            deployment.outbound(0),
            "GET",
            "/pufi791/2f",
            &fields,
            b"",
            Duration::from_secs(3),
        );
        match reply {
            Ok(reply) => {
                served += usize::from(reply.status == 200);
                record.line(format!("client: {id} answered {}", reply.status));
            }
            Err(error) => record.line(format!("client: {id} {error}")),
        }
        thread::sleep(Duration::from_millis(50));
    }
    served
}
