//! Guards against losing what was confirmed, or never writing again, after a full disk, a failed
//! fsync or a power loss at any moment.

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

/// Batches of writes as a replica makes them, with replaced entries and both kinds of snapshot.
fn script() -> Vec<Vec<Write>> {
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

/// What must be found after each number of confirmed batches: term, snapshot and positions.
type View = (u64, u64, Vec<(u64, u64)>);

fn view(recovered: &RecoveredState) -> View {
    let snapshot = recovered.snapshot.as_ref().map_or(0, |s| s.index);
    let entries = recovered.entries.iter().map(|e| (e.index, e.term));
    (recovered.hard_state.term, snapshot, entries.collect())
}

fn expected() -> Vec<View> {
    let mut views = vec![(0, 0, Vec::new())];
    let disk = MemoryDisk::new();
    for batch in script() {
        let (mut store, _) = Store::open_with_disk(Box::new(disk.clone())).unwrap();
        store.persist(&batch).unwrap();
        drop(store);
        views.push(view(
            &Store::open_with_disk(Box::new(disk.clone())).unwrap().1,
        ));
    }
    views
}

fn last_view() -> View {
    (4, 9, vec![(10, 4), (11, 4)])
}

#[test]
fn power_loss_anywhere() {
    let expected = expected();
    assert_eq!(expected.last(), Some(&last_view()));
    let mut finished = false;
    let mut stop_after = 0;
    while !finished {
        stop_after += 1;
        for kept in [0, 1, 7, 20, 40, usize::MAX / 2] {
            let disk = MemoryDisk::new();
            disk.state().stop_after = Some(stop_after);
            let mut confirmed = 0;
            if let Ok((mut store, _)) = Store::open_with_disk(Box::new(disk.clone())) {
                let mut done = |batch: &Vec<Write>| store.persist(batch).is_ok();
                confirmed = script().iter().take_while(|b| done(b)).count();
            }
            finished = confirmed == script().len();
            let after = disk.after_power_loss(kept);
            let (mut store, recovered) = Store::open_with_disk(Box::new(after.clone())).unwrap();
            check_not_lost(&view(&recovered), &expected[confirmed]);
            for batch in &script()[confirmed..] {
                store.persist(batch).unwrap();
            }
            drop(store);
            let (_, last) = Store::open_with_disk(Box::new(after)).unwrap();
            assert_eq!(
                view(&last),
                last_view(),
                "stopped after {stop_after}, kept {kept}"
            );
        }
    }
}

/// A batch that was under way may be there in part; what was confirmed must be there.
fn check_not_lost(found: &View, confirmed: &View) {
    assert!(
        found.0 >= confirmed.0 && found.1 >= confirmed.1,
        "{found:?} {confirmed:?}"
    );
    if found.0 == confirmed.0 && found.1 == confirmed.1 {
        assert!(found.2.starts_with(&confirmed.2), "{found:?} {confirmed:?}");
    }
}

#[test]
fn full_disk_anywhere() {
    let expected = expected();
    for free_bytes in 0..700 {
        let disk = MemoryDisk::new();
        let (mut store, _) = Store::open_with_disk(Box::new(disk.clone())).unwrap();
        disk.state().free_bytes = free_bytes;
        for (number, batch) in script().iter().enumerate() {
            let Err(error) = store.persist(batch) else {
                continue;
            };
            assert_eq!(error.kind(), ErrorKind::StorageFull, "{error}");
            assert!(error.is_retryable());
            let after = disk.after_power_loss(0);
            let (_, recovered) = Store::open_with_disk(Box::new(after)).unwrap();
            check_not_lost(&view(&recovered), &expected[number]);
            disk.state().free_bytes = usize::MAX;
            store.persist(batch).expect("continues once there is space");
        }
        drop(store);
        if let Err(error) = Store::open_with_disk(Box::new(disk.clone())) {
            assert_eq!(error.kind(), ErrorKind::StorageFull, "{error}");
        }
        disk.state().free_bytes = usize::MAX;
        let (_, last) = Store::open_with_disk(Box::new(disk)).unwrap();
        assert_eq!(view(&last), last_view(), "{free_bytes} bytes free");
    }
}

/// After a failed fsync the kernel may drop the bytes, so going on could confirm lost entries.
#[test]
fn failed_fsync_closes() {
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
    // The next start finds bytes that were never durable, and must make them so.
    let (_, recovered) = Store::open_with_disk(Box::new(disk.clone())).unwrap();
    assert_eq!(recovered.entries.len(), 2);
    let (_, durable) = Store::open_with_disk(Box::new(disk.after_power_loss(0))).unwrap();
    assert_eq!(durable.entries.len(), 2);
}
