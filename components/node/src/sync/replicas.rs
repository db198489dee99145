//! The control replicas that a node knows, and which of them to ask next.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Most replicas that a node keeps in its list.
const MAX_REPLICAS: usize = 32;
/// Time for which a replica that is not current is not asked again.
const NOT_CURRENT_PAUSE: Duration = Duration::from_millis(150);
/// Time for which a silent replica is not asked again; it doubles with each further failure.
const SILENT_PAUSE: Duration = Duration::from_millis(500);
const MAX_SILENT_PAUSE: Duration = Duration::from_secs(8);
/// Age up to which an answer shows that a replica is running, so that it is pulled from at once.
const ANSWER_VALID: Duration = Duration::from_millis(500);

/// What a node knows of a replica.
#[derive(Clone, Copy, Debug)]
enum ReplicaState {
    Unknown,
    /// It answered, and is asked again from `retry_at` on.
    Answering {
        at: Instant,
        retry_at: Instant,
    },
    /// It was silent, and is asked again after `pause`.
    Silent {
        at: Instant,
        pause: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct KnownReplica {
    address: SocketAddr,
    state: ReplicaState,
}

impl KnownReplica {
    fn new(address: SocketAddr) -> Self {
        KnownReplica {
            address,
            state: ReplicaState::Unknown,
        }
    }

    fn is_silent(&self) -> bool {
        matches!(self.state, ReplicaState::Silent { .. })
    }

    fn may_be_asked(&self, now: Instant) -> bool {
        match self.state {
            ReplicaState::Unknown => true,
            ReplicaState::Answering { retry_at, .. } => now >= retry_at,
            ReplicaState::Silent { at, pause } => now >= at + pause,
        }
    }

    /// When the replica answered, if that shows that it is running and it may be asked again.
    fn answered_at(&self, now: Instant) -> Option<Instant> {
        match self.state {
            ReplicaState::Answering { at, retry_at } if now >= retry_at => {
                (now < at + ANSWER_VALID).then_some(at)
            }
            _ => None,
        }
    }
}

/// The replicas of the settings and those that the control group names. Replicas that are in
/// neither list any more are forgotten.
#[derive(Clone, Debug)]
pub(super) struct Replicas {
    configured: Vec<SocketAddr>,
    known: Vec<KnownReplica>,
}

impl Replicas {
    pub(super) fn new(configured: impl IntoIterator<Item = SocketAddr>) -> Self {
        let configured: Vec<SocketAddr> = configured.into_iter().collect();
        Replicas {
            known: configured.iter().copied().map(KnownReplica::new).collect(),
            configured,
        }
    }

    /// The replica to pull from without asking whether it runs: of those that answered just now,
    /// the one whose answer is oldest.
    pub(super) fn next_answering(&self, now: Instant) -> Option<SocketAddr> {
        let answering = self
            .known
            .iter()
            .filter_map(|replica| Some((replica.answered_at(now)?, replica.address)));
        answering.min().map(|(_, address)| address)
    }

    /// The replicas to ask whether they run. The silent ones are among them if nothing else is
    /// left to ask.
    pub(super) fn candidates(&self, now: Instant) -> Vec<SocketAddr> {
        let addresses = |is_chosen: &dyn Fn(&KnownReplica) -> bool| -> Vec<SocketAddr> {
            let chosen = self.known.iter().filter(|replica| is_chosen(replica));
            chosen.map(|replica| replica.address).collect()
        };
        let due = addresses(&|replica| replica.may_be_asked(now));
        if due.is_empty() {
            addresses(&KnownReplica::is_silent)
        } else {
            due
        }
    }

    /// Replaces the list by the configured replicas and those that a current replica named.
    pub(super) fn adopt(&mut self, named: impl IntoIterator<Item = SocketAddr>) {
        let mut addresses = self.configured.clone();
        for address in named {
            if !addresses.contains(&address) && addresses.len() < MAX_REPLICAS {
                addresses.push(address);
            }
        }
        let known = std::mem::take(&mut self.known);
        let kept = |address: &SocketAddr| known.iter().find(|other| other.address == *address);
        self.known = addresses
            .iter()
            .map(|address| {
                kept(address)
                    .copied()
                    .unwrap_or(KnownReplica::new(*address))
            })
            .collect();
    }

    pub(super) fn mark_answered(&mut self, address: SocketAddr, now: Instant) {
        self.set_state(address, |_| ReplicaState::Answering {
            at: now,
            retry_at: now,
        });
    }

    pub(super) fn mark_not_current(&mut self, address: SocketAddr, now: Instant) {
        self.set_state(address, |_| ReplicaState::Answering {
            at: now,
            retry_at: now + NOT_CURRENT_PAUSE,
        });
    }

    pub(super) fn mark_silent(&mut self, address: SocketAddr, now: Instant) {
        self.set_state(address, |state| ReplicaState::Silent {
            at: now,
            pause: match state {
                ReplicaState::Silent { pause, .. } => (pause * 2).min(MAX_SILENT_PAUSE),
                _ => SILENT_PAUSE,
            },
        });
    }

    fn set_state(&mut self, address: SocketAddr, next: impl FnOnce(ReplicaState) -> ReplicaState) {
        let replica = self.known.iter_mut().find(|known| known.address == address);
        // A reply may come from a replica that is no longer listed.
        if let Some(replica) = replica {
            replica.state = next(replica.state);
        }
    }
}
