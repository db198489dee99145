//! Settings of a replica.

use crate::state::ReplicaNumber;
use std::collections::BTreeSet;

/// Settings of an open group: it is formed by a few replicas and other replicas may join it until
/// it has its full size. A fixed group consists of the configured replicas only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenGroup {
    /// Number of voters of the full group. No change is accepted before it is first reached.
    pub voters: usize,
    /// Whether this replica may form a new group; must be false if a group may exist already.
    pub may_form: bool,
}

/// Settings of a replica: group, timeouts and limits.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Number of this replica.
    pub number: ReplicaNumber,
    /// Replicas that form the group. In a fixed group these are all its replicas.
    pub group: BTreeSet<ReplicaNumber>,
    /// Settings of an open group, which replicas outside `group` may join; absent in a fixed group.
    pub open: Option<OpenGroup>,
    /// Shortest time without a leader before a replica asks for votes.
    pub election_min_us: u64,
    /// Longest time without a leader before a replica asks for votes. A leader that has heard from
    /// no quorum for this long steps down.
    pub election_max_us: u64,
    /// Time between heartbeats.
    pub heartbeat_us: u64,
    /// Timeout for an acknowledgement, after which entries are sent again.
    pub resend_us: u64,
    /// Maximum size of the entries in one append message.
    pub max_batch_bytes: usize,
    /// Maximum size of the unacknowledged entries sent to one replica.
    pub max_in_flight_bytes: usize,
    /// Maximum number of uncommitted changes; further ones are refused as busy.
    pub max_uncommitted: usize,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Size of the applied entries after which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Number of entries before a snapshot that stay in memory, so that replicas slightly behind
    /// don't need the whole snapshot.
    pub keep_entries: u64,
}

impl ReplicaConfig {
    /// Default settings. The timeouts suit regions up to 150 ms apart; a failed leader is replaced
    /// within about 2 s.
    pub fn new(number: ReplicaNumber, group: impl IntoIterator<Item = ReplicaNumber>) -> Self {
        ReplicaConfig {
            number,
            group: group.into_iter().collect(),
            open: None,
            election_min_us: 600_000,
            election_max_us: 1_200_000,
            heartbeat_us: 100_000,
            resend_us: 500_000,
            max_batch_bytes: 64 * 1024,
            max_in_flight_bytes: 256 * 1024,
            max_uncommitted: 1_024,
            snapshot_entries: 2_048,
            snapshot_bytes: 4 << 20,
            keep_entries: 512,
        }
    }
}
