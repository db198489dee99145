//! Guards against a store that loses confirmed writes when it is opened again, and against two
//! processes that use one data directory.

use consensus::{Entry, HardState, Payload, RecoveredState, Snapshot};
use errors::ErrorKind;
use std::{path::Path, sync::Arc};
use store::{Store, StoreError};

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Empty,
    }
}

fn reopen(path: &Path) -> RecoveredState {
    Store::open(path).expect("opens").1
}

fn positions(recovered: &RecoveredState) -> Vec<(u64, u64)> {
    let entries = recovered.entries.iter();
    entries.map(|entry| (entry.index, entry.term)).collect()
}

#[test]
fn recovers_saved_state() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, first) = Store::open(folder.path()).unwrap();
    let hard_state = HardState {
        term: 7,
        ..HardState::default()
    };
    store.save_hard_state(&hard_state).unwrap();
    store
        .append(&[entry(1, 1), entry(2, 1), entry(3, 1)])
        .unwrap();
    store.append(&[entry(2, 7)]).unwrap();
    drop(store);
    let second = reopen(folder.path());
    assert_eq!(second.disk_id, first.disk_id);
    assert_eq!(second.hard_state, hard_state);
    assert_eq!(positions(&second), [(1, 1), (2, 7)]);
}

/// Guards against an empty directory that gets the identity of an earlier one.
#[test]
fn fresh_disk_id() {
    let folder = tempfile::tempdir().unwrap();
    let one = reopen(&folder.path().join("one")).disk_id;
    let two = reopen(&folder.path().join("two")).disk_id;
    assert_ne!(one, two);
}

#[test]
fn locked_directory() {
    let folder = tempfile::tempdir().unwrap();
    let _open = Store::open(folder.path()).unwrap();
    let error = Store::open(folder.path()).err().expect("is locked");
    assert!(matches!(error, StoreError::Locked { .. }), "{error}");
    assert!(error.to_string().contains("in use by another process"));
}

/// Guards against entries that reappear after a snapshot has replaced them.
#[test]
fn snapshot_replaces_log() {
    let folder = tempfile::tempdir().unwrap();
    let snapshot = |index: u64| {
        Arc::new(Snapshot {
            index,
            term: 2,
            ..Snapshot::default()
        })
    };
    let (mut store, _) = Store::open(folder.path()).unwrap();
    store
        .append(&(1..=5).map(|i| entry(i, 1)).collect::<Vec<_>>())
        .unwrap();
    store.save_snapshot(&snapshot(3), false).unwrap();
    drop(store);
    assert_eq!(positions(&reopen(folder.path())), [(4, 1), (5, 1)]);
    let (mut store, _) = Store::open(folder.path()).unwrap();
    store.save_snapshot(&snapshot(4), true).unwrap();
    store.append(&[entry(5, 2)]).unwrap();
    drop(store);
    let last = reopen(folder.path());
    assert_eq!(positions(&last), [(5, 2)]);
    assert_eq!(last.snapshot.map(|s| s.index), Some(4));
}

/// Guards against opening a log whose hard state is missing, which would allow a second vote in a
/// term.
#[test]
fn missing_state() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = Store::open(folder.path()).unwrap();
    store.append(&[entry(1, 1)]).unwrap();
    drop(store);
    std::fs::remove_file(folder.path().join("state")).unwrap();
    let error = Store::open(folder.path()).err().expect("must fail");
    assert_eq!(error.kind(), ErrorKind::StorageDamaged);
    assert!(
        error.to_string().contains("move the data directory"),
        "{error}"
    );
}
