//! Pulls of nodes that are held until there is a newer configuration.

use mesh::Bytes;
use model::Revision;
use registry::{Comparison, Delta, ProfileSet};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use wire::{ControlReply, encode};

/// Sends an encoded answer to the node that pulls.
pub type SendReply = Box<dyn FnOnce(Bytes) + Send>;

/// A pull of a node.
pub struct Pull {
    /// Revision that the node has.
    pub have: Revision,
    /// Digest of the configuration that the node has.
    pub digest: u64,
    /// Time until which the pull may be held.
    pub until_us: u64,
    /// Sends the answer.
    pub reply: SendReply,
}

/// The pulls that one replica holds.
#[derive(Default)]
pub struct HeldPulls {
    held: Mutex<Vec<Pull>>,
}

impl HeldPulls {
    /// Answers a pull at once if there is a newer configuration or this replica is not current,
    /// else holds it.
    ///
    /// `current_set` is called while no change can wake the held pulls, so that a change is either
    /// in that set or wakes this pull.
    pub fn answer_or_hold(
        &self,
        pull: Pull,
        is_current: bool,
        current_set: impl FnOnce() -> Arc<ProfileSet>,
    ) {
        let mut held = self.lock();
        let newer = newer_delta(&current_set(), pull.have, pull.digest);
        let message = match newer {
            Some(delta) if is_current => Some(ControlReply::Newer(delta)),
            Some(delta) => Some(ControlReply::Unconfirmed(delta)),
            None if !is_current => Some(ControlReply::NoLeader),
            None => None,
        };
        match message {
            Some(message) => {
                drop(held);
                (pull.reply)(encode(&message));
            }
            None => held.push(pull),
        }
    }

    /// Answers the held pulls whose nodes lack something of `set`. Most nodes have the same
    /// configuration, so their answer is encoded once.
    pub fn answer_outdated(&self, set: &ProfileSet) {
        let due: Vec<Pull> = {
            let mut held = self.lock();
            let is_outdated = |pull: &Pull| {
                matches!(
                    set.compare(pull.have, pull.digest),
                    Comparison::Ahead | Comparison::Diverged
                )
            };
            let (due, kept) = held.drain(..).partition(is_outdated);
            *held = kept;
            due
        };
        let mut encoded: BTreeMap<(Revision, u64), Bytes> = BTreeMap::new();
        for pull in due {
            let answer = encoded.entry((pull.have, pull.digest)).or_insert_with(|| {
                let delta = newer_delta(set, pull.have, pull.digest);
                let message = delta.map_or(ControlReply::Unchanged, ControlReply::Newer);
                encode(&message)
            });
            (pull.reply)(answer.clone());
        }
    }

    /// Answers the pulls whose hold time has passed, or all of them if this replica is not current.
    pub fn expire(&self, now_us: u64, is_current: bool) {
        let due: Vec<Pull> = {
            let mut held = self.lock();
            let (due, kept) = held
                .drain(..)
                .partition(|pull| !is_current || now_us >= pull.until_us);
            *held = kept;
            due
        };
        let answer = if is_current {
            ControlReply::Unchanged
        } else {
            ControlReply::NoLeader
        };
        for pull in due {
            (pull.reply)(encode(&answer));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Pull>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn newer_delta(set: &ProfileSet, have: Revision, digest: u64) -> Option<Box<Delta>> {
    match set.compare(have, digest) {
        Comparison::Ahead => Some(Box::new(set.delta_since(have).for_node())),
        Comparison::Diverged => Some(Box::new(set.full_delta().for_node())),
        Comparison::Behind | Comparison::Equal => None,
    }
}
