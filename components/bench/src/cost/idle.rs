//! Measures what nodes and replicas use while no calls arrive.

use crate::deployment::Deployment;
use mesh::Channel;
use serde::Serialize;
use std::{fs, thread, time::Duration};

/// Clock ticks per second in `/proc/self/stat`, fixed by the Linux ABI.
const TICKS_PER_S: f64 = 100.0;
/// Size of a memory page in `/proc/self/statm`.
const PAGE_BYTES: f64 = 4096.0;
/// Pause before the measurement, so that it does not include the start.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Use of resources per node while idle.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct IdleCost {
    /// Bytes per second that one node sends for control: everything but calls and load probes, such
    /// as gossip, configuration and claims of idempotency keys.
    pub(crate) bytes_per_s: f64,
    /// Processor time of the whole process divided by the number of nodes, in percent of a core.
    /// The replicas run in the same process, so this is an upper bound.
    pub(crate) cpu_percent: f64,
    /// Resident memory of the whole process divided by the number of nodes; also an upper bound.
    pub(crate) memory_bytes: f64,
}

/// Measures an idle deployment for the given number of seconds.
pub(crate) fn measure_idle(deployment: &Deployment, seconds: u64) -> IdleCost {
    thread::sleep(SETTLE_TIME);
    let nodes = deployment.node_count() as f64;
    let (bytes_before, cpu_before) = (control_bytes(deployment), cpu_seconds());
    thread::sleep(Duration::from_secs(seconds));
    let elapsed_s = seconds.max(1) as f64;
    IdleCost {
        bytes_per_s: (control_bytes(deployment) - bytes_before) as f64 / nodes / elapsed_s,
        cpu_percent: (cpu_seconds() - cpu_before) / nodes / elapsed_s * 100.0,
        memory_bytes: resident_bytes() / nodes,
    }
}

/// Bytes that all nodes have sent on the channels other than those for calls and probes.
fn control_bytes(deployment: &Deployment) -> u64 {
    (0..deployment.node_count())
        .map(|index| {
            let stats = deployment.node(index).mesh.stats();
            Channel::ALL
                .into_iter()
                .filter(|channel| !matches!(channel, Channel::Call | Channel::Probe))
                .map(|channel| stats.channel(channel).bytes_out)
                .sum::<u64>()
        })
        .sum()
}

/// Processor time of this process from `/proc`, or 0 on a system without it.
fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // Take the fields after the program name, which is in parentheses and may contain spaces.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_S
}

/// Resident memory of this process from `/proc`, or 0 on a system without it.
fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
