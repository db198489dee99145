//! Order of the reports that instances send to the node beside them.
//!
//! Reports may arrive late, also after their sender has ended or withdrawn. Start times and sequence
//! numbers identify late reports, but neither can be trusted alone: the time of day may have gone
//! back before an instance started, and another writer may send a number that no instance reaches.
//! A sender that keeps reporting while the newer one is silent is therefore current after a while.

use model::UpstreamName;
use std::collections::HashMap;

/// Most instances whose newest reports are kept.
const MAX_INSTANCES: usize = 256;
/// Reports in a row that make an apparently outdated sender current.
const OVERTAKE_REPORTS: u32 = 3;
/// Shortest time from the first to the last of these reports. It is longer than the delay within
/// which the late reports of a sender that has ended usually arrive, since those come together.
const OVERTAKE_US: u64 = 2_500_000;

/// Time after which a sender whose first report was held back is heard again if it is running.
/// Late reports of a sender that has ended arrive together.
const HELD_BACK_US: u64 = 1_000_000;
/// Number of the first report after an instance's start.
const FIRST_SEQUENCE: u64 = 1;

/// Position of a report among those of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportPosition {
    /// Start of the instance in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Number of the report since that start.
    pub sequence: u64,
}

/// One start of an instance; a restarted instance may keep its name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InstanceStart {
    name: UpstreamName,
    started_ms: u64,
}

impl InstanceStart {
    fn is_of(&self, name: &UpstreamName, started_ms: u64) -> bool {
        self.name == *name && self.started_ms == started_ms
    }
}

/// Newest report of one start.
#[derive(Clone, Copy, Debug)]
struct Newest {
    sequence: u64,
    /// Reports from this number on are outdated: another one overtook the report that had it.
    limit: Option<u64>,
    /// Whether the instance has withdrawn; none of its reports counts any more.
    has_withdrawn: bool,
    /// Whether an instance with an earlier start has become current since.
    is_overtaken: bool,
}

impl Newest {
    fn is_followed_by(&self, sequence: u64) -> bool {
        let is_below_limit = self.limit.is_none_or(|limit| sequence < limit);
        !self.is_overtaken && is_below_limit && sequence > self.sequence
    }
}

/// An apparently outdated sender that keeps reporting.
#[derive(Clone, Debug)]
struct Candidate {
    start: InstanceStart,
    sequence: u64,
    first_us: u64,
    reports: u32,
}

/// Decides which reports are current. Time is in microseconds on a monotonic clock.
#[derive(Debug, Default)]
pub struct ReportOrder {
    newest: HashMap<InstanceStart, Newest>,
    candidate: Option<Candidate>,
    /// Sender of the report that was held back, before any report was accepted.
    held_back: Option<Candidate>,
}

impl ReportOrder {
    /// Whether it must be checked that the sender of this report is running. This process has
    /// started after the instance, so the instance may have withdrawn from its predecessor.
    pub fn needs_check(&self, now_us: u64, name: &UpstreamName, position: ReportPosition) -> bool {
        if !self.newest.is_empty() || position.sequence <= FIRST_SEQUENCE {
            return false;
        }
        let reports_on = self.held_back.as_ref().is_some_and(|held| {
            held.start.is_of(name, position.started_ms)
                && position.sequence > held.sequence
                && now_us.saturating_sub(held.first_us) >= HELD_BACK_US
        });
        !reports_on
    }

    /// Holds a report back whose sender may have ended. If the sender reports again after a while,
    /// it is running.
    pub fn hold_back(&mut self, now_us: u64, name: &UpstreamName, position: ReportPosition) {
        let is_known = self
            .held_back
            .as_ref()
            .is_some_and(|held| held.start.is_of(name, position.started_ms));
        if is_known {
            return;
        }
        self.held_back = Some(Candidate {
            start: InstanceStart {
                name: name.clone(),
                started_ms: position.started_ms,
            },
            sequence: position.sequence,
            first_us: now_us,
            reports: 1,
        });
    }

    /// Whether the report is current, and records it if so.
    pub fn accept(&mut self, now_us: u64, name: &UpstreamName, position: ReportPosition) -> bool {
        let ReportPosition {
            started_ms,
            sequence,
        } = position;
        let start = InstanceStart {
            name: name.clone(),
            started_ms,
        };
        let held = self.newest.get(&start).copied();
        if held.is_some_and(|held| held.has_withdrawn) {
            return false;
        }
        let limit = if self.is_newest(held, position) {
            self.candidate = None;
            held.and_then(|held| held.limit)
        } else if self.overtakes(now_us, &start, sequence) {
            self.mark_overtaken(started_ms);
            held.map(|held| held.sequence)
                .filter(|held_sequence| *held_sequence >= sequence)
        } else {
            return false;
        };
        self.record(start, sequence, limit);
        true
    }

    /// Records that an instance has withdrawn: its reports no longer count until it starts again.
    pub fn withdraw(&mut self, name: &UpstreamName) {
        self.newest
            .iter_mut()
            .filter(|(start, _)| start.name == *name)
            .for_each(|(_, held)| held.has_withdrawn = true);
    }

    /// Whether the report follows the newest one of its start, and no other instance started later.
    fn is_newest(&self, held: Option<Newest>, position: ReportPosition) -> bool {
        let latest_start = self
            .newest
            .iter()
            .filter(|(_, held)| !held.is_overtaken)
            .map(|(start, _)| start.started_ms)
            .max();
        held.is_none_or(|held| held.is_followed_by(position.sequence))
            && latest_start.is_none_or(|latest| position.started_ms >= latest)
    }

    /// Counts a report of an apparently outdated sender; true if the sender is current from now on.
    fn overtakes(&mut self, now_us: u64, start: &InstanceStart, sequence: u64) -> bool {
        let continued = self
            .candidate
            .as_mut()
            .filter(|candidate| candidate.start == *start);
        let Some(candidate) = continued else {
            self.candidate = Some(Candidate {
                start: start.clone(),
                sequence,
                first_us: now_us,
                reports: 1,
            });
            return false;
        };
        if sequence <= candidate.sequence {
            return false;
        }
        candidate.sequence = sequence;
        candidate.reports += 1;
        let is_current = candidate.reports >= OVERTAKE_REPORTS
            && now_us.saturating_sub(candidate.first_us) >= OVERTAKE_US;
        if is_current {
            self.candidate = None;
        }
        is_current
    }

    /// Takes instances with later starts for outdated from now on, unless they keep reporting too.
    fn mark_overtaken(&mut self, started_ms: u64) {
        self.newest
            .iter_mut()
            .filter(|(start, _)| start.started_ms > started_ms)
            .for_each(|(_, held)| held.is_overtaken = true);
    }

    fn record(&mut self, start: InstanceStart, sequence: u64, limit: Option<u64>) {
        if self.newest.len() >= MAX_INSTANCES && !self.newest.contains_key(&start) {
            self.drop_oldest();
        }
        self.newest.insert(
            start,
            Newest {
                sequence,
                limit,
                has_withdrawn: false,
                is_overtaken: false,
            },
        );
    }

    /// Forgets the earliest start: the later ones show that its reports are outdated.
    fn drop_oldest(&mut self) {
        let oldest = self
            .newest
            .keys()
            .min_by_key(|start| start.started_ms)
            .cloned();
        if let Some(oldest) = oldest {
            self.newest.remove(&oldest);
        }
    }
}
