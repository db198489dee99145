//! Two heartbeats arrive late, after their instance has left with DELETE at a node that was
//! restarted shortly before.

use crate::{
    Outcome, Play, Verdict,
    deployment::Options,
    document::{HOST, Route, document},
    http::{Connection, Head, call, client_request},
    instance::{HEARTBEAT, Instance},
    setup,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time for which requests may still arrive after the acknowledgement, the bound `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Delay of the late heartbeats.
const LATE: Duration = Duration::from_millis(4_000);

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
    thread::sleep(Duration::from_secs(4));

    let stop = Arc::new(AtomicBool::new(false));
    let client = spawn_client(running.deployment.call_address(0), Arc::clone(&stop));
    let leaving = Arc::clone(&running.instances[1]);
    leaving.is_leaving.store(true, Ordering::Release);
    thread::sleep(HEARTBEAT);
    leaving.is_leaving.store(false, Ordering::Release);
    // The instance reports itself from here on; the first two heartbeats are late.
    let first = leaving.next_heartbeat("ready");
    let first_sent = Instant::now();
    play.record
        .note("instance i-01a: sends a heartbeat that will be late");
    thread::sleep(Duration::from_millis(300));
    running.deployment.node(1).kill();
    play.record
        .note("platform: sidecar-1 is killed, its instance runs on");
    thread::sleep(Duration::from_millis(300));
    running
        .deployment
        .start_node(1)
        .map_err(|error| error.to_string())?;
    let until = Instant::now() + Duration::from_secs(10);
    while !running.deployment.is_ready(1) {
        if Instant::now() > until {
            return Err("sidecar-1 doesn't become ready again".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    play.record.note("platform: sidecar-1 is ready again");
    thread::sleep(HEARTBEAT.saturating_sub(first_sent.elapsed()));
    let second = leaving.next_heartbeat("ready");
    let second_sent = Instant::now();
    play.record
        .note("instance i-01a: sends another heartbeat that will be late");
    thread::sleep(Duration::from_millis(300));
    leaving.is_leaving.store(true, Ordering::Release);
    if !leaving.withdraw() {
        return Err("the DELETE was not acknowledged".to_owned());
    }
    let acked = Instant::now();
    play.record
        .note("instance i-01a: its DELETE is acknowledged; it serves on for some seconds");
    if play.has_trouble {
        for (body, sent) in [(first, first_sent), (second, second_sent)] {
            thread::sleep((sent + LATE).saturating_duration_since(Instant::now()));
            let is_acked = leaving.send_heartbeat(&body);
            play.record.note(format!(
                "a late heartbeat of i-01a arrives, acknowledged: {is_acked}"
            ));
        }
    }
    thread::sleep((acked + Duration::from_secs(8)).saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::Release);
    let sent = client.join().map_err(|_| "the client failed")?;
    let late: Vec<_> = leaving
        .arrivals()
        .into_iter()
        .filter(|a| a.at > acked + DRAIN)
        .collect();
    play.record
        .note(format!("client: {sent} requests were sent"));
    for arrival in late.iter().take(5) {
        let after = arrival.at.duration_since(acked).as_millis();
        play.record.note(format!(
            "{} reached i-01a {after} ms after the acknowledgement",
            arrival.id
        ));
    }
    play.record.note(format!(
        "{} requests reached i-01a later than {} ms",
        late.len(),
        DRAIN.as_millis()
    ));
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// Sends a request every 20 ms until it is stopped; returns the number of requests.
fn spawn_client(at: std::net::SocketAddr, stop: Arc<AtomicBool>) -> thread::JoinHandle<u32> {
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
