//! Lookup of the route of a request.

use crate::{
    customer::Customer,
    customer_table::CustomerTable,
    decimal::Decimal,
    document::{ColdLimit, Configuration, Destination, Route},
    quantity::Quantity,
    weighted_round_robin::WeightedRoundRobin,
};
use model::{Priority, Profile, ProfileName, ServiceName};
use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, PoisonError},
};

/// Profile name for routes whose own names are not valid profile names.
const DEFAULT_PROFILE_NAME: &str = "route";

/// A route with the profile and the split state that its calls use.
#[derive(Debug)]
pub struct MatchedRoute {
    /// The route as the operator configured it.
    pub route: Route,
    /// Profile of the calls, derived from the route.
    pub profile: Profile,
    /// State of the split, if the route has one.
    split: Option<Mutex<WeightedRoundRobin>>,
}

impl MatchedRoute {
    /// Takes the service for the next call; `None` if the route's weights are all 0.
    pub fn next_service(&self) -> Option<ServiceName> {
        self.service_by(WeightedRoundRobin::next_part)
    }

    /// The service for the next call, which leaves the split as it is; `None` if the route's weights
    /// are all 0.
    pub fn upcoming_service(&self) -> Option<ServiceName> {
        self.service_by(|split| split.upcoming_part())
    }

    fn service_by(
        &self,
        choose_part: impl FnOnce(&mut WeightedRoundRobin) -> Option<usize>,
    ) -> Option<ServiceName> {
        match &self.route.destination {
            Destination::Service(service) => Some(service.clone()),
            Destination::Split(parts) => {
                let split = self.split.as_ref()?.lock();
                let index = choose_part(&mut split.unwrap_or_else(PoisonError::into_inner))?;
                Some(parts[index].service.clone())
            }
        }
    }
}

/// Routes of one configuration, by host name and sorted from the longest to the shortest prefix.
#[derive(Debug)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    hosts: HashMap<String, Vec<Arc<MatchedRoute>>>,
    customers: Option<CustomerTable>,
}

impl RouteTable {
    /// Builds the table; `seed` varies the start of splits.
    pub fn new(configuration: Arc<Configuration>, seed: u64) -> Self {
        let ranks = ranks(&configuration);
        let mut hosts: HashMap<String, Vec<Arc<MatchedRoute>>> = HashMap::new();
        for host in &configuration.hosts {
            let routes = hosts.entry(host.host.to_ascii_lowercase()).or_default();
            routes.extend(
                host.routes
                    .iter()
                    .map(|route| Arc::new(matched_route(route, &ranks, seed))),
            );
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|matched| std::cmp::Reverse(matched.route.path_prefix.len()));
        }
        let customers = configuration.customers.as_deref();
        RouteTable {
            customers: customers.map(|customers| CustomerTable::new(customers, &ranks)),
            configuration,
            hosts,
        }
    }

    /// The configuration that the table was built from.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The customers by their keys; `None` if callers need no key.
    pub fn customers(&self) -> Option<&CustomerTable> {
        self.customers.as_ref()
    }

    /// The route of a virtual host with the longest matching prefix. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<MatchedRoute>> {
        self.routes_of(host)?
            .iter()
            .find(|matched| path.starts_with(matched.route.path_prefix.as_ref()))
    }

    /// Whether the configuration lists the virtual host. A port in `host` is ignored.
    pub fn has_host(&self, host: &str) -> bool {
        self.routes_of(host).is_some()
    }

    fn routes_of(&self, host: &str) -> Option<&Vec<Arc<MatchedRoute>>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        self.hosts.get(&name)
    }

    /// The customer of that name as the configuration has it.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        let mut customers = self.configuration.customers.iter().flatten();
        customers.find(|c| c.name.as_ref() == name)
    }

    /// Priority of calls with this rank, beside the ranks of the configuration.
    pub fn priority_of_rank(&self, rank: &Quantity) -> Priority {
        priority_of(rank, &ranks(&self.configuration))
    }

    /// Path of the health check of a service's instances.
    pub fn health_path(&self, service: &ServiceName) -> Option<Arc<str>> {
        let services = &self.configuration.services;
        let service = services.iter().find(|s| s.name == *service)?;
        Some(Arc::clone(&service.health_path))
    }

    /// Limit on the calls to a service's instances while they are cold.
    pub fn cold_limit(&self, service: &ServiceName) -> Option<ColdLimit> {
        let services = &self.configuration.services;
        Some(services.iter().find(|s| s.name == *service)?.cold.clone())
    }

    /// Whether the configuration lists the service.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.configuration
            .services
            .iter()
            .any(|s| s.name == *service)
    }
}

/// The ranks that routes and customers use, in order.
fn ranks(configuration: &Configuration) -> BTreeSet<Decimal> {
    let routes = configuration.hosts.iter().flat_map(|host| &host.routes);
    let customers = configuration.customers.iter().flatten();
    routes
        .map(|route| &route.rank)
        .chain(customers.filter_map(|customer| customer.rank.as_ref()))
        .map(Quantity::value)
        .collect()
}

fn matched_route(route: &Route, ranks: &BTreeSet<Decimal>, seed: u64) -> MatchedRoute {
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

/// Priority of a rank: the lowest rank in use is high, the second normal, and all others are low.
pub(crate) fn priority_of(rank: &Quantity, ranks: &BTreeSet<Decimal>) -> Priority {
    match ranks.range(..rank.value()).count() {
        0 => Priority::High,
        1 => Priority::Normal,
        _ => Priority::Low,
    }
}

/// The profile of a route.
fn profile_of(route: &Route, ranks: &BTreeSet<Decimal>) -> Profile {
    let name = ProfileName::parse(&route.name)
        .or_else(|_| ProfileName::parse(DEFAULT_PROFILE_NAME))
        .expect("the default is a valid name");
    Profile {
        idempotent: route.idempotent,
        deadline_ms: u32::try_from(route.timeout_ms.to_u64()).unwrap_or(u32::MAX),
        attempts: u16::try_from(route.attempts.to_u64()).unwrap_or(u16::MAX),
        priority: priority_of(&route.rank, ranks),
        ..Profile::with_defaults(name)
    }
}
