//! Events between plug-ins, delivered in the publisher's thread.

use model::{Revision, ServiceName, Upstream, UpstreamName};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
};

/// Event that one plug-in publishes to the others.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The local instance was announced or changed; `None` if it withdrew or its lease expired.
    LocalUpstreamChanged(Option<Upstream>),
    /// An upstream of any node was added or changed in the directory.
    UpstreamChanged(Upstream),
    /// An upstream was removed from the directory.
    UpstreamRemoved {
        /// Service that the upstream belonged to.
        service: ServiceName,
        /// Name that the upstream had in its service.
        name: UpstreamName,
    },
    /// Mesh addresses of other nodes, received from control replicas.
    NodesDiscovered(Vec<SocketAddr>),
    /// Profiles of a newer revision are in effect.
    ProfilesChanged(Revision),
    /// The crash suspects of this node changed and should be shared with other nodes.
    CrashSuspectsChanged,
    /// The process is stopping and accepts no new work.
    Stopping,
    /// The local instance stays cold for this time.
    LocalInstanceCold {
        /// Rest of the cold period in milliseconds.
        remaining_ms: u64,
        /// What is known of the start of its process.
        start: InstanceStart,
    },
    /// The local instance has restarted under its name; no work of its earlier start continues.
    LocalUpstreamRestarted,
    /// This node knows the crash suspects of its peers, or the time for that has passed; it runs
    /// calls from now on.
    CrashSuspectsKnown,
}

/// What a node knows of the start of its local instance when it gets a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceStart {
    /// Nothing: the process may have run for long before this node started, or has reported before.
    Unknown,
    /// It is the first instance that this node hears of, and it says that it has just started.
    Recent,
    /// This is the first report of a process that has started after this node.
    Observed,
}

type Subscriber = Arc<dyn Fn(&Event) + Send + Sync>;

/// Event bus between the plug-ins of one process.
#[derive(Clone, Default)]
pub struct Events {
    subscribers: Arc<RwLock<Vec<Subscriber>>>,
}

impl Events {
    /// Adds a subscriber; it must return quickly, since it runs in the publisher's thread.
    pub fn subscribe(&self, subscriber: impl Fn(&Event) + Send + Sync + 'static) {
        let mut list = self
            .subscribers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        list.push(Arc::new(subscriber));
    }

    /// Runs `apply` now and at each event that `matches`, one run at a time. Subscribes first, so that
    /// the last run sees a change that is published during the first one. `apply` must not publish
    /// such an event itself.
    pub fn apply_on(
        &self,
        matches: impl Fn(&Event) -> bool + Send + Sync + 'static,
        apply: impl Fn() + Send + Sync + 'static,
    ) {
        let apply = Arc::new(Mutex::new(apply));
        let subscribed = Arc::clone(&apply);
        self.subscribe(move |event| {
            if matches(event) {
                lock(&subscribed)();
            }
        });
        lock(&apply)();
    }

    /// Removes all subscribers.
    pub(crate) fn clear(&self) {
        self.subscribers
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    /// Calls all subscribers with `event`.
    pub fn publish(&self, event: &Event) {
        let list = {
            let guard = self
                .subscribers
                .read()
                .unwrap_or_else(PoisonError::into_inner);
            guard.clone()
        };
        for subscriber in &list {
            subscriber(event);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
