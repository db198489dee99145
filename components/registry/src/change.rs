//! Changes that operators submit, and the answers to them.

use crate::digest::{Digest, fnv128};
use config::Configuration;
use errors::ErrorKind;
use model::{Profile, ProfileName, Revision};
use serde::{Deserialize, Serialize};
use std::{error, fmt, sync::Arc};

/// Longest text of a change id in bytes.
const MAX_CHANGE_ID_BYTES: usize = 64;

/// Identifies one change over all its resends.
///
/// The 16-byte form bounds what a kept answer costs; other text is hashed to it.
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
    /// The id with this number, for callers that draw ids at random.
    pub fn from_u128(number: u128) -> Self {
        ChangeId(number.to_be_bytes())
    }

    /// Reads 32 hexadecimal digits (dashes allowed) as they are, and hashes any other text.
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

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Adds a profile under a name that is not live.
    Add(Profile),
    /// Replaces a live profile.
    Update(Profile),
    /// Retires a live profile; calls of its name use the successor.
    Retire {
        /// Profile to retire.
        name: ProfileName,
        /// Live profile that takes over its calls; required while upstreams use the name.
        successor: Option<ProfileName>,
    },
    /// Puts a whole configuration in effect if its version is the highest so far.
    Configure(Arc<Configuration>),
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
        }
    }
}

/// One change, as it travels in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Same for all resends of the change.
    pub change_id: ChangeId,
    /// For `Update` and `Retire`: revision that the profile must have. `Add` ignores it, because
    /// a live profile of that name refuses the change in any case.
    pub expect: Option<u64>,
    /// What to do.
    pub op: Op,
    /// Profile names in use by live upstreams; the leader fills in all of them for a `Retire`.
    pub in_use: Vec<ProfileName>,
}

impl Change {
    /// Fingerprint of what the operator asked for; `in_use` differs between resends.
    pub(crate) fn fingerprint(&self) -> u32 {
        let mut digest = Digest::new();
        match &self.op {
            Op::Add(profile) => digest.number(1).profile(profile),
            Op::Update(profile) => digest.number(2).profile(profile),
            Op::Retire { name, successor } => digest
                .number(3)
                .text(name.as_str())
                .text(successor.as_ref().map_or("", ProfileName::as_str)),
            // Resends carry the same version, and content under one version never changes.
            Op::Configure(configuration) => digest.number(4).number(configuration.version),
        };
        digest.number(self.expect.map_or(0, |revision| revision.wrapping_add(1)));
        digest.finish() as u32
    }
}

/// Answer to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeResult {
    /// The change is in effect from this revision on.
    Accepted {
        /// Revision of the whole configuration after the change; its number is also the new
        /// revision of the profile.
        revision: Revision,
    },
    /// The change had no effect.
    Rejected(ErrorKind, Arc<str>),
}
