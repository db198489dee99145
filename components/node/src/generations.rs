//! Counts the connections to each owner, so that late messages of a lost one are recognised.

use model::NodeId;
use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Most owners that are counted apart; beyond it the count starts again from a higher number.
const MAX_OWNERS: usize = 10_000;

#[derive(Default)]
struct State {
    floor: u64,
    lost: HashMap<NodeId, u64>,
}

/// Connection counters by owner.
#[derive(Default)]
pub(crate) struct Generations {
    state: Mutex<State>,
}

impl Generations {
    /// The counter for messages that are sent to this owner now.
    pub(crate) fn current(&self, owner: NodeId) -> u64 {
        let state = self.lock();
        state.lost.get(&owner).copied().unwrap_or(state.floor)
    }

    /// Counts a lost connection.
    pub(crate) fn advance(&self, owner: NodeId) {
        let mut state = self.lock();
        if state.lost.len() >= MAX_OWNERS && !state.lost.contains_key(&owner) {
            state.floor = state.lost.values().max().map_or(0, |highest| highest + 1);
            state.lost.clear();
        }
        let floor = state.floor;
        *state.lost.entry(owner).or_insert(floor) += 1;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
