//! The record of the holders, which the control group keeps in its log.

use super::{Event, World};
use quota::{HolderChange, HolderRecord};
use rand::RngExt;

impl World {
    /// What a new coordinator takes over.
    pub(super) fn take_over_record(&mut self) -> HolderRecord {
        self.awaiting.clear();
        // The newest change of the former leader may be lost, or committed by the new one.
        if let Some(change) = self.pending_change.take()
            && self.random.random()
        {
            self.commit(self.epoch, &change);
        }
        HolderRecord {
            nodes: self.record.nodes.clone(),
            is_complete: self.record.is_complete && self.record_epoch == self.epoch,
        }
    }

    fn commit(&mut self, epoch: u64, change: &HolderChange) {
        self.record_epoch = epoch;
        self.record.is_complete = change.is_complete;
        self.record.nodes.extend(&change.added);
        for node in &change.removed {
            self.record.nodes.remove(node);
        }
    }

    /// Starts the next change of the record, if one is due.
    pub(super) fn write_record(&mut self) {
        let coordinator = self.coordinator.as_mut();
        let change = coordinator.and_then(|of| of.next_record_change(self.now_us));
        if change.is_some() {
            self.record_changes += 1;
            self.pending_change = change;
            let event = Event::Recorded(self.epoch);
            self.schedule(self.now_us + self.commit_us, event);
        }
    }

    pub(super) fn on_recorded(&mut self, epoch: u64) {
        let Some(change) = self.pending_change.take_if(|_| epoch == self.epoch) else {
            return;
        };
        let Some(coordinator) = &mut self.coordinator else {
            self.pending_change = Some(change);
            return;
        };
        coordinator.end_record_change(self.now_us, true);
        self.commit(epoch, &change);
        for (node, incarnation, payload) in std::mem::take(&mut self.awaiting) {
            self.on_report(node, incarnation, &payload);
        }
    }
}
