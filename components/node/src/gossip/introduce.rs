//! Introduces a starting node to other nodes that start at the same time, through control replicas.
//!
//! An introduction is the starting node's gossip record, which the replicas hand to other starting
//! nodes, together with the records that the node asks for in return.

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

/// Time after the start in which a node introduces itself; later changes spread by gossip alone.
const INTRODUCTION_TIME: Duration = Duration::from_secs(5);
/// First pause between two introductions; it grows by `PAUSE_GROWTH` each time.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause, which is also the longest delay of a stop by this thread.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
const PAUSE_GROWTH: f32 = 1.15;
/// Timeout of a request to a replica.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of known members at which a node asks for no further records; at 200 bytes a record these
/// are 25 kB.
const ENOUGH_MEMBERS: usize = 128;

/// Replicas that can be asked, and the one that supplies records.
#[derive(Default)]
struct Replicas {
    /// Number of the newest record received from each replica; absent during a request to it.
    newest: HashMap<SocketAddr, u64>,
    /// The replica that records are requested from; the others only receive this node's record.
    source: Option<SocketAddr>,
}

/// Progress of the introductions, shared with the callbacks that handle replies.
struct IntroductionProgress {
    replicas: Mutex<Replicas>,
}

impl IntroductionProgress {
    fn new(replicas: &[SocketAddr]) -> Self {
        IntroductionProgress {
            replicas: Mutex::new(Replicas {
                newest: replicas.iter().map(|replica| (*replica, 0)).collect(),
                source: None,
            }),
        }
    }

    /// Starts a request to a replica: returns the newest record number from it and whether it is
    /// the source, or `None` if a request is already in flight.
    fn start_request(&self, replica: SocketAddr) -> Option<(u64, bool)> {
        let mut replicas = self.lock();
        let newest = replicas.newest.remove(&replica)?;
        Some((newest, replicas.source == Some(replica)))
    }

    /// Records a reply. The first replica to reply becomes the source; returns whether this one
    /// just did.
    fn record_reply(&self, replica: SocketAddr, newest: u64) -> bool {
        let mut replicas = self.lock();
        replicas.newest.insert(replica, newest);
        let is_new_source = replicas.source.is_none();
        replicas.source.get_or_insert(replica);
        is_new_source
    }

    /// Records a failed request; another replica may become the source.
    fn record_failure(&self, replica: SocketAddr, newest: u64) {
        let mut replicas = self.lock();
        replicas.newest.insert(replica, newest);
        replicas.source = replicas.source.filter(|source| *source != replica);
    }

    fn lock(&self) -> MutexGuard<'_, Replicas> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Introduces the node repeatedly until `INTRODUCTION_TIME` has passed, and at once when its record
/// changes.
pub(super) fn introduce(gossip: &Arc<Gossip>, changed: &Receiver<()>) {
    let replicas = gossip.context.kernel.node_settings().control.clone();
    let progress = Arc::new(IntroductionProgress::new(&replicas));
    let until = Instant::now() + INTRODUCTION_TIME;
    let mut pause = FIRST_PAUSE;
    while Instant::now() < until && !gossip.context.kernel.stop.is_raised() {
        for replica in &replicas {
            send_introduction(gossip, &progress, *replica);
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

fn send_introduction(
    gossip: &Arc<Gossip>,
    progress: &Arc<IntroductionProgress>,
    replica: SocketAddr,
) {
    let Some((after, is_source)) = progress.start_request(replica) else {
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
        Instant::now() + REPLY_TIMEOUT,
        move |outcome| {
            let reply = outcome.ok().and_then(|bytes| decode(bytes).ok());
            let Some(ControlReply::Introduced(introduced)) = reply else {
                log::debug!("gossip: control replica {replica} did not accept the introduction.");
                progress.record_failure(replica, after);
                return;
            };
            let newest = if is_source { introduced.newest } else { after };
            if progress.record_reply(replica, newest) {
                send_introduction(&gossip, &progress, replica);
            }
            merge_records(&gossip, replica, introduced);
        },
    );
}

fn merge_records(gossip: &Arc<Gossip>, replica: SocketAddr, introduced: IntroductionReply) {
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
        gossip.execute(actions);
    }
}
