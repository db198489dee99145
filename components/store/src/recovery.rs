//! Reads a data directory when it is opened, and removes what interrupted writes left behind.

use crate::{
    error::StoreError,
    files::{SNAPSHOT_FILE, SNAPSHOT_MAGIC, STATE_FILE, STATE_MAGIC, SnapshotFile, StateFile},
    record::{self, ParsedRecord},
    segments::{self, Damage, LOG_MAGIC},
    store::{NEW_SUFFIX, OpenSegment, SegmentInfo, Store},
};
use consensus::{Entry, HardState};
use serde::de::DeserializeOwned;
use std::hash::{BuildHasher, RandomState};

impl Store {
    /// Lists the files after removing those that an interrupted write left incomplete.
    pub(crate) fn list_files(&mut self) -> Result<Vec<String>, StoreError> {
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

    pub(crate) fn create_state(&mut self) -> Result<StateFile, StoreError> {
        let state = StateFile {
            // The keys of `RandomState` come from the operating system's random number generator.
            disk_id: RandomState::new().hash_one(std::process::id()),
            hard_state: HardState::default(),
        };
        self.write_record_file(STATE_FILE, STATE_MAGIC, &state)?;
        Ok(state)
    }

    pub(crate) fn read_state(&self, names: &[String]) -> Result<StateFile, StoreError> {
        if !names.iter().any(|name| name == STATE_FILE) {
            let reason = "the file is missing although the directory holds a log".to_owned();
            return Err(self.damaged_error(STATE_FILE, Damage { offset: 0, reason }));
        }
        self.read_record_file(STATE_FILE, STATE_MAGIC)
    }

    pub(crate) fn read_snapshot(
        &mut self,
        names: &[String],
    ) -> Result<Option<SnapshotFile>, StoreError> {
        if !names.iter().any(|name| name == SNAPSHOT_FILE) {
            return Ok(None);
        }
        let file: SnapshotFile = self.read_record_file(SNAPSHOT_FILE, SNAPSHOT_MAGIC)?;
        self.snapshot_index = file.snapshot.index;
        self.next_sequence = file.first_segment;
        Ok(Some(file))
    }

    pub(crate) fn read_segments(
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
