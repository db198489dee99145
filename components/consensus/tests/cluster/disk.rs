//! The disks of the replicas.

use super::Cluster;
use consensus::{Entry, HardState, Input, RecoveredState, ReplicaNumber, Snapshot, Write};
use rand::RngExt;
use std::sync::Arc;

/// State on one replica's disk.
#[derive(Clone, Debug, Default)]
pub struct DiskImage {
    pub disk_id: u64,
    pub hard_state: HardState,
    pub snapshot: Option<Arc<Snapshot>>,
    pub entries: Vec<Entry>,
}

impl DiskImage {
    pub(super) fn write(&mut self, write: &Write) {
        match write {
            Write::Append(entries) => {
                self.entries.retain(|e| e.index < entries[0].index);
                self.entries.extend(entries.iter().cloned());
            }
            Write::SaveHardState(state) => self.hard_state = state.clone(),
            Write::SaveSnapshot {
                snapshot,
                discard_log,
            } => {
                let keep = |e: &Entry| !discard_log && e.index > snapshot.index;
                self.entries.retain(keep);
                self.snapshot = Some(snapshot.clone());
            }
        }
    }

    pub fn last_index(&self) -> u64 {
        let snapshot_index = self.snapshot.as_ref().map_or(0, |s| s.index);
        self.entries.last().map_or(snapshot_index, |e| e.index)
    }

    pub(super) fn recover(&self) -> RecoveredState {
        RecoveredState {
            disk_id: self.disk_id,
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }
}

impl Cluster {
    pub(super) fn new_disk(&mut self, number: ReplicaNumber) {
        let disk_id = self.next_disk_id;
        self.next_disk_id += 1;
        let count = self
            .identity_names
            .values()
            .filter(|n| n.starts_with(&format!("{number}.")))
            .count();
        self.identity_names
            .insert(disk_id, format!("{number}.{}", count + 1));
        let host = self.hosts.get_mut(&number).unwrap();
        host.image = DiskImage {
            disk_id,
            ..DiskImage::default()
        };
    }

    pub(super) fn write_disk(&mut self, number: ReplicaNumber) {
        let host = self.hosts.get_mut(&number).unwrap();
        if host.disk_is_stuck || host.replica.is_none() {
            return;
        }
        let is_slow = self.faults.disk_sync_us > 0 && number > self.faults.last_fast_disk;
        let mut synced = host.queued_writes.len();
        if is_slow && synced > 0 {
            let begun = (self.now_us + self.faults.disk_sync_us, synced);
            let (ends_us, covered) = *host.sync.get_or_insert(begun);
            if ends_us > self.now_us {
                return;
            }
            host.sync = None;
            synced = covered;
        }
        let mut last_written = None;
        let lag_percent = self.faults.disk_lag_percent;
        while self.rng.random_range(0..100) >= lag_percent
            && synced > 0
            && let Some((sequence, write)) = host.queued_writes.pop_front()
        {
            host.image.write(&write);
            synced -= 1;
            last_written = Some(sequence);
        }
        if let Some(sequence) = last_written {
            self.input(number, Input::Persisted { sequence });
        }
    }
}
