//! Makes a starting node known to others that start at the same time, through control replicas.

use super::Gossip;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use members::{Introduction, IntroductionReply};
use mesh::Channel;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use wire::{ControlReply, ControlRequest, decode, encode};

/// Time after the start in which a node introduces itself; gossip carries on from there.
const STARTING_TIME: Duration = Duration::from_secs(5);
/// First pause between two introductions; each is longer than the one before.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause; a stop waits for it at most.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
const PAUSE_GROWTH: f32 = 1.15;
/// Longest wait for the reply of a replica.
const REPLY_WAIT: Duration = Duration::from_millis(500);
/// Members from which on a node asks for no more; at 200 bytes a record, 25 kB in all.
const ENOUGH_MEMBERS: usize = 128;

/// What is known of the replicas.
#[derive(Default)]
struct Replicas {
    /// Number of the newest record that each has handed over; absent while it is asked.
    newest: HashMap<SocketAddr, u64>,
    /// The one that hands over records; the others only hear of this node.
    source: Option<SocketAddr>,
}

struct Progress {
    replicas: Mutex<Replicas>,
}

impl Progress {
    fn new(replicas: &[SocketAddr]) -> Self {
        Progress {
            replicas: Mutex::new(Replicas {
                newest: replicas.iter().map(|replica| (*replica, 0)).collect(),
                source: None,
            }),
        }
    }

    /// The newest number from the replica and whether it is the source; `None` while it is asked.
    fn take(&self, replica: SocketAddr) -> Option<(u64, bool)> {
        let mut replicas = self.lock();
        let newest = replicas.newest.remove(&replica)?;
        Some((newest, replicas.source == Some(replica)))
    }

    /// Notes a reply; tells whether the replica is the source from now on. The first to reply is.
    fn answered(&self, replica: SocketAddr, newest: u64) -> bool {
        let mut replicas = self.lock();
        replicas.newest.insert(replica, newest);
        let is_new_source = replicas.source.is_none();
        replicas.source.get_or_insert(replica);
        is_new_source
    }

    fn failed(&self, replica: SocketAddr, newest: u64) {
        let mut replicas = self.lock();
        replicas.newest.insert(replica, newest);
        replicas.source = replicas.source.filter(|source| *source != replica);
    }

    fn lock(&self) -> MutexGuard<'_, Replicas> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Introduces the node again and again for some seconds, at once when its record has changed.
pub(super) fn introduce(gossip: &Arc<Gossip>, changed: &Receiver<()>) {
    let replicas = gossip.context.kernel.node_settings().control.clone();
    let progress = Arc::new(Progress::new(&replicas));
    let until = Instant::now() + STARTING_TIME;
    let mut pause = FIRST_PAUSE;
    while Instant::now() < until && !gossip.context.kernel.stop.is_raised() {
        for replica in &replicas {
            introduce_at(gossip, &progress, *replica);
        }
        match changed.recv_timeout(pause) {
            Ok(()) => {}
            Err(RecvTimeoutError::Timeout) => {
                pause = pause.mul_f32(PAUSE_GROWTH).min(LONGEST_PAUSE);
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn introduce_at(gossip: &Arc<Gossip>, progress: &Arc<Progress>, replica: SocketAddr) {
    let Some((after, is_source)) = progress.take(replica) else {
        return;
    };
    let (datagram, known) = {
        let members = gossip.members();
        (members.introduction(), members.live_count())
    };
    let wanted = if is_source {
        ENOUGH_MEMBERS.saturating_sub(known)
    } else {
        0
    };
    let kernel = &gossip.context.kernel;
    let request = ControlRequest::Introduce(Box::new(Introduction {
        node: kernel.mesh.local_id(),
        datagram,
        after,
        max_records: u32::try_from(wanted).unwrap_or(u32::MAX),
    }));
    let (gossip, progress) = (Arc::clone(gossip), Arc::clone(progress));
    kernel.mesh.request(
        replica,
        Channel::Control,
        encode(&request),
        Instant::now() + REPLY_WAIT,
        move |outcome| {
            let reply = outcome.ok().and_then(|bytes| decode(bytes).ok());
            let Some(ControlReply::Introduced(introduced)) = reply else {
                log::debug!("gossip: control replica {replica} did not take the introduction.");
                progress.failed(replica, after);
                return;
            };
            let newest = if is_source { introduced.newest } else { after };
            if progress.answered(replica, newest) {
                introduce_at(&gossip, &progress, replica);
            }
            receive(&gossip, replica, introduced);
        },
    );
}

fn receive(gossip: &Arc<Gossip>, replica: SocketAddr, introduced: IntroductionReply) {
    if introduced.records.is_empty() {
        return;
    }
    log::info!(
        "gossip: {} nodes introduced by {replica}.",
        introduced.records.len()
    );
    for (node, datagram) in introduced.records {
        let now_us = gossip.now_us();
        let actions = gossip.members().receive(now_us, node.mesh, datagram);
        gossip.carry_out(actions);
    }
}
