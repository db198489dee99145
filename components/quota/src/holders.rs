//! The nodes that may hold shares or tokens, as recorded in the log of the control group, so that a
//! new coordinator knows of which nodes it has to hear.
//!
//! Workload: the leader changes while the nodes hold most of the rate of each customer. Without the
//! record, the new coordinator has to wait until all leases have ended.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Time without a report after which the entry of a node is removed, so that a host that is gone
/// doesn't delay later changes of the leader. Many times a lease.
const SILENT_US: u64 = 15_000_000;
/// Time for which a node has to hold nothing before its entry is removed. Nodes with few calls hold
/// something now and then; each removal and each return is written to the log.
const IDLE_US: u64 = 120_000_000;
/// Interval of the removals.
const REMOVAL_INTERVAL_US: u64 = 10_000_000;
/// Least time between two changes for which no call waits. When all nodes start at once, each would
/// be a log entry of its own otherwise.
const CHANGE_INTERVAL_US: u64 = 50_000;
/// Pause after a change of the record that was not confirmed.
const RETRY_PAUSE_US: u64 = 200_000;

/// The record that a coordinator takes over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HolderRecord {
    /// Recorded nodes.
    pub nodes: BTreeSet<SocketAddr>,
    /// Whether no other node can hold anything from an earlier coordinator.
    pub is_complete: bool,
}

/// A change of the record. The coordinator acts on it after it has been committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderChange {
    /// Whether no other node can hold anything from an earlier coordinator.
    pub is_complete: bool,
    /// Nodes to which the coordinator is going to lend.
    pub added: Vec<SocketAddr>,
    /// Nodes that hold nothing.
    pub removed: Vec<SocketAddr>,
}

/// Times of a recorded node.
#[derive(Clone, Copy, Debug)]
struct LastUse {
    heard_us: u64,
    held_us: u64,
}

/// The record as this coordinator may rely on it.
#[derive(Debug)]
pub(crate) struct Holders {
    recorded: BTreeMap<SocketAddr, LastUse>,
    /// Nodes that wait for their entry.
    requested: BTreeSet<SocketAddr>,
    /// The change whose commit is awaited.
    pending: Option<HolderChange>,
    is_complete: bool,
    /// What the record says about its completeness, if a change of this coordinator is committed.
    committed_complete: Option<bool>,
    /// Recorded nodes whose holdings are not known for certain.
    unheard: BTreeSet<SocketAddr>,
    /// Recorded nodes whose process has ended; their entries are removed with the next change.
    left: BTreeSet<SocketAddr>,
    next_removal_us: u64,
    /// Whether a call waits for an entry.
    is_urgent: bool,
    /// The next change is not made before, if it isn't urgent.
    next_change_us: u64,
    /// The next change is not made before, since the last one was not confirmed.
    retry_us: u64,
}

impl Holders {
    pub(crate) fn new(now_us: u64, record: HolderRecord) -> Self {
        let unused = LastUse {
            heard_us: now_us,
            held_us: now_us,
        };
        let nodes = record.nodes.iter().map(|node| (*node, unused));
        Holders {
            recorded: nodes.collect(),
            requested: BTreeSet::new(),
            pending: None,
            is_complete: record.is_complete,
            committed_complete: None,
            unheard: record.nodes,
            left: BTreeSet::new(),
            next_removal_us: now_us + REMOVAL_INTERVAL_US,
            is_urgent: false,
            next_change_us: now_us,
            retry_us: now_us,
        }
    }

    /// Whether something may be lent to a node.
    pub(crate) fn contains(&self, node: SocketAddr) -> bool {
        self.recorded.contains_key(&node)
    }

    /// Asks for the entry of a node, for which calls may wait.
    pub(crate) fn request(&mut self, node: SocketAddr, is_urgent: bool) {
        self.requested.insert(node);
        self.is_urgent |= is_urgent;
    }

    /// Records a report, and whether the node holds or wants anything.
    pub(crate) fn record_report(&mut self, now_us: u64, node: SocketAddr, is_holding: bool) {
        self.left.remove(&node);
        if let Some(last) = self.recorded.get_mut(&node) {
            last.heard_us = now_us;
            if is_holding {
                last.held_us = now_us;
            }
        }
    }

    /// The holdings of a node are known: it has applied an answer of this coordinator, so that it
    /// can't apply one of an earlier coordinator any more.
    pub(crate) fn mark_known(&mut self, node: SocketAddr) {
        self.unheard.remove(&node);
    }

    /// A node has ended and holds nothing. Its entry is removed with the next change, so that a later
    /// coordinator doesn't wait for it.
    ///
    /// Not if its holdings are not known for certain: the messages may be old, and another process may
    /// hold something at its address by now.
    pub(crate) fn leave(&mut self, node: SocketAddr) {
        self.requested.remove(&node);
        let is_added = |change: &HolderChange| change.added.contains(&node);
        let is_recorded = self.recorded.contains_key(&node);
        let is_known = !self.unheard.contains(&node);
        if is_known && (is_recorded || self.pending.as_ref().is_some_and(is_added)) {
            self.left.insert(node);
        }
    }

    /// Whether the holdings of all nodes are known.
    pub(crate) fn are_known(&self) -> bool {
        self.is_complete && self.unheard.is_empty()
    }

    /// The leases of earlier coordinators have ended, or all nodes are known.
    pub(crate) fn set_complete(&mut self) {
        self.is_complete = true;
        self.unheard.clear();
    }

    /// The next change to be committed. `holds` tells whether a node holds anything.
    pub(crate) fn next_change(
        &mut self,
        now_us: u64,
        holds: impl Fn(SocketAddr) -> bool,
    ) -> Option<HolderChange> {
        let is_early = now_us < self.next_change_us && !self.is_urgent;
        if self.pending.is_some() || is_early || now_us < self.retry_us {
            return None;
        }
        let removed = self.removable(now_us, holds);
        let is_due = self.committed_complete != Some(self.is_complete)
            || !self.requested.is_empty()
            || !removed.is_empty();
        if !is_due {
            return None;
        }
        // The removal may be committed at any time from now on, also if that is never confirmed.
        for node in &removed {
            self.recorded.remove(node);
            self.left.remove(node);
        }
        let change = HolderChange {
            is_complete: self.is_complete,
            added: std::mem::take(&mut self.requested).into_iter().collect(),
            removed,
        };
        self.is_urgent = false;
        self.next_change_us = now_us + CHANGE_INTERVAL_US;
        self.pending = Some(change.clone());
        Some(change)
    }

    /// The pending change has been committed, or that is not known.
    pub(crate) fn end_change(&mut self, now_us: u64, is_committed: bool) {
        let Some(change) = self.pending.take() else {
            return;
        };
        if !is_committed {
            for node in &change.added {
                self.left.remove(node);
            }
            self.retry_us = now_us + RETRY_PAUSE_US;
            return;
        }
        self.committed_complete = Some(change.is_complete);
        let used = LastUse {
            heard_us: now_us,
            held_us: now_us,
        };
        let added = change.added.into_iter().map(|node| (node, used));
        self.recorded.extend(added);
    }

    /// Nodes that have ended, or have held nothing for long.
    fn removable(&mut self, now_us: u64, holds: impl Fn(SocketAddr) -> bool) -> Vec<SocketAddr> {
        // Before the record is complete, a silent node may hold what is not known.
        let is_due = now_us >= self.next_removal_us && self.is_complete && self.unheard.is_empty();
        if is_due {
            self.next_removal_us = now_us + REMOVAL_INTERVAL_US;
        }
        let is_old = |last: &LastUse| {
            now_us >= last.heard_us + SILENT_US || now_us >= last.held_us + IDLE_US
        };
        let unused = self.recorded.iter().filter(|(node, last)| {
            let is_unused = self.left.contains(node) || (is_due && is_old(last));
            is_unused && !self.requested.contains(node) && !holds(**node)
        });
        unused.map(|(node, _)| *node).collect()
    }
}
