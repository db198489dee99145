//! Names of services that had an upstream since the start of the process. A call to one that has none
//! at present, as between the stop and the restart of its only instance, can be sent again later; a
//! call to a service that was never heard of can't.

use model::ServiceName;
use std::collections::HashMap;

/// Maximum of services without upstreams whose names are kept.
const MAX_SERVICES: usize = 1_024;

/// Services that have lost their last upstream and have none now, with the number of that loss. Beyond
/// the maximum, the one that lost its last upstream first is removed.
#[derive(Debug, Default)]
pub(crate) struct KnownServices {
    losses: HashMap<ServiceName, u64>,
    next_loss: u64,
}

impl KnownServices {
    /// Records that a service has lost its last upstream.
    pub(crate) fn record_loss(&mut self, service: &ServiceName) {
        self.losses.insert(service.clone(), self.next_loss);
        self.next_loss += 1;
        if self.losses.len() > MAX_SERVICES {
            let oldest = self.losses.iter().min_by_key(|(_, loss)| **loss);
            if let Some(oldest) = oldest.map(|(service, _)| service.clone()) {
                self.losses.remove(&oldest);
            }
        }
    }

    /// Records that a service has an upstream again.
    pub(crate) fn record_return(&mut self, service: &ServiceName) {
        self.losses.remove(service);
    }

    /// Whether the service has lost its last upstream since the start and has none now.
    pub(crate) fn contains(&self, service: &ServiceName) -> bool {
        self.losses.contains_key(service)
    }
}
