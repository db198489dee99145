//! A new version of the configuration adds a route whose services have small weights.

use crate::{
    deployment::{wait_until, Deployment, Plan},
    http::exchange,
    instance::Instance,
    operator::{configuration, read_back, route, submit},
    record::Record,
    Verdict,
};
use std::{thread, time::Duration};

const SERVICES: [&str; 2] = ["huvo11a", "wuno96b"];
/// Requests on each of the two routes.
const REQUESTS: usize = 200;
/// `config_propagation_ms`, and as long again until the deployment is calm.
const PROPAGATION: Duration = Duration::from_millis(4_000);

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(Plan {
        cores: 3,
        tolerated: 1,
        sidecars: SERVICES.to_vec(),
    })?;
    (0..3).try_for_each(|core| deployment.start_core(core, true))?;
    (0..2).try_for_each(|sidecar| deployment.start_sidecar(sidecar))?;
    let places = |n: u8| (deployment.application(n), deployment.heartbeats(n));
    let work = Duration::from_millis(2);
    let io = |e: std::io::Error| e.to_string();
    let instances = [
        Instance::start("i-7f3a91c2", SERVICES[0], places(0), work, record).map_err(io)?,
        Instance::start("i-51d0b8e4", SERVICES[1], places(1), work, record).map_err(io)?,
    ];
    let operators = deployment.operators();
    let first = route("r-2b9wu3f", "/pufi791/", "safe", SERVICES[1]);
    let limit = Duration::from_secs(30);
    submit(
        &operators,
        &configuration(7, std::slice::from_ref(&first)),
        limit,
        record,
    )?;
    let weights = if has_trouble {
        ["0.0002", "0.0003"]
    } else {
        ["2", "3"]
    };
    let part = |n: usize| format!(r#"{{"service":"{}","weight":{}}}"#, SERVICES[n], weights[n]);
    let added = format!(
        r#"{{"name":"r-i9n73hh","path_prefix":"/lohu930/","kind":"safe","timeout_ms":2000,"target_latency_ms":600,"priority":2,"weighted_services":[{},{}],"attempts":2}}"#,
        part(0),
        part(1)
    );
    submit(
        &operators,
        &configuration(12, &[first, added]),
        limit,
        record,
    )?;
    let are_up = || deployment.is_ready(0) && instances.iter().all(|i| i.report() == Some(200));
    if !wait_until(Duration::from_secs(10), are_up) {
        return Err("the node does not become ready".to_owned());
    }
    thread::sleep(PROPAGATION);
    let read = read_back(&operators, Duration::from_secs(10), record).ok_or("no read")?;
    let is_same = (0..2).all(|n| read.contains(&part(n)));
    let served = |path: &str| {
        let send = |number: &usize| {
            let id = format!("9c41{number:04x}{:08x}", path.len() + number);
            let fields = [
                ("Host", "ficu95.example".to_owned()),
                ("X-Request-Id", id.clone()),
                ("X-Deadline-Milliseconds", "2000".to_owned()),
            ];
            let limit = Duration::from_secs(3);
            let reply = exchange(deployment.outbound(0), "GET", path, &fields, b"", limit);
            let status = reply.ok().map(|reply| reply.status);
            record.line(format!("client: {id} {path} answered {status:?}"));
            thread::sleep(Duration::from_millis(10));
            status == Some(200)
        };
        (0..REQUESTS).filter(send).count()
    };
    let (first, added) = (served("/pufi791/2f"), served("/lohu930/2f"));
    record.line(format!(
        "served {first} of {REQUESTS} on the first route, {added} of {REQUESTS} on the added one; read back as sent: {is_same}"
    ));
    if first == 0 {
        return Err("the first route is not served".to_owned());
    }
    let mut broken = Vec::new();
    if !is_same {
        broken.push(
            "the configuration that is read back has other weights than the acknowledged one"
                .to_owned(),
        );
    }
    if added * 4 < first {
        broken.push(format!("{added} of {REQUESTS} requests on the added route are served, {first} on the first one"));
    }
    Ok(match broken.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(broken.join("; ")),
    })
}
