//! Crash suspects: requests that may have crashed upstreams. Entry, owner and gossip share them.

use crate::stop::lock;
use std::sync::{Arc, Mutex};
use suspects::{CrashSuspects, SuspectConfig};

/// The crash suspects known to this node, under one lock.
#[derive(Clone)]
pub struct SuspectTable {
    suspects: Arc<Mutex<CrashSuspects>>,
}

impl SuspectTable {
    pub(crate) fn new() -> Self {
        SuspectTable {
            suspects: Arc::new(Mutex::new(CrashSuspects::new(SuspectConfig::default()))),
        }
    }

    /// Runs `action` on the suspects while holding their lock.
    pub fn with<T>(&self, action: impl FnOnce(&mut CrashSuspects) -> T) -> T {
        action(&mut lock(&self.suspects))
    }
}
