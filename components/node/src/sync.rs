//! Plug-in `sync`: pulls profiles from the control group, or from peers that have newer ones.

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

/// Longest time that a control replica holds a pull without news.
const HOLD_MS: u32 = 1_000;
/// Time after the hold until a pull counts as lost.
const PULL_GRACE: Duration = Duration::from_millis(750);
/// Time between two questions for the list of replicas.
const LEARN_PERIOD: Duration = Duration::from_secs(5);
/// Most replicas that a node remembers.
const MAX_REPLICAS: usize = 32;
/// Time after its start in which a node looks for others often.
const NEW_NODE_US: u64 = 10_000_000;
/// Time between two looks for other nodes in that time.
const LOOK_PERIOD: Duration = Duration::from_millis(300);
/// Time between later looks.
const LATER_LOOK_PERIOD: Duration = Duration::from_secs(20);
/// Pause before the next replica is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The same while there is no configuration: callers are refused until it comes.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Age of the configuration from which the log warns, in milliseconds.
const STALE_AFTER_MS: u64 = 5_000;
/// Period of that warning.
const STALE_WARNING: Duration = Duration::from_secs(10);
/// Longest wait of a start for the first configuration.
const FIRST_PULL: Duration = Duration::from_millis(1_500);

inventory::submit! {
    PluginEntry { name: "sync", role: Role::Node, order: 20, start }
}

struct Sync {
    context: Arc<NodeContext>,
}

fn start(kernel: &Arc<Kernel>) -> Result<RunningPlugin, StartError> {
    let context = NodeContext::of(kernel);
    let sync = Arc::new(Sync { context });
    kernel.mesh.set_handler(Channel::Sync, {
        let sync = Arc::clone(&sync);
        move |inbound| sync.answer(inbound)
    });
    let (first_sender, first) = bounded(1);
    let pulling = spawn("sync-control", {
        let sync = Arc::clone(&sync);
        move || {
            sync.pull_from_control(|| {
                let _ = first_sender.try_send(());
            });
        }
    })?;
    let peering = spawn("sync-peers", {
        let sync = Arc::clone(&sync);
        move || sync.pull_from_peers()
    })?;
    // A node without profiles could only refuse calls; it starts all the same when the control
    // group is away, since a peer may have them.
    let wait = if kernel.node_settings().require_configuration {
        // Calls are refused until there is a configuration, so the ports may open before.
        Duration::ZERO
    } else {
        FIRST_PULL
    };
    if first.recv_timeout(wait).is_err() {
        log::warn!("sync: no profiles yet; the control group did not answer.");
    }
    Ok(RunningPlugin::with_stop(move || {
        let _ = pulling.join();
        let _ = peering.join();
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

impl Sync {
    /// Keeps one pull open at a control replica; moves on to the next when it is lost.
    fn pull_from_control(&self, on_first: impl FnOnce()) {
        let mut replicas = self.context.kernel.node_settings().control.clone();
        if replicas.is_empty() {
            return;
        }
        let mut learn_at = Instant::now();
        let mut look_at = Instant::now();
        let mut on_first = Some(on_first);
        // Drawn, so that nodes that start together don't all wait for the same replica.
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
                self.look_for_nodes(&replicas, &mut look_at);
                if Instant::now() >= learn_at {
                    learn_at = Instant::now() + LEARN_PERIOD;
                    self.learn_replicas(replica, &mut replicas);
                }
                continue;
            }
            log::debug!("sync: control replica {replica} did not answer; trying the next.");
            // Other nodes that look for a leader have reported there as well.
            self.look_for_nodes(&[replica], &mut look_at);
            current = (current + 1) % replicas.len();
            let age_ms = self
                .context
                .kernel
                .profiles
                .age_ms(self.context.kernel.clock.now_us());
            if age_ms > STALE_AFTER_MS && warned_at.elapsed() >= STALE_WARNING {
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

    /// Asks replicas for other nodes, so that `--peers` is optional: often at first, and later from
    /// time to time, because nodes that start together can find each other in separate groups.
    fn look_for_nodes(&self, replicas: &[SocketAddr], look_at: &mut Instant) {
        let kernel = &self.context.kernel;
        if Instant::now() < *look_at {
            return;
        }
        let is_new = kernel.clock.now_us() < NEW_NODE_US;
        *look_at = Instant::now()
            + if is_new {
                LOOK_PERIOD
            } else {
                LATER_LOOK_PERIOD
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

    /// Adds the replicas that one of them names: the settings may list only a few, and those may
    /// be replaced later.
    fn learn_replicas(&self, from: SocketAddr, replicas: &mut Vec<SocketAddr>) {
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

    /// Pulls from peers that hold a newer configuration, as gossip tells.
    fn pull_from_peers(&self) {
        let offers = self.context.newer.receiver();
        while !self.context.kernel.shutdown.is_raised() {
            let offer = match offers.recv_timeout(RETRY_PAUSE) {
                Ok(offer) => offer,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let (peer, revision) = offer;
            if revision > self.context.kernel.profiles.revision() && !self.pull_from_peer(peer) {
                log::debug!("sync: peer {peer} did not hand over revision {revision}.");
            }
        }
    }

    /// One pull from a control replica; tells whether it knew the newest configuration.
    fn pull_from_replica(&self, replica: SocketAddr) -> bool {
        let (have, digest) = self.standing();
        let request = ControlRequest::Pull {
            have,
            digest,
            wait_ms: HOLD_MS,
            report: Box::new(self.report()),
        };
        let wait = Duration::from_millis(u64::from(HOLD_MS)) + PULL_GRACE;
        match self
            .context
            .kernel
            .request_blocking(replica, Channel::Control, &request, wait)
        {
            Some(ControlReply::Newer(delta)) => {
                self.take(*delta, replica);
                true
            }
            Some(ControlReply::Unchanged) => true,
            _ => false,
        }
    }

    /// One pull from a peer; tells whether it was answered.
    fn pull_from_peer(&self, peer: SocketAddr) -> bool {
        let (have, digest) = self.standing();
        let request = SyncRequest::Pull { have, digest };
        match self
            .context
            .kernel
            .request_blocking(peer, Channel::Sync, &request, PULL_GRACE)
        {
            Some(SyncReply::Newer(delta)) => {
                self.take(*delta, peer);
                true
            }
            Some(_) => true,
            None => false,
        }
    }

    /// Revision and digest in effect; a diverged set asks for everything.
    fn standing(&self) -> (Revision, u64) {
        let set = self.context.kernel.profiles.current();
        let have = if set.needs_full_delta() {
            Revision::default()
        } else {
            set.revision()
        };
        (have, set.digest())
    }

    fn take(&self, delta: Delta, from: SocketAddr) {
        let to = delta.to;
        let kernel = &self.context.kernel;
        if kernel.profiles.apply(delta) {
            log::info!("sync: revision {to} from {from} is in effect.");
            kernel.events.publish(&Event::ProfilesChanged(to));
        }
    }

    fn answer(&self, inbound: Inbound) {
        let reply = match decode(&inbound.payload) {
            Ok(SyncRequest::Pull { have, digest }) => self.serve(have, digest),
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

    /// Hands this node's profiles to a peer.
    fn serve(&self, have: Revision, digest: u64) -> SyncReply {
        let set = self.context.kernel.profiles.current();
        match set.compare(have, digest) {
            Comparison::Ahead => SyncReply::Newer(Box::new(set.delta_since(have))),
            Comparison::Diverged => SyncReply::Newer(Box::new(set.full_delta())),
            Comparison::Behind | Comparison::Equal => SyncReply::Unchanged,
        }
    }

    fn report(&self) -> NodeReport {
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
