//! Guards against undetected damage to files: a replica that loses a confirmed entry or vote could
//! help to undo an accepted change.

use consensus::{Entry, HardState, Membership, Payload, RecoveredState, ReplicaId, Snapshot};
use errors::ErrorKind;
use std::{fs, path::Path, sync::Arc};
use store::{Store, StoreError};

const LOG: &str = "log-0000000000000001";
const SECTOR_BYTES: usize = 512;

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 3,
        payload: Payload::Empty,
    }
}

/// A directory with a state, a snapshot at index 2 and entries up to 6.
fn write_data(path: &Path) {
    let (mut store, _) = Store::open(path).unwrap();
    let hard_state = HardState {
        term: 3,
        ..HardState::default()
    };
    store.save_hard_state(&hard_state).unwrap();
    for index in 1..=6 {
        store.append(&[entry(index)]).unwrap();
    }
    let snapshot = Snapshot {
        index: 2,
        term: 3,
        ..Snapshot::default()
    };
    store.save_snapshot(&Arc::new(snapshot), false).unwrap();
}

/// Segment of the former format, in which each entry has a record of its own: entries 1 to 3 of
/// term 1, then entry 3 of term 2, which replaces the first one.
const FORMER_SEGMENT: [u8; 72] = [
    0x67, 0x79, 0x61, 0x72, 0x64, 0x6c, 0x67, 0x31, 0x03, 0x00, 0x00, 0x00, 0x64, 0x82, 0x98, 0xe7,
    0xf9, 0x00, 0xae, 0x3a, 0x01, 0x01, 0x00, 0xa5, 0x03, 0x00, 0x00, 0x00, 0x3d, 0x3c, 0xde, 0xe5,
    0x64, 0x1a, 0x46, 0x0b, 0x02, 0x01, 0x00, 0xa5, 0x03, 0x00, 0x00, 0x00, 0x0a, 0x56, 0x1c, 0xe4,
    0xd0, 0x11, 0x31, 0xad, 0x03, 0x01, 0x00, 0xa5, 0x03, 0x00, 0x00, 0x00, 0xc9, 0x05, 0x31, 0xcf,
    0x7e, 0x63, 0xa5, 0x2b, 0x03, 0x02, 0x00, 0xa5,
];

/// An entry that covers several sectors.
fn large_entry(index: u64) -> Entry {
    let voter = |number: u64| ReplicaId {
        number: u64::MAX - number,
        disk_id: u64::MAX - number * 7,
    };
    let membership = Membership {
        voters: (0..120).map(voter).collect(),
    };
    Entry {
        payload: Payload::Membership(membership),
        ..entry(index)
    }
}

/// Appends an entry that covers several sectors.
fn append_large_entry(path: &Path, index: u64) {
    let (mut store, _) = Store::open(path).unwrap();
    store.append(&[large_entry(index)]).unwrap();
}

fn open_with_content(path: &Path, name: &str, bytes: &[u8]) -> Result<RecoveredState, StoreError> {
    fs::write(path.join(name), bytes).unwrap();
    Store::open(path).map(|(_, recovered)| recovered)
}

fn assert_damaged(result: Result<RecoveredState, StoreError>, path: &Path, name: &str, at: usize) {
    let error = result.expect_err("opened a damaged file");
    assert_eq!(error.kind(), ErrorKind::StorageDamaged);
    let text = error.to_string();
    let file = path.join(name).display().to_string();
    assert!(
        text.contains(&file) && text.contains("at offset"),
        "byte {at}: {text}"
    );
    assert!(
        text.contains("move the data directory"),
        "byte {at}: {text}"
    );
}

#[test]
fn flipped_bytes() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    write_data(path);
    for name in ["state", "snapshot", LOG] {
        let content = fs::read(path.join(name)).unwrap();
        for at in 0..content.len() {
            for mask in [0x01, 0x80, 0xff] {
                let mut bytes = content.clone();
                bytes[at] ^= mask;
                assert_damaged(open_with_content(path, name, &bytes), path, name, at);
            }
        }
        fs::write(path.join(name), &content).unwrap();
    }
    assert!(Store::open(path).is_ok());
}

#[test]
fn torn_tail() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    write_data(path);
    let content = fs::read(path.join(LOG)).unwrap();
    let mut longest = 0;
    for length in 0..=content.len() {
        let recovered = open_with_content(path, LOG, &content[..length])
            .expect("an incomplete record is removed");
        let count = recovered.entries.len();
        assert!(count >= longest, "{length} bytes give {count} entries");
        longest = count;
        let indexes: Vec<u64> = recovered.entries.iter().map(|e| e.index).collect();
        assert_eq!(indexes, (3..3 + count as u64).collect::<Vec<_>>());
    }
    assert_eq!(longest, 4);
}

/// After a power loss a file can be longer than its written content, with zeros at the end.
#[test]
fn unwritten_sectors() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    write_data(path);
    let content = fs::read(path.join(LOG)).unwrap();
    for cut in [content.len(), content.len() - 5] {
        let mut bytes = content[..cut].to_vec();
        bytes.resize(4_096, 0);
        let recovered = open_with_content(path, LOG, &bytes).expect("zeros at the end are removed");
        assert!(recovered.entries.len() >= 3);
    }
}

/// Zeroes each sector of the log in turn, as far as it was written after `before` bytes: the last
/// write must be removed, and nothing before it.
fn check_missing_sectors(path: &Path, before: usize) {
    let content = fs::read(path.join(LOG)).unwrap();
    let sector_count = content.len().div_ceil(SECTOR_BYTES);
    assert!(sector_count > 4, "{} bytes", content.len());
    for sector in 0..sector_count {
        let mut bytes = content.clone();
        let start = (sector * SECTOR_BYTES).max(before);
        let end = content.len().min((sector + 1) * SECTOR_BYTES);
        bytes[start..end].fill(0);
        let recovered =
            open_with_content(path, LOG, &bytes).expect("an incomplete write is removed");
        let last = recovered.entries.last().map(|entry| entry.index);
        assert_eq!(last, Some(6), "sector {sector} is missing");
    }
}

/// Power can be lost when some sectors of the last write are on the disk and others are not.
#[test]
fn missing_sector() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    write_data(path);
    let before = fs::read(path.join(LOG)).unwrap().len();
    append_large_entry(path, 7);
    check_missing_sectors(path, before);
}

/// The same, in a write of several entries: none of them was confirmed.
#[test]
fn missing_sector_of_several_entries() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    write_data(path);
    let before = fs::read(path.join(LOG)).unwrap().len();
    let (mut store, _) = Store::open(path).unwrap();
    let entries = [large_entry(7), entry(8), large_entry(9), entry(10)];
    store.append(&entries).unwrap();
    drop(store);
    check_missing_sectors(path, before);
}

/// A data directory of the former format is read, and its last segment is continued.
#[test]
fn former_format() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    drop(Store::open(path).unwrap());
    for cut in [FORMER_SEGMENT.len(), FORMER_SEGMENT.len() - 5] {
        fs::write(path.join(LOG), &FORMER_SEGMENT[..cut]).unwrap();
        let (mut store, recovered) = Store::open(path).unwrap();
        let position = |entry: &Entry| (entry.index, entry.term);
        let last_term = if cut == FORMER_SEGMENT.len() { 2 } else { 1 };
        let expected = [(1, 1), (2, 1), (3, last_term)];
        let read: Vec<_> = recovered.entries.iter().map(position).collect();
        assert_eq!(read, expected);
        store.append(&[entry(4), entry(5)]).unwrap();
        drop(store);
        let (_, recovered) = Store::open(path).unwrap();
        assert_eq!(recovered.entries.len(), 5);
        assert_eq!(
            recovered.entries[..3]
                .iter()
                .map(position)
                .collect::<Vec<_>>(),
            expected
        );
    }
}

/// A sector that is lost later is damage: the records after it were confirmed.
#[test]
fn lost_sector_before_later_records() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    write_data(path);
    append_large_entry(path, 7);
    let large_end = fs::read(path.join(LOG)).unwrap().len();
    append_large_entry(path, 8);
    let content = fs::read(path.join(LOG)).unwrap();
    for sector in 1..large_end / SECTOR_BYTES {
        for unwritten_end in [0, 2 * SECTOR_BYTES] {
            let mut bytes = content.clone();
            bytes[sector * SECTOR_BYTES..][..SECTOR_BYTES].fill(0);
            bytes.resize(bytes.len() + unwritten_end, 0);
            let result = open_with_content(path, LOG, &bytes);
            assert_damaged(result, path, LOG, sector * SECTOR_BYTES);
        }
    }
}

#[test]
fn truncated_state_and_snapshot() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    write_data(path);
    for name in ["state", "snapshot"] {
        let content = fs::read(path.join(name)).unwrap();
        for length in 0..content.len() {
            assert_damaged(
                open_with_content(path, name, &content[..length]),
                path,
                name,
                length,
            );
        }
        fs::write(path.join(name), &content).unwrap();
    }
}

/// A crash can leave an incomplete record only in the last segment, and no segment may be missing.
#[test]
fn torn_or_missing_earlier_segment() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    write_data(path);
    let content = fs::read(path.join(LOG)).unwrap();
    let second = "log-0000000000000002";
    fs::write(path.join(second), &content[..8]).unwrap();
    for length in 0..content.len() - 1 {
        let result = open_with_content(path, LOG, &content[..length]);
        match result {
            Err(_) => assert_damaged(result, path, LOG, length),
            // The file is cut between two records, so the segment is valid. The next segment is
            // empty, so there is no gap between their entries.
            Ok(recovered) => assert!(recovered.entries.len() < 4),
        }
    }
    fs::write(path.join(LOG), &content).unwrap();
    fs::rename(path.join(second), path.join("log-0000000000000003")).unwrap();
    let result = Store::open(path).map(|(_, recovered)| recovered);
    assert_damaged(result, path, "log-0000000000000003", 0);
}
