//! Settings of the membership protocol.

use model::{AvailabilityZone, Region};
use std::net::SocketAddr;

/// Time between two probes of one node, in milliseconds.
const DEFAULT_PROBE_PERIOD_MS: u32 = 1_000;
/// Peers that receive each gossip round.
const DEFAULT_FAN_OUT: u8 = 3;
/// Budget for updates and synchronisation in bytes per second, headers included. Probes and their
/// replies aren't counted; they take less than 600 bytes per second.
const DEFAULT_BYTES_PER_S: u32 = 1_800;
/// Share of the budget for updates. The rest is reserved for synchronisation, which sends nothing
/// twice and must not be delayed by updates when many nodes start at once.
const UPDATES_PERCENT: u32 = 40;

/// Location, first contacts and send rates of one node.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    pub(crate) availability_zone: AvailabilityZone,
    pub(crate) region: Region,
    pub(crate) contacts: Vec<SocketAddr>,
    pub(crate) probe_period_us: u64,
    pub(crate) fan_out: usize,
    pub(crate) bytes_per_s: u32,
}

impl MemberConfig {
    /// Default settings for a node in `availability_zone` of `region`.
    pub fn new(availability_zone: AvailabilityZone, region: Region) -> Self {
        MemberConfig {
            availability_zone,
            region,
            contacts: Vec::new(),
            probe_period_us: u64::from(DEFAULT_PROBE_PERIOD_MS) * 1_000,
            fan_out: usize::from(DEFAULT_FAN_OUT),
            bytes_per_s: DEFAULT_BYTES_PER_S,
        }
    }

    /// Mesh addresses of processes that may know other members; contacted until they are members.
    #[must_use]
    pub fn contacts(mut self, contacts: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.contacts = contacts.into_iter().collect();
        self
    }

    /// Time between two probes; the timeouts of probes and suspicions are multiples of it.
    #[must_use]
    pub fn probe_period_ms(mut self, probe_period_ms: u32) -> Self {
        self.probe_period_us = u64::from(probe_period_ms.max(1)) * 1_000;
        self
    }

    /// Peers that receive each gossip round.
    #[must_use]
    pub fn fan_out(mut self, fan_out: u8) -> Self {
        self.fan_out = usize::from(fan_out.max(1));
        self
    }

    /// Budget for updates and synchronisation in bytes per second.
    #[must_use]
    pub fn bytes_per_s(mut self, bytes_per_s: u32) -> Self {
        self.bytes_per_s = bytes_per_s.max(1);
        self
    }

    pub(crate) fn update_bytes_per_s(&self) -> u32 {
        (self.bytes_per_s / 100 * UPDATES_PERCENT).max(1)
    }

    pub(crate) fn sync_bytes_per_s(&self) -> u32 {
        (self.bytes_per_s / 100 * (100 - UPDATES_PERCENT)).max(1)
    }
}
