//! The process of one seed is killed while the whole system starts for the first time, and started
//! again.

use crate::{
    deployment::{Deployment, Plan},
    http::exchange,
    operator::{configuration, route, submit},
    record::Record,
    Verdict,
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Core machines in the order of their starts. The first three machines are the seeds.
const START_ORDER: [u8; 5] = [0, 1, 3, 4, 2];
/// All machines start within 0.3 s of each other.
const START_GAP: Duration = Duration::from_millis(70);
/// The machine whose process is killed.
const KILLED: u8 = 0;
/// When it gets SIGKILL, after the start of the first machine.
const KILL_AT: Duration = Duration::from_millis(250);
/// When the platform starts it again.
const RESTART_AT: Duration = Duration::from_millis(1_000);
/// `stability_window_ms`, after which the core is stable again.
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// `ack_timeout_ms`.
const ACK_TIMEOUT: Duration = Duration::from_millis(4_000);
/// How long the operator goes on.
const LIMIT: Duration = Duration::from_secs(60);

/// Requests that are sent at the end, only for the record. No instance runs.
const REQUESTS: usize = 5;

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(Plan {
        cores: START_ORDER.len() as u8,
        tolerated: 2,
        sidecars: vec!["huvo11a"],
    })?;
    let started = Instant::now();
    let sleep_until = |at: Duration| thread::sleep(at.saturating_sub(started.elapsed()));
    let mut is_killed = !has_trouble;
    for (position, core) in (0u32..).zip(START_ORDER) {
        let at = START_GAP * position;
        if !is_killed && KILL_AT < at {
            sleep_until(KILL_AT);
            deployment.kill_core(KILLED);
            record.line(format!("core {KILLED} gets SIGKILL"));
            is_killed = true;
        }
        sleep_until(at);
        deployment.start_core(core, true)?;
        record.line(format!("core {core} starts, bootstrap = true"));
    }
    deployment.start_sidecar(0)?;
    sleep_until(RESTART_AT);
    if has_trouble {
        deployment.start_core(KILLED, false)?;
        record.line(format!(
            "core {KILLED} starts again, bootstrap = false, its disk is kept"
        ));
    }
    thread::sleep(STABILITY_WINDOW);
    let routes = [route("r-2b9wu3f", "/pufi791/", "safe", "huvo11a")];
    let result = submit(
        &deployment.operators(),
        &configuration(1, &routes),
        LIMIT,
        record,
    );
    if !deployment.all_run() {
        return Err("a process has ended".to_owned());
    }
    record.line(format!("the node is ready: {}", deployment.is_ready(0)));
    for number in 0..REQUESTS {
        let id = format!("9c41d07b{number:08x}");
        let fields = [
            ("Host", "ficu95.example".to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Milliseconds", "1000".to_owned()),
        ];
        let to = deployment.outbound(0);
        let reply = exchange(
            to,
            "GET",
            "/pufi791/2f",
            &fields,
            b"",
            Duration::from_secs(2),
        );
        record.line(format!(
            "client: {id} answered {:?}",
            reply.map(|reply| reply.status)
        ));
    }
    Ok(match result {
        Ok(after) if after <= ACK_TIMEOUT => Verdict::Held,
        Ok(after) => Verdict::Broken(format!("the first configuration is acknowledged after {after:?} only")),
        Err(last) => Verdict::Broken(format!(
            "the first configuration is not acknowledged in {LIMIT:?} in which all core processes run; last answer: {last}"
        )),
    })
}
