//! Opening, recovering and writing a data directory.

use crate::{
    disk::{DataDirectory, Disk, DiskFile, LOCK_FILE},
    error::{StoreError, is_full},
    record::{self, Found},
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

/// Size after which a new segment is started; bounds what a snapshot leaves behind.
const SEGMENT_BYTES: u64 = 256 * 1024;
const STATE_FILE: &str = "state";
const STATE_MAGIC: &[u8; 8] = b"gyardst1";
const SNAPSHOT_FILE: &str = "snapshot";
const SNAPSHOT_MAGIC: &[u8; 8] = b"gyardsn1";
const NEW_SUFFIX: &str = ".new";

#[derive(Debug, Serialize, Deserialize)]
struct State {
    disk_id: u64,
    hard_state: HardState,
}

#[derive(Debug, Serialize, Deserialize)]
struct SnapshotFile {
    /// Segments before this one are void.
    first_segment: u64,
    snapshot: Arc<Snapshot>,
}

#[derive(Clone, Copy, Debug)]
struct SegmentInfo {
    sequence: u64,
    /// Highest index in the segment.
    max_index: u64,
}

struct Tail {
    file: Box<dyn DiskFile>,
    bytes: u64,
}

/// Files of one replica. Every write is on the disk when its function returns.
pub struct Store {
    disk: Box<dyn Disk>,
    disk_id: u64,
    segments: VecDeque<SegmentInfo>,
    tail: Option<Tail>,
    next_sequence: u64,
    snapshot_index: u64,
    closed: bool,
}

impl Store {
    /// Opens a data directory, making it if it is absent.
    ///
    /// Opening writes the last segment again, so it fails with `Full` while there is no space;
    /// the caller tries again later.
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

    /// Opens a data directory behind a disk of the caller's choice.
    pub fn open_with_disk(disk: Box<dyn Disk>) -> Result<(Store, RecoveredState), StoreError> {
        let mut store = Store {
            disk,
            disk_id: 0,
            segments: VecDeque::new(),
            tail: None,
            next_sequence: 1,
            snapshot_index: 0,
            closed: false,
        };
        let names = store.list_files()?;
        let has_data = names.iter().any(|name| name != LOCK_FILE);
        let state = if has_data {
            store.read_state(&names)?
        } else {
            store.make_state()?
        };
        store.disk_id = state.disk_id;
        let snapshot = store.read_snapshot(&names)?;
        let entries = store.read_segments(&names, snapshot.as_ref())?;
        // Names that an earlier run created may not be on the disk yet.
        store.sync_directory()?;
        let recovered = RecoveredState {
            disk_id: state.disk_id,
            hard_state: state.hard_state,
            snapshot: snapshot.map(|file| file.snapshot),
            entries,
        };
        Ok((store, recovered))
    }

    /// Carries out writes in order; consecutive appends share one fsync.
    ///
    /// After a retryable error all of them may be passed again; none may be confirmed before.
    pub fn persist<'a>(
        &mut self,
        writes: impl IntoIterator<Item = &'a Write>,
    ) -> Result<(), StoreError> {
        let mut batch: Vec<&Entry> = Vec::new();
        for write in writes {
            match write {
                Write::Append(entries) => batch.extend(entries),
                Write::SaveHardState(hard_state) => {
                    self.append_all(&std::mem::take(&mut batch))?;
                    self.save_hard_state(hard_state)?;
                }
                Write::SaveSnapshot {
                    snapshot,
                    discard_log,
                } => {
                    self.append_all(&std::mem::take(&mut batch))?;
                    self.save_snapshot(snapshot, *discard_log)?;
                }
            }
        }
        self.append_all(&batch)
    }

    /// Appends entries; those at or after the index of the first one are replaced.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StoreError> {
        self.append_all(&entries.iter().collect::<Vec<_>>())
    }

    /// Saves term, vote and formation.
    pub fn save_hard_state(&mut self, hard_state: &HardState) -> Result<(), StoreError> {
        let state = State {
            disk_id: self.disk_id,
            hard_state: hard_state.clone(),
        };
        self.replace_file(STATE_FILE, STATE_MAGIC, &state)
    }

    /// Saves a snapshot and drops the segments that it covers, or all of them.
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
        self.replace_file(SNAPSHOT_FILE, SNAPSHOT_MAGIC, &file)?;
        self.snapshot_index = snapshot.index;
        if first_needed_is_absent(&self.segments, first_segment) {
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

    fn make_state(&mut self) -> Result<State, StoreError> {
        let state = State {
            // `RandomState` is keyed by the operating system's random numbers.
            disk_id: RandomState::new().hash_one(std::process::id()),
            hard_state: HardState::default(),
        };
        self.replace_file(STATE_FILE, STATE_MAGIC, &state)?;
        Ok(state)
    }

    fn read_state(&self, names: &[String]) -> Result<State, StoreError> {
        if !names.iter().any(|name| name == STATE_FILE) {
            let reason = "the file is missing although the directory holds a log".to_owned();
            return Err(self.damaged(STATE_FILE, Damage { offset: 0, reason }));
        }
        self.read_whole_file(STATE_FILE, STATE_MAGIC)
    }

    fn read_snapshot(&mut self, names: &[String]) -> Result<Option<SnapshotFile>, StoreError> {
        if !names.iter().any(|name| name == SNAPSHOT_FILE) {
            return Ok(None);
        }
        let file: SnapshotFile = self.read_whole_file(SNAPSHOT_FILE, SNAPSHOT_MAGIC)?;
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
            .filter_map(|n| segments::sequence_of(n))
            .collect();
        sequences.sort_unstable();
        let (void, kept): (Vec<u64>, Vec<u64>) = sequences
            .into_iter()
            .partition(|sequence| *sequence < first_segment);
        for sequence in void {
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
                return Err(self.damaged(&name, Damage { offset: 0, reason }));
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
            segments::read(&bytes, is_last).map_err(|damage| self.damaged(&name, damage))?;
        let mut max_index = 0;
        for entry in segment.entries {
            max_index = max_index.max(entry.index);
            take_entry(entries, self.snapshot_index, entry)
                .map_err(|reason| self.damaged(&name, Damage { offset: 0, reason }))?;
        }
        self.segments.push_back(SegmentInfo {
            sequence,
            max_index,
        });
        self.next_sequence = sequence + 1;
        if is_last {
            self.rewrite_tail(&name, &bytes[..segment.whole_bytes])?;
        }
        Ok(())
    }

    /// Writes the last segment again without its torn tail.
    ///
    /// If an earlier run ended after a failed fsync, the bytes read may be in memory only, and a
    /// later fsync would not write them. A new file is certain to reach the disk.
    fn rewrite_tail(&mut self, name: &str, whole: &[u8]) -> Result<(), StoreError> {
        let content = if whole.is_empty() { LOG_MAGIC } else { whole };
        self.write_and_rename(name, content)?;
        let file = self
            .disk
            .open(name)
            .map_err(|source| self.io_error("opening a segment", name, source))?;
        self.tail = Some(Tail {
            file,
            bytes: content.len() as u64,
        });
        Ok(())
    }

    // Writing

    fn append_all(&mut self, entries: &[&Entry]) -> Result<(), StoreError> {
        if entries.is_empty() {
            return Ok(());
        }
        self.check_open()?;
        let mut bytes = Vec::new();
        for entry in entries {
            record::encode(&mut bytes, entry)
                .map_err(|error| self.io_error("encoding an entry", "", io::Error::other(error)))?;
        }
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

    fn start_segment(&mut self) -> Result<(), StoreError> {
        let sequence = self.next_sequence;
        let name = segments::file_name(sequence);
        self.write_and_rename(&name, LOG_MAGIC)?;
        let file = self
            .disk
            .open(&name)
            .map_err(|source| self.close("opening a segment", &name, source))?;
        self.tail = Some(Tail {
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
            // What was written in part is cut off, so that the next append follows whole records.
            let undone = tail.file.truncate(tail.bytes);
            return match undone {
                Ok(()) if is_full(&source) => Err(self.full_error(name)),
                _ => Err(self.close("writing", name, source)),
            };
        }
        if let Err(source) = tail.file.sync() {
            return Err(self.close("fsync", name, source));
        }
        tail.bytes += bytes.len() as u64;
        Ok(())
    }

    fn replace_file(
        &mut self,
        name: &str,
        magic: &[u8; 8],
        value: &impl Serialize,
    ) -> Result<(), StoreError> {
        let mut bytes = magic.to_vec();
        record::encode(&mut bytes, value)
            .map_err(|error| self.io_error("encoding", name, io::Error::other(error)))?;
        self.write_and_rename(name, &bytes)
    }

    /// Replaces a file as a whole: after a crash it is the old or the new one.
    fn write_and_rename(&mut self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        self.check_open()?;
        let new_name = format!("{name}{NEW_SUFFIX}");
        if let Err(source) = self.write_new(&new_name, bytes) {
            // Frees the space; if it fails, the next start removes the file.
            let _ = self.disk.remove(&new_name);
            return Err(if is_full(&source) {
                self.full_error(name)
            } else {
                self.close("writing", name, source)
            });
        }
        self.disk
            .rename(&new_name, name)
            .map_err(|source| self.close("renaming", name, source))?;
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
            .map_err(|source| self.close("fsync of the directory", "", source))
    }

    // Reading

    fn read_file(&self, name: &str) -> Result<Vec<u8>, StoreError> {
        self.disk
            .read(name)
            .map_err(|source| self.io_error("reading", name, source))
    }

    fn read_whole_file<T: DeserializeOwned>(
        &self,
        name: &str,
        magic: &[u8; 8],
    ) -> Result<T, StoreError> {
        let bytes = self.read_file(name)?;
        let damage = |offset: usize, reason: &str| {
            let reason = reason.to_owned();
            self.damaged(name, Damage { offset, reason })
        };
        if !bytes.starts_with(magic) {
            return Err(damage(0, "it does not start as this file does"));
        }
        match record::at(&bytes, magic.len()) {
            Found::Record(payload, end) if end == bytes.len() => record::decode(payload)
                .map_err(|_| damage(magic.len(), "the record has another format")),
            Found::Record(_, end) => Err(damage(end, "bytes follow the record")),
            Found::End | Found::Torn => Err(damage(magic.len(), "the record ends early")),
            Found::Damaged(reason) => Err(damage(magic.len(), reason)),
        }
    }

    // Errors

    fn check_open(&self) -> Result<(), StoreError> {
        if self.closed {
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

    /// Refuses all further writes: what is on the disk is no longer certain.
    fn close(&mut self, operation: &'static str, name: &str, source: io::Error) -> StoreError {
        self.closed = true;
        self.io_error(operation, name, source)
    }

    fn damaged(&self, name: &str, damage: Damage) -> StoreError {
        StoreError::Damaged {
            path: self.disk.path().join(name),
            offset: damage.offset as u64,
            reason: damage.reason,
        }
    }
}

fn first_needed_is_absent(segments: &VecDeque<SegmentInfo>, first_segment: u64) -> bool {
    segments.iter().all(|info| info.sequence < first_segment)
}

/// Puts an entry behind the others, replacing those at or after its index.
fn take_entry(entries: &mut Vec<Entry>, snapshot_index: u64, entry: Entry) -> Result<(), String> {
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
