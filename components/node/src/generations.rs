//! Counts the connections to each owner, so that an owner can identify messages that arrive late
//! from a lost connection.

use model::NodeId;
use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Most owners with a counter of their own. Beyond it all counters are dropped and every owner
/// continues from a number that is higher than any before.
const MAX_OWNERS: usize = 10_000;

#[derive(Default)]
struct State {
    /// Counter of every owner that is not in `counters`.
    floor: u64,
    counters: HashMap<NodeId, u64>,
}

/// Connection counter of each owner; it grows whenever a connection to that owner is lost.
#[derive(Default)]
pub(crate) struct ConnectionGenerations {
    state: Mutex<State>,
}

impl ConnectionGenerations {
    /// The counter that messages to this owner carry now.
    pub(crate) fn current(&self, owner: NodeId) -> u64 {
        let state = self.lock();
        state.counters.get(&owner).copied().unwrap_or(state.floor)
    }

    /// Advances the counter after a lost connection.
    pub(crate) fn advance(&self, owner: NodeId) {
        let mut state = self.lock();
        if state.counters.len() >= MAX_OWNERS && !state.counters.contains_key(&owner) {
            state.floor = state
                .counters
                .values()
                .max()
                .map_or(0, |highest| highest + 1);
            state.counters.clear();
        }
        let floor = state.floor;
        *state.counters.entry(owner).or_insert(floor) += 1;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
