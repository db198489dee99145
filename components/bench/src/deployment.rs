//! A whole deployment in one process: control replicas and nodes on loopback, for the demo, the
//! measurements and the tests.

mod defaults;
mod operators;
mod start;
mod waits;

pub use operators::OperatorClient;

use kernel::{Kernel, KernelHandle, KindLabels, StartError};
use settings::{ControlSettings, NodeSettings};
use snafu::Snafu;
use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};
use tempfile::TempDir;

/// Interval at which conditions are checked and failed operations retried.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for a condition, and for an operator's request over all replicas.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// The deployment could not be started, a request failed, or a state was not reached in time.
#[derive(Debug, Snafu)]
pub enum DeploymentError {
    /// A process did not start.
    #[snafu(display("a process did not start: {source}"), context(false))]
    Start {
        /// Plug-in that did not start, and why.
        source: StartError,
    },
    /// A file or address was not available.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// Error of the file or network operation.
        source: std::io::Error,
    },
    /// An operator's request failed.
    #[snafu(display("operator request: {reason}"))]
    Operator {
        /// Unexpected response of a replica, or why there was none.
        reason: String,
    },
    /// A condition was not met in time.
    #[snafu(display("timed out waiting for {condition}"))]
    TimedOut {
        /// What was waited for.
        condition: &'static str,
    },
}

/// Size and settings of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentConfig {
    /// Number of control replicas.
    pub replicas: usize,
    /// Availability zone of each node.
    pub zones: Vec<String>,
    /// Share of routing decisions that are logged, in percent.
    pub decision_log_percent: u8,
}

impl DeploymentConfig {
    /// Three replicas and a node in each of the named availability zones.
    pub fn new(zones: &[&str]) -> Self {
        DeploymentConfig {
            replicas: 3,
            zones: zones.iter().map(ToString::to_string).collect(),
            decision_log_percent: 100,
        }
    }
}

/// A replica or node, running or not.
struct Process<S> {
    settings: S,
    /// `None` while the process is not running.
    handle: Option<KernelHandle>,
}

impl<S> Process<S> {
    /// A process that does not run yet.
    fn new(settings: S) -> Self {
        Process {
            settings,
            handle: None,
        }
    }

    /// Kills the process if it runs, as a crash would.
    fn kill(&mut self) {
        if let Some(mut handle) = self.handle.take() {
            handle.abort();
        }
    }
}

/// A deployment of control replicas and nodes that can be stopped and restarted one by one.
pub struct Deployment {
    replicas: Vec<Process<ControlSettings>>,
    nodes: Vec<Process<NodeSettings>>,
    /// Data directories of the replicas, deleted when the deployment is dropped.
    data_root: TempDir,
}

impl Deployment {
    /// Kills a replica, as a crash would.
    pub fn kill_replica(&mut self, index: usize) {
        self.replicas[index].kill();
    }

    /// Kills a node, as a crash would.
    pub fn kill_node(&mut self, index: usize) {
        self.nodes[index].kill();
    }

    /// Stops a node gracefully.
    pub fn stop_node(&mut self, index: usize) {
        if let Some(mut handle) = self.nodes[index].handle.take() {
            handle.stop();
        }
    }

    /// Kernel of a running node.
    ///
    /// # Panics
    ///
    /// If the node is not running.
    pub fn node(&self, index: usize) -> &Arc<Kernel> {
        self.nodes[index]
            .handle
            .as_ref()
            .expect("the node is running")
            .kernel()
    }

    /// Data directory of a replica.
    pub fn data_dir(&self, index: usize) -> PathBuf {
        self.replicas[index].settings.data_dir.clone()
    }

    /// Number of nodes, running or not.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Address of a node's port for callers.
    pub fn call_address(&self, index: usize) -> SocketAddr {
        self.nodes[index].settings.call_listen
    }

    /// Address of a node's platform port.
    pub fn platform_address(&self, index: usize) -> SocketAddr {
        self.nodes[index].settings.platform_listen
    }

    /// Settings of a node, to change them before a restart or to copy them for another process.
    pub fn node_settings(&mut self, index: usize) -> &mut NodeSettings {
        &mut self.nodes[index].settings
    }

    /// Settings of a replica, to change them before a restart or to copy them for another process.
    pub fn replica_settings(&mut self, index: usize) -> &mut ControlSettings {
        &mut self.replicas[index].settings
    }

    /// Number of probe messages that all running nodes sent and received, and their bytes.
    pub fn probe_totals(&self) -> (u64, u64) {
        self.running_nodes()
            .fold((0, 0), |(messages, bytes), kernel| {
                let count = |kind| {
                    kernel
                        .metrics
                        .probes
                        .get_or_create(&KindLabels { kind })
                        .get()
                };
                (
                    messages + count("sent") + count("received"),
                    bytes + kernel.metrics.probe_bytes.get(),
                )
            })
    }

    fn running_nodes(&self) -> impl Iterator<Item = &Kernel> {
        self.nodes
            .iter()
            .filter_map(|process| process.handle.as_ref())
            .map(|handle| handle.kernel().as_ref())
    }
}

impl Drop for Deployment {
    /// Kills what still runs; a graceful stop would only take time, since nothing is used again.
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(Process::kill);
        self.replicas.iter_mut().for_each(Process::kill);
    }
}
