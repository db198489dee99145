//! Runs the replica's state machine: its event loop, its disk thread and its messages.

use crate::context::{ControlContext, SoleLeadership, address_of_number};
use consensus::{
    Input, Message, Output, RecoveredState, Replica, ReplicaConfig, ReplicaId, ReplicaNumber, Write,
};
use crossbeam::channel::{Receiver, Sender, unbounded};
use kernel::{Clock, Event};
use mesh::Channel;
use std::{
    sync::Arc,
    thread::{Builder, JoinHandle},
    time::{Duration, Instant},
};
use store::Store;
use wire::encode;

/// Pause before a write that failed for lack of disk space is retried.
const FULL_DISK_PAUSE: Duration = Duration::from_millis(500);
/// Longest sleep of the event loop.
const MAX_SLEEP: Duration = Duration::from_millis(100);
/// Most queued inputs handled in a row before the replica's timer is checked.
const MAX_INPUT_BATCH: usize = 64;

/// Difference between two readings of the clocks from which on the host was suspended.
const MAX_CLOCK_DRIFT_US: u64 = 10_000;

/// Largest number of a replica of a fixed group; numbers that encode an address are larger.
const MAX_FIXED_NUMBER: ReplicaNumber = u32::MAX as ReplicaNumber;

type SequencedWrite = (u64, Write);

/// The event loop and the disk thread of a replica.
pub(crate) struct ReplicaThreads {
    threads: Vec<JoinHandle<()>>,
}

impl ReplicaThreads {
    pub(crate) fn start(
        control: &Arc<ControlContext>,
        config: ReplicaConfig,
        store: Store,
        recovered: RecoveredState,
    ) -> std::io::Result<ReplicaThreads> {
        let (writes, write_receiver) = unbounded();
        let disk = Builder::new().name("replica-disk".into()).spawn({
            let control = Arc::clone(control);
            move || run_disk_thread(&control, store, &write_receiver)
        })?;
        let now_us = control.kernel.clock.now_us();
        let replica = Replica::new(now_us, config, recovered, rand::random());
        control.update_replica_state(|state| {
            state.disk_id = replica.id().disk_id;
            state.is_founder = replica.is_founder();
        });
        log::info!(
            "replica: starts with disk {:x}, term {}, snapshot index {}, voters {}.",
            replica.id().disk_id,
            replica.term(),
            replica.applied_index(),
            voter_list(&replica)
        );
        let main = Builder::new().name("replica".into()).spawn({
            let control = Arc::clone(control);
            move || {
                EventLoop {
                    control,
                    replica,
                    writes,
                    published_is_voter: false,
                    published_voters: Vec::new(),
                    published_is_current: false,
                    clock_offset_us: u64::MAX / 2,
                    resumed_us: 0,
                }
                .run();
            }
        })?;
        Ok(ReplicaThreads {
            threads: vec![main, disk],
        })
    }

    pub(crate) fn join(self) {
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// The event loop, which owns the consensus state machine.
struct EventLoop {
    control: Arc<ControlContext>,
    replica: Replica,
    writes: Sender<SequencedWrite>,
    /// Whether the published state says that this replica is a voter.
    published_is_voter: bool,
    published_voters: Vec<ReplicaNumber>,
    /// Whether the published state says that this replica is current.
    published_is_current: bool,
    /// Difference between the clock that counts suspension and the replica's clock.
    clock_offset_us: u64,
    /// Time at which the host resumed after its last suspension.
    resumed_us: u64,
}

impl EventLoop {
    fn run(mut self) {
        // The recovered snapshot has no change of its own that would publish it later.
        self.publish_registry();
        while !self.control.kernel.shutdown.is_raised() {
            let now_us = self.now_us();
            let sleep = Duration::from_micros(self.replica.next_wake_us().saturating_sub(now_us));
            match self.control.inputs().recv_timeout(sleep.min(MAX_SLEEP)) {
                Ok(input) => self.handle_input(input),
                Err(_) => self.handle_input(Input::Tick),
            }
            for _ in 0..MAX_INPUT_BATCH {
                match self.control.inputs().try_recv() {
                    Ok(input) => self.handle_input(input),
                    Err(_) => break,
                }
            }
            if self.replica.next_wake_us() <= self.now_us() {
                self.handle_input(Input::Tick);
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        let outputs = self.replica.handle_input(self.now_us(), input);
        for output in outputs {
            self.execute(output);
        }
        // A change of membership has no output of its own.
        if self.replica.is_voter() != self.published_is_voter
            || self.published_voters != self.voter_numbers()
        {
            log::info!(
                "replica: voters are {}, term {}.",
                voter_list(&self.replica),
                self.replica.term()
            );
            self.publish_state();
        }
        self.publish_currency();
        self.publish_sole_leader();
    }

    /// Publishes until when this replica is the only leader. Both clocks are read such that a
    /// suspension of the host between them only shortens the time.
    fn publish_sole_leader(&mut self) {
        let boot_us = Clock::boot_us();
        let now_us = self.now_us();
        self.detect_suspension(now_us, boot_us);
        let is_confirmed_since = |until_us: &u64| {
            *until_us >= self.resumed_us + self.replica.shortest_election_timeout_us()
        };
        let until_us = self.replica.sole_leader_until_us(now_us);
        let until_us = until_us.filter(is_confirmed_since).unwrap_or(0);
        let until_boot_us = boot_us + until_us.saturating_sub(now_us);
        let term = self.replica.term();
        let term_before = self.replica.term_before_leading().unwrap_or(0);
        self.control.update_replica_state(|state| {
            state.sole_leader_until_boot_us = until_boot_us;
            let is_known = state.sole_leadership.is_some_and(|of| of.term == term);
            if until_us > now_us && !is_known {
                state.sole_leadership = Some(SoleLeadership {
                    term,
                    since_boot_us: boot_us,
                    term_before,
                });
            }
        });
    }

    /// Notes when the host was suspended, which the clock of the replica doesn't count: heartbeats
    /// from before show nothing about the others' elections.
    fn detect_suspension(&mut self, now_us: u64, boot_us: u64) {
        let offset_us = boot_us.saturating_sub(now_us);
        if offset_us > self.clock_offset_us + MAX_CLOCK_DRIFT_US {
            self.resumed_us = now_us;
        }
        self.clock_offset_us = offset_us;
    }

    /// Publishes whether this replica is current; that also changes as time passes.
    fn publish_currency(&mut self) {
        let is_current = self.replica.is_current(self.now_us());
        if is_current == self.published_is_current {
            return;
        }
        self.published_is_current = is_current;
        let metrics = &self.control.kernel.metrics;
        metrics.replica_current.set(i64::from(is_current));
        self.control
            .update_replica_state(|state| state.is_current = is_current);
        log::info!(
            "replica: is {}, applied index {} of {}, term {}, leader {}.",
            if is_current {
                "current"
            } else {
                "not current, nodes are sent to other replicas"
            },
            self.replica.applied_index(),
            self.replica.commit_index(),
            self.replica.term(),
            leader_name(self.replica.leader())
        );
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => self.send(to, &message),
            Output::Persist { sequence, write } => {
                if let Write::SaveSnapshot {
                    snapshot,
                    discard_log,
                } = &write
                {
                    let source = if *discard_log {
                        "the leader"
                    } else {
                        "its log"
                    };
                    log::info!(
                        "replica: takes a snapshot of revision {} at index {} from {source}.",
                        snapshot.registry.revision(),
                        snapshot.index
                    );
                }
                // Fails only if the disk thread has ended, which it does before this loop only when
                // the process is stopping.
                let _ = self.writes.send((sequence, write));
            }
            Output::RegistryChanged { .. } => self.publish_registry(),
            Output::Answer { token, reply } => self.control.complete_change(token, reply),
            Output::ReadReady { token, result } => self.control.complete_read(token, result),
            Output::RoleChanged { role, term, .. } => {
                log::info!(
                    "replica: {} is {role:?} in term {term}, leader {}.",
                    replica_name(self.replica.id()),
                    leader_name(self.replica.leader())
                );
                self.publish_state();
            }
        }
    }

    fn send(&self, to: ReplicaNumber, message: &Message) {
        if let Some(address) = self.control.address_of(to) {
            // Consensus repeats messages that are lost.
            let _ = self
                .control
                .kernel
                .mesh
                .send(address, Channel::Consensus, encode(message));
        }
    }

    /// Brings the profiles of this process to the replica's applied index and answers the held
    /// pulls.
    fn publish_registry(&mut self) {
        let profiles = &self.control.kernel.profiles;
        let registry = self.replica.registry();
        let before = profiles.revision();
        if registry.revision() > before && !profiles.apply(registry.delta_since(before)) {
            profiles.apply(registry.profiles().full_delta());
        }
        let index = self.replica.applied_index();
        self.control.update_replica_state(|state| {
            state.applied_index = index;
            state.quota_holders = Arc::clone(registry.quota_holders());
        });
        let revision = profiles.revision();
        if revision > before {
            log::info!("replica: revision {revision} is accepted, applied index {index}.");
            self.control
                .kernel
                .events
                .publish(&Event::ProfilesChanged(revision));
            self.control.pulls.answer_outdated(&profiles.current());
        }
        self.publish_state();
    }

    fn publish_state(&mut self) {
        self.published_is_voter = self.replica.is_voter();
        self.published_voters = self.voter_numbers();
        let replica = &self.replica;
        let metrics = &self.control.kernel.metrics;
        metrics
            .replica_voters
            .set(self.published_voters.len() as i64);
        metrics
            .replica_applied_index
            .set(replica.applied_index() as i64);
        self.control.update_replica_state(|state| {
            state.role = Some(replica.role());
            state.term = replica.term();
            state.leader = replica.leader();
            state.is_voter = replica.is_voter();
            state.voters.clone_from(&self.published_voters);
            state.is_founder = replica.is_founder();
        });
    }

    fn voter_numbers(&self) -> Vec<ReplicaNumber> {
        let voters = &self.replica.membership().voters;
        voters.iter().map(|id| id.number).collect()
    }

    fn now_us(&self) -> u64 {
        self.control.kernel.clock.now_us()
    }
}

/// An identity as operators see it in the log: its address in an open group, else its number, and
/// its disk.
fn replica_name(id: ReplicaId) -> String {
    let disk_id = id.disk_id;
    match address_of_number(id.number) {
        Some(address) if id.number > MAX_FIXED_NUMBER => format!("{address}/{disk_id:x}"),
        _ => format!("{}/{disk_id:x}", id.number),
    }
}

fn voter_list(replica: &Replica) -> String {
    let voters = &replica.membership().voters;
    let names: Vec<String> = voters.iter().copied().map(replica_name).collect();
    format!("[{}]", names.join(" "))
}

fn leader_name(leader: Option<ReplicaId>) -> String {
    leader.map_or_else(|| "unknown".to_owned(), replica_name)
}

/// Disk thread: executes writes in order. All writes that are queued together share one fsync.
fn run_disk_thread(control: &ControlContext, mut store: Store, writes: &Receiver<SequencedWrite>) {
    while let Ok(first) = writes.recv() {
        let mut batch = vec![first];
        batch.extend(writes.try_iter());
        let Some(sequence) = batch.last().map(|(sequence, _)| *sequence) else {
            continue;
        };
        if !write_batch(control, &mut store, &batch) {
            return;
        }
        control.send_input(Input::Persisted { sequence });
    }
}

/// Retries until the batch is on disk; returns false if the process must end without it.
fn write_batch(control: &ControlContext, store: &mut Store, batch: &[SequencedWrite]) -> bool {
    let mut was_full = false;
    loop {
        let started = Instant::now();
        match store.persist(batch.iter().map(|(_, write)| write)) {
            Ok(()) => {
                log::trace!(
                    "replica: wrote {} records in {:?}.",
                    batch.len(),
                    started.elapsed()
                );
                if was_full {
                    log::info!("replica: the disk accepts writes again.");
                    control.update_replica_state(|state| state.storage_error = None);
                    control.send_input(Input::StorageFull(false));
                }
                return true;
            }
            Err(error) if error.is_retryable() => {
                if !was_full {
                    log::error!("replica: {error}; trying again until there is space.");
                    control.update_replica_state(|s| s.storage_error = Some(error.to_string()));
                    control.send_input(Input::StorageFull(true));
                }
                was_full = true;
                if control.kernel.shutdown.wait(FULL_DISK_PAUSE) {
                    return false;
                }
            }
            Err(error) => {
                log::error!(
                    "replica: {error}; stopping, since no further write can be made durable."
                );
                control.kernel.stop.raise();
                return false;
            }
        }
    }
}
