//! A client has several requests in flight on one connection when its node is stopped.

use crate::{
    Outcome, Play, Verdict,
    deployment::Options,
    document::{HOST, Route, document},
    http::{Connection, Head, client_request},
    instance::Instance,
    setup,
};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Connections on which the same happens at the same time.
const CLIENTS: usize = 3;
const DEADLINE_MS: u64 = 4_000;
/// Work of a request whose path begins so.
const WORK: &[(&str, u64)] = &[("/slow/", 2_000), ("/quick/", 500)];

/// Result of one request at its client.
#[derive(Debug)]
struct Sent {
    id: String,
    status: Option<u16>,
    end: String,
}

pub fn play(play: &Play) -> Outcome {
    let serve = |instance: &Instance, connection: &mut Connection, head: &Head| {
        let target = head.request_line().1;
        let work = WORK.iter().find(|(prefix, _)| target.starts_with(prefix));
        instance.run(
            connection,
            head,
            Duration::from_millis(work.map_or(20, |(_, ms)| *ms)),
        )
    };
    let options = Options {
        cores: 5,
        nodes: vec!["huvo11a", "wuno96b", "wuno96b", "wuno96b"],
        bounds: Vec::new(),
    };
    let route = |prefix| Route {
        prefix,
        kind: "safe",
        service: "wuno96b",
        timeout_ms: DEADLINE_MS,
        target_ms: 1_500,
        attempts: 1,
    };
    let routes = [route("/slow/"), route("/quick/"), route("/warm/")];
    let document = document(1, &["huvo11a", "wuno96b"], &routes);
    let mut running = setup::start(play, options, &document, serve)?;
    running.wait_until_served(0, "/warm/1")?;
    thread::sleep(Duration::from_secs(4));
    let at = running.deployment.call_address(0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = Arc::clone(&play.record);
            thread::spawn(move || {
                let mut connection = Connection::open(at).map_err(|error| error.to_string())?;
                let mut ids = Vec::new();
                let mut send = |connection: &mut Connection, path: &str, name: &str| {
                    let id = format!("{name}-{client}");
                    record.note(format!("client {client}: sends {id}, {path}"));
                    let request = client_request("GET", path, HOST, &id, DEADLINE_MS, b"");
                    ids.push(id);
                    connection.send(&request).map_err(|error| error.to_string())
                };
                send(&mut connection, "/slow/1", "first")?;
                send(&mut connection, "/quick/1", "second")?;
                // The node is stopped 0.1 s after the first request.
                thread::sleep(Duration::from_millis(1_000));
                send(&mut connection, "/quick/1", "third")?;
                let until = Instant::now() + Duration::from_secs(6);
                let mut sent = Vec::new();
                for id in ids {
                    let answer = connection.read_response(Some(until));
                    let (status, end) = match &answer {
                        Ok(answer) if answer.closes() => {
                            (Some(answer.status), "Connection: close".to_owned())
                        }
                        Ok(answer) => (Some(answer.status), String::new()),
                        Err(error) => (None, error.to_string()),
                    };
                    record.note(format!(
                        "client {client}: {id} is answered {status:?} {end}"
                    ));
                    sent.push(Sent { id, status, end });
                }
                Ok::<_, String>(sent)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(100));
    if play.has_trouble {
        running.deployment.node(0).signal("TERM");
        play.record.note("platform: SIGTERM to sidecar-0");
    }
    let mut is_broken = false;
    for client in clients {
        let sent = client.join().map_err(|_| "a client failed")??;
        for request in sent.iter().filter(|request| request.status.is_none()) {
            let has_run = running
                .instances
                .iter()
                .flat_map(|instance| instance.arrivals())
                .any(|arrival| arrival.id == request.id && arrival.has_run);
            play.record.note(format!(
                "{} ended without an answer ({}); an instance ran it: {has_run}",
                request.id, request.end
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
