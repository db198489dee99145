//! The checks that a configuration must pass before it is accepted.

use crate::{
    customer::{ApiKey, Customer},
    decimal::Decimal,
    document::{Configuration, Destination, Route, Service},
};
use model::{FieldError, ServiceName};
use std::collections::HashSet;

/// Longest timeout of a route, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;
/// Most customers of a configuration.
const MAX_CUSTOMERS: usize = 10_000;
/// Most keys of all customers together.
const MAX_KEYS: usize = 30_000;
/// Longest name of a customer in bytes; it is sent with each call.
const MAX_CUSTOMER_NAME_BYTES: usize = 128;
/// Longest key in bytes.
const MAX_KEY_BYTES: usize = 1_024;
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
        for service in &self.services {
            check_cold_limit(service, &mut errors);
        }
        check_customers(self.customers.as_deref().unwrap_or_default(), &mut errors);
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
    if route.attempts.to_u64() == 0 {
        report("attempts must be at least 1".to_owned());
    }
    let (timeout_ms, target_ms) = (route.timeout_ms.value(), route.latency_target_ms.value());
    if timeout_ms > Decimal::from(MAX_TIMEOUT_MS) {
        report(format!(
            "timeout of {} ms is over {MAX_TIMEOUT_MS} ms",
            route.timeout_ms
        ));
    }
    if exceeds_by(&target_ms, &timeout_ms, MAX_TARGET_EXCESS_MS) {
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
        for part in parts {
            if part.weight.value().is_negative() {
                report(format!("the weight of {} is below 0", part.service));
            }
        }
    }
}

/// Whether a number is larger than another by `excess` or more. Neither is negative.
fn exceeds_by(number: &Decimal, other: &Decimal, excess: u64) -> bool {
    let limit = other.whole().saturating_add(excess);
    let order = number.whole().cmp(&limit);
    order
        .then_with(|| number.fraction().cmp(&other.fraction()))
        .is_ge()
}

fn check_cold_limit(service: &Service, errors: &mut Vec<FieldError>) {
    let amounts = [&service.cold.duration_s, &service.cold.calls_per_s];
    if amounts
        .into_iter()
        .flatten()
        .any(|amount| amount.value().is_negative())
    {
        errors.push(FieldError {
            field: format!("service {}", service.name),
            reason: "the limits of cold instances must be 0 or more".to_owned(),
        });
    }
}

/// Reports names and keys that can't be told apart or sent on, and amounts out of range. A reason
/// never contains a key.
fn check_customers(customers: &[Customer], errors: &mut Vec<FieldError>) {
    let mut report = |customer: &str, reason: String| {
        errors.push(FieldError {
            field: format!("customer {customer:?}"),
            reason,
        });
    };
    let key_count: usize = customers.iter().map(|customer| customer.keys.len()).sum();
    if customers.len() > MAX_CUSTOMERS || key_count > MAX_KEYS {
        let reason = format!(
            "{} customers with {key_count} keys are over the limit of {MAX_CUSTOMERS} with {MAX_KEYS}",
            customers.len()
        );
        report("", reason);
        return;
    }
    let mut names = HashSet::new();
    let mut keys = HashSet::new();
    for customer in customers {
        if !is_header_value(&customer.name) || customer.name.len() > MAX_CUSTOMER_NAME_BYTES {
            let reason =
                format!("a name must have 1 to {MAX_CUSTOMER_NAME_BYTES} visible ASCII characters");
            report(&customer.name, reason);
        }
        if !names.insert(&customer.name) {
            report(&customer.name, "the name is used twice".to_owned());
        }
        for key in &customer.keys {
            if !is_valid_key(key) {
                let reason =
                    format!("a key must have 1 to {MAX_KEY_BYTES} visible ASCII characters");
                report(&customer.name, reason);
            }
            if !keys.insert(key.hash()) {
                report(&customer.name, "one of its keys is used twice".to_owned());
            }
        }
        let amounts = [&customer.rate_per_s, &customer.burst];
        if amounts
            .into_iter()
            .flatten()
            .any(|amount| amount.value().is_negative())
        {
            report(
                &customer.name,
                "rate and burst must be 0 or more".to_owned(),
            );
        }
    }
}

fn is_valid_key(key: &ApiKey) -> bool {
    match key {
        ApiKey::Plain(text) => is_header_value(text) && text.len() <= MAX_KEY_BYTES,
        ApiKey::Hashed(_) => true,
    }
}

fn is_header_value(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}
