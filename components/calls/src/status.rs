//! Status of an attempt, and the hashes that identify requests and idempotency keys.

use errors::ErrorKind;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Hash of service and idempotency key.
pub type KeyHash = [u8; 16];

/// What an owner knows of an attempt; its reply to a status query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// The attempt has not started and this owner will never start it.
    NotStarted,
    /// The attempt is queued or running.
    Running,
    /// The upstream answered; holds the complete answer.
    Answered(Arc<[u8]>),
    /// The attempt may have run and ended without an answer.
    Failed(ErrorKind),
    /// The attempt may have run; the owner has dropped its record or has restarted.
    Forgotten,
}
