//! Names and content of the files that are replaced as a whole.

use consensus::{HardState, Snapshot};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

pub(crate) const STATE_FILE: &str = "state";
pub(crate) const STATE_MAGIC: &[u8; 8] = b"gyardst1";
pub(crate) const SNAPSHOT_FILE: &str = "snapshot";
pub(crate) const SNAPSHOT_MAGIC: &[u8; 8] = b"gyardsn1";

/// Content of the file `state`.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct StateFile {
    pub(crate) disk_id: u64,
    pub(crate) hard_state: HardState,
}

/// Content of the file `snapshot`.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SnapshotFile {
    /// Sequence number of the first segment that is still needed; earlier ones are removed.
    pub(crate) first_segment: u64,
    pub(crate) snapshot: Arc<Snapshot>,
}
