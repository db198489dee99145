//! The control replicas that a node knows, and which of them to turn to next.
//!
//! A replica that is silent must delay nothing, and one that answers without being current must not
//! keep the node from the others.

use std::net::SocketAddr;

/// Most replicas that a node keeps in its list.
const MAX_REPLICAS: usize = 32;
/// Time for which a replica that is not current is not pulled from again.
const NOT_CURRENT_PAUSE_US: u64 = 150_000;
/// Time for which a silent replica is not asked again; it doubles with each further failure.
const SILENT_PAUSE_US: u64 = 500_000;
const MAX_SILENT_PAUSE_US: u64 = 8_000_000;
/// Age up to which an answer shows that a replica is running; longer than a round over a group whose
/// replicas are all not current.
const ANSWER_VALID_US: u64 = 2_000_000;

/// What a node knows of a replica.
#[derive(Clone, Copy, Debug)]
enum ReplicaState {
    Unknown,
    /// It answered, and may be pulled from again at `retry_at_us`.
    Answering {
        at_us: u64,
        retry_at_us: u64,
    },
    /// It was silent, and is asked again after `pause_us`.
    Silent {
        at_us: u64,
        pause_us: u64,
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

    /// When the replica answered, if that was just now.
    fn answered_at_us(&self, now_us: u64) -> Option<u64> {
        match self.state {
            ReplicaState::Answering { at_us, .. } if now_us < at_us + ANSWER_VALID_US => {
                Some(at_us)
            }
            _ => None,
        }
    }

    fn may_be_pulled_from(&self, now_us: u64) -> bool {
        match self.state {
            ReplicaState::Answering { retry_at_us, .. } => now_us >= retry_at_us,
            ReplicaState::Unknown | ReplicaState::Silent { .. } => true,
        }
    }

    fn may_be_asked(&self, now_us: u64) -> bool {
        match self.state {
            ReplicaState::Silent { at_us, pause_us } => now_us >= at_us + pause_us,
            ReplicaState::Unknown | ReplicaState::Answering { .. } => true,
        }
    }
}

/// The replicas of the settings and those that the control group names. Replicas that are in
/// neither list any more are forgotten.
#[derive(Clone, Debug)]
pub struct ControlReplicas {
    configured: Vec<SocketAddr>,
    known: Vec<KnownReplica>,
}

impl ControlReplicas {
    /// The list at the start of a node: the replicas of its settings.
    pub fn new(configured: impl IntoIterator<Item = SocketAddr>) -> Self {
        let configured: Vec<SocketAddr> = configured.into_iter().collect();
        ControlReplicas {
            known: configured.iter().copied().map(KnownReplica::new).collect(),
            configured,
        }
    }

    /// The replicas to ask at once whether they run: those that have not answered just now. Silent
    /// ones are left out for a while, unless no other replica is known.
    pub fn to_ask(&self, now_us: u64) -> Vec<SocketAddr> {
        let is_due = |replica: &&KnownReplica| {
            replica.answered_at_us(now_us).is_none() && replica.may_be_asked(now_us)
        };
        let due: Vec<SocketAddr> = self
            .known
            .iter()
            .filter(is_due)
            .map(|r| r.address)
            .collect();
        if due.is_empty() && !self.has_answering(now_us) {
            return self.known.iter().map(|replica| replica.address).collect();
        }
        due
    }

    /// All known replicas.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.known.iter().map(|replica| replica.address).collect()
    }

    /// The replicas that are not known to be silent.
    pub fn not_silent(&self, now_us: u64) -> Vec<SocketAddr> {
        let known = self.known.iter();
        let running = known.filter(|replica| replica.may_be_asked(now_us));
        running.map(|replica| replica.address).collect()
    }

    /// Whether any replica has answered just now.
    pub fn has_answering(&self, now_us: u64) -> bool {
        let mut known = self.known.iter();
        known.any(|replica| replica.answered_at_us(now_us).is_some())
    }

    /// Of the replicas that have answered just now and may be pulled from, the one whose answer is
    /// oldest.
    pub fn next_answering(&self, now_us: u64) -> Option<SocketAddr> {
        let answering = self
            .known
            .iter()
            .filter(|replica| replica.may_be_pulled_from(now_us))
            .filter_map(|replica| Some((replica.answered_at_us(now_us)?, replica.address)));
        answering.min().map(|(_, address)| address)
    }

    /// Replaces the list by the configured replicas and those that a current replica named.
    pub fn adopt(&mut self, named: impl IntoIterator<Item = SocketAddr>) {
        let mut addresses = self.configured.clone();
        for address in named {
            if !addresses.contains(&address) && addresses.len() < MAX_REPLICAS {
                addresses.push(address);
            }
        }
        let known = std::mem::take(&mut self.known);
        let with_state = |address: SocketAddr| {
            let kept = known.iter().find(|replica| replica.address == address);
            kept.copied().unwrap_or(KnownReplica::new(address))
        };
        self.known = addresses.into_iter().map(with_state).collect();
    }

    /// Records that a replica confirmed the configuration.
    pub fn mark_current(&mut self, address: SocketAddr, now_us: u64) {
        self.set_state(address, |_| ReplicaState::Answering {
            at_us: now_us,
            retry_at_us: now_us,
        });
    }

    /// Records that a replica answered without being current.
    pub fn mark_not_current(&mut self, address: SocketAddr, now_us: u64) {
        self.set_state(address, |_| ReplicaState::Answering {
            at_us: now_us,
            retry_at_us: now_us + NOT_CURRENT_PAUSE_US,
        });
    }

    /// Records that a replica did not answer in time.
    pub fn mark_silent(&mut self, address: SocketAddr, now_us: u64) {
        self.set_state(address, |state| ReplicaState::Silent {
            at_us: now_us,
            pause_us: match state {
                ReplicaState::Silent { pause_us, .. } => (pause_us * 2).min(MAX_SILENT_PAUSE_US),
                ReplicaState::Unknown | ReplicaState::Answering { .. } => SILENT_PAUSE_US,
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
