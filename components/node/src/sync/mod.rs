//! Plug-in `sync`: pulls the configuration (profiles and routes) from the control group, or from
//! peers that have a newer one.

mod control;
mod discovery;
mod proof;

use crate::{context::NodeContext, quotas::QuotaGate};
use crossbeam::channel::{RecvTimeoutError, bounded, unbounded};
use kernel::{Event, Kernel, PluginEntry, Role, RunningPlugin, StartError};
use members::ControlReplicas;
use mesh::{Channel, Inbound};
use model::Revision;
use proof::ProofEvent;
use registry::{Comparison, Delta};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::{self, Builder},
    time::Duration,
};
use wire::{SyncReply, SyncRequest, decode, encode};

/// Timeout of a request to a control replica or a peer, beyond the time for which it may hold it.
const PULL_GRACE: Duration = Duration::from_millis(750);
/// Longest wait for an offer of a peer, and with it the longest delay of a stop.
const OFFER_WAIT: Duration = Duration::from_millis(150);
/// Longest time for which a start waits for the first configuration.
const FIRST_PULL_TIMEOUT: Duration = Duration::from_millis(1_500);

inventory::submit! {
    PluginEntry { name: "sync", role: Role::Node, order: 20, start }
}

/// Keeps the profiles of this node up to date and answers pulls of peers.
struct ConfigSync {
    context: Arc<NodeContext>,
    replicas: Mutex<ControlReplicas>,
    /// The replica that confirmed the configuration last.
    current_replica: Mutex<Option<SocketAddr>>,
}

fn start(kernel: &Arc<Kernel>) -> Result<RunningPlugin, StartError> {
    let context = NodeContext::for_kernel(kernel);
    let configured = kernel.node_settings().control.clone();
    let has_control_group = !configured.is_empty();
    let sync = Arc::new(ConfigSync {
        context,
        replicas: Mutex::new(ControlReplicas::new(configured)),
        current_replica: Mutex::default(),
    });
    kernel.mesh.set_handler(Channel::Sync, {
        let sync = Arc::clone(&sync);
        move |inbound| sync.handle_message(inbound)
    });
    let (first_sender, first) = bounded(1);
    let mut threads = vec![spawn("sync-peers", {
        let sync = Arc::clone(&sync);
        move || sync.pull_from_peers()
    })?];
    if has_control_group {
        let pulling = Arc::clone(&sync);
        threads.push(spawn("sync-control", move || {
            pulling.pull_from_control(|| {
                let _ = first_sender.try_send(());
            });
        })?);
        threads.extend(start_proof(&sync)?);
        threads.push(spawn("sync-discovery", move || sync.discover())?);
    }
    // A node without profiles could only refuse calls, so the start waits for them. It goes on
    // without them if the control group does not answer, since a peer may have them.
    let wait = if kernel.node_settings().require_configuration {
        // Calls are refused until there is a configuration, so the ports may open at once.
        Duration::ZERO
    } else {
        FIRST_PULL_TIMEOUT
    };
    if first.recv_timeout(wait).is_err() {
        log::warn!("sync: no profiles yet; the control group did not answer.");
    }
    Ok(RunningPlugin::with_stop(move || {
        for thread in threads {
            let _ = thread.join();
        }
    }))
}

/// Starts the thread that keeps the proof of strict revocation, if revocation is strict.
fn start_proof(sync: &Arc<ConfigSync>) -> Result<Option<thread::JoinHandle<()>>, StartError> {
    if !sync.context.revocation.is_strict() {
        return Ok(None);
    }
    let (sender, events) = unbounded();
    sync.context.kernel.events.subscribe({
        let sender = sender.clone();
        move |event| {
            if matches!(event, Event::ProfilesChanged(_)) {
                // The receiver was dropped if the process is stopping.
                let _ = sender.send(ProofEvent::ConfigurationChanged);
            }
        }
    });
    let sync = Arc::clone(sync);
    spawn("sync-proof", move || sync.keep_proof(&events, &sender)).map(Some)
}

fn spawn(
    name: &'static str,
    work: impl FnOnce() + Send + 'static,
) -> Result<thread::JoinHandle<()>, StartError> {
    Builder::new()
        .name(name.to_owned())
        .spawn(work)
        .map_err(|error| StartError::new("sync", format!("no thread could be started: {error}")))
}

impl ConfigSync {
    fn replicas(&self) -> MutexGuard<'_, ControlReplicas> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_us(&self) -> u64 {
        self.context.kernel.clock.now_us()
    }

    fn current_replica(&self) -> Option<SocketAddr> {
        *self.lock_current_replica()
    }

    fn set_current_replica(&self, replica: SocketAddr) {
        *self.lock_current_replica() = Some(replica);
    }

    fn lock_current_replica(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.current_replica
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Pulls from peers that hold a newer configuration according to gossip.
    fn pull_from_peers(&self) {
        let offers = self.context.revision_offers.receiver();
        while !self.context.kernel.shutdown.is_raised() {
            let offer = match offers.recv_timeout(OFFER_WAIT) {
                Ok(offer) => offer,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let (peer, revision) = offer;
            if revision > self.context.kernel.profiles.revision() && !self.pull_from_peer(peer) {
                log::debug!("sync: peer {peer} did not supply revision {revision}.");
            }
        }
    }

    /// Pulls once from a peer; returns whether it answered.
    fn pull_from_peer(&self, peer: SocketAddr) -> bool {
        let (have, digest) = self.revision_and_digest();
        let request = SyncRequest::Pull { have, digest };
        match self
            .context
            .kernel
            .request_blocking(peer, Channel::Sync, &request, PULL_GRACE)
        {
            Some(SyncReply::Newer(delta)) => {
                self.apply_delta(*delta, peer);
                true
            }
            Some(_) => true,
            None => false,
        }
    }

    /// Revision and digest in effect, as sent with a pull. A diverged set sends the lowest revision
    /// to receive a full delta.
    fn revision_and_digest(&self) -> (Revision, u64) {
        let set = self.context.kernel.profiles.current();
        let have = if set.needs_full_delta() {
            Revision::default()
        } else {
            set.revision()
        };
        (have, set.digest())
    }

    fn apply_delta(&self, delta: Delta, from: SocketAddr) {
        let to = delta.to;
        let kernel = &self.context.kernel;
        if kernel.profiles.apply(delta) {
            log::info!("sync: revision {to} from {from} is in effect.");
            self.publish_change(to);
        }
    }

    fn publish_change(&self, revision: Revision) {
        let event = Event::ProfilesChanged(revision);
        self.context.kernel.events.publish(&event);
    }

    fn handle_message(&self, inbound: Inbound) {
        let reply = match decode(&inbound.payload) {
            Ok(SyncRequest::Pull { have, digest }) => self.reply_to_pull(have, digest),
            Ok(SyncRequest::Drain { service, instance }) => {
                let is_here = self
                    .context
                    .local
                    .upstream()
                    .is_some_and(|u| service.is_none_or(|service| service == u.service));
                let drained = is_here
                    && self
                        .context
                        .local
                        .drain(&instance, "an operator asked for it");
                SyncReply::Drained(drained)
            }
            Ok(SyncRequest::QuotaUse) => {
                SyncReply::QuotaUse(QuotaGate::for_kernel(&self.context.kernel).usage())
            }
            Err(error) => {
                log::warn!(
                    "sync: a message from {} was dropped: {error}.",
                    inbound.from
                );
                return;
            }
        };
        if let Err(error) = inbound.reply.send(encode(&reply)) {
            log::debug!(
                "sync: a reply to {} could not be sent: {error}.",
                inbound.from
            );
        }
    }

    /// Answers a peer's pull with the profiles that it lacks.
    fn reply_to_pull(&self, have: Revision, digest: u64) -> SyncReply {
        let set = self.context.kernel.profiles.current();
        match set.compare(have, digest) {
            Comparison::Ahead => SyncReply::Newer(Box::new(set.delta_since(have).for_node())),
            Comparison::Diverged => SyncReply::Newer(Box::new(set.full_delta().for_node())),
            Comparison::Behind | Comparison::Equal => SyncReply::Unchanged,
        }
    }
}
