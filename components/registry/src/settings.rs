//! What operators set for the whole deployment beside the profiles.

use crate::{digest::Digest, holders::QuotaHolders, stored::StoredSettings};
use config::Configuration;
use model::AvailabilityZone;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, sync::Arc};

/// The configuration and the evacuated availability zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredSettings", into = "StoredSettings")]
pub struct GroupSettings {
    /// The configuration in effect, if an operator has submitted one.
    pub configuration: Option<Arc<Configuration>>,
    /// Availability zones whose upstreams get no calls.
    pub evacuated_zones: Arc<BTreeSet<AvailabilityZone>>,
    /// Nodes that may hold shares of quotas; kept by replicas only, in no digest and no delta.
    pub quota_holders: Arc<QuotaHolders>,
}

impl GroupSettings {
    /// The settings with hashes in place of the customers' keys, as nodes get them.
    pub fn with_hashed_keys(&self) -> Self {
        let hashed = |configuration: &Arc<Configuration>| match configuration.customers {
            Some(_) => Arc::new(configuration.with_hashed_keys()),
            None => Arc::clone(configuration),
        };
        GroupSettings {
            configuration: self.configuration.as_ref().map(hashed),
            evacuated_zones: Arc::clone(&self.evacuated_zones),
            quota_holders: Arc::default(),
        }
    }

    /// The settings as other processes get them.
    pub(crate) fn for_delta(&self) -> Self {
        GroupSettings {
            quota_holders: Arc::default(),
            ..self.clone()
        }
    }

    /// Number for the digest of a set: the configuration's version plus one, so that 0 means no
    /// configuration, mixed with the evacuated zones, if there are any.
    pub(crate) fn digest_number(&self) -> u64 {
        let version = self
            .configuration
            .as_ref()
            .map_or(0, |current| current.version.wrapping_add(1));
        if self.evacuated_zones.is_empty() {
            return version;
        }
        let mut digest = Digest::new();
        digest.add_number(version);
        for zone in self.evacuated_zones.iter() {
            digest.add_text(zone.as_str());
        }
        digest.finish()
    }
}
