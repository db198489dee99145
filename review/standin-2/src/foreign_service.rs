//! A heartbeat of another writer, with a field of another type, names an instance of one service as
//! one of another service.

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

/// The service that the only route leads to.
const ROUTED: &str = "huvo11a";
/// A service that no route leads to.
const OTHER: &str = "wuno96b";
const OTHER_INSTANCE: &str = "i-51d0b8e4";
const TRAFFIC: Duration = Duration::from_secs(12);

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(Plan {
        cores: 3,
        tolerated: 1,
        sidecars: vec![ROUTED, OTHER],
    })?;
    (0..3).try_for_each(|core| deployment.start_core(core, true))?;
    (0..2).try_for_each(|sidecar| deployment.start_sidecar(sidecar))?;
    let places = |n: u8| (deployment.application(n), deployment.heartbeats(n));
    let work = Duration::from_millis(20);
    let io = |e: std::io::Error| e.to_string();
    let routed = Instance::start("i-7f3a91c2", ROUTED, places(0), work, record).map_err(io)?;
    let other = Instance::start(OTHER_INSTANCE, OTHER, places(1), work, record).map_err(io)?;
    let routes = [route("r-2b9wu3f", "/pufi791/", "unsafe", ROUTED)];
    let limit = Duration::from_secs(30);
    submit(
        &deployment.operators(),
        &configuration(7, &routes),
        limit,
        record,
    )?;
    let serves = || {
        send(&deployment, 0, record);
        deployment.is_ready(0) && !routed.runs().is_empty()
    };
    if !wait_until(Duration::from_secs(20), serves) {
        return Err("the instance gets no requests".to_owned());
    }
    // Three heartbeats of each instance.
    thread::sleep(Duration::from_millis(4_000));
    if has_trouble {
        send_odd_heartbeat(&deployment, record);
    }
    let until = Instant::now() + TRAFFIC;
    let mut sent = 0;
    while Instant::now() < until {
        sent += 1;
        send(&deployment, sent, record);
        thread::sleep(Duration::from_millis(25));
    }
    if !deployment.all_run() {
        return Err("a process has ended".to_owned());
    }
    let (right, wrong) = (routed.runs(), other.runs());
    record.line(format!(
        "{sent} requests sent, {} runs at {ROUTED}, {} runs at {OTHER}",
        right.len(),
        wrong.len()
    ));
    Ok(match wrong.first() {
        None => Verdict::Held,
        Some(first) => Verdict::Broken(format!(
            "{} of {sent} requests were run by an instance of {OTHER}, to which no configuration leads; the first was {}",
            wrong.len(),
            first.id
        )),
    })
}

/// A heartbeat that names no instance to use: its `information` is a list.
fn send_odd_heartbeat(deployment: &Deployment, record: &Record) {
    let body = format!(
        r#"{{"address":"{}","information":["{ROUTED}","v1","zone-a",6],"status":{{"state":"ready","sequence":1,"cold_remaining_ms":0}},"born":{}}}"#,
        deployment.application(1),
        unix_ms()
    );
    let fields = [("Content-Type", "application/json".to_owned())];
    let path = format!("/instances/{OTHER_INSTANCE}");
    let reply = exchange(
        deployment.heartbeats(1),
        "PUT",
        &path,
        &fields,
        body.as_bytes(),
        Duration::from_secs(1),
    );
    let status = reply.map(|reply| reply.status);
    record.line(format!(
        "heartbeat of another writer at {path} {body}: {status:?}"
    ));
}

fn send(deployment: &Deployment, number: u32, record: &Record) {
    let id = format!("9c41d07b{number:08x}");
    let fields = [
        ("Host", "ficu95.example".to_owned()),
        ("X-Request-Id", id.clone()),
        ("X-Deadline-Milliseconds", "2000".to_owned()),
    ];
    let reply = exchange(
        deployment.outbound(0),
        "POST",
        "/pufi791/2f",
        &fields,
        b"{}",
        Duration::from_secs(3),
    );
    let status = reply.map(|reply| reply.status);
    record.line(format!("client: {id} answered {status:?}"));
}
