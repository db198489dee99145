//! Requests that were in flight when upstreams crashed.

use crate::Fingerprint;
use serde::{Deserialize, Serialize};

/// One crash of one upstream, unique in the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IncidentId {
    /// Random number that the reporting owner draws at its start.
    pub origin: u64,
    /// Counter within the owner.
    pub number: u64,
}

/// What a node tells its peers about one request and one incident; under 64 bytes encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// The crash that it was in flight at.
    pub incident: IncidentId,
    /// Time since the crash; a duration, because nodes share no clock.
    pub age_ms: u32,
    /// Whether the request succeeded after the crash, so that the incident does not count.
    pub cleared: bool,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run it as usual.
    Clear,
    /// Run it once, without retries or hedges.
    Suspected,
    /// Refuse it as `CrashSuspect`.
    Refuse,
}

/// Limits of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectConfig {
    /// How long a request is suspected after one crash.
    pub suspect_ms: u64,
    /// How long a request is refused after the second crash, and one crash is remembered.
    pub quarantine_ms: u64,
    /// Most requests in the table.
    pub max_fingerprints: usize,
    /// Most reports that `reports` returns.
    pub max_reports: usize,
}

impl Default for SuspectConfig {
    fn default() -> Self {
        SuspectConfig {
            suspect_ms: 5_000,
            quarantine_ms: 60_000,
            max_fingerprints: 1_024,
            max_reports: 16,
        }
    }
}

/// Suspects known to one node.
#[derive(Debug)]
pub struct Suspects {
    config: SuspectConfig,
}

impl Suspects {
    /// An empty table.
    pub fn new(config: SuspectConfig) -> Self {
        Suspects { config }
    }

    /// Takes a crash of the local upstream and the requests that were running on it.
    pub fn crashed(&mut self, _now_us: u64, _incident: IncidentId, _prints: &[Fingerprint]) {}

    /// Clears a request that got a complete answer.
    pub fn answered(&mut self, _now_us: u64, _fingerprint: &Fingerprint) {}

    /// What to do with a request.
    pub fn verdict(&mut self, _now_us: u64, _fingerprint: &Fingerprint) -> Verdict {
        Verdict::Clear
    }

    /// Takes a peer's report; returns whether it was news, to be passed on.
    pub fn merge(&mut self, _now_us: u64, _report: &SuspectReport) -> bool {
        false
    }

    /// Reports for the peers, newest crash first, bounded in number.
    pub fn reports(&mut self, _now_us: u64) -> Vec<SuspectReport> {
        Vec::with_capacity(self.config.max_reports)
    }
}
