//! Numbering of the customers, by which messages name them in one or two bytes.

use std::{collections::HashMap, sync::Arc};

const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;
/// Separates names in the digest; names don't contain it.
const SEPARATOR: u8 = 0xff;

/// Short digest of a list. Two lists are compared only while a new one spreads.
pub type ListDigest = [u8; 3];

/// The sorted names of all customers of a configuration. Two processes with the same digest number
/// them alike.
#[derive(Clone, Debug, Default)]
pub struct CustomerList {
    names: Vec<Arc<str>>,
    index: HashMap<Arc<str>, u32>,
    digest: ListDigest,
}

impl CustomerList {
    /// Numbers the names.
    pub fn new(names: impl IntoIterator<Item = Arc<str>>) -> Self {
        let mut names: Vec<Arc<str>> = names.into_iter().collect();
        names.sort_unstable();
        names.dedup();
        let mut digest = FNV_OFFSET;
        for byte in names
            .iter()
            .flat_map(|name| name.bytes().chain([SEPARATOR]))
        {
            digest = (digest ^ u32::from(byte)).wrapping_mul(FNV_PRIME);
        }
        let index = names.iter().cloned().zip(0..).collect();
        let [_, digest @ ..] = digest.to_be_bytes();
        CustomerList {
            names,
            index,
            digest,
        }
    }

    /// Digest of the names.
    pub fn digest(&self) -> ListDigest {
        self.digest
    }

    /// Number of a customer.
    pub fn number(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    /// Name of the customer with this number.
    pub fn name(&self, number: u32) -> Option<&Arc<str>> {
        self.names.get(usize::try_from(number).ok()?)
    }
}
