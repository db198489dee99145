//! The coordinator's part in the record of the holders: who is recorded, heard of, or has left.

use super::{NodeState, QuotaCoordinator};
use crate::{holders::HolderChange, message::QuotaReport};
use model::NodeId;
use std::net::SocketAddr;

impl QuotaCoordinator {
    /// Whether a report has to be handled after the next change of the record has been committed,
    /// since its node isn't recorded as a holder.
    pub fn awaits_record(&mut self, node: NodeId, report: &QuotaReport) -> bool {
        if self.may_lend(node.mesh) || self.has_left(node) {
            return false;
        }
        let awaits = !report.demands.is_empty();
        // A node that has just started is going to have calls.
        if let Some(holders) = &mut self.holders
            && (awaits || report.epoch == 0)
        {
            holders.request(node.mesh, awaits);
        }
        awaits
    }

    /// The next change of the record; its end is awaited from then on.
    pub fn next_record_change(&mut self, now_us: u64) -> Option<HolderChange> {
        self.advance(now_us);
        if !self.has_limits {
            return None;
        }
        let nodes = &self.nodes;
        let holds = |node| {
            let state: Option<&NodeState> = nodes.get(&node);
            state.is_some_and(|state| !state.customers.is_empty())
        };
        self.holders.as_mut()?.next_change(now_us, holds)
    }

    /// Ends a change of the record, of which it may be unknown whether it is ever committed.
    pub fn end_record_change(&mut self, now_us: u64, is_committed: bool) {
        if let Some(holders) = &mut self.holders {
            holders.end_change(now_us, is_committed);
        }
    }

    /// The process of a node ends: it admits nothing more and applies no answer that is still on its
    /// way. What it holds is free at once, and no later coordinator has to wait for it.
    ///
    /// Ignored from a process that hasn't reported to this coordinator: a late message must not speak
    /// for the next process at its address.
    pub fn leave(&mut self, now_us: u64, node: NodeId) {
        self.advance(now_us);
        let known = self.nodes.get(&node.mesh);
        if known.is_none_or(|known| known.incarnation != node.incarnation) {
            return;
        }
        self.forget(now_us, node.mesh);
        self.departed.insert(node.mesh, node.incarnation);
        if let Some(holders) = &mut self.holders {
            holders.leave(node.mesh);
        }
    }

    /// Whether this process has left; its reports that arrive later change nothing.
    pub(super) fn has_left(&self, node: NodeId) -> bool {
        let departed = self.departed.get(&node.mesh);
        departed.is_some_and(|departed| node.incarnation <= *departed)
    }

    /// Notes what a report shows about its node, and ends the time of settling if it was the last
    /// one to be heard.
    pub(super) fn note_holder(&mut self, now_us: u64, node: SocketAddr, report: &QuotaReport) {
        let state = self.nodes.get(&node);
        let is_holding = state.is_some_and(|state| !state.customers.is_empty());
        let Some(holders) = &mut self.holders else {
            return;
        };
        holders.record_report(now_us, node, is_holding || !report.demands.is_empty());
        // Before the node has applied an answer of this coordinator, it may still apply one of its
        // predecessor, which was sent before this one started, to a later report than this.
        if report.epoch == self.epoch {
            holders.mark_known(node);
        }
        if self.is_settling && holders.are_known() {
            self.settle(now_us);
        }
    }
}
