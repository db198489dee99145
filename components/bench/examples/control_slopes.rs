//! Cost of the control group per change, and recovery time after more and more changes.
//!
//! `cargo run --release -p bench --example control_slopes`
//!
//! Three replicas exchange messages in this process, without a network. The disks are directories
//! under the system's temporary directory, or none in the rows without a store.

use consensus::{Input, Message, Output, RecoveredState, Replica, ReplicaConfig, Write};
use model::{Profile, ProfileName};
use registry::{Change, ChangeId, Op};
use std::{
    collections::VecDeque,
    error::Error,
    fs,
    path::Path,
    time::{Duration, Instant},
};
use store::Store;

const REPLICAS: u64 = 3;
const PROFILES: u64 = 200;
const STEP_US: u64 = 10_000;
const ROWS: [u64; 3] = [100, 1_000, 5_000];
/// Enough changes to fill the kept answers; only without a store, where no fsync takes time.
const LONG_ROW: u64 = 25_000;

type Failure = Box<dyn Error>;

struct Host {
    replica: Replica,
    store: Option<Store>,
    writes: Vec<(u64, Write)>,
    core: Duration,
    disk: Duration,
    sent: u64,
    sent_bytes: u64,
}

#[derive(Default)]
struct Group {
    hosts: Vec<Host>,
    messages: VecDeque<(u64, Vec<u8>)>,
    now_us: u64,
    answers: u64,
}

impl Group {
    fn start(root: Option<&Path>) -> Result<Group, Failure> {
        let mut group = Group::default();
        for number in 1..=REPLICAS {
            let (store, recovered) = match root {
                Some(root) => {
                    let (store, recovered) = Store::open(root.join(number.to_string()))?;
                    (Some(store), recovered)
                }
                None => (
                    None,
                    RecoveredState {
                        disk_id: number,
                        ..RecoveredState::default()
                    },
                ),
            };
            let config = ReplicaConfig::new(number, 1..=REPLICAS);
            let seed = number;
            group.hosts.push(Host {
                replica: Replica::new(0, config, recovered, seed),
                store,
                writes: Vec::new(),
                core: Duration::ZERO,
                disk: Duration::ZERO,
                sent: 0,
                sent_bytes: 0,
            });
        }
        while group.leader().is_none() {
            group.step()?;
        }
        Ok(group)
    }

    fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| host.replica.role() == consensus::Role::Leader;
        self.hosts.iter().position(leads)
    }

    fn input(&mut self, at: usize, input: Input) -> Result<(), Failure> {
        let host = &mut self.hosts[at];
        let started = Instant::now();
        let outputs = host.replica.handle_input(self.now_us, input);
        host.core += started.elapsed();
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let bytes = postcard::to_stdvec(&message)?;
                    host.sent += 1;
                    host.sent_bytes += bytes.len() as u64;
                    self.messages.push_back((to, bytes));
                }
                Output::Persist { sequence, write } => host.writes.push((sequence, write)),
                Output::Answer { .. } => self.answers += 1,
                Output::RegistryChanged { .. }
                | Output::ReadReady { .. }
                | Output::RoleChanged { .. } => {}
            }
        }
        Ok(())
    }

    /// Delivers and writes until nothing is under way.
    fn settle(&mut self) -> Result<(), Failure> {
        loop {
            let mut busy = false;
            while let Some((to, bytes)) = self.messages.pop_front() {
                let message: Message = postcard::from_bytes(&bytes)?;
                self.input(to as usize - 1, Input::Message(message))?;
                busy = true;
            }
            for at in 0..self.hosts.len() {
                busy |= self.write(at)?;
            }
            if !busy {
                return Ok(());
            }
        }
    }

    fn write(&mut self, at: usize) -> Result<bool, Failure> {
        let host = &mut self.hosts[at];
        let writes = std::mem::take(&mut host.writes);
        let Some(sequence) = writes.last().map(|(sequence, _)| *sequence) else {
            return Ok(false);
        };
        if let Some(store) = &mut host.store {
            let started = Instant::now();
            store.persist(writes.iter().map(|(_, write)| write))?;
            host.disk += started.elapsed();
        }
        self.input(at, Input::Persisted { sequence })?;
        Ok(true)
    }

    fn step(&mut self) -> Result<(), Failure> {
        self.now_us += STEP_US;
        for at in 0..self.hosts.len() {
            self.input(at, Input::Tick)?;
        }
        self.settle()
    }

    /// Sends changes one after the other; a tick after each stands for the time between them.
    fn change(&mut self, from: u64, to: u64) -> Result<(), Failure> {
        for id in from..to {
            let before = self.answers;
            let leader = self.leader().ok_or("the group lost its leader")?;
            let change = update(id)?;
            self.input(leader, Input::Propose { token: id, change })?;
            self.settle()?;
            if self.answers != before + 1 {
                return Err(format!("change {id} was not answered").into());
            }
            self.step()?;
        }
        Ok(())
    }

    fn reset(&mut self) {
        for host in &mut self.hosts {
            host.core = Duration::ZERO;
            host.disk = Duration::ZERO;
            host.sent = 0;
            host.sent_bytes = 0;
        }
    }
}

fn update(id: u64) -> Result<Change, Failure> {
    let name = ProfileName::parse(format!("service-profile-{}", id % PROFILES))?;
    let mut profile = Profile::with_defaults(name);
    profile.deadline_ms = 100 + (id % 1_000) as u32;
    let op = if id < PROFILES {
        Op::Add(profile)
    } else {
        Op::Update(profile)
    };
    // Spreads the ids like random ones, which don't compress in a variable-length encoding.
    let spread = u128::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    Ok(Change {
        change_id: ChangeId::from_u128(spread),
        expect: None,
        op,
        in_use: Vec::new(),
    })
}

fn directory_bytes(path: &Path) -> Result<u64, Failure> {
    let mut bytes = 0;
    for entry in fs::read_dir(path)? {
        bytes += entry?.metadata()?.len();
    }
    Ok(bytes)
}

/// Bytes that this process has written to files so far.
fn written_bytes() -> Result<u64, Failure> {
    let io = fs::read_to_string("/proc/self/io")?;
    let line = io.lines().find_map(|line| line.strip_prefix("wchar: "));
    Ok(line.ok_or("no count of written bytes")?.parse()?)
}

struct Row {
    changes: u64,
    core_us: f64,
    store_us: Option<f64>,
    messages: f64,
    message_bytes: f64,
    /// Written per change and replica, with what snapshots write again.
    written_bytes: Option<f64>,
    /// Size of the leader's directory at the end.
    disk_bytes: Option<u64>,
    recovery: Option<Duration>,
}

fn measure(changes: u64, with_store: bool) -> Result<Row, Failure> {
    let folder = tempfile::tempdir()?;
    let mut group = Group::start(with_store.then_some(folder.path()))?;
    group.reset();
    let written = written_bytes()?;
    group.change(0, changes)?;
    let written = written_bytes()? - written;
    let leader = group.leader().ok_or("the group lost its leader")?;
    let per_change = |value: f64| value / changes as f64;
    let host = &group.hosts[leader];
    let sent: u64 = group.hosts.iter().map(|host| host.sent).sum();
    let sent_bytes: u64 = group.hosts.iter().map(|host| host.sent_bytes).sum();
    let mut row = Row {
        changes,
        core_us: per_change(host.core.as_secs_f64() * 1e6),
        store_us: with_store.then(|| per_change(host.disk.as_secs_f64() * 1e6)),
        messages: per_change(sent as f64),
        message_bytes: per_change(sent_bytes as f64),
        written_bytes: with_store.then(|| per_change(written as f64 / REPLICAS as f64)),
        disk_bytes: None,
        recovery: None,
    };
    drop(group);
    if with_store {
        let path = folder.path().join((leader + 1).to_string());
        row.disk_bytes = Some(directory_bytes(&path)?);
        row.recovery = Some(recover(&path)?);
    }
    Ok(row)
}

/// Median time of opening a directory and building the replica from it.
fn recover(path: &Path) -> Result<Duration, Failure> {
    let mut times = Vec::new();
    for _ in 0..5 {
        let started = Instant::now();
        let (_store, recovered) = Store::open(path)?;
        let config = ReplicaConfig::new(1, 1..=REPLICAS);
        let replica = Replica::new(0, config, recovered, 1);
        times.push(started.elapsed());
        drop(replica);
    }
    times.sort_unstable();
    Ok(times[2])
}

fn print(row: &Row) {
    let store = row.store_us.map_or("-".to_owned(), |us| format!("{us:.0}"));
    let written = row
        .written_bytes
        .map_or("-".to_owned(), |b| format!("{b:.0}"));
    let disk = row.disk_bytes.map_or("-".to_owned(), |b| b.to_string());
    let recovery = row.recovery.map_or("-".to_owned(), |time| {
        format!("{:.2}", time.as_secs_f64() * 1e3)
    });
    println!(
        "{:>8} {:>10.1} {store:>10} {:>9.2} {:>12.0} {written:>10} {disk:>11} {recovery:>11}",
        row.changes, row.core_us, row.messages, row.message_bytes
    );
}

fn main() -> Result<(), Failure> {
    println!(
        "{:>8} {:>10} {:>10} {:>9} {:>12} {:>10} {:>11} {:>11}",
        "changes",
        "core us",
        "store us",
        "messages",
        "msg bytes",
        "written",
        "disk bytes",
        "recovery ms"
    );
    for with_store in [false, true] {
        println!(
            "{}",
            if with_store {
                "with store"
            } else {
                "without store"
            }
        );
        for changes in ROWS {
            print(&measure(changes, with_store)?);
        }
        if !with_store {
            print(&measure(LONG_ROW, with_store)?);
        }
    }
    Ok(())
}
