//! Errors of the store. Their messages tell the operator what to do.

use errors::ErrorKind;
use snafu::Snafu;
use std::{io, path::PathBuf};

/// Error of a store operation. Data whose write failed must not be acknowledged.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// Another process uses the directory.
    #[snafu(display(
        "the data directory {} is in use by another process; stop that process or set another \
         directory",
        path.display()
    ))]
    Locked {
        /// The data directory.
        path: PathBuf,
    },
    /// The disk has no space left; the write may be repeated once it has.
    #[snafu(display(
        "no space is left for {}; free space on that disk, then writing continues automatically",
        path.display()
    ))]
    Full {
        /// File that was written.
        path: PathBuf,
    },
    /// A file is damaged in a way that a crash can't explain.
    #[snafu(display(
        "{} is damaged at offset {offset}: {reason}; move the data directory {} away and restart: \
         the replica then joins again with a new identity and copies its state from the others",
        path.display(),
        path.parent().unwrap_or(path).display()
    ))]
    Damaged {
        /// Path of the file with the damaged record.
        path: PathBuf,
        /// Offset of the damaged record.
        offset: u64,
        /// Description of the damage.
        reason: String,
    },
    /// A file operation failed, so that the content of the disk is uncertain.
    #[snafu(display(
        "{operation} failed for {}: {source}; check the disk and restart the process, which reads \
         the files again",
        path.display()
    ))]
    Io {
        /// What the store was doing, such as `opening the directory`.
        operation: &'static str,
        /// File or directory of the operation.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An earlier failure left the content of the disk uncertain.
    #[snafu(display(
        "the data directory {} is closed after an earlier disk failure; check the disk and restart \
         the process, which reads the files again",
        path.display()
    ))]
    Closed {
        /// The data directory.
        path: PathBuf,
    },
}

impl StoreError {
    /// Kind under which this error is reported.
    pub fn kind(&self) -> ErrorKind {
        match self {
            StoreError::Full { .. } => ErrorKind::StorageFull,
            StoreError::Damaged { .. } => ErrorKind::StorageDamaged,
            StoreError::Locked { .. } | StoreError::Io { .. } | StoreError::Closed { .. } => {
                ErrorKind::Internal
            }
        }
    }

    /// Whether the same write may be repeated without opening the store again.
    pub fn is_retryable(&self) -> bool {
        matches!(self, StoreError::Full { .. })
    }
}

/// Whether the operating system reports that there is no space.
pub(crate) fn is_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    )
}
