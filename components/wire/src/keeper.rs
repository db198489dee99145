//! Messages between entries and the keepers of idempotency keys.

use calls::{Claim, ClaimCopy, ClaimReply, KeyHash};
use serde::{Deserialize, Serialize};

/// What a keeper is asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperRequest {
    /// Claims a key for an attempt.
    Claim(Claim),
    /// Asks for claims, to warm up a restarted keeper.
    Copy {
        /// Where the last copy ended; absent for the first.
        from: Option<KeyHash>,
    },
}

/// What a keeper answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperReply {
    /// Reply to a claim.
    Claim(ClaimReply),
    /// Some claims, and where to go on.
    Copy(ClaimCopy),
}
