//! Log and snapshot files with checksums and recovery.
//!
//! One data directory holds `lock`, `state` (disk id and hard state), `snapshot` and log segments
//! `log-<sequence>`. `state` and `snapshot` are written to a new file and renamed; segments are
//! only appended to.

mod disk;
mod error;
mod record;
mod segments;
mod store;

pub use disk::{DataDirectory, Disk, DiskFile};
pub use error::StoreError;
pub use store::Store;
