//! A small deployment on loopback addresses: the project's programs with the commands and variables
//! of its deploy file, each with an address of its own.

use crate::{http, random, record::Record};
use std::{
    collections::HashMap,
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub const CORES: u8 = 5;
const TOLERATED: u8 = 2;
/// Bounds of the small sites.
const BOUNDS: [(&str, &str); 16] = [
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

/// Ports that are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub control: u16,
    pub outbound: u16,
    pub readiness: u16,
    inbound: u16,
    pub application: u16,
    mesh: u16,
    admin: u16,
}

struct Role {
    command: Vec<String>,
    variables: Vec<(String, String)>,
}

/// Kind of a machine, and its number among those.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Machine {
    Core(u8),
    Side(u8),
}

pub struct Deployment {
    root: PathBuf,
    folder: PathBuf,
    network: (u8, u8),
    pub ports: Ports,
    /// Service of each sidecar machine.
    pub services: Vec<&'static str>,
    roles: HashMap<String, Role>,
    children: Arc<Mutex<HashMap<Machine, Child>>>,
    added_bounds: Vec<(&'static str, &'static str)>,
    pub record: Record,
}

impl Deployment {
    /// Starts all processes.
    pub fn start(
        root: &Path,
        record: &Record,
        services: &[&'static str],
        added_bounds: &[(&'static str, &'static str)],
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{:016x}", random::number()));
        fs::create_dir_all(&folder)?;
        let machines = CORES as usize + services.len();
        let (network, ports) = free_network(machines as u8)?;
        let deployment = Deployment {
            root: root.to_owned(),
            folder,
            network,
            ports,
            services: services.to_vec(),
            roles: read_roles(&root.join("deploy/system.toml"))?,
            children: Arc::default(),
            added_bounds: added_bounds.to_vec(),
            record: record.clone(),
        };
        for core in 0..CORES {
            deployment.start_process(Machine::Core(core), true)?;
        }
        for side in 0..services.len() {
            deployment.start_process(Machine::Side(side as u8), true)?;
        }
        Ok(deployment)
    }

    pub fn ip(&self, machine: Machine) -> IpAddr {
        let (a, b) = self.network;
        let last = match machine {
            Machine::Core(core) => 1 + core,
            Machine::Side(side) => 1 + CORES + side,
        };
        IpAddr::V4(Ipv4Addr::new(127, a, b, last))
    }

    pub fn at(&self, machine: Machine, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(machine), port)
    }

    /// Starts the process of a machine with the settings of the platform.
    pub fn start_process(&self, machine: Machine, bootstrap: bool) -> io::Result<()> {
        let (role, name) = match machine {
            Machine::Core(core) => ("control", format!("core-zone-a-{core}")),
            Machine::Side(side) => ("node", format!("sidecar-zone-a-{side}")),
        };
        let values = self.values(machine, &name, bootstrap);
        let role = &self.roles[role];
        let data = self.folder.join(&name);
        fs::create_dir_all(&data)?;
        let settings = self.folder.join(format!("{name}.toml"));
        let lines: Vec<String> = values
            .iter()
            .map(|(k, v)| format!("\"{k}\" = \"{v}\""))
            .collect();
        fs::write(&settings, lines.join("\n"))?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(self.root.join(&role.command[0]));
        command
            .args(&role.command[1..])
            .current_dir(&self.root)
            .env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("GERANIUMYARD_CONFIG", &settings);
        for (variable, text) in &role.variables {
            command.env(variable, fill(text, &values));
        }
        end_with_this_process(&mut command);
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.add(format!("platform: {name} starts"));
        self.children.lock().unwrap().insert(machine, child);
        Ok(())
    }

    /// Kills the process of a machine.
    pub fn kill(&self, machine: Machine) {
        if let Some(mut child) = self.children.lock().unwrap().remove(&machine) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.add(format!("platform: {machine:?} is killed"));
        }
    }

    /// Kills all processes at once.
    pub fn kill_all(&self) {
        let mut children: Vec<Child> = {
            let mut all = self.children.lock().unwrap();
            all.drain().map(|(_, child)| child).collect()
        };
        for child in &mut children {
            let _ = child.kill();
        }
        for child in &mut children {
            let _ = child.wait();
        }
        self.record.add("platform: all processes are killed");
    }

    /// The core machine whose process says last, in its log, that it leads.
    pub fn leader(&self) -> Option<Machine> {
        let term_of = |core: u8| {
            let log = self.log(Machine::Core(core));
            let line = log
                .lines()
                .rfind(|line| line.contains(" is Leader in term "))?;
            let term = line.split(" is Leader in term ").nth(1)?;
            term.split(',').next()?.trim().parse::<u64>().ok()
        };
        let leaders = (0..CORES).filter_map(|core| Some((term_of(core)?, core)));
        leaders.max().map(|(_, core)| Machine::Core(core))
    }

    /// Machines whose process has ended by itself.
    pub fn ended(&self) -> Vec<Machine> {
        let mut children = self.children.lock().unwrap();
        let ended = children.iter_mut().filter_map(|(machine, child)| {
            matches!(child.try_wait(), Ok(Some(_))).then_some(*machine)
        });
        ended.collect()
    }

    /// Sends a configuration until it has a clear answer; tries the core machines in turn.
    pub fn configure(&self, document: &str) -> Option<u16> {
        let until = Instant::now() + Duration::from_secs(20);
        let mut turn = 0;
        while Instant::now() < until {
            let core = Machine::Core(turn % CORES);
            let to = self.at(core, self.ports.control);
            let (status, _) =
                http::request(to, "PUT /configuration", document, Duration::from_secs(1));
            self.record.add(format!(
                "operator: PUT /configuration at {core:?}: {status}"
            ));
            if matches!(status, 200 | 400 | 409 | 412 | 413 | 422) {
                return Some(status);
            }
            turn += 1;
            thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Waits until all nodes say that they are ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let ready = (0..self.services.len()).all(|side| self.is_ready(side as u8));
            if ready {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn is_ready(&self, side: u8) -> bool {
        let to = self.at(Machine::Side(side), self.ports.readiness);
        http::request(to, "GET /readiness", "", Duration::from_secs(1)).0 == 200
    }

    /// The log of a process.
    pub fn log(&self, machine: Machine) -> String {
        let name = match machine {
            Machine::Core(core) => format!("core-zone-a-{core}.log"),
            Machine::Side(side) => format!("sidecar-zone-a-{side}.log"),
        };
        let bytes = fs::read(self.folder.join(name)).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    fn values(&self, machine: Machine, name: &str, bootstrap: bool) -> Vec<(String, String)> {
        let at = |port| self.at(machine, port).to_string();
        let seeds: Vec<String> = (0..3)
            .map(|core| self.at(Machine::Core(core), self.ports.control).to_string())
            .collect();
        let service = match machine {
            Machine::Core(_) => "",
            Machine::Side(side) => self.services[usize::from(side)],
        };
        let mut values: Vec<(String, String)> = [
            ("node", name.to_owned()),
            ("ip_address", self.ip(machine).to_string()),
            ("zone", "zone-a".to_owned()),
            ("region", "region-a".to_owned()),
            ("service", service.to_owned()),
            ("seed_nodes", seeds.join(",")),
            ("bootstrap", bootstrap.to_string()),
            ("internal_port_range.0", self.ports.mesh.to_string()),
            ("internal_port_range.1", self.ports.admin.to_string()),
            (
                "data_directory",
                self.folder.join(name).display().to_string(),
            ),
            ("fault_tolerance.machines", TOLERATED.to_string()),
            ("listen_addresses.control", at(self.ports.control)),
            ("listen_addresses.outbound", at(self.ports.outbound)),
            ("listen_addresses.readiness", at(self.ports.readiness)),
            ("listen_addresses.inbound", at(self.ports.inbound)),
            ("application_address", at(self.ports.application)),
            ("heartbeat_interval_ms", "1500".to_owned()),
        ]
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect();
        let bounds = BOUNDS.iter().chain(&self.added_bounds);
        values.extend(bounds.map(|(name, value)| (format!("bounds.{name}"), (*value).to_owned())));
        values
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.children.lock().unwrap().values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP").is_ok() {
            println!("logs: {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Lets the operating system kill the child when this process ends in any way.
fn end_with_this_process(command: &mut Command) {
    use std::os::unix::process::CommandExt;
    unsafe extern "C" {
        fn prctl(option: i32, ...) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: between fork and exec this calls only `prctl`, which is safe there.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        });
    }
}

/// A block of loopback addresses and ports that are free on all of them.
fn free_network(machines: u8) -> io::Result<((u8, u8), Ports)> {
    for _ in 0..50 {
        let number = random::number();
        let network = (10 + (number % 200) as u8, 1 + ((number >> 8) % 250) as u8);
        let ip = |last| IpAddr::V4(Ipv4Addr::new(127, network.0, network.1, last));
        let mut ports = Vec::new();
        let mut held = Vec::new();
        while ports.len() < 7 {
            let listener = TcpListener::bind((ip(1), 0))?;
            let port = listener.local_addr()?.port();
            held.push(listener);
            let others: io::Result<Vec<_>> = (2..=machines)
                .map(|last| TcpListener::bind((ip(last), port)))
                .collect();
            if let Ok(others) = others {
                held.extend(others);
                ports.push(port);
            }
            if held.len() > 500 {
                break;
            }
        }
        if let [control, outbound, readiness, inbound, application, mesh, admin] = ports[..] {
            let ports = Ports {
                control,
                outbound,
                readiness,
                inbound,
                application,
                mesh,
                admin,
            };
            return Ok((network, ports));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Commands and variables of the roles in the deploy file.
fn read_roles(path: &Path) -> io::Result<HashMap<String, Role>> {
    let mut roles: HashMap<String, Role> = HashMap::new();
    let mut section = String::new();
    for line in fs::read_to_string(path)?.lines() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            name.clone_into(&mut section);
            continue;
        }
        let Some((key, value)) = line.split_once(" = ") else {
            continue;
        };
        let value = value.trim_matches('"').to_owned();
        let Some(role) = section.strip_prefix("roles.") else {
            continue;
        };
        let (role, is_variable) = match role.strip_suffix(".env") {
            Some(role) => (role, true),
            None => (role, false),
        };
        let role = roles.entry(role.to_owned()).or_insert_with(|| Role {
            command: Vec::new(),
            variables: Vec::new(),
        });
        if is_variable {
            role.variables.push((key.to_owned(), value));
        } else if key == "run" {
            role.command = value.split(' ').map(str::to_owned).collect();
        }
    }
    Ok(roles)
}

/// Replaces the placeholders of a text.
fn fill(text: &str, values: &[(String, String)]) -> String {
    let mut filled = String::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").unwrap_or((after, ""));
        let value = values.iter().find(|(n, _)| n == name);
        filled.push_str(before);
        filled.push_str(value.map_or("", |(_, value)| value));
        rest = after;
    }
    filled + rest
}
