//! Records of nodes that start at the same time, handed from one to the other by a third process.
//!
//! Gossip spreads records within a byte budget that suits a running group. After a restart of all
//! hosts every node lacks every record at once, and until it has some it can't place a call.

use crate::wire::Datagram;
use model::NodeId;
use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};

/// How long an introduction is handed on after its last repetition.
const FRESH_US: u64 = 3_000_000;
/// Most nodes that are remembered.
const MAX_NODES: usize = 2_048;

/// What a starting node says of itself and asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The node.
    pub node: NodeId,
    /// Its own record, once there is an upstream in it.
    pub datagram: Option<Datagram>,
    /// `IntroductionReply::newest` of the last reply from the same process; 0 at first.
    pub after: u64,
    /// Most records that the node still wants.
    pub max_records: u32,
}

/// Records that a starting node lacked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntroductionReply {
    /// Number up to which the records are in this reply or an earlier one.
    pub newest: u64,
    /// Nodes with their records, to be received as if each came from its node.
    pub records: Vec<(NodeId, Datagram)>,
}

#[derive(Debug)]
struct Entry {
    node: NodeId,
    datagram: Datagram,
    number: u64,
    said_us: u64,
}

/// The nodes that have introduced themselves of late.
#[derive(Debug, Default)]
pub struct Introductions {
    entries: Vec<Entry>,
    newest: u64,
}

impl Introductions {
    /// Notes a node and returns records that it lacks, drawn at random if there are too many.
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
        self.entries
            .retain(|entry| now_us < entry.said_us.saturating_add(FRESH_US));
        if let Some(datagram) = datagram {
            self.note(now_us, node, datagram);
        }
        // This process may have started after the node's last question.
        let after = if after > self.newest { 0 } else { after };
        let lacking = self
            .entries
            .iter()
            .filter(|entry| entry.number > after && entry.node.mesh != node.mesh);
        let max_records = usize::try_from(max_records).unwrap_or(usize::MAX);
        let records = lacking
            .sample(rng, max_records.min(MAX_NODES))
            .into_iter()
            .map(|entry| (entry.node, entry.datagram.clone()))
            .collect();
        IntroductionReply {
            newest: self.newest,
            records,
        }
    }

    /// Keeps the first record of a process: gossip spreads its later changes.
    fn note(&mut self, now_us: u64, node: NodeId, datagram: Datagram) {
        let place = self
            .entries
            .iter()
            .position(|entry| entry.node.mesh == node.mesh);
        if let Some(place) = place {
            let known = &mut self.entries[place];
            if known.node == node {
                known.said_us = now_us;
            }
            if known.node.incarnation >= node.incarnation {
                return;
            }
            self.entries.swap_remove(place);
        }
        if self.entries.len() < MAX_NODES {
            self.newest += 1;
            self.entries.push(Entry {
                node,
                datagram,
                number: self.newest,
                said_us: now_us,
            });
        }
    }
}
