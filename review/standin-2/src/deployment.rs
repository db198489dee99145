//! A small deployment on loopback addresses: starts the programs of the deploy file with the
//! variables that it names, and ends them when it is dropped.

use crate::http::{exchange, Reply};
use std::{
    collections::HashMap,
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Offsets of the ports of a machine from its first port; they are the same on all machines.
const INTERNAL_LAST: u16 = 15;
const OUTBOUND: u16 = 16;
const INBOUND: u16 = 17;
const READINESS: u16 = 18;
const CONTROL: u16 = 19;
const APPLICATION: u16 = 20;
const PORTS: u16 = 21;

/// What a deployment is made of.
pub struct Plan {
    /// Machines of the core.
    pub cores: u8,
    /// Core machines that may be lost at the same time.
    pub tolerated: u8,
    /// Service of the instance on each sidecar machine.
    pub sidecars: Vec<&'static str>,
}

pub struct Deployment {
    plan: Plan,
    network: u8,
    first_port: u16,
    directory: PathBuf,
    roles: HashMap<String, Role>,
    children: HashMap<String, Child>,
}

/// A role of the deploy file.
struct Role {
    run: Vec<String>,
    env: Vec<(String, String)>,
}

impl Deployment {
    /// Prepares a deployment; nothing runs yet.
    pub fn new(plan: Plan) -> Result<Self, String> {
        let roles = read_roles()?;
        let pid = std::process::id();
        let directory = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&directory).map_err(|e| e.to_string())?;
        let mut deployment = Deployment {
            plan,
            network: 0,
            first_port: 0,
            directory,
            roles,
            children: HashMap::new(),
        };
        for attempt in 0..200u32 {
            let mix = pid.wrapping_mul(2_654_435_761).wrapping_add(attempt * 7919);
            let network = 16 + (mix % 200) as u8;
            let first_port = 20_000 + ((mix >> 8) % 10_000) as u16;
            deployment.network = network;
            deployment.first_port = first_port;
            if deployment.has_free_ports() {
                return Ok(deployment);
            }
        }
        Err("no free ports".to_owned())
    }

    fn has_free_ports(&self) -> bool {
        let machines = (0..self.plan.cores)
            .map(|n| self.core_ip(n))
            .chain((0..self.plan.sidecars.len()).map(|n| self.sidecar_ip(n as u8)));
        for ip in machines {
            for offset in 0..PORTS {
                let at = SocketAddrV4::new(ip, self.first_port + offset);
                if TcpListener::bind(at).is_err() || UdpSocket::bind(at).is_err() {
                    return false;
                }
            }
        }
        true
    }

    fn core_ip(&self, core: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 1, core + 1)
    }

    fn sidecar_ip(&self, sidecar: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 2, sidecar + 1)
    }

    fn at(&self, ip: Ipv4Addr, offset: u16) -> SocketAddr {
        SocketAddrV4::new(ip, self.first_port + offset).into()
    }

    pub fn operator(&self, core: u8) -> SocketAddr {
        self.at(self.core_ip(core), CONTROL)
    }

    pub fn outbound(&self, sidecar: u8) -> SocketAddr {
        self.at(self.sidecar_ip(sidecar), OUTBOUND)
    }

    pub fn readiness(&self, sidecar: u8) -> SocketAddr {
        self.at(self.sidecar_ip(sidecar), READINESS)
    }

    pub fn heartbeats(&self, sidecar: u8) -> SocketAddr {
        self.at(self.sidecar_ip(sidecar), CONTROL)
    }

    pub fn application(&self, sidecar: u8) -> SocketAddr {
        self.at(self.sidecar_ip(sidecar), APPLICATION)
    }

    /// Operators' addresses of all core machines.
    pub fn operators(&self) -> Vec<SocketAddr> {
        (0..self.plan.cores).map(|n| self.operator(n)).collect()
    }

    /// Starts the role of a core machine.
    pub fn start_core(&mut self, core: u8, bootstrap: bool) -> Result<(), String> {
        let ip = self.core_ip(core);
        let name = format!("core-zone-a-{}", core + 1);
        let disk = self.directory.join(&name);
        fs::create_dir_all(&disk).map_err(|e| e.to_string())?;
        let mut values = self.common_values(ip, &name);
        values.insert("bootstrap".into(), bootstrap.to_string());
        values.insert("data_directory".into(), disk.display().to_string());
        self.start("control", &name, &values)
    }

    /// Starts the role of a sidecar machine.
    pub fn start_sidecar(&mut self, sidecar: u8) -> Result<(), String> {
        let ip = self.sidecar_ip(sidecar);
        let name = sidecar_name(sidecar);
        let mut values = self.common_values(ip, &name);
        let service = self.plan.sidecars[usize::from(sidecar)];
        values.insert("service".into(), service.into());
        values.insert(
            "application_address".into(),
            self.application(sidecar).to_string(),
        );
        for (key, offset) in [
            ("outbound", OUTBOUND),
            ("inbound", INBOUND),
            ("readiness", READINESS),
        ] {
            let at = self.at(ip, offset).to_string();
            values.insert(format!("listen_addresses.{key}"), at);
        }
        self.start("node", &name, &values)
    }

    fn common_values(&self, ip: Ipv4Addr, name: &str) -> HashMap<String, String> {
        let seeds: Vec<String> = (0..self.plan.cores.min(3))
            .map(|n| self.operator(n).to_string())
            .collect();
        let mut values: HashMap<String, String> = [
            ("node", name.to_owned()),
            ("ip_address", ip.to_string()),
            ("zone", "zone-a".to_owned()),
            ("region", "region-a".to_owned()),
            ("seed_nodes", seeds.join(",")),
            ("internal_port_range.0", self.first_port.to_string()),
            (
                "internal_port_range.1",
                (self.first_port + INTERNAL_LAST).to_string(),
            ),
            ("listen_addresses.control", self.at(ip, CONTROL).to_string()),
            ("fault_tolerance.machines", self.plan.tolerated.to_string()),
            ("heartbeat_interval_ms", "1500".to_owned()),
        ]
        .into_iter()
        .map(|(k, v)| (k.to_owned(), v))
        .collect();
        // The bounds of the sheet of kellakoor-mesh.
        for (key, value) in [
            ("drain_ms", "2000"),
            ("grace_period_s", "6"),
            ("retry_budget_ratio", "0.2"),
            ("budget_window_s", "10"),
            ("retry_budget_slack", "64"),
            ("probes_per_s", "60"),
        ] {
            values.insert(format!("bounds.{key}"), value.to_owned());
        }
        values
    }

    fn start(
        &mut self,
        role: &str,
        name: &str,
        values: &HashMap<String, String>,
    ) -> Result<(), String> {
        let role = self.roles.get(role).ok_or("the deploy file lacks a role")?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{name}.log")))
            .map_err(|e| e.to_string())?;
        let child = Command::new(&role.run[0])
            .args(&role.run[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .envs(role.env.iter().map(|(k, text)| (k, fill(text, values))))
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{name} can't be started: {e}"))?;
        self.children.insert(name.to_owned(), child);
        Ok(())
    }

    pub fn kill_core(&mut self, core: u8) {
        self.kill(&format!("core-zone-a-{}", core + 1));
    }

    fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.children.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether every process that was started and not killed still runs.
    pub fn all_run(&mut self) -> bool {
        self.children
            .values_mut()
            .all(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Whether the node says that it is ready.
    pub fn is_ready(&self, sidecar: u8) -> bool {
        let reply = exchange(
            self.readiness(sidecar),
            "GET",
            "/readiness",
            &[],
            b"",
            Duration::from_secs(1),
        );
        matches!(reply, Ok(Reply { status: 200, .. }))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none()
            && self.directory.starts_with(std::env::temp_dir())
        {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

pub fn sidecar_name(sidecar: u8) -> String {
    format!("sidecar-zone-a-{}", sidecar + 1)
}

/// Reads what the deploy file says of each role: `run` and the variables.
fn read_roles() -> Result<HashMap<String, Role>, String> {
    let text =
        fs::read_to_string("deploy/system.toml").map_err(|e| format!("deploy/system.toml: {e}"))?;
    let mut roles: HashMap<String, Role> = HashMap::new();
    let (mut role, mut in_env) = (String::new(), false);
    for line in text.lines().map(str::trim) {
        if let Some(section) = line
            .strip_prefix("[roles.")
            .and_then(|l| l.strip_suffix(']'))
        {
            in_env = section.ends_with(".env");
            role = section.trim_end_matches(".env").to_owned();
            continue;
        }
        let Some((key, value)) = line.split_once('=') else {
            continue;
        };
        let (key, value) = (key.trim(), value.trim().trim_matches('"'));
        let entry = roles.entry(role.clone()).or_insert_with(|| Role {
            run: Vec::new(),
            env: Vec::new(),
        });
        if in_env {
            entry.env.push((key.to_owned(), value.to_owned()));
        } else if key == "run" {
            entry.run = value.split(' ').map(str::to_owned).collect();
        }
    }
    Ok(roles)
}

/// Fills the placeholders of a text; one without a value is left empty.
fn fill(text: &str, values: &HashMap<String, String>) -> String {
    let mut filled = String::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once("{{") {
        let Some((name, behind)) = after.split_once("}}") else {
            break;
        };
        filled.push_str(before);
        filled.push_str(values.get(name).map_or("", String::as_str));
        rest = behind;
    }
    filled + rest
}

/// Waits until the condition holds.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis())
}
