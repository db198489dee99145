//! Exchange of records between nodes that start at the same time, through a third process.
//!
//! The byte budget of gossip suits a running group. After a restart of all hosts every node lacks
//! every record at once, and until it has some records it can't route calls. A starting node
//! therefore introduces itself to the control replicas, which keep its record for a few seconds
//! and return the records of other starting nodes.

use crate::wire::Datagram;
use model::NodeId;
use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};

/// Time for which a record is returned to other nodes after its node last introduced itself.
const INTRODUCTION_TTL_US: u64 = 3_000_000;
/// Most nodes whose records are kept.
const MAX_NODES: usize = 2_048;

/// Introduction of a starting node to a control replica: its record, which the replica hands to
/// other starting nodes, and a request for theirs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The starting node.
    pub node: NodeId,
    /// Its own record; `None` until the record contains an upstream.
    pub datagram: Option<Datagram>,
    /// Only records numbered above this are returned: `IntroductionReply::newest` of the previous
    /// reply from the same process, 0 at first.
    pub after: u64,
    /// Most records to return.
    pub max_records: u32,
}

/// Reply to an [`Introduction`]: records that the starting node lacked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntroductionReply {
    /// Highest record number so far, to be sent as `after` in the node's next introduction. Records
    /// up to it are not offered to the node again, even if this reply left them out.
    pub newest: u64,
    /// Nodes with their records, each to be passed to `Members::receive` as if sent by its node.
    pub records: Vec<(NodeId, Datagram)>,
}

/// The record of a starting node, kept for others.
#[derive(Debug)]
struct StoredRecord {
    node: NodeId,
    datagram: Datagram,
    /// Number of the record in the order in which records were stored.
    number: u64,
    /// When the node last introduced itself.
    last_seen_us: u64,
}

/// Nodes that introduced themselves recently, kept by the process that receives introductions.
#[derive(Debug, Default)]
pub struct Introductions {
    stored: Vec<StoredRecord>,
    newest: u64,
}

impl Introductions {
    /// Stores a node's record and returns records that the node lacks, a random sample if there are
    /// more than it wants.
    pub fn exchange(
        &mut self,
        now_us: u64,
        introduction: Introduction,
        rng: &mut impl Rng,
    ) -> IntroductionReply {
        let Introduction {
            node,
            datagram,
            after,
            max_records,
        } = introduction;
        self.stored
            .retain(|stored| now_us < stored.last_seen_us.saturating_add(INTRODUCTION_TTL_US));
        if let Some(datagram) = datagram {
            self.store(now_us, node, datagram);
        }
        // This process may have restarted since the node's previous introduction; its numbers then
        // start again.
        let after = if after > self.newest { 0 } else { after };
        let lacking = self
            .stored
            .iter()
            .filter(|stored| stored.number > after && stored.node.mesh != node.mesh);
        let max_records = usize::try_from(max_records).unwrap_or(usize::MAX);
        let records = lacking
            .sample(rng, max_records.min(MAX_NODES))
            .into_iter()
            .map(|stored| (stored.node, stored.datagram.clone()))
            .collect();
        IntroductionReply {
            newest: self.newest,
            records,
        }
    }

    /// Stores a record. Later records of the same process are ignored, since gossip spreads them.
    fn store(&mut self, now_us: u64, node: NodeId, datagram: Datagram) {
        let index = self
            .stored
            .iter()
            .position(|stored| stored.node.mesh == node.mesh);
        if let Some(index) = index {
            let known = &mut self.stored[index];
            if known.node == node {
                known.last_seen_us = now_us;
            }
            if known.node.incarnation >= node.incarnation {
                return;
            }
            self.stored.swap_remove(index);
        }
        if self.stored.len() < MAX_NODES {
            self.newest += 1;
            self.stored.push(StoredRecord {
                node,
                datagram,
                number: self.newest,
                last_seen_us: now_us,
            });
        }
    }
}
