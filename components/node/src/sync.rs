//! Plug-in `sync`: pulls profiles from the control group, or from peers that have newer ones.

use crate::context::NodeContext;
use crossbeam::{
    channel::{RecvTimeoutError, bounded},
    select,
};
use kernel::{Event, Kernel, PluginEntry, Role, Running, StartError};
use mesh::{Channel, Inbound};
use registry::{Delta, Standing};
use std::{
    net::SocketAddr,
    sync::Arc,
    thread::{self, Builder},
    time::Duration,
};
use wire::{InstanceReport, NodeReport, SyncReply, SyncRequest, decode, encode};

/// Longest time that a control replica holds a pull without news.
const HOLD_MS: u32 = 1_000;
/// Time after the hold until a pull counts as lost.
const PULL_GRACE: Duration = Duration::from_millis(750);
/// Pause before the next replica is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
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

fn start(kernel: &Arc<Kernel>) -> Result<Running, StartError> {
    let context = NodeContext::of(kernel);
    let sync = Arc::new(Sync { context });
    kernel.mesh.on(Channel::Sync, {
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
    if first.recv_timeout(FIRST_PULL).is_err() {
        log::warn!("sync: no profiles yet; the control group did not answer.");
    }
    Ok(Running::with_stop(move || {
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
        let replicas = &self.context.kernel.node_settings().control;
        if replicas.is_empty() {
            return;
        }
        let mut on_first = Some(on_first);
        let mut current = self.context.kernel.mesh.local().mesh.port() as usize % replicas.len();
        let mut since_warning = Duration::ZERO;
        while !self.context.kernel.ended.is_raised() {
            let replica = replicas[current];
            if self.pull(replica, HOLD_MS) {
                self.context
                    .kernel
                    .profiles
                    .confirm(self.context.kernel.clock.now_us());
                if let Some(on_first) = on_first.take() {
                    on_first();
                }
                since_warning = Duration::ZERO;
                continue;
            }
            log::debug!("sync: control replica {replica} did not answer; trying the next.");
            current = (current + 1) % replicas.len();
            since_warning += RETRY_PAUSE;
            let age_ms = self
                .context
                .kernel
                .profiles
                .age_ms(self.context.kernel.clock.now_us());
            if age_ms > STALE_AFTER_MS && since_warning >= STALE_WARNING {
                since_warning = Duration::ZERO;
                log::warn!(
                    "sync: no control replica answered for {age_ms} ms; serving with revision {}.",
                    self.context.kernel.profiles.revision()
                );
            }
            if self.context.kernel.ended.wait(RETRY_PAUSE) {
                return;
            }
        }
    }

    /// Pulls from peers that hold a newer configuration, as gossip tells.
    fn pull_from_peers(&self) {
        let offers = self.context.newer.receiver();
        while !self.context.kernel.ended.is_raised() {
            let offer = match offers.recv_timeout(RETRY_PAUSE) {
                Ok(offer) => offer,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let (peer, revision) = offer;
            if revision > self.context.kernel.profiles.revision() && !self.pull(peer, 0) {
                log::debug!("sync: peer {peer} did not hand over revision {revision}.");
            }
        }
    }

    /// One pull; tells whether it was answered.
    fn pull(&self, from: SocketAddr, wait_ms: u32) -> bool {
        let kernel = &self.context.kernel;
        let set = kernel.profiles.current();
        let request = SyncRequest::Pull {
            have: if set.needs_full() {
                Default::default()
            } else {
                set.revision()
            },
            digest: set.digest(),
            wait_ms,
            report: Some(self.report()),
        };
        let wait = Duration::from_millis(u64::from(wait_ms)) + PULL_GRACE;
        let deadline = std::time::Instant::now() + wait;
        let (sender, receiver) = bounded(1);
        kernel.mesh.request(
            from,
            Channel::Sync,
            encode(&request),
            deadline,
            move |outcome| {
                let _ = sender.try_send(outcome.ok().and_then(|bytes| decode(bytes).ok()));
            },
        );
        select! {
            recv(receiver) -> reply => match reply {
                Ok(Some(SyncReply::Newer(delta))) => { self.take(*delta, from); true }
                Ok(Some(SyncReply::Unchanged { .. })) => true,
                _ => false,
            },
            default(wait) => false,
        }
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
            Ok(SyncRequest::Pull { have, digest, .. }) => self.serve(have, digest),
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
            Ok(SyncRequest::Reports) => SyncReply::Reports(Vec::new()),
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
    fn serve(&self, have: model::Revision, digest: u64) -> SyncReply {
        let set = self.context.kernel.profiles.current();
        if set.revision() == model::Revision::default() {
            return SyncReply::Empty;
        }
        match set.standing(have, digest) {
            Standing::Ahead => SyncReply::Newer(Box::new(set.since(have))),
            Standing::Diverged => SyncReply::Newer(Box::new(set.full())),
            Standing::Behind | Standing::Equal => SyncReply::Unchanged {
                revision: set.revision(),
            },
        }
    }

    fn report(&self) -> NodeReport {
        let kernel = &self.context.kernel;
        let settings = kernel.node_settings();
        NodeReport {
            node: kernel.mesh.local(),
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
