//! Service times by profile, so that the expected time of a short call doesn't depend on long calls
//! to the same upstream.

use model::ProfileName;
use std::collections::HashMap;

/// Weight of one finished call in the average, as a divisor.
const WEIGHT_DIVISOR: u64 = 8;
/// Maximum number of profiles in the table; it is cleared when one more is added.
const MAX_PROFILES: usize = 512;

/// Average service time of the calls of each profile at one upstream.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    times_us: HashMap<ProfileName, u64>,
}

impl ServiceTimes {
    /// Records a call that ended with an answer.
    pub fn record(&mut self, profile: &ProfileName, service_us: u64) {
        if let Some(average_us) = self.times_us.get_mut(profile) {
            *average_us = (*average_us * (WEIGHT_DIVISOR - 1) + service_us) / WEIGHT_DIVISOR;
            return;
        }
        if self.times_us.len() >= MAX_PROFILES {
            self.times_us.clear();
        }
        self.times_us.insert(profile.clone(), service_us);
    }

    /// The average of a profile; 0 if none of its calls has ended yet.
    pub fn expected_us(&self, profile: &ProfileName) -> u64 {
        self.times_us.get(profile).copied().unwrap_or(0)
    }
}
