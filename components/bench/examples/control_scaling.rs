//! Measures the cost of a change for the control group, and how the recovery time of a replica
//! grows with the number of changes.
//!
//! Run: `cargo run --release -p bench --example control_scaling`.
//!
//! Three replicas exchange messages in this process, without a network. Each stores its data in a
//! directory under the system's temporary directory, or nowhere in the rows without a store.

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

/// Size of the group.
const REPLICAS: u64 = 3;
/// Profiles that are added first; later changes update them in turn.
const PROFILES: u64 = 200;
/// Simulated time between two ticks.
const STEP_US: u64 = 10_000;
/// Numbers of changes that are measured.
const CHANGE_COUNTS: [u64; 3] = [100, 1_000, 5_000];
/// Enough changes to fill the list of answers that is kept for resent changes. Measured only
/// without a store, where no fsync takes time.
const MOST_CHANGES: u64 = 25_000;

type BoxedError = Box<dyn Error>;

/// A replica with its store and what it has cost so far.
struct MeasuredReplica {
    replica: Replica,
    store: Option<Store>,
    /// Writes that are not in the store yet, with their sequence numbers.
    pending_writes: Vec<(u64, Write)>,
    /// Time spent in the consensus logic.
    consensus_time: Duration,
    /// Time spent in writes to the store.
    store_time: Duration,
    sent_messages: u64,
    sent_bytes: u64,
}

/// The control group, with a simulated clock and a queue in place of the network.
#[derive(Default)]
struct Group {
    replicas: Vec<MeasuredReplica>,
    /// Messages in transit, with the numbers of their receivers.
    messages: VecDeque<(u64, Vec<u8>)>,
    now_us: u64,
    answers: u64,
}

impl Group {
    fn start(root: Option<&Path>) -> Result<Group, BoxedError> {
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
            group.replicas.push(MeasuredReplica {
                replica: Replica::new(0, config, recovered, seed),
                store,
                pending_writes: Vec::new(),
                consensus_time: Duration::ZERO,
                store_time: Duration::ZERO,
                sent_messages: 0,
                sent_bytes: 0,
            });
        }
        while group.leader().is_none() {
            group.advance()?;
        }
        Ok(group)
    }

    fn leader(&self) -> Option<usize> {
        let is_leader = |member: &MeasuredReplica| member.replica.role() == consensus::Role::Leader;
        self.replicas.iter().position(is_leader)
    }

    fn handle_input(&mut self, index: usize, input: Input) -> Result<(), BoxedError> {
        let member = &mut self.replicas[index];
        let started = Instant::now();
        let outputs = member.replica.handle_input(self.now_us, input);
        member.consensus_time += started.elapsed();
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let bytes = postcard::to_stdvec(&message)?;
                    member.sent_messages += 1;
                    member.sent_bytes += bytes.len() as u64;
                    self.messages.push_back((to, bytes));
                }
                Output::Persist { sequence, write } => {
                    member.pending_writes.push((sequence, write));
                }
                Output::Answer { .. } => self.answers += 1,
                Output::RegistryChanged { .. }
                | Output::ReadReady { .. }
                | Output::RoleChanged { .. } => {}
            }
        }
        Ok(())
    }

    /// Delivers all messages and completes all writes, until no more are pending.
    fn run_until_idle(&mut self) -> Result<(), BoxedError> {
        loop {
            let mut was_active = false;
            while let Some((to, bytes)) = self.messages.pop_front() {
                let message: Message = postcard::from_bytes(&bytes)?;
                self.handle_input(to as usize - 1, Input::Message(message))?;
                was_active = true;
            }
            for index in 0..self.replicas.len() {
                was_active |= self.complete_writes(index)?;
            }
            if !was_active {
                return Ok(());
            }
        }
    }

    /// Stores the pending writes of a replica. Returns whether there were any.
    fn complete_writes(&mut self, index: usize) -> Result<bool, BoxedError> {
        let member = &mut self.replicas[index];
        let writes = std::mem::take(&mut member.pending_writes);
        let Some(sequence) = writes.last().map(|(sequence, _)| *sequence) else {
            return Ok(false);
        };
        if let Some(store) = &mut member.store {
            let started = Instant::now();
            store.persist(writes.iter().map(|(_, write)| write))?;
            member.store_time += started.elapsed();
        }
        self.handle_input(index, Input::Persisted { sequence })?;
        Ok(true)
    }

    /// Advances the clock by one step and gives each replica a tick.
    fn advance(&mut self) -> Result<(), BoxedError> {
        self.now_us += STEP_US;
        for index in 0..self.replicas.len() {
            self.handle_input(index, Input::Tick)?;
        }
        self.run_until_idle()
    }

    /// Submits changes one after the other, with a tick after each for the time between two
    /// changes.
    fn submit_changes(&mut self, from: u64, to: u64) -> Result<(), BoxedError> {
        for id in from..to {
            let before = self.answers;
            let leader = self.leader().ok_or("the group lost its leader")?;
            let change = change_with_id(id)?;
            self.handle_input(leader, Input::Propose { token: id, change })?;
            self.run_until_idle()?;
            if self.answers != before + 1 {
                return Err(format!("change {id} was not answered").into());
            }
            self.advance()?;
        }
        Ok(())
    }

    fn reset_counters(&mut self) {
        for member in &mut self.replicas {
            member.consensus_time = Duration::ZERO;
            member.store_time = Duration::ZERO;
            member.sent_messages = 0;
            member.sent_bytes = 0;
        }
    }
}

/// The change with this number: the first ones add the profiles, later ones update them.
fn change_with_id(id: u64) -> Result<Change, BoxedError> {
    let name = ProfileName::parse(format!("service-profile-{}", id % PROFILES))?;
    let mut profile = Profile::with_defaults(name);
    profile.deadline_ms = 100 + (id % 1_000) as u32;
    let op = if id < PROFILES {
        Op::Add(profile)
    } else {
        Op::Update(profile)
    };
    // Real change ids are random and therefore not short in a variable-length encoding. The
    // multiplication makes these ids as long.
    let change_id = u128::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    Ok(Change {
        change_id: ChangeId::from_u128(change_id),
        expect: None,
        op,
        in_use: Vec::new(),
    })
}

fn directory_bytes(path: &Path) -> Result<u64, BoxedError> {
    let mut bytes = 0;
    for entry in fs::read_dir(path)? {
        bytes += entry?.metadata()?.len();
    }
    Ok(bytes)
}

/// Bytes that this process has written to files so far.
fn written_bytes() -> Result<u64, BoxedError> {
    let io = fs::read_to_string("/proc/self/io")?;
    let line = io.lines().find_map(|line| line.strip_prefix("wchar: "));
    Ok(line.ok_or("no count of written bytes")?.parse()?)
}

/// One row of the output; values per change are means.
struct Row {
    changes: u64,
    /// Time in the consensus logic of the leader.
    core_us: f64,
    /// Time in writes to the store of the leader.
    store_us: Option<f64>,
    messages: f64,
    message_bytes: f64,
    /// Bytes written per change and replica, including the snapshots.
    written_bytes: Option<f64>,
    /// Size of the leader's directory after all changes.
    disk_bytes: Option<u64>,
    /// Time to open the leader's directory and to build a replica from it.
    recovery: Option<Duration>,
}

/// Runs a new group through the changes and returns their cost.
fn measure(changes: u64, with_store: bool) -> Result<Row, BoxedError> {
    let directory = tempfile::tempdir()?;
    let mut group = Group::start(with_store.then_some(directory.path()))?;
    group.reset_counters();
    let written = written_bytes()?;
    group.submit_changes(0, changes)?;
    let written = written_bytes()? - written;
    let leader = group.leader().ok_or("the group lost its leader")?;
    let per_change = |value: f64| value / changes as f64;
    let member = &group.replicas[leader];
    let sent_messages: u64 = group
        .replicas
        .iter()
        .map(|member| member.sent_messages)
        .sum();
    let sent_bytes: u64 = group.replicas.iter().map(|member| member.sent_bytes).sum();
    let mut row = Row {
        changes,
        core_us: per_change(member.consensus_time.as_secs_f64() * 1e6),
        store_us: with_store.then(|| per_change(member.store_time.as_secs_f64() * 1e6)),
        messages: per_change(sent_messages as f64),
        message_bytes: per_change(sent_bytes as f64),
        written_bytes: with_store.then(|| per_change(written as f64 / REPLICAS as f64)),
        disk_bytes: None,
        recovery: None,
    };
    drop(group);
    if with_store {
        let path = directory.path().join((leader + 1).to_string());
        row.disk_bytes = Some(directory_bytes(&path)?);
        row.recovery = Some(measure_recovery(&path)?);
    }
    Ok(row)
}

/// Median time of opening a directory and building the replica from it.
fn measure_recovery(path: &Path) -> Result<Duration, BoxedError> {
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

fn print_row(row: &Row) {
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

fn main() -> Result<(), BoxedError> {
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
        for changes in CHANGE_COUNTS {
            print_row(&measure(changes, with_store)?);
        }
        if !with_store {
            print_row(&measure(MOST_CHANGES, with_store)?);
        }
    }
    Ok(())
}
