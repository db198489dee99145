//! A client sends bodies of a length that the configuration allows, one at a time.

use crate::{
    Outcome, Play, Verdict,
    deployment::{Options, Program},
    document::{HOST, Route, document},
    http::{Connection, Head, call, client_request},
    instance::Instance,
    record::Record,
    setup,
};
use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Memory of a sidecar machine in `kellakoor-mesh-grown`, in MB.
const MEMORY_MB: u64 = 160;
/// Length of a body; `max_body_bytes` allows 67,108,864.
const BODY_BYTES: usize = 60 << 20;
/// Longest body in the site files, for the play without the disruption.
const USUAL_BODY_BYTES: usize = 7_200;
/// Nodes at which the bodies are sent, and how many each of them gets.
const NODES: u8 = 2;
const ROUNDS: u32 = 3;
/// Ends of its own that the rule allows on a machine.
const ENDS: u32 = 3;
/// Work of the request that is in flight when the body is sent.
/// `score-swap` takes up to 500 ms, and 1.7 times as long at an instance that is nearly full.
const WORK: Duration = Duration::from_millis(800);
/// Deadline of `score-swap`.
const DEADLINE_MS: u64 = 1_000;

pub fn play(play: &Play) -> Outcome {
    let serve = |instance: &Instance, connection: &mut Connection, head: &Head| {
        let work = match head.request_line().1.starts_with("/swap/in-flight") {
            true => WORK,
            false => Duration::from_millis(20),
        };
        instance.run(connection, head, work)
    };
    let options = Options {
        cores: 5,
        nodes: vec!["huvo11a", "huvo11a", "wuno96b", "wuno96b"],
        bounds: vec![("catch_up_s", "6"), ("retry_budget_slack", "178")],
    };
    let routes = [Route {
        prefix: "/swap/",
        kind: "unsafe",
        service: "wuno96b",
        timeout_ms: DEADLINE_MS,
        target_ms: 250,
        attempts: 1,
    }];
    let document = document(1, &["huvo11a", "wuno96b"], &routes);
    let mut running = setup::start(play, options, &document, serve)?;
    let bytes = if play.has_trouble {
        BODY_BYTES
    } else {
        USUAL_BODY_BYTES
    };
    let body = vec![b'x'; bytes];
    let mut ends = [0; NODES as usize];
    let mut lost = 0;
    for round in 1..=ROUNDS {
        for node in 0..NODES {
            running.wait_until_served(node, "/swap/warm")?;
            let at = running.deployment.call_address(node);
            let id = format!("in-flight-{node}-{round}");
            let waiting = thread::spawn({
                let id = id.clone();
                move || {
                    let request =
                        client_request("POST", "/swap/in-flight", HOST, &id, DEADLINE_MS, b"{}");
                    call(at, &request, Duration::from_secs(3))
                }
            });
            thread::sleep(Duration::from_millis(100));
            let program = running.deployment.nodes[usize::from(node)].take();
            let watch = Watch::start(&play.record, program.ok_or("the node doesn't run")?);
            let upload = format!("upload-{node}-{round}");
            play.record
                .note(format!("client: sends {upload} with {bytes} bytes of body"));
            let request = client_request("POST", "/swap/1", HOST, &upload, DEADLINE_MS, &body);
            let answer = call(at, &request, Duration::from_secs(3)).map(|answer| answer.status);
            play.record
                .note(format!("client: {upload} ends with {answer:?}"));
            let answer = waiting
                .join()
                .map_err(|_| "a client failed")?
                .map(|answer| answer.status);
            play.record.note(format!(
                "client: {id}, in flight meanwhile, ends with {answer:?}"
            ));
            let has_run = running
                .instances
                .iter()
                .flat_map(|instance| instance.arrivals())
                .any(|arrival| arrival.id == id && arrival.has_run);
            lost += u32::from(has_run && answer.is_err());
            match watch.stop() {
                Some(program) => running.deployment.nodes[usize::from(node)] = Some(program),
                None => {
                    ends[usize::from(node)] += 1;
                    thread::sleep(Duration::from_millis(500));
                    running
                        .deployment
                        .start_node(node)
                        .map_err(|error| error.to_string())?;
                }
            }
        }
    }
    play.record.note(format!(
        "ends for memory over {MEMORY_MB} MB on each machine: {ends:?}; \
         requests that an instance ran and whose connection ended without an answer: {lost}"
    ));
    let is_broken = ends.iter().all(|ends| *ends >= ENDS);
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Kills a program whose memory exceeds that of its machine, as the platform does.
struct Watch {
    is_over: Arc<AtomicBool>,
    program: Arc<Mutex<Option<Program>>>,
    thread: thread::JoinHandle<()>,
}

impl Watch {
    fn start(record: &Arc<Record>, program: Program) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let program = Arc::new(Mutex::new(Some(program)));
        let thread = thread::spawn({
            let (is_over, program) = (Arc::clone(&is_over), Arc::clone(&program));
            let record = Arc::clone(record);
            move || {
                let started = Instant::now();
                while !is_over.load(Ordering::Acquire)
                    && started.elapsed() < Duration::from_secs(30)
                {
                    let mut held = program.lock().unwrap_or_else(PoisonError::into_inner);
                    let memory_mb = held.as_ref().map_or(0, Program::memory_mb);
                    if memory_mb > MEMORY_MB
                        && let Some(mut program) = held.take()
                    {
                        program.kill();
                        record.note(format!(
                            "platform: {} uses {memory_mb} MB of {MEMORY_MB} MB and is killed",
                            program.name
                        ));
                        return;
                    }
                    drop(held);
                    thread::sleep(Duration::from_millis(2));
                }
            }
        });
        Watch {
            is_over,
            program,
            thread,
        }
    }

    /// Stops watching; the program, if it still runs.
    fn stop(self) -> Option<Program> {
        self.is_over.store(true, Ordering::Release);
        let _ = self.thread.join();
        self.program
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }
}
