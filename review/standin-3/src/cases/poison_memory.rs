//! A request crashes each instance that runs it, and comes again. After it has crashed the third,
//! all processes of the system are killed and started again. It must not reach instances in more
//! than three retries later on.

use super::{document, prepare, Route};
use crate::{
    client::{Clients, Kind},
    deployment::{Deployment, Machine, CORES},
    http::Connection,
    instance::{Fate, Instance},
    random,
    record::Record,
    Outcome,
};
use std::{
    io,
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const SERVICE: &str = "catalogue";
const SIDES: [u8; 6] = [0, 1, 2, 3, 4, 5];
const WORK: Duration = Duration::from_millis(60);
/// Time after which a crashed instance is back.
const BACK_AFTER: Duration = Duration::from_millis(2_500);
const STABILITY_MS: u64 = 3_000;
const POISON: &str = "/swaps/poison";
/// Pause before the poisonous request comes again.
const AGAIN: Duration = Duration::from_millis(500);
/// Retries that the rule allows.
const ALLOWED: usize = 3;

type Instances = Arc<Mutex<Vec<Arc<Instance>>>>;

pub fn run(root: &Path, record: &Record, has_trouble: bool) -> io::Result<Outcome> {
    let deployment = Arc::new(Deployment::start(
        root,
        record,
        &[SERVICE; SIDES.len()],
        &[],
    )?);
    let instances = Instances::default();
    for side in SIDES {
        let instance = start_instance(&deployment, side)?;
        instances.lock().unwrap().push(instance);
    }
    let ends = Arc::new(AtomicBool::new(false));
    let keeper = keep_instances(&deployment, &instances, &ends);
    let routes = |name| {
        [Route {
            name,
            prefix: "/swaps/",
            kind: "unsafe",
            service: SERVICE,
        }]
    };
    if let Err(outcome) = prepare(&deployment, &document(1, &[SERVICE], &routes("score-swap"))) {
        return Ok(outcome);
    }
    thread::sleep(Duration::from_secs(4));
    let swap = Kind {
        method: "POST",
        path: "/swaps/new",
        body: "a swap",
        key: None,
        is_safe: false,
        deadline: Duration::from_millis(1_000),
        retries: 1,
    };
    let clients = Clients::start(&deployment, &SIDES, &[swap], 3, 2.0);
    thread::sleep(Duration::from_secs(2));
    // Until it has crashed the third instance.
    let until = Instant::now() + Duration::from_secs(15);
    while poison_runs(&instances).len() < 3 && Instant::now() < until {
        send_poison(&deployment);
        thread::sleep(AGAIN);
    }
    let Some(third_ms) = poison_runs(&instances).get(2).copied() else {
        return Ok(Outcome::NotRun(
            "the request did not crash three instances".to_owned(),
        ));
    };
    record.say(format!(
        "the request has crashed the third instance at {third_ms} ms"
    ));
    thread::sleep(Duration::from_millis(STABILITY_MS + 1_000));
    if deployment.configure(&document(2, &[SERVICE], &routes("score-swap-2"))) != Some(200) {
        return Ok(Outcome::NotRun("version 2 was not acknowledged".to_owned()));
    }
    if has_trouble {
        record.say(format!(
            "all processes are killed at {} ms",
            record.now_ms()
        ));
        let machines = || {
            let cores = (0..CORES).map(Machine::Core);
            cores.chain(SIDES.map(Machine::Side))
        };
        deployment.kill_all();
        thread::sleep(Duration::from_secs(1));
        for machine in machines() {
            deployment.start_process(machine, false)?;
        }
    }
    if !deployment.wait_ready() {
        return Ok(Outcome::NotRun("the nodes did not become ready".to_owned()));
    }
    // All machines are in touch again after twice the window, since most of the core was killed.
    thread::sleep(Duration::from_millis(2 * STABILITY_MS + 1_000));
    let again_ms = record.now_ms();
    record.say(format!("the request comes again from {again_ms} ms on"));
    let until = Instant::now() + Duration::from_secs(35);
    while Instant::now() < until {
        send_poison(&deployment);
        thread::sleep(AGAIN);
    }
    let attempts = clients.stop();
    ends.store(true, Ordering::Release);
    let _ = keeper.join();
    let ended = deployment.ended();
    if !ended.is_empty() {
        return Ok(Outcome::NotRun(format!("processes have ended: {ended:?}")));
    }
    let crashes = poison_runs(&instances);
    record.say(format!("it reached instances at {crashes:?} ms"));
    let late = crashes
        .iter()
        .filter(|ms| **ms > third_ms + STABILITY_MS)
        .count();
    let cut = attempts
        .iter()
        .filter(|a| a.sent_ms > again_ms && matches!(a.status, 0 | 502));
    record.say(format!(
        "other requests that were cut off in that time: {}",
        cut.count()
    ));
    record.say(format!(
        "BUDGET: {late} retries reached instances later than {STABILITY_MS} ms after the third crash; allowed are {ALLOWED}"
    ));
    Ok(match late > ALLOWED {
        true => Outcome::Broken,
        false => Outcome::Held,
    })
}

fn start_instance(deployment: &Deployment, side: u8) -> io::Result<Arc<Instance>> {
    let fate = |request: &crate::http::Message| match request.first_line.contains(POISON) {
        true => Fate::Crash,
        false => Fate::Answered,
    };
    let id = format!("i-{side}-{:08x}", random::number() as u32);
    Instance::start(deployment, side, &id, 6, WORK, fate)
}

/// Starts an instance again, some seconds after it has crashed.
fn keep_instances(
    deployment: &Arc<Deployment>,
    instances: &Instances,
    ends: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (deployment, instances, ends) = (
        Arc::clone(deployment),
        Arc::clone(instances),
        Arc::clone(ends),
    );
    thread::spawn(move || {
        let mut down: Vec<(u8, Instant)> = Vec::new();
        while !ends.load(Ordering::Acquire) {
            for side in SIDES {
                let newest = {
                    let all = instances.lock().unwrap();
                    all.iter().rev().find(|i| i.side == side).cloned()
                };
                let has_ended = newest.is_some_and(|instance| instance.has_ended());
                match down.iter().position(|(other, _)| *other == side) {
                    None if has_ended => down.push((side, Instant::now() + BACK_AFTER)),
                    Some(at) if Instant::now() >= down[at].1 => {
                        if let Ok(instance) = start_instance(&deployment, side) {
                            instances.lock().unwrap().push(instance);
                            down.remove(at);
                        }
                    }
                    _ => {}
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}

/// Times at which the poisonous request reached instances that ran it.
fn poison_runs(instances: &Instances) -> Vec<u64> {
    let all = instances.lock().unwrap();
    let runs = all.iter().flat_map(|instance| instance.runs());
    let poison = runs.filter(|run| run.line.contains(POISON));
    let mut times: Vec<u64> = poison.map(|run| run.arrived_ms).collect();
    times.sort_unstable();
    times
}

/// Sends the request at any machine.
fn send_poison(deployment: &Deployment) {
    let side = SIDES[random::number() as usize % SIDES.len()];
    let to = deployment.at(Machine::Side(side), deployment.ports.outbound);
    let id = random::request_id();
    let head = format!(
        "POST {POISON} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Milliseconds: 1000\r\n"
    );
    let answer = Connection::open(to, Duration::from_secs(1)).and_then(|mut connection| {
        connection.exchange(&head, b"a swap that crashes", Duration::from_secs(1))
    });
    let what = answer.map_or_else(
        |error| error.to_string(),
        |answer| answer.status().to_string(),
    );
    deployment
        .record
        .add(format!("the poisonous request {id} at node {side}: {what}"));
}
