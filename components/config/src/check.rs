//! The checks that a configuration must pass before it is accepted.

use crate::document::{Configuration, Destination, Route};
use model::{FieldError, ServiceName};
use std::collections::HashSet;

/// Longest timeout of a route, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;
/// A latency target that exceeds its route's timeout by this much must be a mistake, in
/// milliseconds.
const MAX_TARGET_EXCESS_MS: u64 = 60_000;

impl Configuration {
    /// Reports every field that is out of range or contradicts another.
    pub fn check(&self) -> Result<(), Vec<FieldError>> {
        let services: HashSet<&ServiceName> = self.services.iter().map(|s| &s.name).collect();
        let mut errors = Vec::new();
        for host in &self.hosts {
            for route in &host.routes {
                check_route(route, &services, |reason| {
                    errors.push(FieldError {
                        field: format!("{} {}", host.host, route.name),
                        reason,
                    });
                });
            }
        }
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }
}

fn check_route(route: &Route, services: &HashSet<&ServiceName>, mut report: impl FnMut(String)) {
    if !route.path_prefix.starts_with('/') {
        report(format!(
            "path prefix {:?} must start with '/'",
            route.path_prefix
        ));
    }
    if route.attempts == 0 {
        report("attempts must be at least 1".to_owned());
    }
    if route.timeout_ms > MAX_TIMEOUT_MS {
        report(format!(
            "timeout of {} ms is over {MAX_TIMEOUT_MS} ms",
            route.timeout_ms
        ));
    }
    if route.latency_target_ms >= route.timeout_ms.saturating_add(MAX_TARGET_EXCESS_MS) {
        report(format!(
            "latency target of {} ms is {MAX_TARGET_EXCESS_MS} ms or more above the timeout",
            route.latency_target_ms
        ));
    }
    for service in route.destination.services() {
        if !services.contains(service) {
            report(format!("service {service} is not in the list of services"));
        }
    }
    if let Destination::Split(parts) = &route.destination {
        if parts.is_empty() {
            report("a split needs at least one part".to_owned());
        }
        for part in parts.iter().filter(|part| part.weight.thousandths < 0) {
            report(format!("the weight of {} is below 0", part.service));
        }
    }
}
