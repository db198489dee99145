//! Pulls of nodes that are held until there is a newer configuration.

use mesh::ReplyTo;
use model::Revision;
use registry::{Comparison, ProfileSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use wire::{ControlReply, encode};

/// A held pull and the configuration that its node has.
struct Waiting {
    have: Revision,
    digest: u64,
    until_us: u64,
    reply: ReplyTo,
}

/// The pulls that one replica holds.
#[derive(Default)]
pub(crate) struct Pulls {
    waiting: Mutex<Vec<Waiting>>,
}

impl Pulls {
    /// Answers a pull at once if there is a newer configuration or no leader, else holds it for at
    /// most `wait_ms`.
    pub(crate) fn add(
        &self,
        now_us: u64,
        set: &ProfileSet,
        has_leader: bool,
        (have, digest): (Revision, u64),
        wait_ms: u32,
        reply: ReplyTo,
    ) {
        if let Some(news) = news(set, have, digest) {
            send(reply, &news);
            return;
        }
        if !has_leader {
            send(reply, &ControlReply::NoLeader);
            return;
        }
        let until_us = now_us + u64::from(wait_ms) * 1000;
        self.lock().push(Waiting {
            have,
            digest,
            until_us,
            reply,
        });
    }

    /// Answers the held pulls whose nodes lack something of `set`.
    pub(crate) fn answer_newer(&self, set: &ProfileSet) {
        let due: Vec<(ReplyTo, ControlReply)> = {
            let mut waiting = self.lock();
            let (due, kept): (Vec<_>, Vec<_>) = waiting
                .drain(..)
                .map(|pull| (news(set, pull.have, pull.digest), pull))
                .partition(|(news, _)| news.is_some());
            *waiting = kept.into_iter().map(|(_, pull)| pull).collect();
            due.into_iter()
                .filter_map(|(news, pull)| Some((pull.reply, news?)))
                .collect()
        };
        for (reply, news) in due {
            send(reply, &news);
        }
    }

    /// Answers the pulls whose hold time has passed, or all of them if there is no leader.
    pub(crate) fn expire(&self, now_us: u64, has_leader: bool) {
        let due: Vec<Waiting> = {
            let mut waiting = self.lock();
            let (due, kept) = waiting
                .drain(..)
                .partition(|pull| !has_leader || now_us >= pull.until_us);
            *waiting = kept;
            due
        };
        let answer = if has_leader {
            ControlReply::Unchanged
        } else {
            ControlReply::NoLeader
        };
        for pull in due {
            send(pull.reply, &answer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Waiting>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn news(set: &ProfileSet, have: Revision, digest: u64) -> Option<ControlReply> {
    match set.compare(have, digest) {
        Comparison::Ahead => Some(ControlReply::Newer(Box::new(set.delta_since(have)))),
        Comparison::Diverged => Some(ControlReply::Newer(Box::new(set.full_delta()))),
        Comparison::Behind | Comparison::Equal => None,
    }
}

fn send(reply: ReplyTo, message: &ControlReply) {
    // A node that lost its connection pulls again.
    let _ = reply.send(encode(message));
}
