//! Customers, the keys that their callers present, and their limits.

use crate::quantity::Quantity;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

/// Largest rate and burst of a customer that quotas are calculated with, 2,000 times the calls of the
/// largest deployment. Quotas can't divide more than 5e8 calls per second: a share is a number of
/// eighths in 32 bits.
const MAX_CUSTOMER_AMOUNT: f64 = 1e9;

/// A customer on whose behalf callers send calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name that upstreams get with each call.
    pub name: Arc<str>,
    /// Keys that its callers may present.
    pub keys: Vec<ApiKey>,
    /// Priority of its calls, which takes precedence over that of the route; the lowest rank goes
    /// first.
    pub rank: Option<Quantity>,
    /// Calls per second over all nodes; no limit if absent or 0.
    pub rate_per_s: Option<Quantity>,
    /// Calls beyond the rate that may come at once.
    pub burst: Option<Quantity>,
}

/// A key of a customer. Its debug output doesn't contain the key.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ApiKey {
    /// The key as the operator submitted it; only control replicas have it.
    Plain(Arc<str>),
    /// BLAKE3 hash of the key, which nodes have.
    Hashed([u8; 32]),
}

impl ApiKey {
    /// Hash of the key.
    pub fn hash(&self) -> [u8; 32] {
        match self {
            ApiKey::Plain(key) => hash_key(key.as_bytes()),
            ApiKey::Hashed(hash) => *hash,
        }
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// An amount for calculations. No deployment has as many calls as the largest one allows.
fn amount(quantity: &Quantity) -> f64 {
    quantity.to_f64().min(MAX_CUSTOMER_AMOUNT)
}

/// Hash under which nodes know a key.
pub fn hash_key(key: &[u8]) -> [u8; 32] {
    *blake3::hash(key).as_bytes()
}

impl Customer {
    /// Calls per second that quotas are calculated with; `None` without a limit.
    pub fn limited_rate_per_s(&self) -> Option<f64> {
        let rate_per_s = amount(self.rate_per_s.as_ref()?);
        (rate_per_s > 0.0).then_some(rate_per_s)
    }

    /// Calls beyond the rate that quotas are calculated with.
    pub fn burst_calls(&self) -> f64 {
        self.burst.as_ref().map_or(0.0, amount)
    }

    /// The customer with hashes in place of its keys, as nodes get it.
    pub fn with_hashed_keys(&self) -> Self {
        Customer {
            keys: self
                .keys
                .iter()
                .map(|key| ApiKey::Hashed(key.hash()))
                .collect(),
            ..self.clone()
        }
    }
}
