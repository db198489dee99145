//! The profiles and routes in effect in this process; their revision never decreases.

use crate::stop::lock;
use arc_swap::{ArcSwap, ArcSwapOption};
use config::RouteTable;
use model::{AvailabilityZone, Profile, ProfileName, Revision};
use registry::{Delta, ProfileSet};
use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

/// Profiles and routes, which calls read without a lock.
#[derive(Clone)]
pub struct ProfileTable {
    current: Arc<ArcSwap<ProfileSet>>,
    routes: Arc<ArcSwapOption<RouteTable>>,
    writer: Arc<Mutex<()>>,
    last_confirmed_us: Arc<AtomicU64>,
}

impl ProfileTable {
    pub(crate) fn new() -> Self {
        ProfileTable {
            current: Arc::new(ArcSwap::from_pointee(ProfileSet::default())),
            routes: Arc::default(),
            writer: Arc::default(),
            last_confirmed_us: Arc::default(),
        }
    }

    /// The profile set in effect.
    pub fn current(&self) -> Arc<ProfileSet> {
        self.current.load_full()
    }

    /// Revision in effect.
    pub fn revision(&self) -> Revision {
        self.current.load().revision()
    }

    /// The profile for `name`, or for its successor if the name was retired.
    pub fn resolve(&self, name: &ProfileName) -> Option<Profile> {
        self.current.load().resolve(name).cloned()
    }

    /// The routes of the configuration in effect, if operators have submitted one.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.load_full()
    }

    /// Availability zones whose upstreams get no calls.
    pub fn evacuated_zones(&self) -> Arc<BTreeSet<AvailabilityZone>> {
        Arc::clone(self.current.load().evacuated_zones())
    }

    /// Applies a delta if it advances the set; returns whether it did.
    pub fn apply(&self, delta: Delta) -> bool {
        self.update(|set| set.apply(delta))
    }

    /// Marks the set as diverged, so that the next pull asks for a full delta.
    pub fn mark_diverged(&self) {
        self.update(|set| {
            set.mark_diverged();
            true
        });
    }

    /// Records that a control replica confirmed the set as the newest.
    pub fn mark_confirmed(&self, now_us: u64) {
        self.last_confirmed_us.fetch_max(now_us, Ordering::AcqRel);
    }

    /// Milliseconds since a control replica last confirmed the set.
    pub fn age_ms(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.last_confirmed_us.load(Ordering::Acquire)) / 1000
    }

    fn update(&self, change: impl FnOnce(&mut ProfileSet) -> bool) -> bool {
        let _writer = lock(&self.writer);
        let mut next = ProfileSet::clone(&self.current.load());
        let changed = change(&mut next);
        self.update_routes(&next);
        // Stored even if the delta was refused, since that can mark the set as diverged.
        self.current.store(Arc::new(next));
        changed
    }

    /// Rebuilds the route table if the set holds another configuration version.
    fn update_routes(&self, next: &ProfileSet) {
        let current_routes = self.routes.load();
        let known = current_routes.as_ref().map(|table| table.configuration());
        let Some(configuration) = next.configuration() else {
            return;
        };
        if known.is_some_and(|known| known.version == configuration.version) {
            return;
        }
        log::info!(
            "kernel: configuration version {} is in effect.",
            configuration.version
        );
        let table = RouteTable::new(Arc::clone(configuration), rand::random());
        self.routes.store(Some(Arc::new(table)));
    }
}
