//! Guards the probe budget: under a load that changes strongly, no node sends more probe messages
//! in any one second than the profile allows.

mod system;

use bench::load::{self, LoadConfig};
use kernel::{KindLabels, Metrics};
use model::ProbeMode;
use serde_json::json;
use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};
use system::{SERVICE, profile, start_deployment, start_upstreams, test_lock};

/// Probe messages per second that the profile allows; a probe and its reply are two.
const BUDGET_PER_S: u32 = 40;
const MESSAGES_PER_PROBE: u64 = 2;
/// Length of the windows in which messages are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Number of probes sent so far, with the times before and after it was read.
struct Sample {
    before: Instant,
    after: Instant,
    probes: u64,
}

fn take_sample(metrics: &Metrics) -> Sample {
    let before = Instant::now();
    let probes = metrics
        .probes
        .get_or_create(&KindLabels { kind: "sent" })
        .get();
    Sample {
        before,
        after: Instant::now(),
        probes,
    }
}

#[test]
fn budget_cap() {
    let _lock = test_lock();
    let deployment = start_deployment(2);
    let mut read = profile("read");
    read.idempotent = true;
    read.measure = ProbeMode::Fast;
    read.probe_budget_per_s = BUDGET_PER_S;
    let number = deployment
        .submit_change("fast", None, &json!({ "update": read }))
        .unwrap();
    deployment.wait_for_revision(number).unwrap();
    let _upstreams = start_upstreams(&deployment, 2);
    let done = AtomicBool::new(false);
    let metrics = deployment.node(0).metrics.clone();
    let samples = thread::scope(|scope| {
        let (done, metrics) = (&done, &metrics);
        let sampling = scope.spawn(move || {
            let mut samples = Vec::new();
            while !done.load(Ordering::Acquire) {
                samples.push(take_sample(metrics));
                thread::sleep(Duration::from_millis(20));
            }
            samples
        });
        // Bursts far above the budget, with quiet periods in which unused budget could accumulate.
        for (round, rate_per_s) in [300.0, 20.0, 400.0].into_iter().enumerate() {
            load::run(&LoadConfig {
                targets: vec![deployment.call_address(0)],
                rate_per_s,
                duration_ms: 1_500,
                service: SERVICE.to_owned(),
                request_id_prefix: format!("swing-{round}"),
                ..LoadConfig::default()
            });
        }
        done.store(true, Ordering::Release);
        sampling.join().unwrap()
    });
    let last = samples.last().expect("there are samples").probes;
    assert!(last > 0, "no probe was sent");
    for (index, first) in samples.iter().enumerate() {
        for second in &samples[index..] {
            if second.after - first.before > WINDOW {
                break;
            }
            let messages = (second.probes - first.probes) * MESSAGES_PER_PROBE;
            assert!(
                messages <= u64::from(BUDGET_PER_S),
                "{messages} messages within a second"
            );
        }
    }
}
