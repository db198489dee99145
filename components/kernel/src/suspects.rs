//! Crash suspects: requests that may have crashed upstreams. Entry, owner and gossip share them.

use crate::stop::lock;
use calls::{SuspectConfig, Suspects};
use std::sync::{Arc, Mutex};

/// The crash suspects known to this node, under one lock.
#[derive(Clone)]
pub struct SuspectTable {
    suspects: Arc<Mutex<Suspects>>,
}

impl SuspectTable {
    pub(crate) fn new() -> Self {
        SuspectTable {
            suspects: Arc::new(Mutex::new(Suspects::new(SuspectConfig::default()))),
        }
    }

    /// Runs `action` on the suspects while holding their lock.
    pub fn with<T>(&self, action: impl FnOnce(&mut Suspects) -> T) -> T {
        action(&mut lock(&self.suspects))
    }
}
