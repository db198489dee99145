//! A whole configuration as an operator submits it.

use model::ServiceName;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Everything that operators set, under one version. The highest version is in effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version that the operator gave.
    pub version: u64,
    /// Services that routes may name.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Routes by host.
    pub hosts: Vec<VirtualHost>,
}

/// A service and how its instances are reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the instances' health check.
    pub health_path: Arc<str>,
    /// Connections that one instance accepts at once.
    pub max_connections: u32,
    /// Protocol that the instances speak, as the operator named it.
    pub protocol: Arc<str>,
    /// Whether the instances expect TLS.
    pub tls: bool,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Most bytes of a request head.
    pub max_head_bytes: u64,
    /// Most bytes of a request body.
    pub max_body_bytes: u64,
    /// Longest time for a whole request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time that a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// The routes of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VirtualHost {
    /// Host name as callers send it, without a port.
    pub host: Arc<str>,
    /// Routes; the longest matching prefix wins.
    pub routes: Vec<Route>,
}

/// How the calls below one path prefix are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Start of the paths that the route is for.
    pub path_prefix: Arc<str>,
    /// Whether running a call twice has the effect of running it once.
    pub idempotent: bool,
    /// Longest time that a call may wait for its answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is fully useful, in milliseconds.
    pub latency_target_ms: u64,
    /// Rank in queues; 0 goes first.
    pub rank: u32,
    /// Most instances that one call may be sent to.
    pub attempts: u16,
    /// Where the calls go.
    pub destination: Destination,
}

/// The service or services of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Destination {
    /// All calls go to one service.
    Service(ServiceName),
    /// Calls are divided by weight.
    Split(Vec<WeightedService>),
}

impl Destination {
    /// All services that calls may go to.
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
    /// Service that gets this part.
    pub service: ServiceName,
    /// Its weight.
    pub weight: Weight,
}

/// A weight in thousandths, so that fractions compare and add without rounding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Weight {
    /// Thousandths of one; negative values are refused by [`Configuration::check`].
    pub thousandths: i64,
}

impl Weight {
    /// A whole weight.
    pub fn whole(weight: i64) -> Self {
        Weight {
            thousandths: weight.saturating_mul(1_000),
        }
    }
}
