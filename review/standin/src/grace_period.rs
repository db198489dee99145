//! A node is stopped while an instance works on requests that end well within the grace period.

use crate::{
    Outcome, Play, Verdict,
    deployment::Options,
    document::{HOST, Route, document},
    http::{Connection, Head, call, client_request},
    instance::Instance,
    setup,
};
use std::{sync::Arc, thread, time::Duration};

/// Time from SIGTERM to SIGKILL; the bound of the site file `kellakoor-mesh-large`.
const GRACE_PERIOD: Duration = Duration::from_secs(10);
/// Deadline of `window-read`.
const DEADLINE_MS: u64 = 10_000;
/// Work of the requests: `window-read` takes up to 3.3 s, and five times as long while others press
/// its machine.
const WORK: Duration = Duration::from_millis(4_200);
/// Interval of the platform's readiness check, and the time from its first miss to the requests:
/// clients leave a node after two misses.
const READINESS: Duration = Duration::from_millis(1_000);
const SENT_AFTER_MISS: Duration = Duration::from_millis(600);
const CLIENTS: usize = 3;

pub fn play(play: &Play) -> Outcome {
    let serve = |instance: &Instance, connection: &mut Connection, head: &Head| {
        let work = match head.request_line().1.starts_with("/window/") {
            true => WORK,
            false => Duration::from_millis(20),
        };
        instance.run(connection, head, work)
    };
    let options = Options {
        cores: 5,
        nodes: vec!["huvo11a", "wuno96b", "wuno96b"],
        bounds: vec![
            ("stability_window_ms", "4000"),
            ("catch_up_s", "6"),
            ("drain_ms", "2500"),
            ("grace_period_s", "10"),
            ("config_propagation_ms", "2500"),
            ("max_stretch_ms", "6000"),
            ("retry_budget_slack", "630"),
        ],
    };
    let route = |prefix| Route {
        prefix,
        kind: "safe",
        service: "wuno96b",
        timeout_ms: DEADLINE_MS,
        target_ms: 1_500,
        attempts: 1,
    };
    let routes = [route("/window/"), route("/warm/")];
    let document = document(1, &["huvo11a", "wuno96b"], &routes);
    let mut running = setup::start(play, options, &document, serve)?;
    running.wait_until_served(0, "/warm/1")?;
    thread::sleep(Duration::from_secs(6));
    let at = running.deployment.call_address(0);
    // The platform asks once per second; the SIGTERM follows a question.
    play.record.note(format!(
        "platform: readiness is 200: {}",
        running.deployment.is_ready(0)
    ));
    if play.has_trouble {
        running.deployment.node(0).signal("TERM");
        play.record.note(format!(
            "platform: SIGTERM to sidecar-0; SIGKILL would follow after {} s",
            GRACE_PERIOD.as_secs()
        ));
    }
    thread::sleep(READINESS);
    play.record.note(format!(
        "platform: readiness is 200: {}",
        running.deployment.is_ready(0)
    ));
    thread::sleep(SENT_AFTER_MISS);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = Arc::clone(&play.record);
            thread::spawn(move || {
                let id = format!("window-{client}");
                let request = client_request("GET", "/window/1", HOST, &id, DEADLINE_MS, b"");
                record.note(format!("client: sends {id}"));
                let answer = call(at, &request, Duration::from_secs(11));
                record.note(format!(
                    "client: {id} ends with {:?}",
                    answer.as_ref().map(|answer| answer.status)
                ));
                (id, answer.ok().map(|answer| answer.status))
            })
        })
        .collect();
    if play.has_trouble {
        for _ in 0..200 {
            if let Some(status) = running.deployment.node(0).exit_status() {
                play.record
                    .note(format!("platform: sidecar-0 has ended by itself, {status}"));
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    let mut is_broken = false;
    for client in clients {
        let (id, status) = client.join().map_err(|_| "a client failed")?;
        let has_run = running
            .instances
            .iter()
            .flat_map(|instance| instance.arrivals())
            .any(|arrival| arrival.id == id && arrival.has_run);
        // An own answer in place of the instance's counts like none.
        if status != Some(200) {
            play.record.note(format!(
                "{id} got no answer of the instance; an instance ran it: {has_run}"
            ));
            is_broken |= has_run;
        }
    }
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
