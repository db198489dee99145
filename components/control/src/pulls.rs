//! Pulls of nodes that are held until there is a newer configuration.

use mesh::{Bytes, ReplyTo};
use model::Revision;
use registry::{Comparison, Delta, ProfileSet};
use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};
use wire::{ControlReply, encode};

/// A held pull and the configuration that its node has.
struct HeldPull {
    have: Revision,
    digest: u64,
    until_us: u64,
    reply: ReplyTo,
}

/// The pulls that one replica holds.
#[derive(Default)]
pub(crate) struct HeldPulls {
    held: Mutex<Vec<HeldPull>>,
}

impl HeldPulls {
    /// Answers a pull at once if there is a newer configuration or this replica is not current,
    /// else holds it for at most `wait_ms`.
    pub(crate) fn answer_or_hold(
        &self,
        now_us: u64,
        set: &ProfileSet,
        is_current: bool,
        (have, digest): (Revision, u64),
        wait_ms: u32,
        reply: ReplyTo,
    ) {
        let newer = newer_delta(set, have, digest);
        let message = match newer {
            Some(delta) if is_current => Some(ControlReply::Newer(delta)),
            Some(delta) => Some(ControlReply::Unconfirmed(delta)),
            None if !is_current => Some(ControlReply::NoLeader),
            None => None,
        };
        if let Some(message) = message {
            send(reply, &message);
            return;
        }
        let until_us = now_us + u64::from(wait_ms) * 1000;
        self.lock().push(HeldPull {
            have,
            digest,
            until_us,
            reply,
        });
    }

    /// Answers the held pulls whose nodes lack something of `set`. Most nodes have the same
    /// configuration, so their answer is encoded once.
    pub(crate) fn answer_outdated(&self, set: &ProfileSet) {
        let due: Vec<HeldPull> = {
            let mut held = self.lock();
            let is_outdated = |pull: &HeldPull| {
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
            // A node that lost its connection pulls again.
            let _ = pull.reply.send(answer.clone());
        }
    }

    /// Answers the pulls whose hold time has passed, or all of them if this replica is not current.
    pub(crate) fn expire(&self, now_us: u64, is_current: bool) {
        let due: Vec<HeldPull> = {
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
            send(pull.reply, &answer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<HeldPull>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn newer_delta(set: &ProfileSet, have: Revision, digest: u64) -> Option<Box<Delta>> {
    match set.compare(have, digest) {
        Comparison::Ahead => Some(Box::new(set.delta_since(have))),
        Comparison::Diverged => Some(Box::new(set.full_delta())),
        Comparison::Behind | Comparison::Equal => None,
    }
}

fn send(reply: ReplyTo, message: &ControlReply) {
    // A node that lost its connection pulls again.
    let _ = reply.send(encode(message));
}
