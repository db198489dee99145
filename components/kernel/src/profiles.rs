//! The profiles in effect in this process; their revision never goes back.

use crate::stop::lock;
use arc_swap::ArcSwap;
use model::{Profile, ProfileName, Revision};
use registry::{Delta, ProfileSet};
use std::sync::{
    Arc, Mutex,
    atomic::{AtomicU64, Ordering},
};

/// Profiles that calls read without a lock.
#[derive(Clone)]
pub struct ProfileTable {
    current: Arc<ArcSwap<ProfileSet>>,
    writer: Arc<Mutex<()>>,
    confirmed_us: Arc<AtomicU64>,
}

impl ProfileTable {
    pub(crate) fn new() -> Self {
        ProfileTable {
            current: Arc::new(ArcSwap::from_pointee(ProfileSet::default())),
            writer: Arc::default(),
            confirmed_us: Arc::default(),
        }
    }

    /// The set in effect.
    pub fn current(&self) -> Arc<ProfileSet> {
        self.current.load_full()
    }

    /// Revision in effect.
    pub fn revision(&self) -> Revision {
        self.current.load().revision()
    }

    /// The profile that calls of `name` use, following successors of retired names.
    pub fn resolve(&self, name: &ProfileName) -> Option<Profile> {
        self.current.load().resolve(name).cloned()
    }

    /// Takes in a delta if it moves the set forward; tells whether it did.
    pub fn apply(&self, delta: Delta) -> bool {
        self.update(|set| set.apply(delta))
    }

    /// Marks the set as diverged, so that the next pull asks for a full snapshot.
    pub fn mark_diverged(&self) {
        self.update(|set| {
            set.mark_diverged();
            true
        });
    }

    /// Notes that a control replica confirmed the set as the newest.
    pub fn confirm(&self, now_us: u64) {
        self.confirmed_us.fetch_max(now_us, Ordering::AcqRel);
    }

    /// Milliseconds since a control replica last confirmed the set.
    pub fn age_ms(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.confirmed_us.load(Ordering::Acquire)) / 1000
    }

    fn update(&self, change: impl FnOnce(&mut ProfileSet) -> bool) -> bool {
        let _writer = lock(&self.writer);
        let mut next = ProfileSet::clone(&self.current.load());
        let changed = change(&mut next);
        // A refused delta can still leave the mark that asks for a full snapshot.
        self.current.store(Arc::new(next));
        changed
    }
}
