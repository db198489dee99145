//! Answers the questions of nodes and followers for the group's revision; all that wait share one
//! quorum read.

use crate::{context::ControlContext, latest_by_node::LatestByNode};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use mesh::Inbound;
use model::Revision;
use revocation::RevisionReads;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use wire::{ControlReply, ControlRequest, encode};

/// Time for which a node's question is held while there is no leader. Nodes ask again after an answer
/// without a revision, so this bounds their traffic.
const HOLD_US: u64 = 1_000_000;
/// Longest wait for one round; a leader that is cut off must not delay the questions for longer.
const ROUND_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which the leader collects questions before a round, since each round is a message to every
/// replica; short against the 150 ms after which nodes ask others.
const COLLECT_TIME: Duration = Duration::from_millis(20);
/// Pause after a round without a revision.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for a question, and with it the longest delay of a stop.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Who asked.
pub(crate) enum Asker {
    /// A node, with `Confirm`, at this time.
    Node(Inbound, u64),
    /// A follower, with `ReadRevision`.
    Replica(Inbound),
}

/// The questions at this replica.
pub(crate) struct Confirmations {
    reads: Mutex<RevisionReads<Asker>>,
    wake: (Sender<()>, Receiver<()>),
    /// The last questions of nodes that were answered, by the times at which they arrived.
    proofs: Mutex<LatestByNode<()>>,
}

impl Default for Confirmations {
    fn default() -> Self {
        Confirmations {
            reads: Mutex::default(),
            wake: bounded(1),
            proofs: Mutex::default(),
        }
    }
}

impl Confirmations {
    /// Adds a question that arrived at `now_us`.
    pub(crate) fn add(&self, now_us: u64, asker: Asker) {
        let until_us = match &asker {
            Asker::Node(..) => now_us + HOLD_US,
            // The follower holds the questions of its nodes itself.
            Asker::Replica(_) => now_us,
        };
        if let Some(refused) = self.lock().add(until_us, asker) {
            refused.answer(None);
        }
        // Full if the thread is about to look anyway.
        let _ = self.wake.0.try_send(());
    }

    /// Ages of the proofs that this replica gave, in milliseconds.
    pub(crate) fn proof_ages(&self, now_us: u64) -> Vec<(SocketAddr, u64)> {
        let mut proofs = self.lock_proofs();
        let ages = proofs.list(now_us);
        ages.map(|(node, age_ms, ())| (node, age_ms)).collect()
    }

    fn record_proof(&self, asker: &Asker) {
        if let Asker::Node(inbound, asked_us) = asker {
            self.lock_proofs().record(*asked_us, inbound.from.mesh, ());
        }
    }

    fn lock_proofs(&self) -> MutexGuard<'_, LatestByNode<()>> {
        self.proofs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, RevisionReads<Asker>> {
        self.reads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Asker {
    fn answer(self, revision: Option<Revision>) {
        let (inbound, reply) = match self {
            Asker::Node(inbound, _) => (
                inbound,
                revision.map_or(ControlReply::NoLeader, |revision| ControlReply::Confirmed {
                    revision,
                }),
            ),
            Asker::Replica(inbound) => (inbound, ControlReply::Revision(revision)),
        };
        if let Err(error) = inbound.reply.send(encode(&reply)) {
            log::debug!("replica: a revision could not be sent: {error}.");
        }
    }
}

/// Runs rounds until the process stops.
pub(crate) fn run_rounds(control: &Arc<ControlContext>) {
    let confirmations = &control.confirmations;
    while !control.kernel.shutdown.is_raised() {
        if !confirmations.lock().has_waiting() {
            match confirmations.wake.1.recv_timeout(MAX_WAIT) {
                Ok(()) | Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
        if control.remote_leader().is_none() && control.kernel.shutdown.wait(COLLECT_TIME) {
            return;
        }
        confirmations.lock().begin_round();
        let revision = read_revision(control);
        let now_us = control.kernel.clock.now_us();
        let answered = confirmations.lock().end_round(now_us, revision);
        for asker in answered {
            if revision.is_some() {
                confirmations.record_proof(&asker);
            }
            asker.answer(revision);
        }
        if revision.is_none() && control.kernel.shutdown.wait(RETRY_PAUSE) {
            return;
        }
    }
}

/// The group's revision, read by a round that begins now: here if this replica leads, else at the
/// leader.
fn read_revision(control: &ControlContext) -> Option<Revision> {
    let Some(leader) = control.remote_leader() else {
        control
            .start_read()
            .recv_timeout(ROUND_TIMEOUT)
            .ok()?
            .ok()?;
        return Some(control.kernel.profiles.revision());
    };
    match control.request_peer(leader, &ControlRequest::ReadRevision, ROUND_TIMEOUT)? {
        ControlReply::Revision(revision) => revision,
        _ => None,
    }
}
