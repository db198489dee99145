//! The profiles and the configuration at one revision, and the deltas between revisions.

use crate::{change::ChangeId, digest::Digest, holders::QuotaHolders, settings::GroupSettings};
use config::Configuration;
use model::{AvailabilityZone, Profile, ProfileName, Revision};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Whether a name is live or retired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// Calls that use the name use this profile.
    Live(Profile),
    /// Calls that use the name use the successor's profile, if there is one.
    Retired {
        /// Name that calls may still use.
        name: ProfileName,
        /// Profile that takes over its calls.
        successor: Option<ProfileName>,
    },
}

/// Current state of a profile name, and the changes that led to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the accepted change that created this record.
    pub revision: u64,
    /// Number of the accepted change that added the name. A name that is retired and added again
    /// has a new generation.
    pub generation: u64,
    /// Change that created this record; reported to operators whose changes conflict with it.
    pub changed_by: ChangeId,
    /// Whether the name is live or retired.
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
            .add_number(self.revision)
            .add_number(self.generation)
            .add_bytes(self.changed_by.as_bytes());
        match &self.state {
            RecordState::Live(profile) => digest.add_number(1).add_profile(profile),
            RecordState::Retired { name, successor } => digest
                .add_number(2)
                .add_text(name.as_str())
                .add_text(successor.as_ref().map_or("", ProfileName::as_str)),
        };
        digest.finish()
    }
}

/// Difference between two revisions, or the complete set, sent to processes that are behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision that the delta builds on; absent in a full delta.
    pub base: Option<Revision>,
    /// Revision of the set after the delta is applied.
    pub to: Revision,
    /// Digest of the set at `to`.
    pub digest: u64,
    /// Changed records; all records in a full delta.
    pub records: Vec<Record>,
    /// Lowest revision number for which the receiver may create deltas after applying this one.
    pub delta_floor: u64,
    /// Configuration and evacuated zones, if they are newer than `base`; the default otherwise.
    pub settings: GroupSettings,
    /// Number of the accepted change that created the settings.
    pub configured_at: u64,
}

impl Delta {
    /// The delta as nodes get it: with hashes in place of the customers' keys. The digest doesn't
    /// depend on the form of the keys.
    pub fn for_node(self) -> Self {
        Delta {
            settings: self.settings.with_hashed_keys(),
            ..self
        }
    }
}

/// Result of comparing a set with the revision and digest of another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// The other revision is newer; this set needs a delta.
    Behind,
    /// Same revision and same content.
    Equal,
    /// The other revision is older.
    Ahead,
    /// Same revision but different content; a full delta is needed.
    Diverged,
}

/// All profile records and the configuration at one revision. The revision never decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileSet {
    revision: Revision,
    records: BTreeMap<ProfileName, Record>,
    /// Wrapping sum of the digests of all records.
    records_digest: u64,
    /// Lowest revision number for which this set can create a delta; below it, records were
    /// dropped.
    delta_floor: u64,
    settings: GroupSettings,
    /// Number of the accepted change that created the settings.
    configured_at: u64,
    /// Whether the content is known to differ from that of the replicas at the same revision.
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

    /// The profile for calls that use `name`, following the successors of retired names.
    ///
    /// A successor must be live when it is set, so successors can't form a cycle.
    pub fn resolve(&self, name: &ProfileName) -> Option<&Profile> {
        self.successor_chain(name).last()?.live_profile()
    }

    /// The configuration in effect, if an operator has submitted one.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.settings.configuration.as_ref()
    }

    /// Availability zones whose upstreams get no calls.
    pub fn evacuated_zones(&self) -> &Arc<BTreeSet<AvailabilityZone>> {
        &self.settings.evacuated_zones
    }

    /// Nodes that may hold shares of quotas.
    pub(crate) fn quota_holders(&self) -> &Arc<QuotaHolders> {
        &self.settings.quota_holders
    }

    /// As [`ProfileSet::quota_holders`], to be changed; not a part of the revision.
    pub(crate) fn quota_holders_mut(&mut self) -> &mut QuotaHolders {
        Arc::make_mut(&mut self.settings.quota_holders)
    }

    /// Digest over the revision, all records, the version of the configuration and the evacuated
    /// zones.
    pub fn digest(&self) -> u64 {
        digest_at(
            self.revision,
            self.records_digest,
            self.settings.digest_number(),
        )
    }

    /// Compares this set with the revision and digest of another process.
    pub fn compare(&self, revision: Revision, digest: u64) -> Comparison {
        match self.revision.cmp(&revision) {
            std::cmp::Ordering::Less => Comparison::Behind,
            std::cmp::Ordering::Greater => Comparison::Ahead,
            std::cmp::Ordering::Equal if self.digest() == digest => Comparison::Equal,
            std::cmp::Ordering::Equal => Comparison::Diverged,
        }
    }

    /// Whether the set has diverged: a delta did not lead to the expected digest, or another
    /// process has a different digest at the same revision. Only a full delta repairs it.
    pub fn needs_full_delta(&self) -> bool {
        self.diverged
    }

    /// Marks the set as diverged, after [`ProfileSet::compare`] found another digest at the same
    /// revision.
    pub fn mark_diverged(&mut self) {
        self.diverged = true;
    }

    /// The delta from `revision` to this set; a full delta if `revision` is too old or has another
    /// history.
    pub fn delta_since(&self, revision: Revision) -> Delta {
        let is_other_history =
            revision.number == self.revision.number && revision.term != self.revision.term;
        if revision.number < self.delta_floor || revision.number == 0 || is_other_history {
            return self.full_delta();
        }
        let changed = |record: &&Record| record.revision > revision.number;
        let mut delta = self.delta(
            Some(revision),
            self.records.values().filter(changed).cloned().collect(),
        );
        if self.configured_at <= revision.number {
            delta.settings = GroupSettings::default();
        }
        delta
    }

    /// The complete set as a delta.
    pub fn full_delta(&self) -> Delta {
        self.delta(None, self.records.values().cloned().collect())
    }

    /// Applies a delta if it leads to a later revision, leaves no gap and results in the expected
    /// digest. Returns whether it was applied.
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
            settings: self.settings.for_delta(),
            configured_at: self.configured_at,
        }
    }

    fn apply_full(&mut self, delta: Delta) -> bool {
        let is_repair = self.diverged && delta.to == self.revision;
        if delta.to <= self.revision && !is_repair {
            return false;
        }
        let sum = delta
            .records
            .iter()
            .fold(0u64, |sum, record| sum.wrapping_add(record.digest()));
        if digest_at(delta.to, sum, delta.settings.digest_number()) != delta.digest {
            return false;
        }
        let by_name = |record: Record| (record.name().clone(), record);
        *self = ProfileSet {
            revision: delta.to,
            records: delta.records.into_iter().map(by_name).collect(),
            records_digest: sum,
            delta_floor: delta.delta_floor,
            configured_at: delta.configured_at,
            settings: delta.settings,
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
        let newer_records: Vec<Record> = delta
            .records
            .into_iter()
            .filter(|record| record.revision > own_number)
            .collect();
        for record in &newer_records {
            let old = self.records.get(record.name()).map_or(0, Record::digest);
            sum = sum.wrapping_sub(old).wrapping_add(record.digest());
        }
        // Settings that are older than the base of the delta are not in it.
        let has_settings = delta.configured_at > base.number;
        let settings = if has_settings {
            &delta.settings
        } else {
            &self.settings
        };
        if digest_at(delta.to, sum, settings.digest_number()) != delta.digest {
            self.diverged = true;
            return false;
        }
        if has_settings {
            self.settings = delta.settings;
            self.configured_at = delta.configured_at;
        }
        for record in newer_records {
            self.records.insert(record.name().clone(), record);
        }
        self.records_digest = sum;
        self.revision = delta.to;
        self.delta_floor = delta.delta_floor;
        true
    }

    /// The record of a name, then of its successor, and so on.
    pub(crate) fn successor_chain(&self, name: &ProfileName) -> impl Iterator<Item = &Record> {
        std::iter::successors(self.records.get(name), |record| match &record.state {
            RecordState::Live(_) => None,
            RecordState::Retired { successor, .. } => {
                successor.as_ref().and_then(|next| self.records.get(next))
            }
        })
    }

    /// Adds or replaces a record and moves the set to `revision`.
    pub(crate) fn insert(&mut self, revision: Revision, record: Record) {
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

    /// Replaces the configuration if the new version is the highest so far. Returns whether it was.
    pub(crate) fn configure(
        &mut self,
        revision: Revision,
        configuration: &Arc<Configuration>,
    ) -> bool {
        let current = self.settings.configuration.as_ref();
        if current.is_some_and(|current| current.version >= configuration.version) {
            return false;
        }
        self.settings.configuration = Some(Arc::clone(configuration));
        self.mark_configured(revision);
        true
    }

    /// Evacuates a zone, or ends its evacuation. Returns whether that was a change.
    pub(crate) fn set_evacuated(
        &mut self,
        revision: Revision,
        zone: &AvailabilityZone,
        is_evacuated: bool,
    ) -> bool {
        let zones = &self.settings.evacuated_zones;
        if zones.contains(zone) == is_evacuated {
            return false;
        }
        let mut zones = BTreeSet::clone(zones);
        if is_evacuated {
            zones.insert(zone.clone());
        } else {
            zones.remove(zone);
        }
        self.settings.evacuated_zones = Arc::new(zones);
        self.mark_configured(revision);
        true
    }

    fn mark_configured(&mut self, revision: Revision) {
        self.revision = revision;
        self.configured_at = revision.number;
    }

    /// Drops records. Sets at older revisions then need a full delta, since deltas don't list
    /// dropped records.
    pub(crate) fn remove_records(&mut self, names: &[ProfileName]) {
        for name in names {
            if let Some(old) = self.records.remove(name) {
                self.records_digest = self.records_digest.wrapping_sub(old.digest());
            }
        }
        self.delta_floor = self.revision.number;
    }
}

fn digest_at(revision: Revision, records_digest: u64, settings: u64) -> u64 {
    Digest::new()
        .add_number(revision.term)
        .add_number(revision.number)
        .add_number(records_digest)
        .add_number(settings)
        .finish()
}
