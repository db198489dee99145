//! An instance says that it is draining, after a heartbeat of another writer with a field of another
//! type has passed for a newer one of it.

use crate::{
    deployment::{unix_ms, wait_until, Deployment, Plan},
    http::exchange,
    instance::Instance,
    operator::{configuration, route, submit},
    record::Record,
    Verdict,
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

const CALLER: &str = "huvo11a";
const CALLED: &str = "wuno96b";
const LEAVING: &str = "i-51d0b8e4";
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long the instance serves after its acknowledgement, before it sends `DELETE` and exits.
const SERVES_ON: Duration = Duration::from_millis(6_000);
/// Time that a request takes at an instance.
const WORK: Duration = Duration::from_millis(150);
/// Clients on the machine, each of which sends one request after the other.
const CLIENTS: usize = 8;
/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(50);

/// What the clients have seen.
#[derive(Default)]
struct Seen {
    is_over: AtomicBool,
    next_id: AtomicUsize,
    /// Requests with an answer other than 200, or without one.
    failed: AtomicUsize,
}

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(Plan {
        cores: 3,
        tolerated: 1,
        sidecars: vec![CALLER, CALLED, CALLED],
    })?;
    (0..3).try_for_each(|core| deployment.start_core(core, true))?;
    (0..3).try_for_each(|sidecar| deployment.start_sidecar(sidecar))?;
    let places = |n: u8| (deployment.application(n), deployment.heartbeats(n));
    let io = |e: std::io::Error| e.to_string();
    let _caller = Instance::start("i-7f3a91c2", CALLER, places(0), WORK, record).map_err(io)?;
    let leaving = Instance::start(LEAVING, CALLED, places(1), WORK, record).map_err(io)?;
    let staying = Instance::start("i-0e9d33b1", CALLED, places(2), WORK, record).map_err(io)?;
    let routes = [route("r-2b9wu3f", "/pufi791/", "unsafe", CALLED)];
    submit(
        &deployment.operators(),
        &configuration(7, &routes),
        Duration::from_secs(30),
        record,
    )?;
    let seen = Arc::new(Seen::default());
    let to = deployment.outbound(0);
    let both_serve = || {
        send(to, &seen, record);
        deployment.is_ready(0) && !leaving.runs().is_empty() && !staying.runs().is_empty()
    };
    if !wait_until(Duration::from_secs(20), both_serve) {
        return Err("an instance gets no requests".to_owned());
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| start_client(to, &seen, record))
        .collect();
    thread::sleep(Duration::from_millis(3_500));
    seen.failed.store(0, Ordering::Relaxed);
    if has_trouble {
        send_odd_heartbeat(&deployment, record);
        thread::sleep(Duration::from_millis(500));
    }
    leaving.is_draining.store(true, Ordering::Relaxed);
    if !wait_until(Duration::from_secs(5), || leaving.report() == Some(200)) {
        return Err("no heartbeat with state draining is acknowledged".to_owned());
    }
    let acknowledged = Instant::now();
    record.line("the draining heartbeat is acknowledged");
    thread::sleep(SERVES_ON);
    leaving.exit();
    thread::sleep(Duration::from_secs(1));
    seen.is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    if !deployment.all_run() {
        return Err("a process has ended".to_owned());
    }
    let late: Vec<_> = leaving
        .runs()
        .into_iter()
        .filter(|run| run.at > acknowledged + DRAIN)
        .collect();
    let failed = seen.failed.load(Ordering::Relaxed);
    record.line(format!(
        "{} requests ran at {LEAVING} later than drain_ms after the acknowledgement; {failed} requests failed",
        late.len()
    ));
    Ok(match late.last() {
        None => Verdict::Held,
        Some(last) => Verdict::Broken(format!(
            "{} requests ran at an instance later than 2,000 ms after its draining heartbeat was acknowledged, the last {:.1} s after it; {failed} requests failed",
            late.len(),
            last.at.duration_since(acknowledged).as_secs_f64()
        )),
    })
}

/// A heartbeat that names no instance to use: its `status` is a list.
fn send_odd_heartbeat(deployment: &Deployment, record: &Record) {
    let body = format!(
        r#"{{"address":"{}","information":{{"service":"{CALLED}","version":"v1","zone":"zone-a","slots":6}},"status":["ready",1,0],"born":{}}}"#,
        deployment.application(1),
        unix_ms()
    );
    let fields = [("Content-Type", "application/json".to_owned())];
    let path = format!("/instances/{LEAVING}");
    let limit = Duration::from_secs(1);
    let reply = exchange(
        deployment.heartbeats(1),
        "PUT",
        &path,
        &fields,
        body.as_bytes(),
        limit,
    );
    let status = reply.map(|reply| reply.status);
    record.line(format!(
        "heartbeat of another writer at {path} {body}: {status:?}"
    ));
}

fn start_client(to: SocketAddr, seen: &Arc<Seen>, record: &Record) -> JoinHandle<()> {
    let (seen, record) = (Arc::clone(seen), record.clone());
    thread::spawn(move || {
        while !seen.is_over.load(Ordering::Relaxed) {
            send(to, &seen, &record);
            thread::sleep(PAUSE);
        }
    })
}

fn send(to: SocketAddr, seen: &Seen, record: &Record) {
    let number = seen.next_id.fetch_add(1, Ordering::Relaxed);
    let id = format!("9c41d07b{number:08x}");
    let fields = [
        ("Host", "ficu95.example".to_owned()),
        ("X-Request-Id", id.clone()),
        ("X-Deadline-Milliseconds", "2000".to_owned()),
    ];
    let reply = exchange(
        to,
        "POST",
        "/pufi791/2f",
        &fields,
        b"{}",
        Duration::from_secs(3),
    );
    let status = reply.map(|reply| reply.status);
    if !matches!(status, Ok(200)) {
        seen.failed.fetch_add(1, Ordering::Relaxed);
    }
    record.line(format!("client: {id} answered {status:?}"));
}
