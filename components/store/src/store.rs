//! Opens and writes a data directory.

use crate::{
    disk::{DataDirectory, Disk, DiskFile, LOCK_FILE},
    error::{StoreError, is_full},
    files::{SNAPSHOT_FILE, SNAPSHOT_MAGIC, STATE_FILE, STATE_MAGIC, SnapshotFile, StateFile},
    record,
    segments::{self, Damage, LOG_MAGIC},
};
use consensus::{Entry, HardState, RecoveredState, Snapshot, Write};
use serde::Serialize;
use std::{collections::VecDeque, io, path::Path, sync::Arc};

/// Size after which a new segment is started. Limits the covered entries that remain on disk after
/// a snapshot, since only whole segments are removed.
const SEGMENT_BYTES: u64 = 256 * 1024;

/// Suffix of a file that is being written.
pub(crate) const NEW_SUFFIX: &str = ".new";

#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentInfo {
    pub(crate) sequence: u64,
    /// Highest log index in the segment.
    pub(crate) max_index: u64,
}

/// The last segment, to which entries are appended.
pub(crate) struct OpenSegment {
    pub(crate) file: Box<dyn DiskFile>,
    /// Length of the file.
    pub(crate) bytes: u64,
}

/// The files of one replica. Writes are on the disk when the function returns.
pub struct Store {
    pub(crate) disk: Box<dyn Disk>,
    disk_id: u64,
    pub(crate) segments: VecDeque<SegmentInfo>,
    /// Absent until the first append and after a snapshot that covers all segments.
    pub(crate) tail: Option<OpenSegment>,
    pub(crate) next_sequence: u64,
    pub(crate) snapshot_index: u64,
    /// Set after a failure that leaves the content of the disk uncertain; all writes then fail.
    is_closed: bool,
}

impl Store {
    /// Opens a data directory, creating it if it does not exist.
    ///
    /// Opening rewrites the last segment, so it fails with [`StoreError::Full`] if there is no
    /// space left. The caller may then try again later.
    pub fn open(path: impl AsRef<Path>) -> Result<(Store, RecoveredState), StoreError> {
        let path = path.as_ref();
        let directory = DataDirectory::open(path).map_err(|source| match source.kind() {
            io::ErrorKind::WouldBlock => StoreError::Locked {
                path: path.to_owned(),
            },
            _ => StoreError::Io {
                operation: "opening the directory",
                path: path.to_owned(),
                source,
            },
        })?;
        Self::open_with_disk(Box::new(directory))
    }

    /// Opens a data directory with the given implementation of the file operations.
    pub fn open_with_disk(disk: Box<dyn Disk>) -> Result<(Store, RecoveredState), StoreError> {
        let mut store = Store {
            disk,
            disk_id: 0,
            segments: VecDeque::new(),
            tail: None,
            next_sequence: 1,
            snapshot_index: 0,
            is_closed: false,
        };
        let names = store.list_files()?;
        let has_data = names.iter().any(|name| name != LOCK_FILE);
        let state = if has_data {
            store.read_state(&names)?
        } else {
            store.create_state()?
        };
        store.disk_id = state.disk_id;
        let snapshot = store.read_snapshot(&names)?;
        let entries = store.read_segments(&names, snapshot.as_ref())?;
        // Directory entries that an earlier run created may not be on the disk yet.
        store.sync_directory()?;
        let recovered = RecoveredState {
            disk_id: state.disk_id,
            hard_state: state.hard_state,
            snapshot: snapshot.map(|file| file.snapshot),
            entries,
        };
        Ok((store, recovered))
    }

    /// Executes writes in order; consecutive appends share one fsync.
    ///
    /// After a retryable error, all of the writes may be passed again, and none of them may be
    /// confirmed until that succeeds.
    pub fn persist<'a>(
        &mut self,
        writes: impl IntoIterator<Item = &'a Write>,
    ) -> Result<(), StoreError> {
        let mut batch: Vec<&Entry> = Vec::new();
        for write in writes {
            match write {
                Write::Append(entries) => batch.extend(entries),
                Write::SaveHardState(hard_state) => {
                    self.append_entries(&std::mem::take(&mut batch))?;
                    self.save_hard_state(hard_state)?;
                }
                Write::SaveSnapshot {
                    snapshot,
                    discard_log,
                } => {
                    self.append_entries(&std::mem::take(&mut batch))?;
                    self.save_snapshot(snapshot, *discard_log)?;
                }
            }
        }
        self.append_entries(&batch)
    }

    /// Appends entries; earlier entries at or after the index of the first one become invalid.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StoreError> {
        self.append_entries(&entries.iter().collect::<Vec<_>>())
    }

    /// Replaces the saved term, vote and formation.
    pub fn save_hard_state(&mut self, hard_state: &HardState) -> Result<(), StoreError> {
        let state = StateFile {
            disk_id: self.disk_id,
            hard_state: hard_state.clone(),
        };
        self.write_record_file(STATE_FILE, STATE_MAGIC, &state)
    }

    /// Replaces the saved snapshot and removes the segments that it covers, or all segments if
    /// `discard_log` is set.
    pub fn save_snapshot(
        &mut self,
        snapshot: &Arc<Snapshot>,
        discard_log: bool,
    ) -> Result<(), StoreError> {
        let is_needed = |info: &&SegmentInfo| !discard_log && info.max_index > snapshot.index;
        let first_needed = self.segments.iter().find(is_needed);
        let first_segment = first_needed.map_or(self.next_sequence, |info| info.sequence);
        let file = SnapshotFile {
            first_segment,
            snapshot: snapshot.clone(),
        };
        self.write_record_file(SNAPSHOT_FILE, SNAPSHOT_MAGIC, &file)?;
        self.snapshot_index = snapshot.index;
        if are_all_segments_before(&self.segments, first_segment) {
            // The segment that is appended to is removed as well.
            self.tail = None;
        }
        while let Some(info) = self.segments.front().copied() {
            if info.sequence >= first_segment {
                break;
            }
            self.segments.pop_front();
            let name = segments::file_name(info.sequence);
            self.disk
                .remove(&name)
                .map_err(|source| self.io_error("removing a segment", &name, source))?;
        }
        Ok(())
    }

    // Writing

    fn append_entries(&mut self, entries: &[&Entry]) -> Result<(), StoreError> {
        if entries.is_empty() {
            return Ok(());
        }
        self.check_open()?;
        let bytes = self.encode_entries(&[], entries)?;
        if self
            .tail
            .as_ref()
            .is_none_or(|tail| tail.bytes >= SEGMENT_BYTES)
        {
            self.start_segment()?;
        }
        let Some(info) = self.segments.back().copied() else {
            return Err(self.closed_error());
        };
        let name = segments::file_name(info.sequence);
        self.append_bytes(&name, &bytes)?;
        if let Some(info) = self.segments.back_mut() {
            let last = entries.iter().map(|entry| entry.index).max().unwrap_or(0);
            info.max_index = info.max_index.max(last);
        }
        Ok(())
    }

    /// One record with the entries, after `start`.
    pub(crate) fn encode_entries(
        &self,
        start: &[u8],
        entries: &[&Entry],
    ) -> Result<Vec<u8>, StoreError> {
        let mut bytes = start.to_vec();
        record::encode(&mut bytes, &entries)
            .map_err(|error| self.io_error("encoding entries", "", io::Error::other(error)))?;
        Ok(bytes)
    }

    fn start_segment(&mut self) -> Result<(), StoreError> {
        let sequence = self.next_sequence;
        let name = segments::file_name(sequence);
        self.replace_file(&name, LOG_MAGIC)?;
        let file = self
            .disk
            .open(&name)
            .map_err(|source| self.close_after("opening a segment", &name, source))?;
        self.tail = Some(OpenSegment {
            file,
            bytes: LOG_MAGIC.len() as u64,
        });
        self.next_sequence = sequence + 1;
        self.segments.push_back(SegmentInfo {
            sequence,
            max_index: 0,
        });
        Ok(())
    }

    fn append_bytes(&mut self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let Some(tail) = &mut self.tail else {
            return Err(self.closed_error());
        };
        if let Err(source) = tail.file.append(bytes) {
            // Removes a partly written record, so that the next append follows complete records.
            let truncated = tail.file.truncate(tail.bytes);
            return match truncated {
                Ok(()) if is_full(&source) => Err(self.full_error(name)),
                _ => Err(self.close_after("writing", name, source)),
            };
        }
        if let Err(source) = tail.file.sync() {
            return Err(self.close_after("fsync", name, source));
        }
        tail.bytes += bytes.len() as u64;
        Ok(())
    }

    pub(crate) fn write_record_file(
        &mut self,
        name: &str,
        magic: &[u8; 8],
        value: &impl Serialize,
    ) -> Result<(), StoreError> {
        let mut bytes = magic.to_vec();
        record::encode(&mut bytes, value)
            .map_err(|error| self.io_error("encoding", name, io::Error::other(error)))?;
        self.replace_file(name, &bytes)
    }

    /// Replaces a file atomically: after a crash it has either the old or the new content.
    pub(crate) fn replace_file(&mut self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        self.check_open()?;
        let new_name = format!("{name}{NEW_SUFFIX}");
        if let Err(source) = self.write_new(&new_name, bytes) {
            // Frees the space. If that fails, the next start removes the file.
            let _ = self.disk.remove(&new_name);
            return Err(if is_full(&source) {
                self.full_error(name)
            } else {
                self.close_after("writing", name, source)
            });
        }
        self.disk
            .rename(&new_name, name)
            .map_err(|source| self.close_after("renaming", name, source))?;
        self.sync_directory()
    }

    fn write_new(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut file = self.disk.create(name)?;
        file.append(bytes)?;
        file.sync()
    }

    pub(crate) fn sync_directory(&mut self) -> Result<(), StoreError> {
        self.disk
            .sync_directory()
            .map_err(|source| self.close_after("fsync of the directory", "", source))
    }

    // Errors

    fn check_open(&self) -> Result<(), StoreError> {
        if self.is_closed {
            return Err(self.closed_error());
        }
        Ok(())
    }

    fn closed_error(&self) -> StoreError {
        StoreError::Closed {
            path: self.disk.path().to_owned(),
        }
    }

    fn full_error(&self, name: &str) -> StoreError {
        StoreError::Full {
            path: self.disk.path().join(name),
        }
    }

    pub(crate) fn io_error(
        &self,
        operation: &'static str,
        name: &str,
        source: io::Error,
    ) -> StoreError {
        StoreError::Io {
            operation,
            path: self.disk.path().join(name),
            source,
        }
    }

    /// Closes the store after a failure that leaves the content of the disk uncertain: all further
    /// writes fail.
    fn close_after(
        &mut self,
        operation: &'static str,
        name: &str,
        source: io::Error,
    ) -> StoreError {
        self.is_closed = true;
        self.io_error(operation, name, source)
    }

    pub(crate) fn damaged_error(&self, name: &str, damage: Damage) -> StoreError {
        StoreError::Damaged {
            path: self.disk.path().join(name),
            offset: damage.offset as u64,
            reason: damage.reason,
        }
    }
}

fn are_all_segments_before(segments: &VecDeque<SegmentInfo>, first_segment: u64) -> bool {
    segments.iter().all(|info| info.sequence < first_segment)
}
