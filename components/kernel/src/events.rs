//! Notices between plug-ins, delivered in the publisher's thread.

use model::{Revision, ServiceName, Upstream, UpstreamName};
use std::{
    net::SocketAddr,
    sync::{Arc, RwLock},
};

/// What a plug-in tells the others.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The instance beside this node was announced, has changed, or is gone.
    LocalUpstreamChanged(Option<Upstream>),
    /// An upstream of any node was learned or has changed.
    UpstreamChanged(Upstream),
    /// An upstream left or failed.
    UpstreamRemoved {
        /// Service of the upstream.
        service: ServiceName,
        /// Name of the upstream.
        name: UpstreamName,
    },
    /// Mesh addresses of nodes that the control group knows.
    NodesDiscovered(Vec<SocketAddr>),
    /// Newer profiles are in effect.
    ProfilesChanged(Revision),
    /// A crash was noted here; its suspects should reach other nodes.
    CrashSuspectsChanged,
    /// The process is stopping and takes no new work.
    Stopping,
}

type Subscriber = Arc<dyn Fn(&Event) + Send + Sync>;

/// The list of subscribers.
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
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        list.push(Arc::new(subscriber));
    }

    /// Drops all subscribers.
    pub(crate) fn clear(&self) {
        self.subscribers
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clear();
    }

    /// Hands `event` to all subscribers.
    pub fn publish(&self, event: &Event) {
        let list = {
            let guard = self
                .subscribers
                .read()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            guard.clone()
        };
        for subscriber in &list {
            subscriber(event);
        }
    }
}
