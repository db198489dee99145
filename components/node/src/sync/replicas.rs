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

/// A replica, and until when it is asked only if all others fail as well.
#[derive(Clone, Copy, Debug)]
struct KnownReplica {
    address: SocketAddr,
    avoided_until: Option<Instant>,
    silent_pause: Duration,
}

impl KnownReplica {
    fn new(address: SocketAddr) -> Self {
        KnownReplica {
            address,
            avoided_until: None,
            silent_pause: SILENT_PAUSE,
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

    /// All replicas.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.known.iter().map(|replica| replica.address).collect()
    }

    /// The replicas to ask now: those that are not avoided, or all if every one is.
    pub(super) fn candidates(&self, now: Instant) -> Vec<SocketAddr> {
        let is_avoided = |replica: &&KnownReplica| replica.avoided_until.is_some_and(|at| now < at);
        let candidates: Vec<SocketAddr> = self
            .known
            .iter()
            .filter(|replica| !is_avoided(replica))
            .map(|replica| replica.address)
            .collect();
        if candidates.is_empty() {
            self.addresses()
        } else {
            candidates
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

    pub(super) fn mark_answered(&mut self, address: SocketAddr) {
        self.update(address, |replica| *replica = KnownReplica::new(address));
    }

    pub(super) fn mark_not_current(&mut self, address: SocketAddr, now: Instant) {
        self.update(address, |replica| {
            *replica = KnownReplica::new(address);
            replica.avoided_until = Some(now + NOT_CURRENT_PAUSE);
        });
    }

    pub(super) fn mark_silent(&mut self, address: SocketAddr, now: Instant) {
        self.update(address, |replica| {
            replica.avoided_until = Some(now + replica.silent_pause);
            replica.silent_pause = (replica.silent_pause * 2).min(MAX_SILENT_PAUSE);
        });
    }

    fn update(&mut self, address: SocketAddr, change: impl FnOnce(&mut KnownReplica)) {
        let replica = self.known.iter_mut().find(|known| known.address == address);
        // A reply may come from a replica that is no longer listed.
        if let Some(replica) = replica {
            change(replica);
        }
    }
}
