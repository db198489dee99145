//! The kernel of a process: starts the plug-ins, holds their shared state and stops them in order.

use crate::{
    clock::Clock,
    directory::Directory,
    events::{Event, Events},
    metrics::Metrics,
    plugin::{Role, RunningPlugin, StartError, plugins_of},
    profiles::ProfileTable,
    stop::{StopSignal, lock},
    suspects::SuspectTable,
};
use crossbeam::{
    channel::{Receiver, Sender, unbounded},
    select,
};
use mesh::{Channel, Mesh};
use serde::{Serialize, de::DeserializeOwned};
use settings::{CallerLimits, ControlSettings, NodeSettings};
use std::{
    any::{Any, TypeId},
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use wire::{decode, encode};

/// Interval at which a running process checks for SIGHUP.
const SIGHUP_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Stop timeout of a control replica process.
const CONTROL_STOP_TIMEOUT_MS: u64 = 2_000;

/// Settings of the process, by its role.
#[derive(Clone)]
pub enum Settings {
    /// A node, optionally with an embedded control replica.
    Node(Box<NodeSettings>),
    /// A separate control replica process.
    Control(Box<ControlSettings>),
}

/// State that the plug-ins of a process share.
pub struct Kernel {
    /// Monotonic time since the process started, and wall-clock time.
    pub clock: Clock,
    /// Transport to other processes of the system.
    pub mesh: Mesh,
    /// Events between plug-ins.
    pub events: Events,
    /// Known upstreams.
    pub directory: Directory,
    /// Profile set in effect and its revision.
    pub profiles: ProfileTable,
    /// Crash suspects known to this node.
    pub suspects: SuspectTable,
    /// Metrics that the plug-ins update and `/metrics` serves.
    pub metrics: Metrics,
    /// Raised when the process should stop; new work is refused from then on.
    pub stop: StopSignal,
    /// Raised after the plug-ins have drained; their background threads end.
    pub shutdown: StopSignal,
    settings: Settings,
    shared: Mutex<HashMap<TypeId, Arc<dyn Any + Send + Sync>>>,
    addresses: Mutex<HashMap<&'static str, SocketAddr>>,
    /// Incarnation in which other members know this node's address, if it is above this one's.
    superseded_by: AtomicU64,
    /// Ends the waits of `request_until_shutdown` when it is dropped.
    waits: Mutex<Option<Sender<()>>>,
    waits_ended: Receiver<()>,
}

impl Kernel {
    /// Opens the mesh and starts all plug-ins of the process.
    pub fn start(settings: Settings) -> Result<KernelHandle, StartError> {
        Kernel::start_above(settings, StopSignal::new(), 0)
    }

    /// Like `start`, with a stop signal that may be raised while the plug-ins are starting, and with
    /// the start time as incarnation unless that is not above `above_incarnation`.
    pub fn start_above(
        settings: Settings,
        stop: StopSignal,
        above_incarnation: u64,
    ) -> Result<KernelHandle, StartError> {
        let kernel = Arc::new(Kernel::new(settings, stop, above_incarnation)?);
        let mut handle = KernelHandle {
            kernel,
            running: Vec::new(),
        };
        for entry in plugins_of(&handle.kernel.roles()) {
            match (entry.start)(&handle.kernel) {
                Ok(running) => handle.running.push((entry.name, running)),
                Err(error) => {
                    handle.stop();
                    return Err(error);
                }
            }
            log::debug!("kernel: started {}.", entry.name);
        }
        log::info!("kernel: running as {}.", handle.kernel.mesh.local_id());
        Ok(handle)
    }

    fn new(
        settings: Settings,
        stop: StopSignal,
        above_incarnation: u64,
    ) -> Result<Self, StartError> {
        let (listen, key) = match &settings {
            Settings::Node(node) => (node.mesh_listen, &node.mesh_key),
            Settings::Control(control) => (control.listen, &control.mesh_key),
        };
        let mesh = Mesh::builder()
            .listen(listen)
            .key(key.0)
            .incarnation(Clock::unix_us().max(above_incarnation + 1))
            .start()
            .map_err(|error| StartError::new("mesh", format!("{error}; choose a free address")))?;
        let events = Events::default();
        let (waits, waits_ended) = unbounded();
        Ok(Kernel {
            clock: Clock::start(),
            mesh,
            directory: Directory::new(events.clone()),
            events,
            profiles: ProfileTable::new(),
            suspects: SuspectTable::new(),
            metrics: Metrics::new(),
            stop,
            shutdown: StopSignal::new(),
            settings,
            shared: Mutex::default(),
            addresses: Mutex::default(),
            superseded_by: AtomicU64::new(0),
            waits: Mutex::new(Some(waits)),
            waits_ended,
        })
    }

    /// Stops the kernel so that it can start again above `incarnation`, in which other members know
    /// this node's address.
    pub fn rejoin_above(&self, incarnation: u64) {
        self.superseded_by.store(incarnation, Ordering::Release);
        self.stop.raise();
    }

    /// The incarnation above which this kernel should start again, if it stops for that reason.
    pub fn superseded_by(&self) -> Option<u64> {
        let incarnation = self.superseded_by.load(Ordering::Acquire);
        (incarnation > 0).then_some(incarnation)
    }

    /// Settings of the node. Only plug-ins of the role `Node` may call this.
    ///
    /// # Panics
    ///
    /// If the process is not a node.
    pub fn node_settings(&self) -> &NodeSettings {
        match &self.settings {
            Settings::Node(node) => node,
            Settings::Control(_) => panic!("a plug-in of a node runs in a control replica"),
        }
    }

    /// Settings of the control replica in this process, if it has one.
    pub fn control_settings(&self) -> Option<ControlSettings> {
        match &self.settings {
            Settings::Control(control) => Some(ControlSettings::clone(control)),
            Settings::Node(node) => node.embedded_control(),
        }
    }

    /// The value of type `T` that the plug-ins of this process share; created on first use.
    pub fn shared<T: Any + Send + Sync>(&self, make: impl FnOnce() -> T) -> Arc<T> {
        if let Some(value) = lock(&self.shared).get(&TypeId::of::<T>()) {
            return Arc::clone(value)
                .downcast()
                .expect("the map is keyed by type");
        }
        let created: Arc<dyn Any + Send + Sync> = Arc::new(make());
        let value = Arc::clone(
            lock(&self.shared)
                .entry(TypeId::of::<T>())
                .or_insert(created),
        );
        value.downcast().expect("the map is keyed by type")
    }

    /// Sends a request to another process and blocks until its reply arrives, at most for `wait`.
    pub fn request_blocking<T: DeserializeOwned + Send + 'static>(
        &self,
        to: SocketAddr,
        channel: Channel,
        request: &impl Serialize,
        wait: Duration,
    ) -> Option<T> {
        let replies = self.request_each([to], channel, request, wait);
        replies.recv_timeout(wait).ok().and_then(|(_, reply)| reply)
    }

    /// Like `request_blocking`, but ends without a reply when the kernel shuts down. For requests
    /// that the peer holds until it has news.
    pub fn request_until_shutdown<T: DeserializeOwned + Send + 'static>(
        &self,
        to: SocketAddr,
        channel: Channel,
        request: &impl Serialize,
        wait: Duration,
    ) -> Option<T> {
        let replies = self.request_each([to], channel, request, wait);
        select! {
            recv(replies) -> reply => reply.ok().and_then(|(_, reply)| reply),
            recv(self.waits_ended) -> _ => None,
            default(wait) => None,
        }
    }

    /// Sends the same request to several peers at once. Each peer has one entry in the receiver, in
    /// the order of the replies; without a reply it is `None`, at the latest after `wait`.
    pub fn request_each<T: DeserializeOwned + Send + 'static>(
        &self,
        to: impl IntoIterator<Item = SocketAddr>,
        channel: Channel,
        request: &impl Serialize,
        wait: Duration,
    ) -> Receiver<(SocketAddr, Option<T>)> {
        let (sender, receiver) = unbounded();
        let deadline = Instant::now() + wait;
        let payload = encode(request);
        for peer in to {
            let sender = sender.clone();
            self.mesh
                .request(peer, channel, payload.clone(), deadline, move |outcome| {
                    // The receiver was dropped if nobody waits any longer.
                    let _ = sender.send((peer, outcome.ok().and_then(|bytes| decode(bytes).ok())));
                });
        }
        receiver
    }

    /// Records the address that a plug-in listens on, which differs from its setting for port 0.
    pub fn set_listen_address(&self, plugin: &'static str, address: SocketAddr) {
        lock(&self.addresses).insert(plugin, address);
    }

    /// The address that a plug-in listens on.
    pub fn listen_address(&self, plugin: &str) -> Option<SocketAddr> {
        lock(&self.addresses).get(plugin).copied()
    }

    /// Ends the background threads of the plug-ins and what they wait for.
    fn shut_down(&self) {
        self.shutdown.raise();
        lock(&self.waits).take();
    }

    /// Drops mesh handlers, event subscribers and shared state. They hold references to the kernel
    /// and with it to the mesh, whose UDP socket would otherwise keep its port until the process
    /// exits.
    fn release_references(&self) {
        for channel in Channel::ALL {
            self.mesh.set_handler(channel, |_| ());
        }
        self.events.clear();
        lock(&self.shared).clear();
    }

    /// Limits on what callers can make this process hold.
    pub fn caller_limits(&self) -> CallerLimits {
        match &self.settings {
            Settings::Node(node) => node.caller_limits,
            Settings::Control(control) => control.caller_limits,
        }
    }

    fn roles(&self) -> Vec<Role> {
        match &self.settings {
            Settings::Control(_) => vec![Role::Control],
            Settings::Node(node) if node.control_replica.is_some() => {
                vec![Role::Control, Role::Node]
            }
            Settings::Node(_) => vec![Role::Node],
        }
    }

    fn stop_timeout(&self) -> Duration {
        Duration::from_millis(match &self.settings {
            Settings::Node(node) => node.stop_timeout_ms,
            Settings::Control(_) => CONTROL_STOP_TIMEOUT_MS,
        })
    }
}

/// Handle of a running kernel; dropping it stops the kernel.
pub struct KernelHandle {
    kernel: Arc<Kernel>,
    running: Vec<(&'static str, RunningPlugin)>,
}

impl KernelHandle {
    /// State that the plug-ins of the process share.
    pub fn kernel(&self) -> &Arc<Kernel> {
        &self.kernel
    }

    /// Waits until the stop signal is raised.
    pub fn wait_for_stop(&self) {
        while !self.kernel.stop.wait(SIGHUP_CHECK_INTERVAL) {
            if self.kernel.stop.take_sighup() {
                log::info!(
                    "kernel: SIGHUP received; flags and variables of a running process don't \
                     change, so nothing is read again."
                );
            }
        }
    }

    /// Refuses new work, drains the work in flight, then ends the plug-ins.
    pub fn stop(&mut self) {
        if self.kernel.shutdown.is_raised() {
            return;
        }
        let until = Instant::now() + self.kernel.stop_timeout();
        self.kernel.stop.raise();
        self.kernel.events.publish(&Event::Stopping);
        let mut stops = Vec::new();
        for (name, running) in self.running.drain(..).rev() {
            (running.drain)(until);
            log::debug!("kernel: drained {name}.");
            stops.push(running.stop);
        }
        self.kernel.shut_down();
        for stop in stops {
            stop();
        }
        self.kernel.mesh.stop();
        self.kernel.release_references();
        log::info!("kernel: stopped.");
    }

    /// Ends the kernel at once, as a crash would: nothing is drained or announced.
    pub fn abort(&mut self) {
        self.kernel.mesh.stop();
        self.kernel.stop.raise();
        self.kernel.shut_down();
        for (_, running) in self.running.drain(..).rev() {
            (running.stop)();
        }
        self.kernel.release_references();
    }
}

impl Drop for KernelHandle {
    fn drop(&mut self) {
        self.stop();
    }
}
