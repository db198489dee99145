//! Digests by which two nodes compare their tables, and the choice of the upstream of a trial. Both
//! use a hash that is the same in every build.

use crate::table::SuspectReport;
use model::{Fingerprint, UpstreamName};
use serde::{Deserialize, Serialize};

/// Parts of the table that are compared on their own.
pub(crate) const DIGEST_PARTS: usize = 16;
/// Hashes of the parts of a table. Two nodes that know the same incidents have the same digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u32; DIGEST_PARTS]);

impl Digest {
    /// Adds a report. The sum doesn't depend on the order of the reports, nor on their ages, which
    /// each node measures on its own.
    pub(crate) fn add(&mut self, report: &SuspectReport) {
        let SuspectReport {
            fingerprint,
            incident,
            state,
            ..
        } = report;
        let id = [incident.origin.to_le_bytes(), incident.number.to_le_bytes()].concat();
        let bytes = fingerprint.0.iter().chain(&id);
        let hash = fnv_step(
            bytes.fold(FNV_OFFSET, |hash, byte| fnv_step(hash, *byte)),
            *state as u8,
        );
        let part = &mut self.0[part_of(fingerprint)];
        *part = part.wrapping_add(hash);
    }

    /// Parts in which two digests differ.
    pub(crate) fn differing_parts(&self, other: &Digest) -> Parts {
        Parts(std::array::from_fn(|part| self.0[part] != other.0[part]))
    }
}

/// A choice of parts of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parts([bool; DIGEST_PARTS]);

impl Parts {
    /// The whole table.
    pub const ALL: Parts = Parts([true; DIGEST_PARTS]);

    /// Whether a request belongs to one of the parts.
    pub(crate) fn contain(&self, fingerprint: &Fingerprint) -> bool {
        self.0[part_of(fingerprint)]
    }
}

/// Start value and factor of the 32-bit FNV-1a hash, which is the same in every build.
const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

fn fnv_step(hash: u32, byte: u8) -> u32 {
    (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
}

/// The upstream at which a request is tried, the same one at each node that knows the same
/// upstreams; another one after each trial that has ended in a crash.
pub fn trial_upstream<'a>(
    fingerprint: &Fingerprint,
    trials: usize,
    names: impl Iterator<Item = &'a UpstreamName>,
) -> Option<&'a UpstreamName> {
    let rank = |name: &UpstreamName| {
        let trial = (trials as u64).to_le_bytes();
        let bytes = fingerprint.0.iter().chain(&trial);
        let bytes = bytes.chain(name.as_str().as_bytes());
        bytes.fold(FNV_OFFSET, |hash, byte| fnv_step(hash, *byte))
    };
    names.max_by_key(|name| (rank(name), *name))
}

/// Part of the table that holds a request.
fn part_of(fingerprint: &Fingerprint) -> usize {
    usize::from(fingerprint.0[0]) % DIGEST_PARTS
}
