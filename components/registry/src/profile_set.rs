//! The profiles of one revision, on replicas and on nodes, and the deltas between revisions.

use crate::{change::ChangeId, digest::Digest};
use config::Configuration;
use model::{Profile, ProfileName, Revision};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// Whether a name is live or retired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// Calls of the name use this profile.
    Live(Profile),
    /// Calls of the name use the successor, if there is one.
    Retired {
        /// The retired name.
        name: ProfileName,
        /// Profile that takes over its calls.
        successor: Option<ProfileName>,
    },
}

/// One profile name with its history in brief.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the accepted change that made this record.
    pub revision: u64,
    /// Number of the accepted change that added the name; differs after retiring and adding again.
    pub generation: u64,
    /// Change that made this record; named to the loser of a conflict.
    pub changed_by: ChangeId,
    /// Live or retired.
    pub state: RecordState,
}

impl Record {
    /// Name that the record is for.
    pub fn name(&self) -> &ProfileName {
        match &self.state {
            RecordState::Live(profile) => &profile.name,
            RecordState::Retired { name, .. } => name,
        }
    }

    /// The profile, unless the name is retired.
    pub fn live_profile(&self) -> Option<&Profile> {
        match &self.state {
            RecordState::Live(profile) => Some(profile),
            RecordState::Retired { .. } => None,
        }
    }

    fn digest(&self) -> u64 {
        let mut digest = Digest::new();
        digest
            .number(self.revision)
            .number(self.generation)
            .bytes(self.changed_by.as_bytes());
        match &self.state {
            RecordState::Live(profile) => digest.number(1).profile(profile),
            RecordState::Retired { name, successor } => digest
                .number(2)
                .text(name.as_str())
                .text(successor.as_ref().map_or("", ProfileName::as_str)),
        };
        digest.finish()
    }
}

/// What a set must take in to reach a later revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision that the delta builds on; a full snapshot has none.
    pub base: Option<Revision>,
    /// Revision after the delta.
    pub to: Revision,
    /// Digest of the set after the delta.
    pub digest: u64,
    /// Changed records, or all of them in a full snapshot.
    pub records: Vec<Record>,
    /// Oldest revision number from which the receiver may itself make deltas.
    pub delta_floor: u64,
    /// The whole configuration in effect, if it is newer than `base`.
    pub configuration: Option<Arc<Configuration>>,
    /// Number of the accepted change that put the configuration in effect.
    pub configured_at: u64,
}

/// How a set compares with an announced revision and digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// The announced revision is newer; ask for a delta.
    Behind,
    /// Same revision, same content.
    Equal,
    /// The announced revision is older.
    Ahead,
    /// Same revision, other content; ask for a full snapshot.
    Diverged,
}

/// All profile records of one revision. The revision only grows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileSet {
    revision: Revision,
    records: BTreeMap<ProfileName, Record>,
    records_digest: u64,
    delta_floor: u64,
    configuration: Option<Arc<Configuration>>,
    /// Number of the accepted change that put the configuration in effect.
    configured_at: u64,
    #[serde(skip)]
    diverged: bool,
}

impl ProfileSet {
    /// Revision of the set.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The record of a name, live or retired.
    pub fn record(&self, name: &ProfileName) -> Option<&Record> {
        self.records.get(name)
    }

    /// All records in the order of their names.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// All live profiles in the order of their names.
    pub fn live_profiles(&self) -> impl Iterator<Item = &Profile> {
        self.records.values().filter_map(Record::live_profile)
    }

    /// The profile that calls of `name` use, following successors of retired names.
    ///
    /// A successor is live when it is named, so later retirements can't close a cycle.
    pub fn resolve(&self, name: &ProfileName) -> Option<&Profile> {
        self.chain(name).last()?.live_profile()
    }

    /// The whole configuration in effect, if an operator has submitted one.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Digest over the revision, all records and the version of the configuration.
    pub fn digest(&self) -> u64 {
        digest_at(
            self.revision,
            self.records_digest,
            version_of(self.configuration.as_ref()),
        )
    }

    /// Compares with a revision and digest announced by another process.
    pub fn compare(&self, revision: Revision, digest: u64) -> Comparison {
        match self.revision.cmp(&revision) {
            std::cmp::Ordering::Less => Comparison::Behind,
            std::cmp::Ordering::Greater => Comparison::Ahead,
            std::cmp::Ordering::Equal if self.digest() == digest => Comparison::Equal,
            std::cmp::Ordering::Equal => Comparison::Diverged,
        }
    }

    /// Whether the last delta did not lead to the announced digest; only a full snapshot helps.
    pub fn needs_full_delta(&self) -> bool {
        self.diverged
    }

    /// Marks the set as diverged, after `standing` found another digest at the same revision.
    pub fn mark_diverged(&mut self) {
        self.diverged = true;
    }

    /// What a set at `revision` needs to reach this one; a full snapshot if it is too far behind.
    pub fn delta_since(&self, revision: Revision) -> Delta {
        let other_history =
            revision.number == self.revision.number && revision.term != self.revision.term;
        if revision.number < self.delta_floor || revision.number == 0 || other_history {
            return self.full_delta();
        }
        let changed = |record: &&Record| record.revision > revision.number;
        let mut delta = self.delta(
            Some(revision),
            self.records.values().filter(changed).cloned().collect(),
        );
        if self.configured_at <= revision.number {
            delta.configuration = None;
        }
        delta
    }

    /// The whole set as one delta.
    pub fn full_delta(&self) -> Delta {
        self.delta(None, self.records.values().cloned().collect())
    }

    /// Takes in a delta if it moves the set forward without a gap and leads to its digest.
    pub fn apply(&mut self, delta: Delta) -> bool {
        match delta.base {
            None => self.apply_full(delta),
            Some(base) => self.apply_changes(base, delta),
        }
    }

    fn delta(&self, base: Option<Revision>, records: Vec<Record>) -> Delta {
        Delta {
            base,
            to: self.revision,
            digest: self.digest(),
            records,
            delta_floor: self.delta_floor,
            configuration: self.configuration.clone(),
            configured_at: self.configured_at,
        }
    }

    fn apply_full(&mut self, delta: Delta) -> bool {
        let repairs = self.diverged && delta.to == self.revision;
        if delta.to <= self.revision && !repairs {
            return false;
        }
        let sum = delta
            .records
            .iter()
            .fold(0u64, |sum, record| sum.wrapping_add(record.digest()));
        if digest_at(delta.to, sum, version_of(delta.configuration.as_ref())) != delta.digest {
            return false;
        }
        let named = |record: Record| (record.name().clone(), record);
        *self = ProfileSet {
            revision: delta.to,
            records: delta.records.into_iter().map(named).collect(),
            records_digest: sum,
            delta_floor: delta.delta_floor,
            configured_at: delta.configured_at,
            configuration: delta.configuration,
            diverged: false,
        };
        true
    }

    fn apply_changes(&mut self, base: Revision, delta: Delta) -> bool {
        if delta.to <= self.revision || self.revision < base || self.diverged {
            return false;
        }
        let own_number = self.revision.number;
        let mut sum = self.records_digest;
        let newer: Vec<Record> = delta
            .records
            .into_iter()
            .filter(|record| record.revision > own_number)
            .collect();
        for record in &newer {
            let old = self.records.get(record.name()).map_or(0, Record::digest);
            sum = sum.wrapping_sub(old).wrapping_add(record.digest());
        }
        let configuration = delta.configuration.as_ref().or(self.configuration.as_ref());
        if digest_at(delta.to, sum, version_of(configuration)) != delta.digest {
            self.diverged = true;
            return false;
        }
        if delta.configuration.is_some() {
            self.configuration = delta.configuration;
            self.configured_at = delta.configured_at;
        }
        for record in newer {
            self.records.insert(record.name().clone(), record);
        }
        self.records_digest = sum;
        self.revision = delta.to;
        self.delta_floor = delta.delta_floor;
        true
    }

    /// The record of a name, then of its successor, and so on.
    pub(crate) fn chain(&self, name: &ProfileName) -> impl Iterator<Item = &Record> {
        std::iter::successors(self.records.get(name), |record| match &record.state {
            RecordState::Live(_) => None,
            RecordState::Retired { successor, .. } => {
                successor.as_ref().and_then(|next| self.records.get(next))
            }
        })
    }

    pub(crate) fn put(&mut self, revision: Revision, record: Record) {
        self.revision = revision;
        let added = record.digest();
        let removed = self
            .records
            .insert(record.name().clone(), record)
            .map_or(0, |old| old.digest());
        self.records_digest = self
            .records_digest
            .wrapping_sub(removed)
            .wrapping_add(added);
    }

    /// Takes in a configuration if its version is the highest so far; tells whether it was.
    pub(crate) fn configure(
        &mut self,
        revision: Revision,
        configuration: &Arc<Configuration>,
    ) -> bool {
        let held = self.configuration.as_ref();
        if held.is_some_and(|held| held.version >= configuration.version) {
            return false;
        }
        self.revision = revision;
        self.configuration = Some(Arc::clone(configuration));
        self.configured_at = revision.number;
        true
    }

    /// Drops records; older sets then need a full snapshot, since no delta names dropped records.
    pub(crate) fn remove_all(&mut self, names: &[ProfileName]) {
        for name in names {
            if let Some(old) = self.records.remove(name) {
                self.records_digest = self.records_digest.wrapping_sub(old.digest());
            }
        }
        self.delta_floor = self.revision.number;
    }
}

fn version_of(configuration: Option<&Arc<Configuration>>) -> u64 {
    configuration.map_or(0, |held| held.version.wrapping_add(1))
}

fn digest_at(revision: Revision, records_digest: u64, version: u64) -> u64 {
    Digest::new()
        .number(revision.term)
        .number(revision.number)
        .number(records_digest)
        .number(version)
        .finish()
}
