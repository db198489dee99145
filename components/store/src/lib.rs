//! Durable storage of a control replica: log and snapshot files with checksums and recovery.
//!
//! A data directory contains `lock`, `state` (disk id and hard state), `snapshot` and the log
//! segments `log-<sequence>`. `state` and `snapshot` are replaced by writing a new file and
//! renaming it. Segments are only appended to, except that opening rewrites the last one.

mod disk;
mod error;
mod files;
mod record;
mod recovery;
mod segments;
mod store;

pub use disk::{DataDirectory, Disk, DiskFile};
pub use error::StoreError;
pub use store::Store;
