//! The known upstreams of all services, sharded by service.

use crate::{
    events::{Event, Events},
    known_services::KnownServices,
    stop::lock,
};
use model::{NodeId, ProfileName, ServiceName, Upstream, UpstreamName};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
    sync::{Arc, Mutex},
};

/// Number of shards, each under its own lock.
const SHARDS: usize = 16;

type Services = HashMap<ServiceName, BTreeMap<UpstreamName, Upstream>>;

/// Known upstreams by service, as learned through gossip.
#[derive(Clone)]
pub struct Directory {
    shards: Arc<[Mutex<Services>; SHARDS]>,
    /// Services that have lost their last upstream and have none now. Locked after the shard of the
    /// service.
    known_services: Arc<Mutex<KnownServices>>,
    events: Events,
}

impl Directory {
    /// An empty directory that publishes its changes to `events`.
    pub fn new(events: Events) -> Self {
        Directory {
            shards: Arc::new(std::array::from_fn(|_| Mutex::default())),
            known_services: Arc::default(),
            events,
        }
    }

    /// Stores a record if it is newer than the known one; returns whether it was.
    pub fn upsert(&self, upstream: Upstream) -> bool {
        {
            let mut services = lock(self.shard(&upstream.service));
            let upstreams = services.entry(upstream.service.clone()).or_default();
            if upstreams
                .get(&upstream.name)
                .is_some_and(|known| !is_newer(&upstream, known))
            {
                return false;
            }
            if upstreams.is_empty() {
                lock(&self.known_services).record_return(&upstream.service);
            }
            upstreams.insert(upstream.name.clone(), upstream.clone());
        }
        self.events.publish(&Event::UpstreamChanged(upstream));
        true
    }

    /// Removes an upstream if its current record was announced by `node`; returns whether it was.
    pub fn remove(&self, service: &ServiceName, name: &UpstreamName, node: NodeId) -> bool {
        {
            let mut services = lock(self.shard(service));
            let Some(upstreams) = services.get_mut(service) else {
                return false;
            };
            if upstreams.get(name).is_none_or(|known| known.node != node) {
                return false;
            }
            upstreams.remove(name);
            if upstreams.is_empty() {
                services.remove(service);
                // Before the shard is unlocked, so that nobody finds the service unknown meanwhile.
                lock(&self.known_services).record_loss(service);
            }
        }
        let (service, name) = (service.clone(), name.clone());
        self.events
            .publish(&Event::UpstreamRemoved { service, name });
        true
    }

    /// All upstreams of a service.
    pub fn upstreams(&self, service: &ServiceName) -> Vec<Upstream> {
        let services = lock(self.shard(service));
        services
            .get(service)
            .map(|upstreams| upstreams.values().cloned().collect())
            .unwrap_or_default()
    }

    /// Whether any upstream of the service is known.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        lock(self.shard(service)).contains_key(service)
    }

    /// Whether the service has an upstream, or had one before its last one was removed. Bounded: of
    /// services without upstreams, the 1,024 that lost theirs last are known.
    pub fn had_upstream(&self, service: &ServiceName) -> bool {
        // Both under the lock of the shard, so that a service that regains an upstream is known
        // throughout.
        let services = lock(self.shard(service));
        services.contains_key(service) || lock(&self.known_services).contains(service)
    }

    /// The profile for a call by method and path, according to the rules of the upstream of the
    /// service that was announced last.
    pub fn profile_for(
        &self,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> Option<ProfileName> {
        let services = lock(self.shard(service));
        let newest = services
            .get(service)?
            .values()
            .max_by_key(|upstream| (upstream.announced_ms, upstream.version))?;
        Some(newest.profile_for(method, path).clone())
    }

    /// All upstreams of all services.
    pub fn all(&self) -> Vec<Upstream> {
        self.shards
            .iter()
            .flat_map(|shard| {
                let services = lock(shard);
                services
                    .values()
                    .flat_map(|upstreams| upstreams.values().cloned())
                    .collect::<Vec<_>>()
            })
            .collect()
    }

    /// Names of the profiles that the known upstreams refer to.
    pub fn profiles_in_use(&self) -> BTreeSet<ProfileName> {
        let mut names = BTreeSet::new();
        for upstream in self.all() {
            names.insert(upstream.default_profile.clone());
            names.extend(upstream.rules.iter().map(|rule| rule.profile.clone()));
        }
        names
    }

    fn shard(&self, service: &ServiceName) -> &Mutex<Services> {
        let mut hasher = DefaultHasher::new();
        service.hash(&mut hasher);
        &self.shards[hasher.finish() as usize % SHARDS]
    }
}

/// The higher incarnation of the announcing node wins; within one incarnation, the higher version.
fn is_newer(candidate: &Upstream, known: &Upstream) -> bool {
    (candidate.node.incarnation, candidate.version) > (known.node.incarnation, known.version)
}
