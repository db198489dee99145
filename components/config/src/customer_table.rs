//! Lookup of the customer that a key belongs to.

use crate::{customer::Customer, decimal::Decimal, quantity::Quantity, table::priority_of};
use model::Priority;
use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};
use subtle::ConstantTimeEq;

/// Bytes of a key's hash that select its bucket.
const BUCKET_BYTES: usize = 8;

/// Hashes of keys that begin with the same bytes, with the customers that have them.
type Bucket = Vec<([u8; 32], Arc<KnownCustomer>)>;

/// What a node needs to know of a customer when one of its callers sends a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownCustomer {
    /// Name that upstreams get with each call.
    pub name: Arc<str>,
    /// Rank of its calls in place of the route's, if it has one.
    pub rank: Option<Quantity>,
    /// Priority that follows from its rank.
    pub priority: Option<Priority>,
}

/// The customers of one configuration by the hashes of their keys.
///
/// Workload: up to 30,000 keys, one lookup for each call. A bucket is selected by a part of the hash,
/// whose distribution reveals nothing of the keys; the whole hash is compared in constant time.
#[derive(Debug, Default)]
pub struct CustomerTable {
    buckets: HashMap<[u8; BUCKET_BYTES], Bucket>,
}

impl CustomerTable {
    /// Builds the table; `ranks` are all ranks in use, from which priorities follow.
    pub(crate) fn new(customers: &[Customer], ranks: &BTreeSet<Decimal>) -> Self {
        let mut table = CustomerTable::default();
        for customer in customers {
            let known = Arc::new(KnownCustomer {
                name: Arc::clone(&customer.name),
                rank: customer.rank.clone(),
                priority: customer.rank.as_ref().map(|rank| priority_of(rank, ranks)),
            });
            for key in &customer.keys {
                let hash = key.hash();
                let bucket = table.buckets.entry(bucket_of(&hash)).or_default();
                bucket.push((hash, Arc::clone(&known)));
            }
        }
        table
    }

    /// The customer that has the key with this hash.
    pub fn find(&self, key_hash: &[u8; 32]) -> Option<&Arc<KnownCustomer>> {
        let bucket = self.buckets.get(&bucket_of(key_hash))?;
        bucket
            .iter()
            .find(|(hash, _)| bool::from(hash.ct_eq(key_hash)))
            .map(|(_, customer)| customer)
    }
}

fn bucket_of(hash: &[u8; 32]) -> [u8; BUCKET_BYTES] {
    std::array::from_fn(|index| hash[index])
}
