//! Control replicas and nodes of one process on loopback, for the demo, measurements and tests.

use kernel::{Kernel, KernelHandle, KindLabels, Settings, StartError};
use log::LevelFilter;
use model::{AvailabilityZone, HostName, Profile, Region};
use serde_json::{Value, json};
use settings::{CallHeaders, ControlSettings, LogFormat, LogSettings, MeshKey, NodeSettings};
use snafu::Snafu;
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;

/// Loopback with a port that the system chooses. A port looked up beforehand can be taken by an
/// outgoing connection of another test before it is used.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Longest wait for an operator's request.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between looks at a condition.
const POLL: Duration = Duration::from_millis(10);
/// Most draws of ports for a new node.
const PORT_DRAWS: usize = 5;
/// Longest wait for the ports of a killed process.
const RELEASE_LIMIT: Duration = Duration::from_secs(2);
/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(30);

/// The deployment could not be started or did not reach a state in time.
#[derive(Debug, Snafu)]
pub enum DeploymentError {
    /// A process did not start.
    #[snafu(display("a process did not start: {source}"), context(false))]
    Start {
        /// Cause.
        source: StartError,
    },
    /// A file or address was not available.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// Cause.
        source: std::io::Error,
    },
    /// An operator's request failed.
    #[snafu(display("operator request: {reason}"))]
    Operator {
        /// Cause.
        reason: String,
    },
    /// A condition was not reached.
    #[snafu(display("timed out waiting for {condition}"))]
    TimedOut {
        /// The condition.
        condition: &'static str,
    },
}

/// Sizes of a deployment.
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

struct Place<S> {
    settings: S,
    handle: Option<KernelHandle>,
}

/// A running deployment.
pub struct Deployment {
    replicas: Vec<Place<ControlSettings>>,
    nodes: Vec<Place<NodeSettings>>,
    _data: TempDir,
}

impl Deployment {
    /// Starts replicas and nodes and waits until the group has a leader.
    pub fn start(config: &DeploymentConfig) -> Result<Self, DeploymentError> {
        for _ in 1..PORT_DRAWS {
            match Self::start_once(config) {
                // Another process took a port of a replica between its draw and its use.
                Err(DeploymentError::Start { source }) if source.to_string().contains("in use") => {
                }
                result => return result,
            }
        }
        Self::start_once(config)
    }

    fn start_once(config: &DeploymentConfig) -> Result<Self, DeploymentError> {
        let data = tempfile::tempdir()?;
        let group: Vec<SocketAddr> = (0..config.replicas)
            .map(|_| free_address())
            .collect::<Result<_, _>>()?;
        let mut deployment = Deployment {
            replicas: Vec::new(),
            nodes: Vec::new(),
            _data: data,
        };
        for number in 1..=config.replicas {
            let data_dir = deployment._data.path().join(format!("replica-{number}"));
            let settings = control_settings(number, &group, data_dir)?;
            deployment.replicas.push(Place {
                settings,
                handle: None,
            });
        }
        let first_peer = free_address()?;
        for (index, zone) in config.zones.iter().enumerate() {
            let mesh = if index == 0 { first_peer } else { ANY_PORT };
            let mut settings = node_settings(index, zone, mesh, first_peer, &group)?;
            settings.decision_log_percent = config.decision_log_percent;
            deployment.nodes.push(Place {
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
        let place = &mut self.replicas[index];
        let settings = Settings::Control(Box::new(place.settings.clone()));
        let handle = start(&settings)?;
        keep(
            &mut place.settings.operator_listen,
            handle.kernel().listen_address("operator"),
        );
        place.handle = Some(handle);
        Ok(())
    }

    /// Starts a node that is not running.
    pub fn start_node(&mut self, index: usize) -> Result<(), DeploymentError> {
        node::register();
        control::register();
        let place = &mut self.nodes[index];
        let settings = Settings::Node(Box::new(place.settings.clone()));
        let handle = start(&settings)?;
        let kernel = handle.kernel();
        place.settings.mesh_listen = kernel.mesh.local_id().mesh;
        keep(
            &mut place.settings.call_listen,
            kernel.listen_address("entry"),
        );
        keep(
            &mut place.settings.platform_listen,
            kernel.listen_address("platform"),
        );
        place.handle = Some(handle);
        Ok(())
    }

    /// Starts a node for the first time. Another process can take a free port before the node
    /// opens it, so new ports are drawn then; nobody knows the old ones yet.
    fn start_new_node(&mut self, index: usize) -> Result<(), DeploymentError> {
        for _ in 1..PORT_DRAWS {
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

    /// Ends a replica as a crash would.
    pub fn kill_replica(&mut self, index: usize) {
        if let Some(mut handle) = self.replicas[index].handle.take() {
            handle.abort();
        }
    }

    /// Ends a node as a crash would.
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

    /// The running node.
    ///
    /// # Panics
    ///
    /// If the node is not running.
    pub fn node(&self, index: usize) -> &Kernel {
        self.nodes[index]
            .handle
            .as_ref()
            .expect("the node runs")
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

    /// Address for callers of a node.
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
            .filter(|place| place.handle.is_some())
            .map(|place| place.settings.operator_listen)
            .collect()
    }

    /// A client of all replicas' operator ports, running or not, for other threads.
    pub fn operator_client(&self) -> OperatorClient {
        OperatorClient {
            addresses: self
                .replicas
                .iter()
                .map(|place| place.settings.operator_listen)
                .collect(),
        }
    }

    /// A client of one replica's operator port.
    pub fn operator_client_for_replica(&self, index: usize) -> OperatorClient {
        OperatorClient {
            addresses: vec![self.replicas[index].settings.operator_listen],
        }
    }

    /// Settings of a node, for a changed restart or for another process beside it.
    pub fn node_settings(&mut self, index: usize) -> &mut NodeSettings {
        &mut self.nodes[index].settings
    }

    /// Settings of a replica, for a changed restart or for another process beside it.
    pub fn replica_settings(&mut self, index: usize) -> &mut ControlSettings {
        &mut self.replicas[index].settings
    }

    /// Index of the leading replica.
    pub fn leader(&self) -> Result<usize, DeploymentError> {
        let status = self.status()?;
        let number = status["leader"].as_u64().ok_or(DeploymentError::TimedOut {
            condition: "a leader",
        })?;
        Ok(number as usize - 1)
    }

    /// Adds a profile and returns the revision number.
    pub fn add_profile(&self, profile: &Profile) -> Result<u64, DeploymentError> {
        let id = format!("add-{}", profile.name);
        self.submit_change(&id, None, &json!({ "add": profile }))
    }

    /// Submits a change until it is answered, with one change id for all tries.
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

    /// The group's status.
    pub fn status(&self) -> Result<Value, DeploymentError> {
        self.operator_request("GET", "/v1/status", None)
    }

    /// Waits until every running node has the revision in effect; returns how long that took.
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

    /// Waits for a condition.
    pub fn wait_for(
        &self,
        what: &'static str,
        condition: impl Fn(&Deployment) -> bool,
    ) -> Result<(), DeploymentError> {
        let until = Instant::now() + PATIENCE;
        while !condition(self) {
            if Instant::now() >= until {
                return Err(DeploymentError::TimedOut { condition: what });
            }
            thread::sleep(POLL);
        }
        Ok(())
    }

    /// Measuring messages sent and received by all running nodes, and their bytes.
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
            .filter_map(|place| place.handle.as_ref())
            .map(|handle| handle.kernel().as_ref())
    }

    /// Sends an operator's request to the running replicas in turn until one answers it for good.
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
    /// Ends what still runs as a crash would, since nothing of it is used again.
    fn drop(&mut self) {
        (0..self.nodes.len()).for_each(|index| self.kill_node(index));
        (0..self.replicas.len()).for_each(|index| self.kill_replica(index));
    }
}

/// Operator ports that are tried in turn.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
}

impl OperatorClient {
    /// Sends a request until one replica answers with a status below 500.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Value), DeploymentError> {
        let until = Instant::now() + PATIENCE;
        let mut reason = "no replica runs".to_owned();
        while Instant::now() < until {
            for address in &self.addresses {
                match ask_operator(*address, method, path, body) {
                    Ok((status, value)) if status < 500 => return Ok((status, value)),
                    Ok((_, value)) => reason = value.to_string(),
                    Err(error) => reason = error.to_string(),
                }
            }
            thread::sleep(POLL);
        }
        Err(DeploymentError::Operator { reason })
    }
}

/// Starts a process, again while threads of its killed predecessor still hold its ports.
fn start(settings: &Settings) -> Result<KernelHandle, StartError> {
    let until = Instant::now() + RELEASE_LIMIT;
    loop {
        match Kernel::start(settings.clone()) {
            Err(error) if error.to_string().contains("in use") && Instant::now() < until => {
                thread::sleep(POLL);
            }
            result => return result,
        }
    }
}

fn ask_operator(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> Result<(u16, Value), attohttpc::Error> {
    let url = format!("http://{address}{path}");
    let request = match method {
        "GET" => attohttpc::get(url),
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

/// Keeps the address that a process got, so that it has the same one after a restart.
fn keep(setting: &mut SocketAddr, bound: Option<SocketAddr>) {
    if let Some(bound) = bound {
        *setting = bound;
    }
}

/// An address whose port is free for TCP and UDP at this moment.
fn free_address() -> std::io::Result<SocketAddr> {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

fn quiet() -> LogSettings {
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
        availability_zone: name(&format!("zone-{number}")),
        operator_token: None,
        mesh_key: MeshKey([7; 32]),
        logs: quiet(),
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
        require_configuration: false,
        stop_notice_ms: 0,
        shared_retries: None,
        route_zone_preference: model::ZonePreference::Prefer,
        moves: 0,
        usable_slots_percent: 100,
        health_checks_per_s: 0,
        headers: CallHeaders::default(),
        service: None,
        call_listen: ANY_PORT,
        mesh_listen: mesh,
        platform_listen: ANY_PORT,
        availability_zone: name(zone),
        region: Region::parse("default").expect("a valid name"),
        host: HostName::parse(format!("host-{}", index + 1)).expect("a valid name"),
        control: group.to_vec(),
        peers: vec![first_peer],
        mesh_key: MeshKey([7; 32]),
        logs: quiet(),
        decision_log_percent: 100,
        max_body_bytes: 4 << 20,
        max_connections: 1024,
        probe_budget_per_s: 200,
        probe_budget_bytes_per_s: 20_000,
        lease_ms: 3_000,
        stop_timeout_ms: 10_000,
        control_replica: None,
    })
}

fn name(text: &str) -> AvailabilityZone {
    AvailabilityZone::parse(text).expect("a valid name")
}
