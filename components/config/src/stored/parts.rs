//! The parts of a stored configuration. Their fields and the order of these are part of the formats.

use super::numbers::{Stored, StoredWeight};
use crate::{
    customer::{ApiKey, Customer},
    document::{
        CallerLimits, ColdLimit, Configuration, Destination, Route, Service, VirtualHost,
        WeightedService,
    },
    quantity::Quantity,
};
use model::ServiceName;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A configuration with the forms that a format has for limits of cold instances, for public routes
/// and for customers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredDocument<Cold, Public, Customers> {
    version: u64,
    services: Vec<StoredService<Cold>>,
    limits: StoredLimits,
    hosts: Vec<StoredHost<Public>>,
    customers: Customers,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredService<Cold> {
    name: ServiceName,
    health_path: Arc<str>,
    max_connections: u32,
    protocol: Arc<str>,
    tls: bool,
    cold: Cold,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredLimits {
    max_head_bytes: u64,
    max_body_bytes: u64,
    head_timeout_ms: u64,
    idle_timeout_ms: u64,
}

/// The limit of cold instances in the second format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredColdLimit {
    duration_s: Option<Quantity>,
    calls_per_s: Option<Quantity>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredHost<Public> {
    host: Arc<str>,
    routes: Vec<StoredRoute<Public>>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredRoute<Public> {
    name: Arc<str>,
    path_prefix: Arc<str>,
    idempotent: bool,
    timeout_ms: u64,
    latency_target_ms: u64,
    rank: u32,
    attempts: u16,
    is_public: Public,
    destination: StoredDestination,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum StoredDestination {
    Service(ServiceName),
    Split(Vec<StoredPart>),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredPart {
    service: ServiceName,
    weight: StoredWeight,
}

/// A customer in the second format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredCustomer {
    name: Arc<str>,
    keys: Vec<ApiKey>,
    rank: Option<u32>,
    rate_per_s: Option<Quantity>,
    burst: Option<Quantity>,
}

impl<Cold, Public, Customers> Stored<Configuration> for StoredDocument<Cold, Public, Customers>
where
    Cold: Stored<ColdLimit>,
    Public: Stored<bool>,
    Customers: Stored<Option<Vec<Customer>>>,
{
    fn store(value: &Configuration) -> Option<Self> {
        if value.version_text.is_some() {
            return None;
        }
        Some(StoredDocument {
            version: value.version,
            services: Stored::store(&value.services)?,
            limits: Stored::store(&value.limits)?,
            hosts: Stored::store(&value.hosts)?,
            customers: Stored::store(&value.customers)?,
        })
    }

    fn restore(self) -> Configuration {
        Configuration {
            version: self.version,
            version_text: None,
            services: self.services.restore(),
            limits: self.limits.restore(),
            hosts: self.hosts.restore(),
            customers: self.customers.restore(),
        }
    }
}

impl<Cold: Stored<ColdLimit>> Stored<Service> for StoredService<Cold> {
    fn store(value: &Service) -> Option<Self> {
        Some(StoredService {
            name: value.name.clone(),
            health_path: Arc::clone(&value.health_path),
            max_connections: Stored::store(&value.max_connections)?,
            protocol: Arc::clone(&value.protocol),
            tls: value.tls,
            cold: Stored::store(&value.cold)?,
        })
    }

    fn restore(self) -> Service {
        Service {
            name: self.name,
            health_path: self.health_path,
            max_connections: self.max_connections.restore(),
            protocol: self.protocol,
            tls: self.tls,
            cold: self.cold.restore(),
        }
    }
}

impl Stored<CallerLimits> for StoredLimits {
    fn store(value: &CallerLimits) -> Option<Self> {
        Some(StoredLimits {
            max_head_bytes: Stored::store(&value.max_head_bytes)?,
            max_body_bytes: Stored::store(&value.max_body_bytes)?,
            head_timeout_ms: Stored::store(&value.head_timeout_ms)?,
            idle_timeout_ms: Stored::store(&value.idle_timeout_ms)?,
        })
    }

    fn restore(self) -> CallerLimits {
        CallerLimits {
            max_head_bytes: self.max_head_bytes.restore(),
            max_body_bytes: self.max_body_bytes.restore(),
            head_timeout_ms: self.head_timeout_ms.restore(),
            idle_timeout_ms: self.idle_timeout_ms.restore(),
        }
    }
}

impl Stored<ColdLimit> for StoredColdLimit {
    fn store(value: &ColdLimit) -> Option<Self> {
        Some(StoredColdLimit {
            duration_s: Stored::store(&value.duration_s)?,
            calls_per_s: Stored::store(&value.calls_per_s)?,
        })
    }

    fn restore(self) -> ColdLimit {
        ColdLimit {
            duration_s: self.duration_s.restore(),
            calls_per_s: self.calls_per_s.restore(),
        }
    }
}

impl<Public: Stored<bool>> Stored<VirtualHost> for StoredHost<Public> {
    fn store(value: &VirtualHost) -> Option<Self> {
        Some(StoredHost {
            host: Arc::clone(&value.host),
            routes: Stored::store(&value.routes)?,
        })
    }

    fn restore(self) -> VirtualHost {
        VirtualHost {
            host: self.host,
            routes: self.routes.restore(),
        }
    }
}

impl<Public: Stored<bool>> Stored<Route> for StoredRoute<Public> {
    fn store(value: &Route) -> Option<Self> {
        Some(StoredRoute {
            name: Arc::clone(&value.name),
            path_prefix: Arc::clone(&value.path_prefix),
            idempotent: value.idempotent,
            timeout_ms: Stored::store(&value.timeout_ms)?,
            latency_target_ms: Stored::store(&value.latency_target_ms)?,
            rank: Stored::store(&value.rank)?,
            attempts: Stored::store(&value.attempts)?,
            is_public: Stored::store(&value.is_public)?,
            destination: Stored::store(&value.destination)?,
        })
    }

    fn restore(self) -> Route {
        Route {
            name: self.name,
            path_prefix: self.path_prefix,
            idempotent: self.idempotent,
            timeout_ms: self.timeout_ms.restore(),
            latency_target_ms: self.latency_target_ms.restore(),
            rank: self.rank.restore(),
            attempts: self.attempts.restore(),
            is_public: self.is_public.restore(),
            destination: self.destination.restore(),
        }
    }
}

impl Stored<Destination> for StoredDestination {
    fn store(value: &Destination) -> Option<Self> {
        Some(match value {
            Destination::Service(service) => StoredDestination::Service(service.clone()),
            Destination::Split(parts) => StoredDestination::Split(Stored::store(parts)?),
        })
    }

    fn restore(self) -> Destination {
        match self {
            StoredDestination::Service(service) => Destination::Service(service),
            StoredDestination::Split(parts) => Destination::Split(parts.restore()),
        }
    }
}

impl Stored<WeightedService> for StoredPart {
    fn store(value: &WeightedService) -> Option<Self> {
        Some(StoredPart {
            service: value.service.clone(),
            weight: Stored::store(&value.weight)?,
        })
    }

    fn restore(self) -> WeightedService {
        WeightedService {
            service: self.service,
            weight: self.weight.restore(),
        }
    }
}

impl Stored<Customer> for StoredCustomer {
    fn store(value: &Customer) -> Option<Self> {
        Some(StoredCustomer {
            name: Arc::clone(&value.name),
            keys: value.keys.clone(),
            rank: Stored::store(&value.rank)?,
            rate_per_s: Stored::store(&value.rate_per_s)?,
            burst: Stored::store(&value.burst)?,
        })
    }

    fn restore(self) -> Customer {
        Customer {
            name: self.name,
            keys: self.keys,
            rank: self.rank.restore(),
            rate_per_s: self.rate_per_s.restore(),
            burst: self.burst.restore(),
        }
    }
}
