//! The crash suspects that this node knows, shared by entry, owner and gossip.

use crate::stop::lock;
use calls::{CrashSuspects, SuspectConfig};
use std::sync::{Arc, Mutex};

/// Crash suspects under one lock.
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

    /// Runs `action` on the table under its lock.
    pub fn with<T>(&self, action: impl FnOnce(&mut CrashSuspects) -> T) -> T {
        action(&mut lock(&self.suspects))
    }
}
