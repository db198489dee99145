//! Messages between nodes and the coordinator.

use super::{Event, World};
use model::NodeId;
use quota::{QuotaAnswer, QuotaReport};
use rand::RngExt;
use std::net::SocketAddr;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Encoded(pub(super) Vec<u8>);

impl World {
    pub(super) fn poll(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if state.is_dead || state.frozen_until_us > self.now_us {
            return;
        }
        let decided = state.quota.expire(self.now_us);
        if let Some(report) = state.quota.poll(self.now_us) {
            let incarnation = state.incarnation;
            let payload = postcard::to_stdvec(&report).expect("a report");
            self.count_message(&payload);
            let at_us = self.now_us + self.latency_us();
            let event = Event::Report(node, incarnation, Box::new(Encoded(payload)));
            self.schedule(at_us, event);
        }
        self.record_decisions(node, decided);
    }

    /// Handles a report that arrives at the coordinator.
    pub(super) fn on_report(&mut self, node: usize, incarnation: u64, payload: &[u8]) {
        let is_lost = self.random.random_range(0..100) < self.lost_percent;
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        if self.nodes[node].is_cut || is_lost {
            return;
        }
        let report: QuotaReport = postcard::from_bytes(payload).expect("a report");
        let id = NodeId {
            mesh: SocketAddr::from(([127, 0, 0, 1], node as u16)),
            incarnation,
        };
        if coordinator.awaits_record(id, &report) {
            self.awaiting.push((node, incarnation, payload.to_vec()));
            self.write_record();
            return;
        }
        let answer = coordinator.handle(self.now_us, id, &report);
        self.write_record();
        let payload = postcard::to_stdvec(&answer).expect("an answer");
        self.count_message(&payload);
        if self.random.random_range(0..100) < self.lost_percent {
            return;
        }
        let at_us = self.now_us + self.latency_us();
        let sequence = report.sequence;
        let event = Event::Answer(node, incarnation, sequence, Box::new(Encoded(payload)));
        self.schedule(at_us, event);
    }

    /// Handles an answer that arrives at a node.
    pub(super) fn on_answer(
        &mut self,
        node: usize,
        incarnation: u64,
        sequence: u64,
        payload: Box<Encoded>,
    ) {
        let state = &mut self.nodes[node];
        if state.is_cut || state.is_dead || state.incarnation != incarnation {
            return;
        }
        if state.frozen_until_us > self.now_us {
            let at_us = state.frozen_until_us;
            self.schedule(at_us, Event::Answer(node, incarnation, sequence, payload));
            return;
        }
        let answer: QuotaAnswer = postcard::from_bytes(&payload.0).expect("an answer");
        let decided = state.quota.on_answer(self.now_us, sequence, &answer);
        self.record_decisions(node, decided);
        self.assert_shares();
        self.poll(node);
    }

    fn count_message(&mut self, payload: &[u8]) {
        self.messages += 1;
        self.message_bytes += payload.len() as u64;
    }

    fn latency_us(&mut self) -> u64 {
        match self.slow_percent > 0 && self.random.random_range(0..100) < self.slow_percent {
            true => self.random.random_range(20_000..1_500_000),
            false => self.random.random_range(900..3_000),
        }
    }
}
