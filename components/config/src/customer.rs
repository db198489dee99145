//! Customers, the keys that their callers present, and their limits.

use crate::quantity::Quantity;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

/// A customer on whose behalf callers send calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name that upstreams get with each call.
    pub name: Arc<str>,
    /// Keys that its callers may present.
    pub keys: Vec<ApiKey>,
    /// Priority of its calls, which takes precedence over that of the route; the lowest rank goes
    /// first.
    pub rank: Option<u32>,
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

/// Hash under which nodes know a key.
pub fn hash_key(key: &[u8]) -> [u8; 32] {
    *blake3::hash(key).as_bytes()
}

impl Customer {
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
