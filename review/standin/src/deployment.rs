//! A small deployment of the real programs on loopback addresses, started with the commands and
//! variables of `deploy/system.toml`.

use crate::{http::call_json, record::Record};
use std::{
    collections::BTreeMap,
    fs,
    fs::File,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Program and variables of one role in the deploy file.
#[derive(Clone, Debug, Default)]
struct Role {
    run: String,
    variables: Vec<(String, String)>,
}

/// Bounds of the site files of today, by their names on the users' pages.
const BOUNDS: &[(&str, &str)] = &[
    ("seed_lag_s", "3"),
    ("reuse_after_s", "2"),
    ("stability_window_ms", "3000"),
    ("ack_timeout_ms", "4000"),
    ("catch_up_s", "4"),
    ("drain_ms", "2000"),
    ("grace_period_s", "6"),
    ("loss_slack_ms", "200"),
    ("config_propagation_ms", "2000"),
    ("regression_slack_ms", "250"),
    ("max_stretch_ms", "5000"),
    ("retry_budget_ratio", "0.2"),
    ("budget_window_s", "10"),
    ("retry_budget_slack", "64"),
    ("recovery_s", "15"),
    ("probes_per_s", "60"),
];

/// Ids of the programs that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all programs that were started here and still run.
pub fn kill_all_programs() {
    for id in RUNNING
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .drain(..)
    {
        send_signal(id, "KILL");
    }
}

fn send_signal(id: u32, name: &str) {
    let command = format!("kill -{name} {id}");
    let _ = Command::new("sh").args(["-c", &command]).status();
}

/// A program of the system that was started here.
pub struct Program {
    child: Child,
    pub name: String,
}

impl Program {
    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Kills the program and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let mut running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        running.retain(|id| *id != self.child.id());
    }

    /// Exit status once the program has ended.
    pub fn exit_status(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Resident memory in MB, as the kernel reports it; 0 if the program has ended.
    pub fn memory_mb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let text = text.unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kb: Option<u64> = line
            .and_then(|line| line.split_whitespace().nth(1))
            .and_then(|kb| kb.parse().ok());
        kb.unwrap_or(0) / 1024
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Settings that differ between the cases.
pub struct Options {
    pub cores: u8,
    /// Service of the instance beside each node.
    pub nodes: Vec<&'static str>,
    /// Bounds other than those of the site files of today.
    pub bounds: Vec<(&'static str, &'static str)>,
}

/// Machines, ports and programs of the deployment.
pub struct Deployment {
    pub record: Arc<Record>,
    options: Options,
    roles: BTreeMap<String, Role>,
    repository: PathBuf,
    directory: PathBuf,
    network: [u8; 2],
    mesh_port: u16,
    admin_port: u16,
    control_port: u16,
    readiness_port: u16,
    call_port: u16,
    inbound_port: u16,
    application_port: u16,
    pub cores: Vec<Option<Program>>,
    pub nodes: Vec<Option<Program>>,
}

impl Deployment {
    /// Chooses addresses, ports and a temporary folder; starts nothing.
    pub fn new(record: &Arc<Record>, options: Options) -> io::Result<Self> {
        let repository = std::env::current_dir()?;
        let deploy_file = fs::read_to_string(repository.join("deploy/system.toml"))?;
        let id = std::process::id();
        let network = [64 + (id % 150) as u8, (id / 150 % 250) as u8];
        let directory = std::env::temp_dir().join(format!("review-{id}"));
        fs::create_dir_all(&directory)?;
        let mut ports = free_ports(7)?;
        ports[..2].sort_unstable();
        let cores = (0..options.cores).map(|_| None).collect();
        let nodes = options.nodes.iter().map(|_| None).collect();
        Ok(Deployment {
            record: Arc::clone(record),
            options,
            roles: parse_roles(&deploy_file),
            repository,
            directory,
            network,
            mesh_port: ports[0],
            admin_port: ports[1],
            control_port: ports[2],
            readiness_port: ports[3],
            call_port: ports[4],
            inbound_port: ports[5],
            application_port: ports[6],
            cores,
            nodes,
        })
    }

    /// Starts all programs for the first time.
    pub fn start_all(&mut self) -> io::Result<()> {
        for core in 0..self.options.cores {
            self.start_core(core, true)?;
        }
        for node in 0..self.options.nodes.len() as u8 {
            self.start_node(node)?;
        }
        Ok(())
    }

    /// Starts the control program of a core machine.
    pub fn start_core(&mut self, core: u8, bootstrap: bool) -> io::Result<()> {
        let name = format!("core-{core}");
        let data = self.directory.join(format!("data-{core}"));
        fs::create_dir_all(&data)?;
        let mut values = self.values(&name, self.core_ip(core), "control", bootstrap);
        values.insert("data_directory".into(), data.display().to_string());
        let program = self.start_program("control", &name, &values)?;
        self.cores[usize::from(core)] = Some(program);
        Ok(())
    }

    /// Starts the program of a sidecar machine.
    pub fn start_node(&mut self, node: u8) -> io::Result<()> {
        let name = format!("sidecar-{node}");
        let mut values = self.values(&name, self.node_ip(node), "sidecar", false);
        let service = self.options.nodes[usize::from(node)];
        values.insert("service".into(), service.into());
        let program = self.start_program("node", &name, &values)?;
        self.nodes[usize::from(node)] = Some(program);
        Ok(())
    }

    /// The program of a sidecar machine, which must have been started.
    pub fn node(&mut self, node: u8) -> &mut Program {
        self.nodes[usize::from(node)]
            .as_mut()
            .expect("the node was started")
    }

    /// Address for the clients on a sidecar machine.
    pub fn call_address(&self, node: u8) -> SocketAddr {
        SocketAddr::new(self.node_ip(node), self.call_port)
    }

    /// Address of the readiness check of a sidecar machine.
    pub fn readiness_address(&self, node: u8) -> SocketAddr {
        SocketAddr::new(self.node_ip(node), self.readiness_port)
    }

    /// Address to which the instance on a sidecar machine sends heartbeats.
    pub fn heartbeat_address(&self, node: u8) -> SocketAddr {
        SocketAddr::new(self.node_ip(node), self.control_port)
    }

    /// Address of the instance on a sidecar machine.
    pub fn application_address(&self, node: u8) -> SocketAddr {
        SocketAddr::new(self.node_ip(node), self.application_port)
    }

    /// Address of the operator's interface on a core machine.
    pub fn operator_address(&self, core: u8) -> SocketAddr {
        SocketAddr::new(self.core_ip(core), self.control_port)
    }

    /// Sends a configuration to one core machine after the other until one acknowledges it.
    pub fn configure(&self, document: &str, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        let mut core = 0;
        while Instant::now() < until {
            let at = self.operator_address(core % self.options.cores);
            let answer = call_json(
                at,
                "PUT",
                "/configuration",
                document,
                Duration::from_secs(4),
            );
            if answer.is_ok_and(|answer| answer.status == 200) {
                self.record.note(format!(
                    "operator: the configuration is acknowledged by {at}"
                ));
                return true;
            }
            core += 1;
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Whether the node answers the readiness check with 200.
    pub fn is_ready(&self, node: u8) -> bool {
        let at = self.readiness_address(node);
        let answer = call_json(at, "GET", "/readiness", "", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    fn node_ip(&self, node: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.network[0],
            self.network[1],
            101 + node,
        ))
    }

    fn core_ip(&self, core: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.network[0],
            self.network[1],
            1 + core,
        ))
    }

    /// Settings of a process by their names on the users' pages.
    fn values(
        &self,
        name: &str,
        ip: IpAddr,
        serves: &str,
        bootstrap: bool,
    ) -> BTreeMap<String, String> {
        let at = |port: u16| SocketAddr::new(ip, port).to_string();
        let seeds: Vec<String> = (0..self.options.cores.min(3))
            .map(|core| self.operator_address(core).to_string())
            .collect();
        let mut values: BTreeMap<String, String> = [
            ("node", name.to_owned()),
            ("ip_address", ip.to_string()),
            ("zone", "zone-a".to_owned()),
            ("region", "region-a".to_owned()),
            ("internal_port_range.0", self.mesh_port.to_string()),
            ("internal_port_range.1", self.admin_port.to_string()),
            ("seed_nodes", seeds.join(",")),
            ("bootstrap", bootstrap.to_string()),
            ("heartbeat_interval_ms", "1500".to_owned()),
            ("listen_addresses.control", at(self.control_port)),
            ("fault_tolerance.machines", "2".to_owned()),
        ]
        .into_iter()
        .map(|(key, value)| (key.to_owned(), value))
        .collect();
        if serves == "sidecar" {
            for (key, port) in [
                ("listen_addresses.outbound", self.call_port),
                ("listen_addresses.inbound", self.inbound_port),
                ("listen_addresses.readiness", self.readiness_port),
                ("application_address", self.application_port),
            ] {
                values.insert(key.into(), at(port));
            }
        }
        for (key, value) in BOUNDS.iter().chain(&self.options.bounds) {
            values.insert(format!("bounds.{key}"), (*value).to_owned());
        }
        values
    }

    fn start_program(
        &self,
        role: &str,
        name: &str,
        values: &BTreeMap<String, String>,
    ) -> io::Result<Program> {
        let role = self.roles.get(role).ok_or(io::ErrorKind::NotFound)?;
        let settings_path = self.directory.join(format!("{name}.toml"));
        let lines = values
            .iter()
            .map(|(key, value)| format!("{key} = {value:?}\n"));
        fs::write(&settings_path, lines.collect::<String>())?;
        let mut words = role.run.split(' ');
        let program = self.repository.join(words.next().unwrap_or_default());
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{name}.log")))?;
        let mut command = Command::new(program);
        command
            .args(words)
            .current_dir(&self.repository)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("GERANIUMYARD_CONFIG", &settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        for (variable, template) in &role.variables {
            command.env(variable, fill(template, values));
        }
        let child = command.spawn()?;
        RUNNING
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(child.id());
        self.record.note(format!(
            "platform: {name} is started, process {}",
            child.id()
        ));
        Ok(Program {
            child,
            name: name.to_owned(),
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.cores.clear();
        self.nodes.clear();
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => println!("logs: {}", self.directory.display()),
            None => {
                let _ = fs::remove_dir_all(&self.directory);
            }
        }
    }
}

/// Ports that are free for TCP and UDP, assigned by the operating system.
fn free_ports(count: usize) -> io::Result<Vec<u16>> {
    let mut held = Vec::new();
    while held.len() < count {
        let tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let port = tcp.local_addr()?.port();
        if let Ok(udp) = UdpSocket::bind((Ipv4Addr::LOCALHOST, port)) {
            held.push((tcp, udp, port));
        }
    }
    Ok(held.into_iter().map(|(_, _, port)| port).collect())
}

/// Reads the roles of the deploy file: their commands and their variables.
fn parse_roles(text: &str) -> BTreeMap<String, Role> {
    let mut roles: BTreeMap<String, Role> = BTreeMap::new();
    let mut section = String::new();
    for line in text.lines().map(str::trim) {
        if let Some(name) = line
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
        {
            section = name.to_owned();
            continue;
        }
        let Some((key, value)) = line.split_once(" = ") else {
            continue;
        };
        let value = value.trim_matches('"').to_owned();
        let Some(role) = section.strip_prefix("roles.") else {
            continue;
        };
        match role.strip_suffix(".env") {
            Some(role) => {
                let role = roles.entry(role.to_owned()).or_default();
                role.variables.push((key.to_owned(), value));
            }
            None if key == "run" => roles.entry(role.to_owned()).or_default().run = value,
            None => {}
        }
    }
    roles
}

/// Fills the placeholders of a template.
fn fill(template: &str, values: &BTreeMap<String, String>) -> String {
    let mut filled = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").unwrap_or((after, ""));
        filled += before;
        filled += values.get(name).map_or("", String::as_str);
        rest = after;
    }
    filled + rest
}
