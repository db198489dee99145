//! Runs the replica's state machine: its event loop, its disk thread and its messages.

use crate::shared::Control;
use consensus::{
    Input, Message, Output, RecoveredState, Replica, ReplicaConfig, ReplicaNumber, Write,
};
use crossbeam::channel::{Receiver, Sender, unbounded};
use kernel::Event;
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
const MAX_BATCH: usize = 64;

/// A write and its sequence number.
type Batch = (u64, Write);

/// The event loop and the disk thread of a replica.
pub(crate) struct Host {
    threads: Vec<JoinHandle<()>>,
}

impl Host {
    pub(crate) fn start(
        control: &Arc<Control>,
        config: ReplicaConfig,
        store: Store,
        recovered: RecoveredState,
    ) -> std::io::Result<Host> {
        let (writes, write_receiver) = unbounded();
        let disk = Builder::new().name("replica-disk".into()).spawn({
            let control = Arc::clone(control);
            move || write_all(&control, store, &write_receiver)
        })?;
        let now_us = control.kernel.clock.now_us();
        let replica = Replica::new(now_us, config, recovered, rand::random());
        control.update_standing(|standing| {
            standing.disk = replica.id().disk_id;
            standing.is_founder = replica.is_founder();
        });
        let main = Builder::new().name("replica".into()).spawn({
            let control = Arc::clone(control);
            move || {
                Loop {
                    control,
                    replica,
                    writes,
                    was_voter: false,
                    voters: Vec::new(),
                }
                .run();
            }
        })?;
        Ok(Host {
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
struct Loop {
    control: Arc<Control>,
    replica: Replica,
    writes: Sender<Batch>,
    /// Whether the published state says that this replica is a voter.
    was_voter: bool,
    /// Voters in the published state.
    voters: Vec<ReplicaNumber>,
}

impl Loop {
    fn run(mut self) {
        self.publish();
        while !self.control.kernel.shutdown.is_raised() {
            let now_us = self.now_us();
            let sleep = Duration::from_micros(self.replica.next_wake_us().saturating_sub(now_us));
            match self.control.inputs().recv_timeout(sleep.min(MAX_SLEEP)) {
                Ok(input) => self.take(input),
                Err(_) => self.take(Input::Tick),
            }
            for _ in 0..MAX_BATCH {
                match self.control.inputs().try_recv() {
                    Ok(input) => self.take(input),
                    Err(_) => break,
                }
            }
            if self.replica.next_wake_us() <= self.now_us() {
                self.take(Input::Tick);
            }
        }
    }

    fn take(&mut self, input: Input) {
        let outputs = self.replica.handle_input(self.now_us(), input);
        for output in outputs {
            self.carry_out(output);
        }
        // A change of membership has no output of its own.
        if self.replica.is_voter() != self.was_voter || self.voters != self.voter_numbers() {
            self.publish();
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => self.send(to, &message),
            Output::Persist { sequence, write } => {
                // Can't fail: the disk thread ends only after this loop.
                let _ = self.writes.send((sequence, write));
            }
            Output::RegistryChanged { index } => self.apply(index),
            Output::Answer { token, reply } => self.control.answer_change(token, reply),
            Output::ReadReady { token, result } => self.control.answer_read(token, result),
            Output::RoleChanged { role, term, leader } => {
                log::info!(
                    "replica: {} is {role:?} in term {term}, leader {}.",
                    self.replica.id(),
                    leader.map_or_else(|| "unknown".to_owned(), |id| id.to_string())
                );
                self.publish();
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

    /// Updates the profiles of this process to the applied index and answers the held pulls.
    fn apply(&mut self, index: u64) {
        let profiles = &self.control.kernel.profiles;
        let registry = self.replica.registry();
        let before = profiles.revision();
        if registry.revision() > before && !profiles.apply(registry.delta_since(before)) {
            profiles.apply(registry.profiles().full_delta());
        }
        self.control
            .update_standing(|standing| standing.applied = index);
        let revision = profiles.revision();
        if revision > before {
            log::info!("replica: revision {revision} is accepted.");
            self.control
                .kernel
                .events
                .publish(&Event::ProfilesChanged(revision));
            self.control.pulls.answer_newer(&profiles.current());
        }
        self.publish();
    }

    fn publish(&mut self) {
        self.was_voter = self.replica.is_voter();
        self.voters = self.voter_numbers();
        let replica = &self.replica;
        self.control.update_standing(|standing| {
            standing.role = Some(replica.role());
            standing.term = replica.term();
            standing.leader = replica.leader();
            standing.is_voter = replica.is_voter();
            standing.voters.clone_from(&self.voters);
            standing.is_founder = replica.is_founder();
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

/// Disk thread: executes writes in order. All writes that are queued together share one fsync.
fn write_all(control: &Control, mut store: Store, writes: &Receiver<Batch>) {
    while let Ok(first) = writes.recv() {
        let mut batch = vec![first];
        batch.extend(writes.try_iter());
        let Some(sequence) = batch.last().map(|(sequence, _)| *sequence) else {
            continue;
        };
        if !write_batch(control, &mut store, &batch) {
            return;
        }
        control.feed(Input::Persisted { sequence });
    }
}

/// Retries until the batch is on disk; returns false if the process must end without it.
fn write_batch(control: &Control, store: &mut Store, batch: &[Batch]) -> bool {
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
                    control.update_standing(|standing| standing.storage_error = None);
                    control.feed(Input::StorageFull(false));
                }
                return true;
            }
            Err(error) if error.is_retryable() => {
                if !was_full {
                    log::error!("replica: {error}; trying again until there is space.");
                    control.update_standing(|s| s.storage_error = Some(error.to_string()));
                    control.feed(Input::StorageFull(true));
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
