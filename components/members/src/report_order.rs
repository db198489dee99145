//! Order of the reports that instances send to the node beside them.
//!
//! Reports may arrive late, also after their sender has ended or withdrawn. Start times and sequence
//! numbers identify late reports, but neither can be trusted alone: the time of day may have gone
//! back before an instance started, and another writer may send a number that no instance reaches.
//! A sender that keeps reporting while the newer one is silent is therefore current after a while.
//!
//! A withdrawal names an instance, but not its start. A start that was never heard of may have
//! withdrawn already, from this process or, before a restart, from its predecessor. Until late
//! reports can no longer arrive, such a start must have begun after the withdrawal, or show that it
//! is running.

use model::UpstreamName;
use std::collections::HashMap;

/// Most instances whose newest reports, or whose withdrawals, are kept.
const MAX_INSTANCES: usize = 256;
/// Reports in a row that make an apparently outdated sender current.
const OVERTAKE_REPORTS: u32 = 3;
/// Shortest time from the first to the last of these reports. Late reports of a sender that has
/// ended often come together.
const OVERTAKE_US: u64 = 2_500_000;

/// A point in time on the clocks of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Time on a monotonic clock in microseconds.
    pub now_us: u64,
    /// Time of day in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// What a report is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVerdict {
    /// The newest report of the instance; it is recorded.
    Current,
    /// Its sender may have withdrawn or ended. It counts only if the instance passes a health check
    /// now, and then has to be recorded with `ReportOrder::confirm`.
    Unconfirmed,
    /// Late, or of a sender that has withdrawn.
    Outdated,
}

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

/// Decides which reports are current.
#[derive(Debug)]
pub struct ReportOrder {
    newest: HashMap<InstanceStart, Newest>,
    candidate: Option<Candidate>,
    /// Instances that have withdrawn, each with the last time.
    withdrawn: HashMap<UpstreamName, Moment>,
    /// Start of this process.
    created: Moment,
    /// Longest delay of a report in microseconds.
    max_delay_us: u64,
}

impl ReportOrder {
    /// Creates the order of a process that starts now. Reports are taken to arrive within
    /// `max_delay_us` or not at all.
    pub fn new(created: Moment, max_delay_us: u64) -> Self {
        ReportOrder {
            newest: HashMap::new(),
            candidate: None,
            withdrawn: HashMap::new(),
            created,
            max_delay_us,
        }
    }

    /// Decides whether a report that arrives at `now_us` is current, and records it if so.
    pub fn assess(
        &mut self,
        now_us: u64,
        name: &UpstreamName,
        position: ReportPosition,
    ) -> ReportVerdict {
        let start = InstanceStart {
            name: name.clone(),
            started_ms: position.started_ms,
        };
        let held = self.newest.get(&start).copied();
        let verdict = match held {
            Some(held) if held.has_withdrawn => self.assess_withdrawn_start(now_us, name),
            Some(_) => ReportVerdict::Current,
            None => self.assess_unknown_start(now_us, &start),
        };
        if verdict == ReportVerdict::Outdated {
            return verdict;
        }
        if self.is_newest(held, position) {
            if verdict == ReportVerdict::Current {
                self.confirm(name, position);
            }
            return verdict;
        }
        match self.overtaking(now_us, &start, position.sequence) {
            ReportVerdict::Current if verdict == ReportVerdict::Current => {
                self.confirm(name, position);
                ReportVerdict::Current
            }
            ReportVerdict::Outdated => ReportVerdict::Outdated,
            _ => ReportVerdict::Unconfirmed,
        }
    }

    /// Records a report as current, after `assess` or after the health check that it asked for.
    pub fn confirm(&mut self, name: &UpstreamName, position: ReportPosition) {
        let ReportPosition {
            started_ms,
            sequence,
        } = position;
        let start = InstanceStart {
            name: name.clone(),
            started_ms,
        };
        let held = self.newest.get(&start).copied();
        let limit = if self.is_newest(held, position) {
            held.and_then(|held| held.limit)
        } else {
            self.mark_overtaken(started_ms);
            held.map(|held| held.sequence)
                .filter(|held_sequence| *held_sequence >= sequence)
        };
        self.candidate = None;
        self.record(start, sequence, limit);
    }

    /// Records that an instance has withdrawn: its reports no longer count until it starts again.
    pub fn withdraw(&mut self, now: Moment, name: &UpstreamName) {
        self.newest
            .iter_mut()
            .filter(|(start, _)| start.name == *name)
            .for_each(|(_, held)| held.has_withdrawn = true);
        let max_delay_us = self.max_delay_us;
        self.withdrawn
            .retain(|_, at| now.now_us.saturating_sub(at.now_us) < max_delay_us);
        if self.withdrawn.len() >= MAX_INSTANCES {
            self.drop_oldest_withdrawal();
        }
        self.withdrawn.insert(name.clone(), now);
    }

    fn drop_oldest_withdrawal(&mut self) {
        let oldest = self.withdrawn.iter().min_by_key(|(_, at)| at.now_us);
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.withdrawn.remove(&oldest);
        }
    }

    /// Whether a start whose instance has withdrawn is running all the same. A withdrawal may arrive
    /// late too, after the instance has started again under its name.
    fn assess_withdrawn_start(&self, now_us: u64, name: &UpstreamName) -> ReportVerdict {
        match self.recent_withdrawal(now_us, name) {
            Some(_) => ReportVerdict::Outdated,
            None => ReportVerdict::Unconfirmed,
        }
    }

    /// The last withdrawal of the name, if reports that were sent before it may still arrive.
    fn recent_withdrawal(&self, now_us: u64, name: &UpstreamName) -> Option<&Moment> {
        let withdrawal = self.withdrawn.get(name);
        withdrawal.filter(|at| self.is_recent(now_us, at))
    }

    fn is_recent(&self, now_us: u64, at: &Moment) -> bool {
        now_us.saturating_sub(at.now_us) < self.max_delay_us
    }

    /// Whether a start that was not heard of before may have withdrawn already.
    fn assess_unknown_start(&self, now_us: u64, start: &InstanceStart) -> ReportVerdict {
        match self.recent_withdrawal(now_us, &start.name) {
            Some(at) if start.started_ms <= at.unix_ms => return ReportVerdict::Outdated,
            // The time of day may have gone back since the start that has withdrawn.
            Some(_) => return ReportVerdict::Unconfirmed,
            None => {}
        }
        if self.is_recent(now_us, &self.created) && start.started_ms <= self.created.unix_ms {
            return ReportVerdict::Unconfirmed;
        }
        ReportVerdict::Current
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

    /// Counts a report of an apparently outdated sender, which is current from now on if it has
    /// reported for longer than reports are delayed. Before that, a few reports and a health check
    /// show it too.
    fn overtaking(&mut self, now_us: u64, start: &InstanceStart, sequence: u64) -> ReportVerdict {
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
            return ReportVerdict::Outdated;
        };
        if sequence <= candidate.sequence {
            return ReportVerdict::Outdated;
        }
        candidate.sequence = sequence;
        candidate.reports += 1;
        let reported_us = now_us.saturating_sub(candidate.first_us);
        if candidate.reports < OVERTAKE_REPORTS || reported_us < OVERTAKE_US {
            ReportVerdict::Outdated
        } else if reported_us < self.max_delay_us {
            ReportVerdict::Unconfirmed
        } else {
            ReportVerdict::Current
        }
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
