//! Groups calls that were cut off at about the same time into one crash incident.

/// Calls that are cut off within this time after the first one belong to the same incident.
const INCIDENT_US: u64 = 200_000;

/// The current crash incident of the local instance.
#[derive(Debug, Default)]
pub(crate) struct CrashIncidents {
    started_us: Option<u64>,
    number: u64,
}

impl CrashIncidents {
    /// Number of the incident that a call cut off at `now_us` belongs to.
    pub(crate) fn incident_number(&mut self, now_us: u64) -> u64 {
        if self
            .started_us
            .is_none_or(|started_us| now_us >= started_us + INCIDENT_US)
        {
            self.started_us = Some(now_us);
            self.number += 1;
        }
        self.number
    }
}
