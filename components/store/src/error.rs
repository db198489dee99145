//! Errors of the store, with what to do about each.

use errors::ErrorKind;
use snafu::Snafu;
use std::{io, path::PathBuf};

/// Why the store refused an operation. Nothing that failed may be acknowledged.
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
    /// No space is left; the write may be repeated once there is space.
    #[snafu(display(
        "no space is left for {}; free space on that disk, writing continues by itself",
        path.display()
    ))]
    Full {
        /// File that was written.
        path: PathBuf,
    },
    /// A file is damaged in a way that a crash does not cause.
    #[snafu(display(
        "{} is damaged at offset {offset}: {reason}; move the data directory {} away and restart: \
         the replica then joins again with a new identity and copies its state from the others",
        path.display(),
        path.parent().unwrap_or(path).display()
    ))]
    Damaged {
        /// The damaged file.
        path: PathBuf,
        /// Offset of the damaged record.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// The disk failed in a way that leaves its content uncertain.
    #[snafu(display(
        "{operation} failed for {}: {source}; check the disk and restart the process, which reads \
         the files again",
        path.display()
    ))]
    Io {
        /// What was done.
        operation: &'static str,
        /// File or directory.
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
    /// Row of the error table.
    pub fn kind(&self) -> ErrorKind {
        match self {
            StoreError::Full { .. } => ErrorKind::StorageFull,
            StoreError::Damaged { .. } => ErrorKind::StorageDamaged,
            StoreError::Locked { .. } | StoreError::Io { .. } | StoreError::Closed { .. } => {
                ErrorKind::Internal
            }
        }
    }

    /// Whether the same write may be tried again on the open store.
    pub fn is_retryable(&self) -> bool {
        matches!(self, StoreError::Full { .. })
    }
}

/// Whether an error of the operating system means that there is no space.
pub(crate) fn is_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    )
}
