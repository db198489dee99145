//! Groups calls that were cut off at about the same time into one crash incident.

/// Calls that are cut off within this time after the first one belong to the same incident.
const INCIDENT_US: u64 = 200_000;

/// Incident that a call belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IncidentNumber {
    pub(crate) number: u64,
    /// Whether the call is the first one of the incident.
    pub(crate) is_new: bool,
}

/// The current crash incident of the local instance.
#[derive(Debug, Default)]
pub(crate) struct CrashIncidents {
    began_us: Option<u64>,
    number: u64,
}

impl CrashIncidents {
    /// The incident of a call that was started at `started_us` and cut off at `now_us`. A call that
    /// was started after an incident began ran in a later process, which may be back within
    /// milliseconds.
    pub(crate) fn incident_of(&mut self, now_us: u64, started_us: u64) -> IncidentNumber {
        let is_same = |began_us: u64| now_us < began_us + INCIDENT_US && started_us < began_us;
        let is_new = !self.began_us.is_some_and(is_same);
        if is_new {
            self.began_us = Some(now_us);
            self.number += 1;
        }
        IncidentNumber {
            number: self.number,
            is_new,
        }
    }
}
