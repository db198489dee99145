//! A whole deployment in one process: control replicas and nodes on loopback, for the demo, the
//! measurements and the tests.

use config::Configuration;
use control::OperatorApi;
use kernel::{Kernel, KernelHandle, KindLabels, Settings, StartError};
use log::LevelFilter;
use model::{AvailabilityZone, HostName, Profile, Region, Revision};
use serde_json::{Value, json};
use settings::{
    CallHeaders, CallerLimits, ControlSettings, LogFormat, LogSettings, MeshKey, NodeSettings,
    QuotaToleranceSettings,
};
use snafu::Snafu;
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;

/// Loopback with a port that the operating system chooses. A port that is looked up beforehand can
/// be taken by an outgoing connection of another test before it is used.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Timeout of one request to an operator port.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which conditions are checked and failed operations retried.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How often a start is tried when one of its ports turns out to be in use.
const MAX_START_ATTEMPTS: usize = 5;
/// Longest wait until a killed process has released its ports.
const PORT_RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
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

/// A deployment of control replicas and nodes that can be stopped and restarted one by one.
pub struct Deployment {
    replicas: Vec<Process<ControlSettings>>,
    nodes: Vec<Process<NodeSettings>>,
    /// Data directories of the replicas, deleted when the deployment is dropped.
    data_root: TempDir,
}

impl Deployment {
    /// Starts the replicas, waits until the group has a leader, and starts the nodes.
    pub fn start(config: &DeploymentConfig) -> Result<Self, DeploymentError> {
        for _ in 1..MAX_START_ATTEMPTS {
            match Self::start_once(config) {
                // Another process took a replica's port between its lookup and its use.
                Err(DeploymentError::Start { source }) if source.to_string().contains("in use") => {
                }
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
        for number in 1..=config.replicas {
            let data_dir = deployment
                .data_root
                .path()
                .join(format!("replica-{number}"));
            let settings = control_settings(number, &group, data_dir)?;
            deployment.replicas.push(Process {
                settings,
                handle: None,
            });
        }
        let first_peer = free_address()?;
        for (index, zone) in config.zones.iter().enumerate() {
            let mesh = if index == 0 { first_peer } else { ANY_PORT };
            let mut settings = node_settings(index, zone, mesh, first_peer, &group)?;
            settings.decision_log_percent = config.decision_log_percent;
            deployment.nodes.push(Process {
                settings,
                handle: None,
            });
        }
        for index in 0..config.replicas {
            deployment.start_replica(index)?;
        }
        deployment.wait_for("a leader", |d| d.status().is_ok())?;
        for index in 0..config.zones.len() {
            deployment.start_new_node(index)?;
        }
        Ok(deployment)
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
                Err(DeploymentError::Start { source }) if source.to_string().contains("in use") => {
                    let settings = &mut self.nodes[index].settings;
                    settings.call_listen = free_address()?;
                    settings.platform_listen = free_address()?;
                }
                result => return result,
            }
        }
        self.start_node(index)
    }

    /// Kills a replica, as a crash would.
    pub fn kill_replica(&mut self, index: usize) {
        if let Some(mut handle) = self.replicas[index].handle.take() {
            handle.abort();
        }
    }

    /// Kills a node, as a crash would.
    pub fn kill_node(&mut self, index: usize) {
        if let Some(mut handle) = self.nodes[index].handle.take() {
            handle.abort();
        }
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

    /// Addresses of the operator ports of the running replicas.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        self.replicas
            .iter()
            .filter(|process| process.handle.is_some())
            .map(|process| process.settings.operator_listen)
            .collect()
    }

    /// A client of the operator ports of all replicas, running or not. It can be used by other
    /// threads.
    pub fn operator_client(&self) -> OperatorClient {
        OperatorClient {
            addresses: self
                .replicas
                .iter()
                .map(|process| process.settings.operator_listen)
                .collect(),
        }
    }

    /// A client of one replica's operator port.
    pub fn operator_client_for_replica(&self, index: usize) -> OperatorClient {
        OperatorClient {
            addresses: vec![self.replicas[index].settings.operator_listen],
        }
    }

    /// Settings of a node, to change them before a restart or to copy them for another process.
    pub fn node_settings(&mut self, index: usize) -> &mut NodeSettings {
        &mut self.nodes[index].settings
    }

    /// Settings of a replica, to change them before a restart or to copy them for another process.
    pub fn replica_settings(&mut self, index: usize) -> &mut ControlSettings {
        &mut self.replicas[index].settings
    }

    /// Index of the leader among the replicas.
    pub fn leader(&self) -> Result<usize, DeploymentError> {
        let status = self.status()?;
        let number = status["leader"].as_u64().ok_or(DeploymentError::TimedOut {
            condition: "a leader",
        })?;
        Ok(number as usize - 1)
    }

    /// Submits a whole configuration at any running replica.
    pub fn configure(&self, configuration: &Configuration) -> Result<Revision, DeploymentError> {
        let until = Instant::now() + CONDITION_TIMEOUT;
        loop {
            let running = self
                .replicas
                .iter()
                .filter_map(|process| process.handle.as_ref());
            for handle in running {
                let api = OperatorApi::new(handle.kernel());
                match api.configure(configuration.clone()) {
                    Ok(revision) => return Ok(revision),
                    Err((kind, detail)) if Instant::now() >= until => {
                        let reason = format!("{kind}: {detail}");
                        return Err(DeploymentError::Operator { reason });
                    }
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
        }
    }

    /// Adds a profile and returns the revision number.
    pub fn add_profile(&self, profile: &Profile) -> Result<u64, DeploymentError> {
        let id = format!("add-{}", profile.name);
        self.submit_change(&id, None, &json!({ "add": profile }))
    }

    /// Submits a change and returns the revision number. Retries use the same change id, so that
    /// the change is made only once.
    pub fn submit_change(
        &self,
        change_id: &str,
        expect: Option<u64>,
        op: &Value,
    ) -> Result<u64, DeploymentError> {
        let body = json!({ "change_id": change_id, "expect_revision": expect, "op": op });
        let answer = self.operator_request("POST", "/v1/changes", Some(&body))?;
        let number = answer["revision"]["number"].as_u64();
        number.ok_or_else(|| DeploymentError::Operator {
            reason: answer.to_string(),
        })
    }

    /// The customers, with their use of quotas at all nodes.
    pub fn customers(&self) -> Result<Value, DeploymentError> {
        self.operator_request("GET", "/v1/customers", None)
    }

    /// The group's status.
    pub fn status(&self) -> Result<Value, DeploymentError> {
        self.operator_request("GET", "/v1/status", None)
    }

    /// Waits until the revision is in effect on every running node; returns how long that took.
    pub fn wait_for_revision(&self, number: u64) -> Result<Duration, DeploymentError> {
        let started = Instant::now();
        let in_effect = |d: &Deployment| {
            d.running_nodes()
                .all(|kernel| kernel.profiles.revision().number >= number)
        };
        self.wait_for("the revision on every node", in_effect)?;
        Ok(started.elapsed())
    }

    /// Waits until every running node knows `count` upstreams.
    pub fn wait_for_upstreams(&self, count: usize) -> Result<(), DeploymentError> {
        self.wait_for("all upstreams on every node", |d| {
            d.running_nodes()
                .all(|kernel| kernel.directory.all().len() == count)
        })
    }

    /// Waits until a condition holds; `description` names it in the error.
    pub fn wait_for(
        &self,
        description: &'static str,
        condition: impl Fn(&Deployment) -> bool,
    ) -> Result<(), DeploymentError> {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while !condition(self) {
            if Instant::now() >= deadline {
                return Err(DeploymentError::TimedOut {
                    condition: description,
                });
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
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

    /// Sends an operator's request to the running replicas in turn until one answers with a status
    /// below 500; only status 200 is a success.
    pub fn operator_request(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, DeploymentError> {
        let addresses = self.operator_addresses();
        match (OperatorClient { addresses }).send(method, path, body)? {
            (200, value) => Ok(value),
            (_, value) => Err(DeploymentError::Operator {
                reason: value.to_string(),
            }),
        }
    }
}

impl Drop for Deployment {
    /// Kills what still runs; a graceful stop would only take time, since nothing is used again.
    fn drop(&mut self) {
        (0..self.nodes.len()).for_each(|index| self.kill_node(index));
        (0..self.replicas.len()).for_each(|index| self.kill_replica(index));
    }
}

/// Client of the operators' HTTP interface that tries several replicas in turn.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
}

impl OperatorClient {
    /// Sends a request to the replicas in turn until one answers with a status below 500.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Value), DeploymentError> {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        let mut reason = "no replica is running".to_owned();
        while Instant::now() < deadline {
            for address in &self.addresses {
                match send_operator_request(*address, method, path, body) {
                    Ok((status, value)) if status < 500 => return Ok((status, value)),
                    Ok((_, value)) => reason = value.to_string(),
                    Err(error) => reason = error.to_string(),
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(DeploymentError::Operator { reason })
    }
}

/// Starts a process. Retries while threads of its killed predecessor still hold its ports.
fn start_kernel(settings: &Settings) -> Result<KernelHandle, StartError> {
    let deadline = Instant::now() + PORT_RELEASE_TIMEOUT;
    loop {
        match Kernel::start(settings.clone()) {
            Err(error) if error.to_string().contains("in use") && Instant::now() < deadline => {
                thread::sleep(POLL_INTERVAL);
            }
            result => return result,
        }
    }
}

fn send_operator_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> Result<(u16, Value), attohttpc::Error> {
    let url = format!("http://{address}{path}");
    let request = match method {
        "GET" => attohttpc::get(url),
        "DELETE" => attohttpc::delete(url),
        _ => attohttpc::post(url),
    };
    let text = body.map(Value::to_string).unwrap_or_default();
    let response = request.timeout(OPERATOR_TIMEOUT).text(text).send()?;
    let status = response.status().as_u16();
    let text = response.text()?;
    Ok((
        status,
        serde_json::from_str(&text).unwrap_or(Value::String(text)),
    ))
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

fn warnings_only() -> LogSettings {
    LogSettings {
        level: LevelFilter::Warn,
        format: LogFormat::Text,
    }
}

fn control_settings(
    number: usize,
    group: &[SocketAddr],
    data_dir: PathBuf,
) -> Result<ControlSettings, DeploymentError> {
    Ok(ControlSettings {
        open: None,
        listen: group[number - 1],
        operator_listen: ANY_PORT,
        data_dir,
        replica: number as u32,
        group: group.to_vec(),
        availability_zone: zone_name(&format!("zone-{number}")),
        operator_token: None,
        mesh_key: MeshKey([7; 32]),
        quota_tolerance: QuotaToleranceSettings::default(),
        logs: warnings_only(),
        caller_limits: CallerLimits::default(),
    })
}

fn node_settings(
    index: usize,
    zone: &str,
    mesh: SocketAddr,
    first_peer: SocketAddr,
    group: &[SocketAddr],
) -> Result<NodeSettings, DeploymentError> {
    Ok(NodeSettings {
        revocation_ms: None,
        require_configuration: false,
        stop_notice_ms: 0,
        shared_retries: None,
        route_zone_preference: model::ZonePreference::Prefer,
        moves: 0,
        usable_slots_percent: 100,
        health_checks_per_s: 0,
        headers: CallHeaders::default(),
        service: None,
        cold_overage_percent: 25,
        cold_slack: 4,
        count_lost_work: false,
        give_up_percent: 0,
        start_wait_ms: 0,
        downstream_admission: false,
        admission: limits::AdmissionOrder::default(),
        call_listen: ANY_PORT,
        mesh_listen: mesh,
        platform_listen: ANY_PORT,
        availability_zone: zone_name(zone),
        region: Region::parse("default").expect("a valid name"),
        host: HostName::parse(format!("host-{}", index + 1)).expect("a valid name"),
        control: group.to_vec(),
        peers: vec![first_peer],
        mesh_key: MeshKey([7; 32]),
        logs: warnings_only(),
        caller_limits: CallerLimits::default(),
        decision_log_percent: 100,
        max_body_bytes: 4 << 20,
        max_response_bytes: 8 << 20,
        max_connections: 1024,
        probe_budget_per_s: 200,
        probe_budget_bytes_per_s: 20_000,
        lease_ms: 3_000,
        stop_timeout_ms: 10_000,
        control_replica: None,
    })
}

fn zone_name(text: &str) -> AvailabilityZone {
    AvailabilityZone::parse(text).expect("a valid name")
}
