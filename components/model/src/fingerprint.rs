//! Hashes that identify equal requests.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Bytes of a fingerprint that are printed; enough to find the same request in several logs.
const PRINTED_BYTES: usize = 6;

/// Hash of a request, over its service, method, target, body and the headers that change its
/// meaning; requests with equal hashes count as the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..PRINTED_BYTES]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
