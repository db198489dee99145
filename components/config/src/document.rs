//! A configuration as an operator submits it.

use crate::{customer::Customer, quantity::Quantity};
use model::ServiceName;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// All routes, services and limits that operators set, under one version. The highest version is in
/// effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version, set by the operator.
    pub version: u64,
    /// The version as the operator wrote it, where that isn't the usual notation.
    pub version_text: Option<Arc<str>>,
    /// Services that routes may name.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Routes by virtual host.
    pub hosts: Vec<VirtualHost>,
    /// Customers whose keys callers present. `None`: callers need no key.
    pub customers: Option<Vec<Customer>>,
}

/// A service and how its instances are reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name that routes refer to.
    pub name: ServiceName,
    /// Path of the instances' health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections that one instance accepts at once.
    pub max_connections: Quantity,
    /// Protocol that the instances speak, as named by the operator.
    pub protocol: Arc<str>,
    /// Whether the instances expect TLS.
    pub tls: bool,
    /// What its instances bear while they are cold.
    pub cold: ColdLimit,
}

/// Limit on the calls of a service's instances that are cold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// Time for which an instance is cold after its start.
    pub duration_s: Option<Quantity>,
    /// Calls per second that a cold instance can handle; no limit if absent.
    pub calls_per_s: Option<Quantity>,
}

/// Limits on what a caller may send, and on the time that it may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: Quantity,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: Quantity,
    /// Longest time until a request head is complete, in milliseconds.
    pub head_timeout_ms: Quantity,
    /// Longest time that a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: Quantity,
}

/// The routes for one host name in the `Host` header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VirtualHost {
    /// Host name as callers send it, without a port.
    pub host: Arc<str>,
    /// Routes; the one with the longest matching prefix applies.
    pub routes: Vec<Route>,
}

/// How the calls with one path prefix are routed and limited.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Prefix of the paths that the route applies to.
    pub path_prefix: Arc<str>,
    /// Whether running a call twice has the effect of running it once.
    pub idempotent: bool,
    /// Longest time that a call may wait for its answer, in milliseconds.
    pub timeout_ms: Quantity,
    /// Time within which an answer is fully useful, in milliseconds.
    pub latency_target_ms: Quantity,
    /// Priority in queues; the lowest rank goes first.
    pub rank: Quantity,
    /// Maximum number of instances that one call may be sent to.
    pub attempts: Quantity,
    /// Whether callers need no key of a customer.
    pub is_public: bool,
    /// Where the calls go.
    pub destination: Destination,
}

/// The service or services that the calls of a route go to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Destination {
    /// All calls go to one service.
    Service(ServiceName),
    /// Calls are divided among several services by weight.
    Split(Vec<WeightedService>),
}

impl Configuration {
    /// The configuration with hashes in place of the customers' keys, as nodes get it.
    pub fn with_hashed_keys(&self) -> Self {
        let customers = self.customers.as_ref();
        Configuration {
            customers: customers.map(|all| all.iter().map(Customer::with_hashed_keys).collect()),
            ..self.clone()
        }
    }
}

impl Destination {
    /// All services of the destination.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (single, parts) = match self {
            Destination::Service(service) => (Some(service), &[][..]),
            Destination::Split(parts) => (None, &parts[..]),
        };
        single
            .into_iter()
            .chain(parts.iter().map(|part| &part.service))
    }
}

/// One part of a split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service that this part of the calls goes to.
    pub service: ServiceName,
    /// Weight of its share of the calls.
    pub weight: Quantity,
}
