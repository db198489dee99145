//! The first heartbeat of an instance arrives late, after the instance has left with DELETE.

use crate::{
    Outcome, Play, Verdict,
    deployment::Options,
    document::{HOST, Route, document},
    http::{Connection, Head, call, client_request},
    instance::Instance,
    setup,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time for which requests may still arrive after the acknowledgement, the bound `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Delay of the late heartbeat.
const LATE: Duration = Duration::from_millis(4_000);
/// Time from the start of the instance to its DELETE, less than a heartbeat interval.
const LIFE: Duration = Duration::from_millis(1_300);

pub fn play(play: &Play) -> Outcome {
    let serve = |instance: &Instance, connection: &mut Connection, head: &Head| {
        instance.run(connection, head, Duration::from_millis(20))
    };
    let options = Options {
        cores: 5,
        nodes: vec!["huvo11a", "wuno96b", "wuno96b"],
        bounds: Vec::new(),
    };
    let routes = [Route {
        prefix: "/browse/",
        kind: "safe",
        service: "wuno96b",
        timeout_ms: 3_000,
        target_ms: 400,
        attempts: 2,
    }];
    let document = document(1, &["huvo11a", "wuno96b"], &routes);
    let mut running = setup::start(play, options, &document, serve)?;
    running.wait_until_served(0, "/browse/1")?;
    // The machine of the new instance has just been added: its node knows of no instance.
    running.instances[1].end();
    running.deployment.node(1).kill();
    thread::sleep(Duration::from_secs(5));
    running
        .deployment
        .start_node(1)
        .map_err(|error| error.to_string())?;
    thread::sleep(Duration::from_secs(4));

    let stop = Arc::new(AtomicBool::new(false));
    let client = spawn_client(running.deployment.call_address(0), Arc::clone(&stop));
    let instance = Instance::start(
        &play.record,
        "i-77a",
        "wuno96b",
        running.deployment.application_address(1),
        running.deployment.heartbeat_address(1),
        serve,
    )
    .map_err(|error| error.to_string())?;
    let first = instance.next_heartbeat("ready");
    let started = Instant::now();
    if play.has_trouble {
        instance.note("sends its first heartbeat, which will be late");
    } else {
        let is_acked = instance.send_heartbeat(&first);
        instance.note(&format!("its first heartbeat is acknowledged: {is_acked}"));
    }
    thread::sleep(LIFE);
    instance.is_leaving.store(true, Ordering::Release);
    if !instance.withdraw() {
        return Err("the DELETE was not acknowledged".to_owned());
    }
    let acked = Instant::now();
    instance.note("its DELETE is acknowledged; it serves on for some seconds");
    if play.has_trouble {
        thread::sleep((started + LATE).saturating_duration_since(Instant::now()));
        let is_acked = instance.send_heartbeat(&first);
        instance.note(&format!(
            "its first heartbeat arrives, acknowledged: {is_acked}"
        ));
    }
    thread::sleep((acked + Duration::from_secs(8)).saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::Release);
    let sent = client.join().map_err(|_| "the client failed")?;
    let late: Vec<_> = instance
        .arrivals()
        .into_iter()
        .filter(|arrival| arrival.has_run && arrival.at > acked + DRAIN)
        .collect();
    play.record.note(format!(
        "{sent} requests were sent; {} reached i-77a later than {} ms after the acknowledgement",
        late.len(),
        DRAIN.as_millis()
    ));
    for arrival in late.iter().take(5) {
        let after = arrival.at.duration_since(acked).as_millis();
        play.record
            .note(format!("{} reached i-77a {after} ms after it", arrival.id));
    }
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// Sends a request every 20 ms until it is stopped; returns the number of requests.
fn spawn_client(at: SocketAddr, stop: Arc<AtomicBool>) -> thread::JoinHandle<u32> {
    thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::Acquire) {
            number += 1;
            let id = format!("browse-{number}");
            let request = client_request("GET", "/browse/1", HOST, &id, 1_000, b"");
            let _ = call(at, &request, Duration::from_secs(2));
            thread::sleep(Duration::from_millis(20));
        }
        number
    })
}
