//! Finds the route of a request.

use crate::{
    document::{Configuration, Destination, Route},
    weighted_round_robin::WeightedRoundRobin,
};
use model::{Priority, Profile, ProfileName, ServiceName};
use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, PoisonError},
};

/// Name of the profile of a route whose own name is no valid profile name.
const UNNAMED_PROFILE: &str = "route";

/// A route with what is prepared for its calls.
#[derive(Debug)]
pub struct MatchedRoute {
    /// The route.
    pub route: Route,
    /// How its calls are treated.
    pub profile: Profile,
    split: Option<Mutex<WeightedRoundRobin>>,
}

impl MatchedRoute {
    /// The service for the next call; none if the route's weights are all 0.
    pub fn next_service(&self) -> Option<ServiceName> {
        match &self.route.destination {
            Destination::Service(service) => Some(service.clone()),
            Destination::Split(parts) => {
                let split = self.split.as_ref()?;
                let index = split
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .next_part()?;
                Some(parts[index].service.clone())
            }
        }
    }
}

/// Routes of one configuration, by host and with the longest prefix first.
#[derive(Debug)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    hosts: HashMap<String, Vec<Arc<MatchedRoute>>>,
}

impl RouteTable {
    /// Prepares the routes; `seed` shifts the start of splits.
    pub fn new(configuration: Arc<Configuration>, seed: u64) -> Self {
        let ranks = ranks(&configuration);
        let mut hosts: HashMap<String, Vec<Arc<MatchedRoute>>> = HashMap::new();
        for host in &configuration.hosts {
            let routes = hosts.entry(host.host.to_ascii_lowercase()).or_default();
            routes.extend(
                host.routes
                    .iter()
                    .map(|route| Arc::new(prepare(route, &ranks, seed))),
            );
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|prepared| std::cmp::Reverse(prepared.route.path_prefix.len()));
        }
        RouteTable {
            configuration,
            hosts,
        }
    }

    /// The configuration that the table was made from.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The route with the longest matching prefix. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<MatchedRoute>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        self.hosts
            .get(&name)?
            .iter()
            .find(|prepared| path.starts_with(prepared.route.path_prefix.as_ref()))
    }

    /// Path of the health check of a service's instances.
    pub fn health_path(&self, service: &ServiceName) -> Option<Arc<str>> {
        let services = &self.configuration.services;
        let found = services.iter().find(|known| known.name == *service)?;
        Some(Arc::clone(&found.health_path))
    }

    /// Whether the configuration lists the service.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.configuration
            .services
            .iter()
            .any(|known| known.name == *service)
    }
}

/// The ranks in use, in order.
fn ranks(configuration: &Configuration) -> BTreeSet<u32> {
    let routes = configuration.hosts.iter().flat_map(|host| &host.routes);
    routes.map(|route| route.rank).collect()
}

fn prepare(route: &Route, ranks: &BTreeSet<u32>, seed: u64) -> MatchedRoute {
    let split = match &route.destination {
        Destination::Service(_) => None,
        Destination::Split(parts) => Some(Mutex::new(WeightedRoundRobin::new(parts, seed))),
    };
    MatchedRoute {
        profile: profile_of(route, ranks),
        route: route.clone(),
        split,
    }
}

fn profile_of(route: &Route, ranks: &BTreeSet<u32>) -> Profile {
    let name = ProfileName::parse(&route.name)
        .or_else(|_| ProfileName::parse(UNNAMED_PROFILE))
        .expect("the fallback is a valid name");
    let priority = match ranks.range(..route.rank).count() {
        0 => Priority::High,
        1 => Priority::Normal,
        _ => Priority::Low,
    };
    Profile {
        idempotent: route.idempotent,
        deadline_ms: u32::try_from(route.timeout_ms).unwrap_or(u32::MAX),
        attempts: route.attempts,
        priority,
        ..Profile::with_defaults(name)
    }
}
