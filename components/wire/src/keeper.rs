//! Messages to the keepers of idempotency keys, from entries and from other keepers. A keeper is a
//! control replica in its role of storing claims; a claim assigns a key to one attempt.

use calls::{Claim, ClaimCopy, ClaimReply, KeyHash};
use serde::{Deserialize, Serialize};

/// Request of an entry, or of a restarted keeper, to a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperRequest {
    /// Claims a key for an attempt.
    Claim(Claim),
    /// Asks for a page of claims; sent by a restarted keeper.
    Copy {
        /// Where the previous page ended; absent for the first page.
        from: Option<KeyHash>,
    },
}

/// Reply to a [`KeeperRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperReply {
    /// Whether the key was granted, and who holds it if not.
    Claim(ClaimReply),
    /// A page of claims, and where the next page starts.
    Copy(ClaimCopy),
}
