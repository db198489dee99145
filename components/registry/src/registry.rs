//! Applies changes in the order of the log.

use crate::{
    answers::Answers,
    change::{Change, ChangeId, ChangeResult, Op},
    profile_set::{Delta, ProfileSet, Record, RecordState},
};
use errors::ErrorKind;
use model::{FieldError, Profile, ProfileName, Revision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Retired names that are kept; beyond it the oldest half without live users is dropped at once,
/// because nodes behind a drop need a full snapshot.
pub const MAX_RETIRED: usize = 1_024;
/// Longest detail of a rejection that is kept, in bytes.
const MAX_DETAIL_BYTES: usize = 240;

type Rejection = (ErrorKind, String);

/// Profiles, their revisions and the answers to recent changes. A function of the log alone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    set: ProfileSet,
    answers: Answers,
}

impl Registry {
    /// The profiles at the latest revision.
    pub fn profiles(&self) -> &ProfileSet {
        &self.set
    }

    /// Revision of the last accepted change.
    pub fn revision(&self) -> Revision {
        self.set.revision()
    }

    /// What a node at `revision` needs to reach the latest one.
    pub fn delta_since(&self, revision: Revision) -> Delta {
        self.set.delta_since(revision)
    }

    /// Number of kept answers.
    pub fn kept_answer_count(&self) -> usize {
        self.answers.len()
    }

    /// The kept answer to a resend of `change`, if its id is known.
    pub fn kept_answer(&self, change: &Change) -> Option<ChangeResult> {
        let kept = self.answers.get(&change.change_id)?;
        if kept.fingerprint == change.fingerprint() {
            return Some(kept.applied.clone());
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

    /// Applies the log entry at `index`, proposed in `term`.
    pub fn apply(&mut self, term: u64, index: u64, change: &Change) -> ChangeResult {
        if let Some(answer) = self.kept_answer(change) {
            return answer;
        }
        let revision = Revision {
            term,
            number: self.set.revision().number + 1,
        };
        if let Op::Configure(configuration) = &change.op {
            if self.set.configure(revision, configuration) {
                return ChangeResult::Accepted { revision };
            }
            // Also an answer to resends and to versions that were overtaken.
            return ChangeResult::Accepted {
                revision: self.set.revision(),
            };
        }
        let applied = match self.decide(revision, change) {
            Ok(record) => {
                self.set.put(revision, record);
                self.drop_retired(change);
                ChangeResult::Accepted { revision }
            }
            Err((kind, detail)) => ChangeResult::Rejected(kind, shorten(detail).into()),
        };
        self.answers.keep(index, change, applied.clone());
        applied
    }

    fn decide(&self, revision: Revision, change: &Change) -> Result<Record, Rejection> {
        let record = |generation: u64, state: RecordState| Record {
            revision: revision.number,
            generation,
            changed_by: change.change_id,
            state,
        };
        match &change.op {
            Op::Add(profile) => {
                check(profile)?;
                self.check_absent(&profile.name)?;
                Ok(record(revision.number, RecordState::Live(profile.clone())))
            }
            Op::Update(profile) => {
                check(profile)?;
                let old = self.expect_live(&profile.name, change.expect)?;
                Ok(record(old.generation, RecordState::Live(profile.clone())))
            }
            Op::Retire { name, successor } => {
                let old = self.expect_live(name, change.expect)?;
                self.check_retirement(name, successor.as_ref(), &change.in_use)?;
                let state = RecordState::Retired {
                    name: name.clone(),
                    successor: successor.clone(),
                };
                Ok(record(old.generation, state))
            }
            Op::Configure(_) => Err((
                ErrorKind::Internal,
                "a configuration is no profile record".to_owned(),
            )),
        }
    }

    fn check_absent(&self, name: &ProfileName) -> Result<(), Rejection> {
        match self
            .set
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

    fn expect_live(&self, name: &ProfileName, expect: Option<u64>) -> Result<&Record, Rejection> {
        let Some(old) = self.set.record(name) else {
            let detail = format!("profile {name} does not exist; add it first");
            return Err((ErrorKind::UnknownProfile, detail));
        };
        if let Some(expected) = expect.filter(|revision| *revision != old.revision) {
            return Err((ErrorKind::Conflict, conflict(name, expected, old)));
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

    fn check_retirement(
        &self,
        name: &ProfileName,
        successor: Option<&ProfileName>,
        in_use: &[ProfileName],
    ) -> Result<(), Rejection> {
        if let Some(successor) = successor {
            let live = self.set.record(successor).and_then(Record::live_profile);
            if successor == name || live.is_none() {
                let detail = format!("successor {successor} of {name} is not another live profile");
                return Err((ErrorKind::UnknownProfile, detail));
            }
            return Ok(());
        }
        let uses = |used: &&ProfileName| {
            let last = self.set.chain(used).last();
            last.is_some_and(|record| record.name() == name)
        };
        match in_use.iter().find(uses) {
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

    fn drop_retired(&mut self, change: &Change) {
        if !matches!(change.op, Op::Retire { .. }) {
            return;
        }
        let mut retired: Vec<&Record> = self
            .set
            .records()
            .filter(|record| record.live_profile().is_none())
            .collect();
        if retired.len() <= MAX_RETIRED {
            return;
        }
        let needed: BTreeSet<&ProfileName> = change
            .in_use
            .iter()
            .flat_map(|used| self.set.chain(used).map(Record::name))
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
            self.set.remove_all(&dropped);
        }
    }

    /// Change that made the current record of a name.
    pub fn changed_by(&self, name: &ProfileName) -> Option<ChangeId> {
        self.set.record(name).map(|record| record.changed_by)
    }
}

fn check(profile: &Profile) -> Result<(), Rejection> {
    profile.check().map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(FieldError::to_string).collect();
        (ErrorKind::InvalidProfile, lines.join("; "))
    })
}

fn conflict(name: &ProfileName, expected: u64, current: &Record) -> String {
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

fn shorten(mut detail: String) -> String {
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
