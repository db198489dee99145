//! Guards against losing confirmed writes, and against a store that never writes again, after a
//! full disk, a failed fsync or a power loss at any time.

mod memory_disk;

use consensus::{Entry, HardState, Payload, RecoveredState, Snapshot, Write};
use errors::ErrorKind;
use memory_disk::MemoryDisk;
use std::sync::Arc;
use store::{Store, StoreError};

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Empty,
    }
}

fn snapshot(index: u64, term: u64, discard_log: bool) -> Write {
    let snapshot = Arc::new(Snapshot {
        index,
        term,
        ..Snapshot::default()
    });
    Write::SaveSnapshot {
        snapshot,
        discard_log,
    }
}

fn hard_state(term: u64) -> Write {
    Write::SaveHardState(HardState {
        term,
        ..HardState::default()
    })
}

/// Batches of writes like those of a replica, with replaced entries and both kinds of snapshots.
fn batches() -> Vec<Vec<Write>> {
    vec![
        vec![hard_state(1), Write::Append(vec![entry(1, 1)])],
        vec![Write::Append(vec![entry(2, 1), entry(3, 1), entry(4, 1)])],
        vec![hard_state(2), Write::Append(vec![entry(3, 2)])],
        vec![snapshot(2, 1, false)],
        vec![
            Write::Append(vec![entry(4, 2)]),
            Write::Append(vec![entry(5, 2)]),
        ],
        vec![snapshot(9, 3, true), Write::Append(vec![entry(10, 3)])],
        vec![
            hard_state(4),
            Write::Append(vec![entry(10, 4), entry(11, 4)]),
        ],
    ]
}

/// Recovered state: term, snapshot index, and index and term of each entry.
type RecoveredSummary = (u64, u64, Vec<(u64, u64)>);

fn summary(recovered: &RecoveredState) -> RecoveredSummary {
    let snapshot = recovered.snapshot.as_ref().map_or(0, |s| s.index);
    let entries = recovered.entries.iter().map(|e| (e.index, e.term));
    (recovered.hard_state.term, snapshot, entries.collect())
}

/// The state that must be recovered after each number of confirmed batches.
fn summaries_after_each_batch() -> Vec<RecoveredSummary> {
    let mut summaries = vec![(0, 0, Vec::new())];
    let disk = MemoryDisk::new();
    for batch in batches() {
        let (mut store, _) = Store::open_with_disk(Box::new(disk.clone())).unwrap();
        store.persist(&batch).unwrap();
        drop(store);
        summaries.push(summary(
            &Store::open_with_disk(Box::new(disk.clone())).unwrap().1,
        ));
    }
    summaries
}

fn last_summary() -> RecoveredSummary {
    (4, 9, vec![(10, 4), (11, 4)])
}

#[test]
fn power_loss_after_any_operation() {
    let expected = summaries_after_each_batch();
    assert_eq!(expected.last(), Some(&last_summary()));
    let mut finished = false;
    let mut max_operations = 0;
    while !finished {
        max_operations += 1;
        for kept_bytes in [0, 1, 7, 20, 40, usize::MAX / 2] {
            let disk = MemoryDisk::new();
            disk.state().max_operations = Some(max_operations);
            let mut confirmed = 0;
            if let Ok((mut store, _)) = Store::open_with_disk(Box::new(disk.clone())) {
                let mut done = |batch: &Vec<Write>| store.persist(batch).is_ok();
                confirmed = batches().iter().take_while(|b| done(b)).count();
            }
            finished = confirmed == batches().len();
            let after = disk.after_power_loss(kept_bytes);
            let (mut store, recovered) = Store::open_with_disk(Box::new(after.clone())).unwrap();
            check_confirmed_is_kept(&summary(&recovered), &expected[confirmed]);
            for batch in &batches()[confirmed..] {
                store.persist(batch).unwrap();
            }
            drop(store);
            let (_, last) = Store::open_with_disk(Box::new(after)).unwrap();
            assert_eq!(
                summary(&last),
                last_summary(),
                "stopped after {max_operations}, kept {kept_bytes} bytes"
            );
        }
    }
}

/// An unconfirmed batch may be on the disk in part, but all confirmed writes must be there.
fn check_confirmed_is_kept(found: &RecoveredSummary, confirmed: &RecoveredSummary) {
    assert!(
        found.0 >= confirmed.0 && found.1 >= confirmed.1,
        "{found:?} {confirmed:?}"
    );
    if found.0 == confirmed.0 && found.1 == confirmed.1 {
        assert!(found.2.starts_with(&confirmed.2), "{found:?} {confirmed:?}");
    }
}

#[test]
fn disk_full_at_any_size() {
    let expected = summaries_after_each_batch();
    for free_bytes in 0..700 {
        let disk = MemoryDisk::new();
        let (mut store, _) = Store::open_with_disk(Box::new(disk.clone())).unwrap();
        disk.state().free_bytes = free_bytes;
        for (number, batch) in batches().iter().enumerate() {
            let Err(error) = store.persist(batch) else {
                continue;
            };
            assert_eq!(error.kind(), ErrorKind::StorageFull, "{error}");
            assert!(error.is_retryable());
            let after = disk.after_power_loss(0);
            let (_, recovered) = Store::open_with_disk(Box::new(after)).unwrap();
            check_confirmed_is_kept(&summary(&recovered), &expected[number]);
            disk.state().free_bytes = usize::MAX;
            store.persist(batch).expect("continues once there is space");
        }
        drop(store);
        if let Err(error) = Store::open_with_disk(Box::new(disk.clone())) {
            assert_eq!(error.kind(), ErrorKind::StorageFull, "{error}");
        }
        disk.state().free_bytes = usize::MAX;
        let (_, last) = Store::open_with_disk(Box::new(disk)).unwrap();
        assert_eq!(summary(&last), last_summary(), "{free_bytes} bytes free");
    }
}

/// After a failed fsync the kernel may drop the written bytes, so continuing to write could confirm
/// lost entries.
#[test]
fn failed_fsync_closes_store() {
    let disk = MemoryDisk::new();
    let (mut store, _) = Store::open_with_disk(Box::new(disk.clone())).unwrap();
    store.append(&[entry(1, 1)]).unwrap();
    disk.state().fail_fsync = true;
    let error = store.append(&[entry(2, 1)]).unwrap_err();
    assert!(error.to_string().contains("restart the process"), "{error}");
    disk.state().fail_fsync = false;
    let error = store.append(&[entry(2, 1)]).unwrap_err();
    assert!(matches!(error, StoreError::Closed { .. }), "{error}");
    drop(store);
    // The next start reads bytes that are not durable yet, and must make them durable.
    let (_, recovered) = Store::open_with_disk(Box::new(disk.clone())).unwrap();
    assert_eq!(recovered.entries.len(), 2);
    let (_, durable) = Store::open_with_disk(Box::new(disk.after_power_loss(0))).unwrap();
    assert_eq!(durable.entries.len(), 2);
}
