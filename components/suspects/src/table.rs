//! Requests that were in flight when an upstream crashed, and so may have caused the crash.

use crate::digest::{Digest, Parts};
use model::Fingerprint;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// Identifier of one crash of one upstream, unique in the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IncidentId {
    /// Random number that the reporting owner draws at its start.
    pub origin: u64,
    /// Counter within the owner.
    pub number: u64,
}

/// What a node tells its peers about one request and one incident.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// The crash that it was in flight at.
    pub incident: IncidentId,
    /// Time since the crash; a duration because nodes share no clock.
    pub age_ms: u32,
    /// What is known of the incident.
    pub state: IncidentState,
    /// Whether the request ran as a trial, alone among all suspects.
    pub is_trial: bool,
}

/// What is known of an incident. States only move forward, so that reports merge in any order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum IncidentState {
    /// The upstream cut the request off; whether it ended is not known.
    Suspected,
    /// The upstream has ended.
    Confirmed,
    /// The upstream lived on, or the request was answered in another run; doesn't count.
    Cleared,
}

/// How a request is treated in view of the crashes that it was in flight at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run it with the usual retries and hedges.
    Clear,
    /// Run it once, without retries or hedges.
    Suspected,
    /// Run it at one upstream alone, to see whether it crashes that one too.
    Trial,
    /// Refuse it for now; it may be an ordinary request that was in flight at several crashes.
    Hold,
    /// Refuse it: it has crashed an upstream in a trial.
    Refuse,
}

impl Verdict {
    /// Whether the request must not be sent to any upstream now.
    pub fn is_refusal(self) -> bool {
        matches!(self, Verdict::Hold | Verdict::Refuse)
    }
}

/// The incidents of one request, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Crashes that it was in flight at and that count.
    pub crashes: usize,
    /// Those of them that happened in a trial.
    pub trials: usize,
    /// Incidents that don't count.
    pub cleared: usize,
    /// Age of the newest crash that counts.
    pub newest_age_ms: Option<u32>,
}

impl std::fmt::Display for Evidence {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Evidence {
            crashes,
            trials,
            cleared,
            ..
        } = self;
        write!(
            f,
            "{crashes} crashes ({trials} in trials), {cleared} cleared"
        )?;
        match self.newest_age_ms {
            Some(age_ms) => write!(f, ", the newest {age_ms} ms ago"),
            None => Ok(()),
        }
    }
}

/// Limits of [`CrashSuspects`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectConfig {
    /// How long a request is suspected after one crash.
    pub suspect_ms: u64,
    /// How long a crash counts.
    pub quarantine_ms: u64,
    /// How long a crash in a trial counts.
    pub trial_quarantine_ms: u64,
    /// Time from the newest crash to a trial, by the number of trials that have ended in a crash.
    pub hold_ms: [u64; 3],
    /// Maximum number of requests in the table.
    pub max_fingerprints: usize,
}

impl Default for SuspectConfig {
    fn default() -> Self {
        SuspectConfig {
            suspect_ms: 5_000,
            quarantine_ms: 60_000,
            trial_quarantine_ms: 600_000,
            // An ordinary request that was in flight at several crashes is back within 5 s. One that
            // crashes upstreams ends one more after 3 s, 15 s, and then every two minutes.
            hold_ms: [3_000, 15_000, 120_000],
            max_fingerprints: 1_024,
        }
    }
}

/// Maximum number of incidents kept per request; two are enough to refuse it.
const MAX_INCIDENTS: usize = 8;
/// Changes kept for `take_changes`; the oldest are left to the comparisons of digests.
const MAX_CHANGES: usize = 512;
/// Incidents that end within this time are left out of digests: nodes drop them at slightly
/// different moments.
const DIGEST_MARGIN_US: u64 = 3_000_000;

/// A crash that a request was in flight at.
#[derive(Clone, Copy, Debug)]
struct Incident {
    id: IncidentId,
    /// Until when it counts.
    ends_us: u64,
    state: IncidentState,
    is_trial: bool,
}

/// Requests that one node suspects of crashing upstreams. A request that was in flight at two
/// crashes is held back for a while and then tried at one upstream alone, so that it can't crash one
/// upstream after the other and an ordinary request is not refused for long. Reports merge in any
/// order and any number of times, because messages are lost, repeated and reordered.
#[derive(Debug)]
pub struct CrashSuspects {
    config: SuspectConfig,
    requests: HashMap<Fingerprint, Vec<Incident>>,
    /// Incidents that changed here and that nobody has been told of yet.
    changes: VecDeque<(Fingerprint, IncidentId)>,
}

impl CrashSuspects {
    /// An empty table.
    pub fn new(config: SuspectConfig) -> Self {
        CrashSuspects {
            config,
            requests: HashMap::new(),
            changes: VecDeque::new(),
        }
    }

    /// Records that the local upstream cut requests off, which it does when it crashes. A crash of
    /// the whole host must not be recorded: it is no evidence against the requests.
    pub fn record_crash(
        &mut self,
        now_us: u64,
        incident: IncidentId,
        fingerprints: &[Fingerprint],
    ) {
        for fingerprint in fingerprints {
            self.record(now_us, incident, *fingerprint, false);
        }
    }

    /// Records that the local upstream cut off a request in its trial.
    pub fn record_trial_crash(
        &mut self,
        now_us: u64,
        incident: IncidentId,
        fingerprint: &Fingerprint,
    ) {
        self.record(now_us, incident, *fingerprint, true);
    }

    fn record(
        &mut self,
        now_us: u64,
        incident: IncidentId,
        fingerprint: Fingerprint,
        is_trial: bool,
    ) {
        let report = SuspectReport {
            fingerprint,
            incident,
            age_ms: 0,
            state: IncidentState::Suspected,
            is_trial,
        };
        if self.merge(now_us, &report) {
            self.note_change(fingerprint, incident);
        }
    }

    /// Records that the local upstream has ended at an incident.
    pub fn confirm_crash(&mut self, incident: IncidentId) -> usize {
        self.set_state(IncidentState::Confirmed, |_, id| id == incident)
    }

    /// Records that the local upstream lived on after an incident, which then doesn't count for any
    /// request. Says nothing about incidents at other upstreams. Returns the number of requests.
    pub fn record_survival(&mut self, incident: IncidentId) -> usize {
        self.set_state(IncidentState::Cleared, |_, id| id == incident)
    }

    /// Clears a request that got a complete answer: one that crashes upstreams gets none. A frequent
    /// request that was in flight at unrelated crashes is cleared by its other runs. Returns the
    /// number of incidents that were cleared.
    pub fn record_success(&mut self, fingerprint: &Fingerprint) -> usize {
        if !self.requests.contains_key(fingerprint) {
            return 0;
        }
        self.set_state(IncidentState::Cleared, |request, _| request == fingerprint)
    }

    /// Moves the chosen incidents on to `state`; returns how many were not there yet.
    fn set_state(
        &mut self,
        state: IncidentState,
        is_chosen: impl Fn(&Fingerprint, IncidentId) -> bool,
    ) -> usize {
        let mut changed = Vec::new();
        for (fingerprint, incidents) in &mut self.requests {
            for incident in incidents {
                if incident.state < state && is_chosen(fingerprint, incident.id) {
                    incident.state = state;
                    changed.push((*fingerprint, incident.id));
                }
            }
        }
        for (fingerprint, incident) in &changed {
            self.note_change(*fingerprint, *incident);
        }
        changed.len()
    }

    /// What is known against a request.
    pub fn evidence(&self, now_us: u64, fingerprint: &Fingerprint) -> Evidence {
        let all = self.requests.get(fingerprint).map_or(0, Vec::len);
        let counted = || self.counted(now_us, fingerprint);
        Evidence {
            crashes: counted().count(),
            trials: counted().filter(|incident| incident.is_trial).count(),
            cleared: all - counted().count(),
            newest_age_ms: counted().map(|i| self.age_ms(now_us, i)).min(),
        }
    }

    /// Incidents that count against a request; none once the last of them has ended.
    fn counted(&self, now_us: u64, fingerprint: &Fingerprint) -> impl Iterator<Item = &Incident> {
        let incidents = self
            .requests
            .get(fingerprint)
            .map_or(&[][..], Vec::as_slice);
        let uncleared = |i: &&Incident| i.state < IncidentState::Cleared;
        let is_current = incidents
            .iter()
            .filter(uncleared)
            .any(|i| i.ends_us > now_us);
        incidents
            .iter()
            .filter(uncleared)
            .filter(move |_| is_current)
    }

    /// How a request is to be treated now.
    pub fn verdict(&self, now_us: u64, fingerprint: &Fingerprint) -> Verdict {
        let Evidence {
            crashes,
            trials,
            newest_age_ms: Some(age_ms),
            ..
        } = self.evidence(now_us, fingerprint)
        else {
            return Verdict::Clear;
        };
        let age_ms = u64::from(age_ms);
        if crashes == 1 && trials == 0 {
            return if age_ms < self.config.suspect_ms {
                Verdict::Suspected
            } else {
                Verdict::Clear
            };
        }
        let hold_ms = self.config.hold_ms;
        match (age_ms >= hold_ms[trials.min(hold_ms.len() - 1)], trials) {
            (true, _) => Verdict::Trial,
            (false, 0) => Verdict::Hold,
            (false, _) => Verdict::Refuse,
        }
    }

    /// Numbers of requests that are held back and that are refused now.
    pub fn blocked(&self, now_us: u64) -> (usize, usize) {
        let count = |verdict| {
            let requests = self.requests.keys();
            requests
                .filter(|request| self.verdict(now_us, request) == verdict)
                .count()
        };
        (count(Verdict::Hold), count(Verdict::Refuse))
    }

    /// Merges a peer's report; returns whether it changed the table and so must be passed on.
    pub fn merge(&mut self, now_us: u64, report: &SuspectReport) -> bool {
        self.purge(now_us);
        let age_us = u64::from(report.age_ms) * 1_000;
        let ends_us = (now_us + self.quarantine_us(report.is_trial)).saturating_sub(age_us);
        // An incident past its own quarantine counts only together with a later one.
        let is_known = self.requests.contains_key(&report.fingerprint);
        if !is_known && (ends_us <= now_us || !self.make_room(now_us)) {
            return false;
        }
        let incidents = self.requests.entry(report.fingerprint).or_default();
        if let Some(known) = incidents.iter_mut().find(|i| i.id == report.incident) {
            let has_changed = report.state > known.state;
            known.state = known.state.max(report.state);
            return has_changed;
        }
        incidents.push(Incident {
            id: report.incident,
            ends_us,
            state: report.state,
            is_trial: report.is_trial,
        });
        incidents.sort_by_key(|i| std::cmp::Reverse(i.ends_us));
        incidents.truncate(MAX_INCIDENTS);
        incidents.iter().any(|i| i.id == report.incident)
    }

    fn quarantine_us(&self, is_trial: bool) -> u64 {
        let quarantine_ms = if is_trial {
            self.config.trial_quarantine_ms
        } else {
            self.config.quarantine_ms
        };
        quarantine_ms * 1_000
    }

    /// Whether no request is suspected or was cleared lately.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Reports of what was recorded or cleared here since the last call.
    pub fn take_changes(&mut self, now_us: u64) -> Vec<SuspectReport> {
        let changes = std::mem::take(&mut self.changes);
        changes
            .into_iter()
            .filter_map(|(fingerprint, incident)| self.report(now_us, &fingerprint, incident))
            .collect()
    }

    /// Report of one incident as it is known now.
    pub fn report(
        &self,
        now_us: u64,
        fingerprint: &Fingerprint,
        incident: IncidentId,
    ) -> Option<SuspectReport> {
        let incidents = self.requests.get(fingerprint)?;
        let known = incidents.iter().find(|known| known.id == incident)?;
        Some(self.report_of(now_us, fingerprint, known))
    }

    /// Digest of the table, for the comparison with a peer.
    pub fn digest(&self, now_us: u64) -> Digest {
        let mut digest = Digest::default();
        for (fingerprint, incidents) in &self.requests {
            for incident in incidents {
                if incident.ends_us > now_us + DIGEST_MARGIN_US {
                    digest.add(&self.report_of(now_us, fingerprint, incident));
                }
            }
        }
        digest
    }

    /// Reports of all incidents in the given parts of the table.
    pub fn reports_of_parts(&self, now_us: u64, parts: Parts) -> Vec<SuspectReport> {
        let mut reports = Vec::new();
        for (fingerprint, incidents) in &self.requests {
            let is_current = incidents.iter().any(|incident| incident.ends_us > now_us);
            if is_current && parts.contain(fingerprint) {
                let of_request = incidents.iter();
                reports.extend(of_request.map(|i| self.report_of(now_us, fingerprint, i)));
            }
        }
        reports.sort_by_key(|report| (report.fingerprint, report.incident));
        reports
    }

    fn report_of(
        &self,
        now_us: u64,
        fingerprint: &Fingerprint,
        incident: &Incident,
    ) -> SuspectReport {
        SuspectReport {
            fingerprint: *fingerprint,
            incident: incident.id,
            age_ms: self.age_ms(now_us, incident),
            state: incident.state,
            is_trial: incident.is_trial,
        }
    }

    fn note_change(&mut self, fingerprint: Fingerprint, incident: IncidentId) {
        self.changes.push_back((fingerprint, incident));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Age of an incident, from the time until which it counts.
    fn age_ms(&self, now_us: u64, incident: &Incident) -> u32 {
        let latest_end_us = now_us + self.quarantine_us(incident.is_trial);
        u32::try_from(latest_end_us.saturating_sub(incident.ends_us) / 1_000).unwrap_or(u32::MAX)
    }

    /// Drops requests whose incidents are all past their quarantine.
    fn purge(&mut self, now_us: u64) {
        self.requests
            .retain(|_, incidents| incidents.iter().any(|i| i.ends_us > now_us));
    }

    /// Makes room for one request by evicting the one with the oldest crash; requests under
    /// quarantine stay. Returns false if all requests are under quarantine.
    fn make_room(&mut self, now_us: u64) -> bool {
        if self.requests.len() < self.config.max_fingerprints {
            return true;
        }
        let mut by_age: Vec<(u64, Fingerprint)> = self
            .requests
            .iter()
            .map(|(f, incidents)| (incidents.iter().map(|i| i.ends_us).max().unwrap_or(0), *f))
            .collect();
        by_age.sort_unstable();
        for (_, fingerprint) in by_age {
            if !self.is_quarantined(now_us, &fingerprint) {
                self.requests.remove(&fingerprint);
                return true;
            }
        }
        false
    }

    /// Whether a request is refused, or was until its trial is due.
    pub(crate) fn is_quarantined(&self, now_us: u64, fingerprint: &Fingerprint) -> bool {
        !matches!(
            self.verdict(now_us, fingerprint),
            Verdict::Clear | Verdict::Suspected
        )
    }
}
