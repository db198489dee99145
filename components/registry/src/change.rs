//! Changes that operators submit, and the answers to them.

use crate::{
    digest::{Digest, fnv128},
    holders::HolderUpdate,
    stored::StoredOp,
};
use config::Configuration;
use errors::ErrorKind;
use model::{AvailabilityZone, Profile, ProfileName, Revision};
use serde::{Deserialize, Serialize};
use std::{error, fmt, sync::Arc};

/// Maximum length of the text of a change id.
const MAX_CHANGE_ID_BYTES: usize = 64;

/// Id of a change, which is the same each time the change is resent.
///
/// Ids have 16 bytes, so that the size of kept answers is bounded; other text is hashed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeId([u8; 16]);

/// A change id that is empty, too long or not printable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeIdError {
    /// The rejected text.
    pub value: String,
}

impl fmt::Display for ChangeIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "change id {:?} is not allowed; use 1 to {MAX_CHANGE_ID_BYTES} printable ASCII characters",
            self.value
        )
    }
}

impl error::Error for ChangeIdError {}

impl ChangeId {
    /// The id with this number, for callers that use random ids.
    pub fn from_u128(number: u128) -> Self {
        ChangeId(number.to_be_bytes())
    }

    /// Parses the text of an id: 32 hexadecimal digits, with or without dashes, are the id itself;
    /// other text is hashed.
    pub fn parse(text: impl AsRef<str>) -> Result<Self, ChangeIdError> {
        let text = text.as_ref();
        let printable = text.bytes().all(|b| b.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_CHANGE_ID_BYTES || !printable {
            return Err(ChangeIdError {
                value: text.to_owned(),
            });
        }
        let digits: String = text.chars().filter(|c| *c != '-').collect();
        let all_hex = digits.bytes().all(|b| b.is_ascii_hexdigit());
        let number = match u128::from_str_radix(&digits, 16) {
            Ok(number) if digits.len() == 32 && all_hex => number,
            _ => fnv128(text.as_bytes()),
        };
        Ok(Self::from_u128(number))
    }

    /// The 16 bytes of the id.
    pub fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ChangeId({self})")
    }
}

/// What a change does to the profiles, the configuration or the zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredOp", into = "StoredOp")]
pub enum Op {
    /// Adds a profile. No live profile may have its name.
    Add(Profile),
    /// Replaces a live profile.
    Update(Profile),
    /// Retires a live profile; calls that use its name then use the successor's profile.
    Retire {
        /// Name of the live profile to retire.
        name: ProfileName,
        /// Live profile that takes over its calls; required while live upstreams use the name.
        successor: Option<ProfileName>,
    },
    /// Replaces the whole configuration if the new version is the highest so far.
    Configure(Arc<Configuration>),
    /// Evacuates an availability zone; no effect if it is evacuated already.
    Evacuate(AvailabilityZone),
    /// Ends the evacuation of an availability zone, if it is evacuated.
    Readmit(AvailabilityZone),
    /// Changes the record of the nodes that may hold shares of quotas. The leader submits it itself;
    /// the revision stays the same.
    RecordQuotaHolders(HolderUpdate),
}

impl fmt::Display for Op {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Op::Add(profile) => write!(f, "add profile {}", profile.name),
            Op::Update(profile) => write!(f, "update profile {}", profile.name),
            Op::Retire { name, .. } => write!(f, "retire profile {name}"),
            Op::Configure(configuration) => {
                write!(f, "configure version {}", configuration.version)
            }
            Op::Evacuate(zone) => write!(f, "evacuate zone {zone}"),
            Op::Readmit(zone) => write!(f, "readmit zone {zone}"),
            Op::RecordQuotaHolders(update) => write!(f, "record {update}"),
        }
    }
}

/// A change that an operator submits, as stored in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Id of the change, which resends share.
    pub change_id: ChangeId,
    /// For `Update` and `Retire`: revision that the profile must have. `Add` ignores it, because an
    /// existing live profile of that name leads to a rejection anyway.
    pub expect: Option<u64>,
    /// What the change does.
    pub op: Op,
    /// Profile names that live upstreams use. The leader fills in the complete list for a `Retire`.
    pub in_use: Vec<ProfileName>,
}

impl Change {
    /// Hash of the requested change, to detect another change with the same id. Leaves out
    /// `in_use`, which may differ between resends.
    pub(crate) fn fingerprint(&self) -> u32 {
        let mut digest = Digest::new();
        match &self.op {
            Op::Add(profile) => digest.add_number(1).add_profile(profile),
            Op::Update(profile) => digest.add_number(2).add_profile(profile),
            Op::Retire { name, successor } => digest
                .add_number(3)
                .add_text(name.as_str())
                .add_text(successor.as_ref().map_or("", ProfileName::as_str)),
            // Resends have the same version, and the content of a version never changes.
            Op::Configure(configuration) => digest.add_number(4).add_number(configuration.version),
            Op::Evacuate(zone) => digest.add_number(5).add_text(zone.as_str()),
            Op::Readmit(zone) => digest.add_number(6).add_text(zone.as_str()),
            // Each update has a new id and no kept answer.
            Op::RecordQuotaHolders(update) => digest.add_number(7).add_number(update.term),
        };
        digest.add_number(self.expect.map_or(0, |revision| revision.wrapping_add(1)));
        digest.finish() as u32
    }
}

/// Result of applying a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeResult {
    /// The change is in effect from `revision` on.
    Accepted {
        /// Revision of all profiles and the configuration after the change. Its number is also the
        /// new revision of the changed profile.
        revision: Revision,
    },
    /// The change had no effect, for this reason and with this detail for the operator.
    Rejected(ErrorKind, Arc<str>),
}
