//! The replicated state machine: applies changes in log order.

use crate::{
    answers::Answers,
    change::{Change, ChangeId, ChangeResult, Op},
    holders::{HolderUpdate, QuotaHolders},
    profile_set::{Delta, ProfileSet, Record, RecordState},
};
use errors::ErrorKind;
use model::{FieldError, Profile, ProfileName, Revision};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, sync::Arc};

/// Maximum number of retired names. Beyond it the oldest half is dropped at once, except names that
/// live upstreams need. Drops are made rare because each makes nodes at older revisions fetch a
/// full delta.
pub const MAX_RETIRED: usize = 1_024;
/// Maximum length of the detail of a rejection.
const MAX_DETAIL_BYTES: usize = 240;

/// Reason of a rejection, and the detail for the operator.
type Rejection = (ErrorKind, String);

/// Profiles, their revisions and the answers to recent changes. The content depends only on the
/// log, so all replicas have the same content at the same log index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    profiles: ProfileSet,
    answers: Answers,
}

impl Registry {
    /// The profiles at the latest revision.
    pub fn profiles(&self) -> &ProfileSet {
        &self.profiles
    }

    /// Revision of the last accepted change.
    pub fn revision(&self) -> Revision {
        self.profiles.revision()
    }

    /// The delta that brings a node from `revision` to the latest one.
    pub fn delta_since(&self, revision: Revision) -> Delta {
        self.profiles.delta_since(revision)
    }

    /// Nodes that may hold shares of quotas.
    pub fn quota_holders(&self) -> &Arc<QuotaHolders> {
        self.profiles.quota_holders()
    }

    /// Number of kept answers.
    pub fn kept_answer_count(&self) -> usize {
        self.answers.len()
    }

    /// The kept answer to `change`, if a change with its id was applied before. If that was another
    /// change, the answer is a rejection.
    pub fn kept_answer(&self, change: &Change) -> Option<ChangeResult> {
        let kept = self.answers.get(&change.change_id)?;
        if kept.fingerprint == change.fingerprint() {
            return Some(kept.result.clone());
        }
        Some(ChangeResult::Rejected(
            ErrorKind::KeyReused,
            format!(
                "change id {} was used for another change; send this one with a new id",
                change.change_id
            )
            .into(),
        ))
    }

    /// Applies the change in the log entry at `index`, proposed in `term`.
    pub fn apply(&mut self, term: u64, index: u64, change: &Change) -> ChangeResult {
        if let Some(answer) = self.kept_answer(change) {
            return answer;
        }
        if let Op::RecordQuotaHolders(update) = &change.op {
            return self.record_holders(term, update);
        }
        let revision = Revision {
            term,
            number: self.profiles.revision().number + 1,
        };
        if self.apply_settings(revision, &change.op).is_some() {
            // Resends and outdated versions are accepted too, without effect.
            let result = ChangeResult::Accepted {
                revision: self.profiles.revision(),
            };
            if matches!(change.op, Op::Evacuate(_) | Op::Readmit(_)) {
                // A resent evacuation must not undo a readmission that came in between. A
                // configuration needs no kept answer, since its version shows that it is outdated.
                self.answers.keep(index, change, result.clone());
            }
            return result;
        }
        let result = match self.new_record(revision, change) {
            Ok(record) => {
                self.profiles.insert(revision, record);
                self.drop_retired(change);
                ChangeResult::Accepted { revision }
            }
            Err((kind, detail)) => ChangeResult::Rejected(kind, truncate_detail(detail).into()),
        };
        self.answers.keep(index, change, result.clone());
        result
    }

    /// Changes the record of the nodes that may hold shares. The revision stays, so that nodes have
    /// nothing to pull and their proofs of the newest revision remain valid.
    fn record_holders(&mut self, term: u64, update: &HolderUpdate) -> ChangeResult {
        if update.term != term {
            let detail = format!("the update is from term {}, not {term}", update.term);
            return ChangeResult::Rejected(ErrorKind::NotLeader, detail.into());
        }
        self.profiles.quota_holders_mut().update(update);
        ChangeResult::Accepted {
            revision: self.profiles.revision(),
        }
    }

    /// Applies a change of the configuration or of a zone; returns whether it had an effect, or
    /// `None` for a change of a profile.
    fn apply_settings(&mut self, revision: Revision, op: &Op) -> Option<bool> {
        match op {
            Op::Configure(configuration) => Some(self.profiles.configure(revision, configuration)),
            Op::Evacuate(zone) => Some(self.profiles.set_evacuated(revision, zone, true)),
            Op::Readmit(zone) => Some(self.profiles.set_evacuated(revision, zone, false)),
            Op::Add(_) | Op::Update(_) | Op::Retire { .. } | Op::RecordQuotaHolders(_) => None,
        }
    }

    /// Checks a change and returns the record that it creates.
    fn new_record(&self, revision: Revision, change: &Change) -> Result<Record, Rejection> {
        let record = |generation: u64, state: RecordState| Record {
            revision: revision.number,
            generation,
            changed_by: change.change_id,
            state,
        };
        match &change.op {
            Op::Add(profile) => {
                check_profile(profile)?;
                self.check_absent(&profile.name)?;
                Ok(record(revision.number, RecordState::Live(profile.clone())))
            }
            Op::Update(profile) => {
                check_profile(profile)?;
                let old = self.live_record(&profile.name, change.expect)?;
                Ok(record(old.generation, RecordState::Live(profile.clone())))
            }
            Op::Retire { name, successor } => {
                let old = self.live_record(name, change.expect)?;
                self.check_retirement(name, successor.as_ref(), &change.in_use)?;
                let state = RecordState::Retired {
                    name: name.clone(),
                    successor: successor.clone(),
                };
                Ok(record(old.generation, state))
            }
            Op::Configure(_) | Op::Evacuate(_) | Op::Readmit(_) | Op::RecordQuotaHolders(_) => {
                Err((
                    ErrorKind::Internal,
                    "the change has no profile record".to_owned(),
                ))
            }
        }
    }

    fn check_absent(&self, name: &ProfileName) -> Result<(), Rejection> {
        match self
            .profiles
            .record(name)
            .filter(|old| old.live_profile().is_some())
        {
            None => Ok(()),
            Some(old) => Err((
                ErrorKind::ProfileExists,
                format!(
                    "profile {name} exists at revision {}, made by change {}",
                    old.revision, old.changed_by
                ),
            )),
        }
    }

    /// The live record of a name, if it has the expected revision.
    fn live_record(&self, name: &ProfileName, expect: Option<u64>) -> Result<&Record, Rejection> {
        let Some(old) = self.profiles.record(name) else {
            let detail = format!("profile {name} does not exist; add it first");
            return Err((ErrorKind::UnknownProfile, detail));
        };
        if let Some(expected) = expect.filter(|revision| *revision != old.revision) {
            return Err((ErrorKind::Conflict, conflict_detail(name, expected, old)));
        }
        if old.live_profile().is_none() {
            let detail = format!(
                "profile {name} was retired at revision {}; add it again to use it",
                old.revision
            );
            return Err((ErrorKind::UnknownProfile, detail));
        }
        Ok(old)
    }

    /// Rejects a successor that is not another live profile, and a retirement without successor
    /// while live upstreams use the name or a retired name that leads to it.
    fn check_retirement(
        &self,
        name: &ProfileName,
        successor: Option<&ProfileName>,
        in_use: &[ProfileName],
    ) -> Result<(), Rejection> {
        if let Some(successor) = successor {
            let live = self
                .profiles
                .record(successor)
                .and_then(Record::live_profile);
            if successor == name || live.is_none() {
                let detail = format!("successor {successor} of {name} is not another live profile");
                return Err((ErrorKind::UnknownProfile, detail));
            }
            return Ok(());
        }
        let ends_at_name = |used: &&ProfileName| {
            let last = self.profiles.successor_chain(used).last();
            last.is_some_and(|record| record.name() == name)
        };
        match in_use.iter().find(ends_at_name) {
            None => Ok(()),
            Some(used) if used == name => Err((
                ErrorKind::ProfileInUse,
                format!("live upstreams use profile {name}; name a successor"),
            )),
            Some(used) => Err((
                ErrorKind::ProfileInUse,
                format!("live upstreams use {name} as successor of {used}; name a successor"),
            )),
        }
    }

    /// Drops old retired names if there are too many, except those that live upstreams need.
    fn drop_retired(&mut self, change: &Change) {
        if !matches!(change.op, Op::Retire { .. }) {
            return;
        }
        let mut retired: Vec<&Record> = self
            .profiles
            .records()
            .filter(|record| record.live_profile().is_none())
            .collect();
        if retired.len() <= MAX_RETIRED {
            return;
        }
        let needed: BTreeSet<&ProfileName> = change
            .in_use
            .iter()
            .flat_map(|used| self.profiles.successor_chain(used).map(Record::name))
            .collect();
        retired.sort_unstable_by_key(|record| record.revision);
        let dropped: Vec<ProfileName> = retired
            .iter()
            .take(MAX_RETIRED / 2)
            .map(|record| record.name())
            .filter(|name| !needed.contains(name))
            .cloned()
            .collect();
        if !dropped.is_empty() {
            self.profiles.remove_records(&dropped);
        }
    }

    /// Id of the change that created the current record of a name.
    pub fn changed_by(&self, name: &ProfileName) -> Option<ChangeId> {
        self.profiles.record(name).map(|record| record.changed_by)
    }
}

fn check_profile(profile: &Profile) -> Result<(), Rejection> {
    profile.check().map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(FieldError::to_string).collect();
        (ErrorKind::InvalidProfile, lines.join("; "))
    })
}

fn conflict_detail(name: &ProfileName, expected: u64, current: &Record) -> String {
    let verb = if current.live_profile().is_some() {
        "made"
    } else {
        "retired"
    };
    format!(
        "profile {name} is at revision {}, {verb} by change {}; this change expected revision {expected}",
        current.revision, current.changed_by
    )
}

fn truncate_detail(mut detail: String) -> String {
    if detail.len() > MAX_DETAIL_BYTES {
        let cut = (0..=MAX_DETAIL_BYTES)
            .rev()
            .find(|at| detail.is_char_boundary(*at))
            .unwrap_or(0);
        detail.truncate(cut);
        detail.push_str("...");
    }
    detail
}
