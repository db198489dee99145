//! Plug-in `gossip`: exchanges membership datagrams and updates the directory of upstreams.

mod introduce;

use crate::context::NodeContext;
use crossbeam::channel::{Sender, bounded};
use kernel::{Event, Kernel, PluginEntry, Role, RunningPlugin, StartError};
use members::{Datagram, MemberAction, MemberConfig, MemberState, Members, NodeInfo, TICK_MS};
use mesh::{Channel, Inbound};
use model::{Revision, ServiceName, Upstream, UpstreamName};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};
use wire::{decode, encode};

/// Time that a stopping node leaves for gossip to spread its departure.
const LEAVE_TIME: Duration = Duration::from_millis(1_000);

inventory::submit! {
    PluginEntry { name: "gossip", role: Role::Node, order: 10, start }
}

/// Upstreams that each node announces, to find those that it no longer does.
type AnnouncedUpstreams = HashMap<model::NodeId, Vec<(ServiceName, UpstreamName)>>;

struct Gossip {
    context: Arc<NodeContext>,
    members: Mutex<Members>,
    announced: Mutex<AnnouncedUpstreams>,
    /// Held while the local instance is read and announced, so that an older state can't replace a
    /// newer one.
    announce_lock: Mutex<()>,
    /// Wakes the introduction thread after a change of the local record.
    record_changed: Sender<()>,
}

fn start(kernel: &Arc<Kernel>) -> Result<RunningPlugin, StartError> {
    let context = NodeContext::for_kernel(kernel);
    let settings = kernel.node_settings();
    let config = MemberConfig::new(settings.availability_zone.clone(), settings.region.clone())
        .contacts(settings.peers.iter().copied());
    let (record_changed, changes) = bounded(1);
    let gossip = Arc::new(Gossip {
        record_changed,
        members: Mutex::new(Members::new(
            config,
            local_info(&context, None),
            rand::random(),
        )),
        announced: Mutex::default(),
        announce_lock: Mutex::default(),
        context,
    });
    kernel.mesh.set_handler(Channel::Gossip, {
        let gossip = Arc::clone(&gossip);
        move |inbound| gossip.handle_datagram(&inbound)
    });
    kernel.events.subscribe({
        let gossip = Arc::clone(&gossip);
        move |event| gossip.handle_event(event)
    });
    let tick_thread = thread::spawn({
        let gossip = Arc::clone(&gossip);
        move || {
            let period = Duration::from_millis(u64::from(TICK_MS));
            while !gossip.context.kernel.shutdown.wait(period) {
                gossip.tick();
            }
        }
    });
    let introduction_thread = thread::spawn({
        let gossip = Arc::clone(&gossip);
        move || introduce::introduce(&gossip, &changes)
    });
    Ok(RunningPlugin::new(
        |until| {
            let pause = until.min(Instant::now() + LEAVE_TIME);
            thread::sleep(pause.saturating_duration_since(Instant::now()));
        },
        move || {
            let _ = tick_thread.join();
            let _ = introduction_thread.join();
        },
    ))
}

impl Gossip {
    fn handle_datagram(&self, inbound: &Inbound) {
        let datagram: Datagram = match decode(&inbound.payload) {
            Ok(datagram) => datagram,
            Err(error) => {
                log::debug!(
                    "gossip: a datagram from {} was dropped: {error}.",
                    inbound.from
                );
                return;
            }
        };
        let now_us = self.now_us();
        let actions = self.members().receive(now_us, inbound.from.mesh, datagram);
        self.execute(actions);
    }

    fn tick(&self) {
        let now_us = self.now_us();
        let revision = self.context.kernel.profiles.revision();
        let actions = {
            let mut members = self.members();
            if revision > Revision::default() {
                members.set_revision(now_us, revision);
            }
            members.tick(now_us)
        };
        self.execute(actions);
    }

    fn handle_event(&self, event: &Event) {
        match event {
            Event::LocalUpstreamChanged(_) | Event::CrashSuspectsKnown => {
                self.announce_upstream();
            }
            Event::NodesDiscovered(addresses) => {
                let mut members = self.members();
                for address in addresses {
                    members.add_contact(*address);
                }
            }
            Event::Stopping => {
                let actions = self.members().leave(self.now_us());
                self.execute(actions);
            }
            _ => (),
        }
    }

    /// Announces the local instance as it is now, but not before its owner runs calls: entries would
    /// send it calls that it refuses.
    fn announce_upstream(&self) {
        let _announcing = self
            .announce_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !self.context.knows_suspects.load(Ordering::Acquire) {
            return;
        }
        let now_us = self.now_us();
        let upstream = self.context.local.upstream();
        let info = local_info(&self.context, upstream.as_ref());
        let result = self.members().set_local_info(now_us, info.clone());
        match result {
            Ok(actions) => self.execute(actions),
            Err(error) => log::error!("gossip: the instance can't be announced: {error}."),
        }
        self.update_directory(&info);
        // If the queue is full, a wake-up is pending already.
        let _ = self.record_changed.try_send(());
    }

    fn execute(&self, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, datagram } => {
                    let bytes = encode(&datagram);
                    let mesh = &self.context.kernel.mesh;
                    // Gossip tolerates lost datagrams; later rounds repeat what is still needed.
                    let _ = mesh.send_datagram(to, Channel::Gossip, &bytes);
                }
                MemberAction::Joined(info) => {
                    log::info!("gossip: {} joined from {}.", info.node, info.zone);
                    self.update_directory(&info);
                    self.update_member_count();
                }
                MemberAction::Changed(info) => self.update_directory(&info),
                MemberAction::Left(info) => {
                    log::info!("gossip: {} left.", info.node);
                    self.remove_upstreams(&info);
                }
                MemberAction::Failed(info) => {
                    log::warn!("gossip: {} failed.", info.node);
                    self.remove_upstreams(&info);
                }
                MemberAction::NewerRevision { peer, revision } => {
                    self.context.revision_offers.offer(peer, revision);
                }
                MemberAction::Superseded { by } => {
                    let own = self.context.kernel.mesh.local_id();
                    log::warn!("gossip: others know {own} as {by}; starting again above that.");
                    self.context.kernel.rejoin_above(by.incarnation);
                }
            }
        }
    }

    /// Updates the directory to the upstreams that a node announces.
    fn update_directory(&self, info: &NodeInfo) {
        let directory = &self.context.kernel.directory;
        let names: Vec<_> = info
            .upstreams
            .iter()
            .map(|u| (u.service.clone(), u.name.clone()))
            .collect();
        let before = self
            .announced()
            .insert(info.node, names.clone())
            .unwrap_or_default();
        for (service, name) in before.iter().filter(|announced| !names.contains(announced)) {
            directory.remove(service, name, info.node);
        }
        for upstream in &info.upstreams {
            let (name, service, state) = (&upstream.name, &upstream.service, upstream.state);
            if directory.upsert(upstream.clone()) {
                log::info!(
                    "gossip: instance {name} of {service} at {} is {state}.",
                    info.node
                );
            }
        }
    }

    fn update_member_count(&self) {
        let members = self.members().snapshot();
        let addresses = members.iter().map(|info| info.node.mesh);
        let live = self.context.set_live_nodes(addresses);
        self.context.kernel.metrics.members.set(live as i64);
    }

    /// Removes the upstreams of a node that left or failed.
    fn remove_upstreams(&self, info: &NodeInfo) {
        self.update_member_count();
        let before = self.announced().remove(&info.node).unwrap_or_default();
        for (service, name) in before {
            self.context
                .kernel
                .directory
                .remove(&service, &name, info.node);
        }
    }

    fn now_us(&self) -> u64 {
        self.context.kernel.clock.now_us()
    }

    fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn announced(&self) -> MutexGuard<'_, AnnouncedUpstreams> {
        self.announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn local_info(context: &NodeContext, upstream: Option<&Upstream>) -> NodeInfo {
    let settings = context.kernel.node_settings();
    NodeInfo {
        node: context.kernel.mesh.local_id(),
        zone: settings.availability_zone.clone(),
        region: settings.region.clone(),
        host: settings.host.clone(),
        upstreams: upstream.cloned().into_iter().collect(),
        revision: context.kernel.profiles.revision(),
        state: MemberState::Alive,
    }
}
