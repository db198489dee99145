//! What an owner knows of an attempt, and the identifiers shared by the other modules.

use errors::ErrorKind;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Hash of a request: service, method, target, body and the headers that change its meaning.
pub type Fingerprint = [u8; 16];

/// Hash of service and idempotency key.
pub type KeyHash = [u8; 16];

/// What an owner knows of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// The attempt has not started and this owner will never start it.
    NotStarted,
    /// The attempt is queued or running.
    Running,
    /// The upstream's complete answer.
    Answered(Arc<[u8]>),
    /// The attempt may have run and ended without an answer.
    Failed(ErrorKind),
    /// The attempt may have run; its record or the process that held it is gone.
    Forgotten,
}
