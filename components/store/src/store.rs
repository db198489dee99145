//! Opens, recovers and writes a data directory.

use crate::{
    disk::{DataDirectory, Disk, DiskFile, LOCK_FILE},
    error::{StoreError, is_full},
    record::{self, ParsedRecord},
    segments::{self, Damage, LOG_MAGIC},
};
use consensus::{Entry, HardState, RecoveredState, Snapshot, Write};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    collections::VecDeque,
    hash::{BuildHasher, RandomState},
    io,
    path::Path,
    sync::Arc,
};

/// Size after which a new segment is started. Limits the covered entries that remain on disk after
/// a snapshot, since only whole segments are removed.
const SEGMENT_BYTES: u64 = 256 * 1024;
const STATE_FILE: &str = "state";
const STATE_MAGIC: &[u8; 8] = b"gyardst1";
const SNAPSHOT_FILE: &str = "snapshot";
const SNAPSHOT_MAGIC: &[u8; 8] = b"gyardsn1";
const NEW_SUFFIX: &str = ".new";

/// Content of the file `state`.
#[derive(Debug, Serialize, Deserialize)]
struct StateFile {
    disk_id: u64,
    hard_state: HardState,
}

/// Content of the file `snapshot`.
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotFile {
    /// Sequence number of the first segment that is still needed; earlier ones are removed.
    first_segment: u64,
    snapshot: Arc<Snapshot>,
}

#[derive(Clone, Copy, Debug)]
struct SegmentInfo {
    sequence: u64,
    /// Highest log index in the segment.
    max_index: u64,
}

/// The last segment, to which entries are appended.
struct OpenSegment {
    file: Box<dyn DiskFile>,
    /// Length of the file.
    bytes: u64,
}

/// The files of one replica. Writes are on the disk when the function returns.
pub struct Store {
    disk: Box<dyn Disk>,
    disk_id: u64,
    segments: VecDeque<SegmentInfo>,
    /// Absent until the first append and after a snapshot that covers all segments.
    tail: Option<OpenSegment>,
    next_sequence: u64,
    snapshot_index: u64,
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

    // Opening

    /// Lists the files after removing those that an interrupted write left incomplete.
    fn list_files(&mut self) -> Result<Vec<String>, StoreError> {
        let names = self
            .disk
            .list()
            .map_err(|source| self.io_error("listing the directory", "", source))?;
        let (unfinished, names): (Vec<String>, Vec<String>) = names
            .into_iter()
            .partition(|name| name.ends_with(NEW_SUFFIX));
        for name in unfinished {
            self.disk
                .remove(&name)
                .map_err(|source| self.io_error("removing an unfinished file", &name, source))?;
        }
        Ok(names)
    }

    fn create_state(&mut self) -> Result<StateFile, StoreError> {
        let state = StateFile {
            // The keys of `RandomState` come from the operating system's random number generator.
            disk_id: RandomState::new().hash_one(std::process::id()),
            hard_state: HardState::default(),
        };
        self.write_record_file(STATE_FILE, STATE_MAGIC, &state)?;
        Ok(state)
    }

    fn read_state(&self, names: &[String]) -> Result<StateFile, StoreError> {
        if !names.iter().any(|name| name == STATE_FILE) {
            let reason = "the file is missing although the directory holds a log".to_owned();
            return Err(self.damaged_error(STATE_FILE, Damage { offset: 0, reason }));
        }
        self.read_record_file(STATE_FILE, STATE_MAGIC)
    }

    fn read_snapshot(&mut self, names: &[String]) -> Result<Option<SnapshotFile>, StoreError> {
        if !names.iter().any(|name| name == SNAPSHOT_FILE) {
            return Ok(None);
        }
        let file: SnapshotFile = self.read_record_file(SNAPSHOT_FILE, SNAPSHOT_MAGIC)?;
        self.snapshot_index = file.snapshot.index;
        self.next_sequence = file.first_segment;
        Ok(Some(file))
    }

    fn read_segments(
        &mut self,
        names: &[String],
        snapshot: Option<&SnapshotFile>,
    ) -> Result<Vec<Entry>, StoreError> {
        let first_segment = snapshot.map_or(1, |file| file.first_segment);
        let mut sequences: Vec<u64> = names
            .iter()
            .filter_map(|n| segments::parse_file_name(n))
            .collect();
        sequences.sort_unstable();
        let (obsolete, kept): (Vec<u64>, Vec<u64>) = sequences
            .into_iter()
            .partition(|sequence| *sequence < first_segment);
        for sequence in obsolete {
            let name = segments::file_name(sequence);
            self.disk
                .remove(&name)
                .map_err(|source| self.io_error("removing a segment", &name, source))?;
        }
        let mut entries = Vec::new();
        for (position, sequence) in kept.iter().copied().enumerate() {
            let name = segments::file_name(sequence);
            if sequence != first_segment + position as u64 {
                let reason = "an earlier segment is missing".to_owned();
                return Err(self.damaged_error(&name, Damage { offset: 0, reason }));
            }
            let is_last = position + 1 == kept.len();
            self.read_segment(sequence, is_last, &mut entries)?;
        }
        Ok(entries)
    }

    fn read_segment(
        &mut self,
        sequence: u64,
        is_last: bool,
        entries: &mut Vec<Entry>,
    ) -> Result<(), StoreError> {
        let name = segments::file_name(sequence);
        let bytes = self.read_file(&name)?;
        let segment =
            segments::parse(&bytes, is_last).map_err(|damage| self.damaged_error(&name, damage))?;
        let content = if segment.is_former_format {
            self.encode_entries(LOG_MAGIC, &segment.entries.iter().collect::<Vec<_>>())?
        } else {
            bytes[..segment.valid_bytes].to_vec()
        };
        if segment.valid_bytes < bytes.len() {
            log::warn!(
                "store: {name} ends with an incomplete write, {} bytes are removed, last entry {}.",
                bytes.len() - segment.valid_bytes,
                segment.entries.last().map_or(0, |entry| entry.index)
            );
        }
        let mut max_index = 0;
        for entry in segment.entries {
            max_index = max_index.max(entry.index);
            insert_entry(entries, self.snapshot_index, entry)
                .map_err(|reason| self.damaged_error(&name, Damage { offset: 0, reason }))?;
        }
        self.segments.push_back(SegmentInfo {
            sequence,
            max_index,
        });
        self.next_sequence = sequence + 1;
        if is_last {
            self.rewrite_last_segment(&name, &content)?;
        }
        Ok(())
    }

    /// Rewrites the last segment without an incomplete record at its end.
    ///
    /// If an earlier run ended after a failed fsync, the bytes that were read may exist only in the
    /// page cache, and a later fsync would not write them. The bytes of a new file are written.
    fn rewrite_last_segment(&mut self, name: &str, valid: &[u8]) -> Result<(), StoreError> {
        let content = if valid.is_empty() { LOG_MAGIC } else { valid };
        self.replace_file(name, content)?;
        let file = self
            .disk
            .open(name)
            .map_err(|source| self.io_error("opening a segment", name, source))?;
        self.tail = Some(OpenSegment {
            file,
            bytes: content.len() as u64,
        });
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
    fn encode_entries(&self, start: &[u8], entries: &[&Entry]) -> Result<Vec<u8>, StoreError> {
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

    fn write_record_file(
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
    fn replace_file(&mut self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
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

    fn sync_directory(&mut self) -> Result<(), StoreError> {
        self.disk
            .sync_directory()
            .map_err(|source| self.close_after("fsync of the directory", "", source))
    }

    // Reading

    fn read_file(&self, name: &str) -> Result<Vec<u8>, StoreError> {
        self.disk
            .read(name)
            .map_err(|source| self.io_error("reading", name, source))
    }

    fn read_record_file<T: DeserializeOwned>(
        &self,
        name: &str,
        magic: &[u8; 8],
    ) -> Result<T, StoreError> {
        let bytes = self.read_file(name)?;
        let damage = |offset: usize, reason: &str| {
            let reason = reason.to_owned();
            self.damaged_error(name, Damage { offset, reason })
        };
        if !bytes.starts_with(magic) {
            return Err(damage(0, "the file header is wrong"));
        }
        match record::parse_at(&bytes, magic.len()) {
            ParsedRecord::Record(payload, end) if end == bytes.len() => record::decode(payload)
                .map_err(|_| damage(magic.len(), "the record has another format")),
            ParsedRecord::Record(_, end) => Err(damage(end, "bytes follow the record")),
            ParsedRecord::End | ParsedRecord::Torn => {
                Err(damage(magic.len(), "the record ends early"))
            }
            ParsedRecord::Damaged(reason) => Err(damage(magic.len(), reason)),
        }
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

    fn io_error(&self, operation: &'static str, name: &str, source: io::Error) -> StoreError {
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

    fn damaged_error(&self, name: &str, damage: Damage) -> StoreError {
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

/// Appends an entry to the recovered ones, after removing those at or after its index. Skips
/// entries that the snapshot covers.
fn insert_entry(entries: &mut Vec<Entry>, snapshot_index: u64, entry: Entry) -> Result<(), String> {
    let kept = entries.partition_point(|kept| kept.index < entry.index);
    entries.truncate(kept);
    let last = entries.last().map_or(snapshot_index, |last| last.index);
    if entry.index <= snapshot_index {
        return Ok(());
    }
    if entry.index != last + 1 {
        return Err(format!("entry {} follows entry {last}", entry.index));
    }
    entries.push(entry);
    Ok(())
}
