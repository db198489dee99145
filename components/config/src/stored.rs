//! The first format of stored configurations.
//!
//! Encoded data has no field names, so a new field would make older data unreadable. A configuration
//! that uses none of the fields that were added later is therefore stored in the first format.

use crate::document::{
    CallerLimits, ColdLimit, Configuration, Destination, Route, Service, VirtualHost,
};
use model::ServiceName;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A configuration without customers, public routes and limits for cold instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseConfiguration {
    version: u64,
    services: Vec<BaseService>,
    limits: CallerLimits,
    hosts: Vec<BaseHost>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BaseService {
    name: ServiceName,
    health_path: Arc<str>,
    max_connections: u32,
    protocol: Arc<str>,
    tls: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BaseHost {
    host: Arc<str>,
    routes: Vec<BaseRoute>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BaseRoute {
    name: Arc<str>,
    path_prefix: Arc<str>,
    idempotent: bool,
    timeout_ms: u64,
    latency_target_ms: u64,
    rank: u32,
    attempts: u16,
    destination: Destination,
}

impl BaseConfiguration {
    /// The configuration in the first format; `None` if that can't hold it.
    pub fn new(configuration: &Configuration) -> Option<Self> {
        if configuration.customers.is_some() {
            return None;
        }
        let services: Option<Vec<_>> = configuration.services.iter().map(base_service).collect();
        let hosts: Option<Vec<_>> = configuration.hosts.iter().map(base_host).collect();
        Some(BaseConfiguration {
            version: configuration.version,
            services: services?,
            limits: configuration.limits,
            hosts: hosts?,
        })
    }
}

impl From<BaseConfiguration> for Configuration {
    fn from(base: BaseConfiguration) -> Self {
        Configuration {
            version: base.version,
            services: base.services.into_iter().map(full_service).collect(),
            limits: base.limits,
            hosts: base.hosts.into_iter().map(full_host).collect(),
            customers: None,
        }
    }
}

fn base_service(service: &Service) -> Option<BaseService> {
    (service.cold == ColdLimit::default()).then(|| BaseService {
        name: service.name.clone(),
        health_path: Arc::clone(&service.health_path),
        max_connections: service.max_connections,
        protocol: Arc::clone(&service.protocol),
        tls: service.tls,
    })
}

fn full_service(base: BaseService) -> Service {
    Service {
        name: base.name,
        health_path: base.health_path,
        max_connections: base.max_connections,
        protocol: base.protocol,
        tls: base.tls,
        cold: ColdLimit::default(),
    }
}

fn base_host(host: &VirtualHost) -> Option<BaseHost> {
    let routes: Option<Vec<_>> = host.routes.iter().map(base_route).collect();
    Some(BaseHost {
        host: Arc::clone(&host.host),
        routes: routes?,
    })
}

fn full_host(base: BaseHost) -> VirtualHost {
    VirtualHost {
        host: base.host,
        routes: base.routes.into_iter().map(full_route).collect(),
    }
}

fn base_route(route: &Route) -> Option<BaseRoute> {
    (!route.is_public).then(|| BaseRoute {
        name: Arc::clone(&route.name),
        path_prefix: Arc::clone(&route.path_prefix),
        idempotent: route.idempotent,
        timeout_ms: route.timeout_ms,
        latency_target_ms: route.latency_target_ms,
        rank: route.rank,
        attempts: route.attempts,
        destination: route.destination.clone(),
    })
}

fn full_route(base: BaseRoute) -> Route {
    Route {
        name: base.name,
        path_prefix: base.path_prefix,
        idempotent: base.idempotent,
        timeout_ms: base.timeout_ms,
        latency_target_ms: base.latency_target_ms,
        rank: base.rank,
        attempts: base.attempts,
        is_public: false,
        destination: base.destination,
    }
}
