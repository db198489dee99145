//! Formats of stored configurations.
//!
//! Encoded data has no field names, so a new field would make older data unreadable. Each addition
//! therefore has a format of its own, and a configuration is stored in the first one that holds it
//! without a change. Builds that know only earlier formats can read those that need no later one.

mod numbers;
mod parts;

use crate::document::Configuration;
use numbers::Stored;
use parts::{StoredColdLimit, StoredCustomer, StoredDocument};
use std::sync::Arc;

/// A configuration without customers, public routes and limits for cold instances.
pub type FirstFormat = StoredDocument<(), (), ()>;

/// A configuration whose weights are whole thousandths and whose other numbers have the usual
/// notation.
pub type SecondFormat = StoredDocument<StoredColdLimit, bool, Option<Vec<StoredCustomer>>>;

/// A configuration in the first format that holds it.
#[derive(Clone, Debug)]
pub enum StoredConfiguration {
    /// The first format.
    First(FirstFormat),
    /// The format with customers, public routes and limits for cold instances.
    Second(SecondFormat),
    /// The format with all numbers as they were submitted.
    Third(Arc<Configuration>),
}

impl StoredConfiguration {
    /// Chooses the format of the configuration.
    pub fn new(configuration: &Arc<Configuration>) -> Self {
        FirstFormat::store(configuration)
            .map(StoredConfiguration::First)
            .or_else(|| SecondFormat::store(configuration).map(StoredConfiguration::Second))
            .unwrap_or_else(|| StoredConfiguration::Third(Arc::clone(configuration)))
    }
}

impl From<FirstFormat> for Configuration {
    fn from(stored: FirstFormat) -> Self {
        stored.restore()
    }
}

impl From<SecondFormat> for Configuration {
    fn from(stored: SecondFormat) -> Self {
        stored.restore()
    }
}

impl SecondFormat {
    /// The configuration in the second format; `None` if that can't hold it.
    pub fn new(configuration: &Configuration) -> Option<Self> {
        Stored::store(configuration)
    }
}
