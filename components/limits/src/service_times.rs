//! Service times by kind of call, so that a short call is not judged by the long ones beside it.

use model::ProfileName;
use std::collections::HashMap;

/// Weight of one finished call, as a divisor.
const WEIGHT_DIVISOR: u64 = 8;
/// Most kinds that are remembered.
const MAX_KINDS: usize = 512;

/// Average service time of each kind of call at one upstream.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    times_us: HashMap<ProfileName, u64>,
}

impl ServiceTimes {
    /// Takes in a call that ended with an answer.
    pub fn record(&mut self, kind: &ProfileName, service_us: u64) {
        if let Some(average_us) = self.times_us.get_mut(kind) {
            *average_us = (*average_us * (WEIGHT_DIVISOR - 1) + service_us) / WEIGHT_DIVISOR;
            return;
        }
        if self.times_us.len() >= MAX_KINDS {
            self.times_us.clear();
        }
        self.times_us.insert(kind.clone(), service_us);
    }

    /// The average of a kind; 0 if none has ended yet.
    pub fn expected_us(&self, kind: &ProfileName) -> u64 {
        self.times_us.get(kind).copied().unwrap_or(0)
    }
}
