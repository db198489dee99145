//! The start of a deployment and of its processes.

use super::{
    Deployment, DeploymentConfig, DeploymentError, POLL_INTERVAL, Process,
    defaults::{ANY_PORT, control_settings, node_settings},
};
use kernel::{Kernel, KernelHandle, Settings, StartError};
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    thread,
    time::{Duration, Instant},
};

/// How often a start is tried when one of its ports turns out to be in use.
const MAX_START_ATTEMPTS: usize = 5;
/// Longest wait until a killed process has released its ports.
const PORT_RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

impl Deployment {
    /// Starts the replicas, waits until the group has a leader, and starts the nodes.
    pub fn start(config: &DeploymentConfig) -> Result<Self, DeploymentError> {
        for _ in 1..MAX_START_ATTEMPTS {
            match Self::start_once(config) {
                // Another process took a replica's port between its lookup and its use.
                Err(DeploymentError::Start { source }) if is_port_in_use(&source) => {}
                result => return result,
            }
        }
        Self::start_once(config)
    }

    fn start_once(config: &DeploymentConfig) -> Result<Self, DeploymentError> {
        let data_root = tempfile::tempdir()?;
        let group: Vec<SocketAddr> = (0..config.replicas)
            .map(|_| free_address())
            .collect::<Result<_, _>>()?;
        let mut deployment = Deployment {
            replicas: Vec::new(),
            nodes: Vec::new(),
            data_root,
        };
        deployment.add_replicas(&group);
        deployment.add_nodes(config, &group)?;
        for index in 0..config.replicas {
            deployment.start_replica(index)?;
        }
        deployment.wait_for("a leader", |d| d.status().is_ok())?;
        for index in 0..config.zones.len() {
            deployment.start_new_node(index)?;
        }
        Ok(deployment)
    }

    /// Adds the replicas of a group, which don't run yet.
    fn add_replicas(&mut self, group: &[SocketAddr]) {
        for number in 1..=group.len() {
            let data_dir = self.data_root.path().join(format!("replica-{number}"));
            let settings = control_settings(number, group, data_dir);
            self.replicas.push(Process::new(settings));
        }
    }

    /// Adds a node for each availability zone of `config`; the nodes don't run yet.
    fn add_nodes(
        &mut self,
        config: &DeploymentConfig,
        group: &[SocketAddr],
    ) -> Result<(), DeploymentError> {
        let first_peer = free_address()?;
        for (index, zone) in config.zones.iter().enumerate() {
            let mesh = if index == 0 { first_peer } else { ANY_PORT };
            let mut settings = node_settings(index, zone, mesh, first_peer, group);
            settings.decision_log_percent = config.decision_log_percent;
            self.nodes.push(Process::new(settings));
        }
        Ok(())
    }

    /// Starts a replica that is not running.
    pub fn start_replica(&mut self, index: usize) -> Result<(), DeploymentError> {
        let process = &mut self.replicas[index];
        let settings = Settings::Control(Box::new(process.settings.clone()));
        let handle = start_kernel(&settings)?;
        keep_bound_address(
            &mut process.settings.operator_listen,
            handle.kernel().listen_address("operator"),
        );
        process.handle = Some(handle);
        Ok(())
    }

    /// Starts a node that is not running.
    pub fn start_node(&mut self, index: usize) -> Result<(), DeploymentError> {
        node::register();
        control::register();
        let process = &mut self.nodes[index];
        let settings = Settings::Node(Box::new(process.settings.clone()));
        let handle = start_kernel(&settings)?;
        let kernel = handle.kernel();
        process.settings.mesh_listen = kernel.mesh.local_id().mesh;
        keep_bound_address(
            &mut process.settings.call_listen,
            kernel.listen_address("entry"),
        );
        keep_bound_address(
            &mut process.settings.platform_listen,
            kernel.listen_address("platform"),
        );
        process.handle = Some(handle);
        Ok(())
    }

    /// Starts a node for the first time. If another process took one of its ports before the node
    /// opened it, new ports are chosen, which is safe because nobody knows the old ones yet.
    fn start_new_node(&mut self, index: usize) -> Result<(), DeploymentError> {
        for _ in 1..MAX_START_ATTEMPTS {
            match self.start_node(index) {
                Err(DeploymentError::Start { source }) if is_port_in_use(&source) => {
                    let settings = &mut self.nodes[index].settings;
                    settings.call_listen = free_address()?;
                    settings.platform_listen = free_address()?;
                }
                result => return result,
            }
        }
        self.start_node(index)
    }
}

/// Starts a process. Retries while threads of its killed predecessor still hold its ports.
fn start_kernel(settings: &Settings) -> Result<KernelHandle, StartError> {
    let deadline = Instant::now() + PORT_RELEASE_TIMEOUT;
    loop {
        match Kernel::start(settings.clone()) {
            Err(error) if is_port_in_use(&error) && Instant::now() < deadline => {
                thread::sleep(POLL_INTERVAL);
            }
            result => return result,
        }
    }
}

fn is_port_in_use(error: &StartError) -> bool {
    error.to_string().contains("in use")
}

/// Stores the address that a process was given, so that it gets the same one after a restart.
fn keep_bound_address(setting: &mut SocketAddr, bound: Option<SocketAddr>) {
    if let Some(bound) = bound {
        *setting = bound;
    }
}

/// A loopback address whose port is free for TCP and UDP at this moment.
fn free_address() -> std::io::Result<SocketAddr> {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}
