//! One core machine is lost right after its first start, before the first configuration.

use crate::{
    Outcome, Play, Verdict,
    deployment::{Deployment, Options},
    document::{HOST, Route, document},
    http::{Connection, Head, call, client_request},
    instance::Instance,
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time for which the operator repeats the first configuration and clients try.
const TRIED: Duration = Duration::from_secs(60);

pub fn play(play: &Play) -> Outcome {
    let options = Options {
        cores: 5,
        nodes: vec!["huvo11a", "huvo11a"],
        bounds: Vec::new(),
    };
    let text = |error: std::io::Error| error.to_string();
    let mut deployment = Deployment::new(&play.record, options).map_err(text)?;
    deployment.start_all().map_err(text)?;
    if play.has_trouble {
        if let Some(core) = &mut deployment.cores[4] {
            core.kill();
        }
        play.record
            .note("platform: core-4 is lost; 4 of 5 core machines run on");
    }
    let mut instances = Vec::new();
    for node in 0..2 {
        let serve = |instance: &Instance, connection: &mut Connection, head: &Head| {
            instance.run(connection, head, Duration::from_millis(20))
        };
        let instance = Instance::start(
            &play.record,
            &format!("i-{node:02x}a"),
            "huvo11a",
            deployment.application_address(node),
            deployment.heartbeat_address(node),
            serve,
        );
        instances.push(instance.map_err(text)?);
    }
    instances.iter().for_each(Instance::start_heartbeats);
    let routes = [Route {
        prefix: "/browse/",
        kind: "safe",
        service: "huvo11a",
        timeout_ms: 3_000,
        target_ms: 400,
        attempts: 2,
    }];
    let document = document(1, &["huvo11a"], &routes);
    let is_acked = deployment.configure(&document, TRIED);
    let (mut served, mut sent) = (0, 0);
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        for node in 0..2 {
            sent += 1;
            let id = format!("browse-{sent}");
            let request = client_request("GET", "/browse/1", HOST, &id, 1_000, b"");
            let answer = call(
                deployment.call_address(node),
                &request,
                Duration::from_secs(2),
            );
            served += u32::from(answer.is_ok_and(|answer| answer.status == 200));
        }
        thread::sleep(Duration::from_millis(100));
    }
    play.record.note(format!(
        "configuration acknowledged within {} s: {is_acked}; requests sent {sent}, served {served}",
        TRIED.as_secs()
    ));
    Ok(if is_acked && served > 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
