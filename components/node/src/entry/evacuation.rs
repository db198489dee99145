//! Applies evacuations of availability zones to the choices of this entry. It matters when a zone is
//! about to fail or is overloaded: an operator moves all calls away from it at once.

use super::Entry;
use kernel::Event;
use model::AvailabilityZone;
use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
};

/// Chooses no upstream of an evacuated zone, from now on and whenever the evacuated zones change.
pub(super) fn watch_evacuations(entry: &Arc<Entry>) {
    let applied: Mutex<Arc<BTreeSet<AvailabilityZone>>> = Mutex::default();
    let weak = Arc::downgrade(entry);
    entry.context.kernel.events.apply_on(
        |event| matches!(event, Event::ProfilesChanged(_)),
        move || {
            let Some(entry) = weak.upgrade() else { return };
            let mut applied = applied.lock().unwrap_or_else(PoisonError::into_inner);
            let current = entry.context.kernel.profiles.evacuated_zones();
            if *applied != current {
                entry.apply_evacuations(&applied, &current);
                *applied = current;
            }
        },
    );
}

impl Entry {
    fn apply_evacuations(
        &self,
        before: &BTreeSet<AvailabilityZone>,
        current: &BTreeSet<AvailabilityZone>,
    ) {
        self.routes.refresh_all();
        let kernel = &self.context.kernel;
        kernel.metrics.evacuated_zones.set(current.len() as i64);
        let revision = kernel.profiles.revision();
        let age_ms = kernel.profiles.age_ms(kernel.clock.now_us());
        for zone in current.difference(before) {
            log::info!(
                "entry: availability zone {zone} is evacuated, revision {revision}, confirmed \
                 {age_ms} ms ago."
            );
        }
        for zone in before.difference(current) {
            log::info!(
                "entry: availability zone {zone} is readmitted, revision {revision}, confirmed \
                 {age_ms} ms ago."
            );
        }
    }
}
