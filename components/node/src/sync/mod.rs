//! Plug-in `sync`: pulls the configuration (profiles and routes) from the control group, or from
//! peers that have a newer one.

use crate::context::NodeContext;
use crossbeam::channel::{RecvTimeoutError, bounded};
use kernel::{Event, Kernel, PluginEntry, Role, RunningPlugin, StartError};
use mesh::{Channel, Inbound};
use model::Revision;
use registry::{Comparison, Delta};
use std::{
    net::SocketAddr,
    sync::Arc,
    thread::{self, Builder},
    time::{Duration, Instant},
};
use wire::{
    ControlReply, ControlRequest, InstanceReport, NodeReport, SyncReply, SyncRequest, decode,
    encode,
};

/// Longest time for which a control replica holds a pull while it has nothing newer.
const PULL_HOLD_MS: u32 = 1_000;
/// Time beyond the hold after which a pull counts as lost; also the timeout of other requests.
const PULL_GRACE: Duration = Duration::from_millis(750);
/// Interval of requests for the list of replicas.
const REPLICA_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Most replicas that a node keeps in its list.
const MAX_REPLICAS: usize = 32;
/// Time after its start in which a node searches for other nodes often.
const NEW_NODE_US: u64 = 10_000_000;
/// Interval of searches for other nodes in that time.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(300);
/// Interval of later searches.
const LATER_DISCOVERY_INTERVAL: Duration = Duration::from_secs(20);
/// Pause before the next replica is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The same before the first pull succeeds; shorter, because callers may be refused until then.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Age of the configuration from which on a warning is logged, in milliseconds.
const STALE_AFTER_MS: u64 = 5_000;
const STALE_WARNING_INTERVAL: Duration = Duration::from_secs(10);
/// Longest time for which a start waits for the first configuration.
const FIRST_PULL_TIMEOUT: Duration = Duration::from_millis(1_500);

inventory::submit! {
    PluginEntry { name: "sync", role: Role::Node, order: 20, start }
}

/// Keeps the profiles of this node up to date and answers pulls of peers.
struct ConfigSync {
    context: Arc<NodeContext>,
}

fn start(kernel: &Arc<Kernel>) -> Result<RunningPlugin, StartError> {
    let context = NodeContext::for_kernel(kernel);
    let sync = Arc::new(ConfigSync { context });
    kernel.mesh.set_handler(Channel::Sync, {
        let sync = Arc::clone(&sync);
        move |inbound| sync.handle_message(inbound)
    });
    let (first_sender, first) = bounded(1);
    let control_thread = spawn("sync-control", {
        let sync = Arc::clone(&sync);
        move || {
            sync.pull_from_control(|| {
                let _ = first_sender.try_send(());
            });
        }
    })?;
    let peer_thread = spawn("sync-peers", {
        let sync = Arc::clone(&sync);
        move || sync.pull_from_peers()
    })?;
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
        let _ = control_thread.join();
        let _ = peer_thread.join();
    }))
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
    /// Keeps one pull open at a control replica; goes on to the next replica when it fails.
    fn pull_from_control(&self, on_first: impl FnOnce()) {
        let mut replicas = self.context.kernel.node_settings().control.clone();
        if replicas.is_empty() {
            return;
        }
        let mut next_replica_request = Instant::now();
        let mut next_discovery = Instant::now();
        let mut on_first = Some(on_first);
        // Random, so that nodes that start together don't all wait for the same replica.
        let mut current = rand::random_range(0..replicas.len());
        let mut warned_at = Instant::now();
        while !self.context.kernel.shutdown.is_raised() {
            let replica = replicas[current];
            if self.pull_from_replica(replica) {
                self.context
                    .kernel
                    .profiles
                    .mark_confirmed(self.context.kernel.clock.now_us());
                if let Some(on_first) = on_first.take() {
                    on_first();
                }
                warned_at = Instant::now();
                self.discover_nodes(&replicas, &mut next_discovery);
                if Instant::now() >= next_replica_request {
                    next_replica_request = Instant::now() + REPLICA_LIST_INTERVAL;
                    self.discover_replicas(replica, &mut replicas);
                }
                continue;
            }
            log::debug!("sync: control replica {replica} did not answer; trying the next.");
            // A replica without a leader still knows the nodes that have pulled from it.
            self.discover_nodes(&[replica], &mut next_discovery);
            current = (current + 1) % replicas.len();
            let age_ms = self
                .context
                .kernel
                .profiles
                .age_ms(self.context.kernel.clock.now_us());
            if age_ms > STALE_AFTER_MS && warned_at.elapsed() >= STALE_WARNING_INTERVAL {
                warned_at = Instant::now();
                log::warn!(
                    "sync: no control replica answered for {age_ms} ms; serving with revision {}.",
                    self.context.kernel.profiles.revision()
                );
            }
            let pause = match on_first {
                Some(_) => FIRST_RETRY_PAUSE,
                None => RETRY_PAUSE,
            };
            if self.context.kernel.shutdown.wait(pause) {
                return;
            }
        }
    }

    /// Requests the addresses of other nodes from replicas, so that `--peers` is optional. The
    /// requests are frequent at first and go on at a lower rate, because nodes that start together
    /// can end up in separate gossip groups.
    fn discover_nodes(&self, replicas: &[SocketAddr], next_discovery: &mut Instant) {
        let kernel = &self.context.kernel;
        if Instant::now() < *next_discovery {
            return;
        }
        let is_new = kernel.clock.now_us() < NEW_NODE_US;
        *next_discovery = Instant::now()
            + if is_new {
                DISCOVERY_INTERVAL
            } else {
                LATER_DISCOVERY_INTERVAL
            };
        let own = kernel.mesh.local_id().mesh;
        let mut others = Vec::new();
        for replica in replicas {
            let request = ControlRequest::Contacts;
            let reply = kernel.request_blocking(*replica, Channel::Control, &request, PULL_GRACE);
            if let Some(ControlReply::Contacts(named)) = reply {
                others.extend(named.into_iter().filter(|address| *address != own));
            }
        }
        kernel.events.publish(&Event::NodesDiscovered(others));
    }

    /// Adds the replicas that a replica knows: the settings may list only a few of them, and those
    /// may be replaced later.
    fn discover_replicas(&self, from: SocketAddr, replicas: &mut Vec<SocketAddr>) {
        let request = ControlRequest::Replicas;
        let kernel = &self.context.kernel;
        let reply = kernel.request_blocking(from, Channel::Control, &request, PULL_GRACE);
        let Some(ControlReply::Replicas(named)) = reply else {
            return;
        };
        for replica in named {
            if !replicas.contains(&replica) && replicas.len() < MAX_REPLICAS {
                replicas.push(replica);
            }
        }
    }

    /// Pulls from peers that hold a newer configuration according to gossip.
    fn pull_from_peers(&self) {
        let offers = self.context.revision_offers.receiver();
        while !self.context.kernel.shutdown.is_raised() {
            let offer = match offers.recv_timeout(RETRY_PAUSE) {
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

    /// Pulls once from a control replica; returns whether it knew the newest configuration.
    fn pull_from_replica(&self, replica: SocketAddr) -> bool {
        let (have, digest) = self.revision_and_digest();
        let request = ControlRequest::Pull {
            have,
            digest,
            wait_ms: PULL_HOLD_MS,
            report: Box::new(self.node_report()),
        };
        let wait = Duration::from_millis(u64::from(PULL_HOLD_MS)) + PULL_GRACE;
        match self
            .context
            .kernel
            .request_blocking(replica, Channel::Control, &request, wait)
        {
            Some(ControlReply::Newer(delta)) => {
                self.apply_delta(*delta, replica);
                true
            }
            Some(ControlReply::Unchanged) => true,
            _ => false,
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
            kernel.events.publish(&Event::ProfilesChanged(to));
        }
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
            Comparison::Ahead => SyncReply::Newer(Box::new(set.delta_since(have))),
            Comparison::Diverged => SyncReply::Newer(Box::new(set.full_delta())),
            Comparison::Behind | Comparison::Equal => SyncReply::Unchanged,
        }
    }

    fn node_report(&self) -> NodeReport {
        let kernel = &self.context.kernel;
        let settings = kernel.node_settings();
        NodeReport {
            node: kernel.mesh.local_id(),
            host: settings.host.clone(),
            availability_zone: settings.availability_zone.clone(),
            revision: kernel.profiles.revision(),
            age_ms: 0,
            leaving: kernel.stop.is_raised(),
            instance: self
                .context
                .local
                .upstream()
                .map(|upstream| InstanceReport {
                    profiles: std::iter::once(&upstream.default_profile)
                        .chain(upstream.rules.iter().map(|rule| &rule.profile))
                        .cloned()
                        .collect(),
                    name: upstream.name,
                    service: upstream.service,
                    state: upstream.state,
                    address: upstream.address,
                }),
        }
    }
}
