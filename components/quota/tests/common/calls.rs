//! Calls at the nodes and the decisions about them.

use super::{Event, POLL_US, World};
use quota::{Admission, Ticket, Verdict};
use rand::RngExt;
use std::sync::Arc;

impl World {
    pub(super) fn schedule_call(&mut self, load: usize) {
        let demand = (self.loads[load].demand)(self.now_us);
        // Without demand, it is looked at again after a while.
        if demand <= 0.0 {
            self.schedule(self.now_us + POLL_US, Event::Call(load));
            return;
        }
        let factor = match self.loads[load].is_random {
            true => -f64::ln(1.0 - self.random.random::<f64>()),
            false => self.random.random_range(0.8..1.2),
        };
        let gap_us = (factor * 1e6 / demand) as u64;
        self.schedule(self.now_us + gap_us.max(1), Event::Call(load));
    }

    pub(super) fn call(&mut self, load: usize, node: usize) {
        let state = &mut self.nodes[node];
        // The caller of a dead or frozen node gets no answer from it.
        if state.is_dead || state.frozen_until_us > self.now_us {
            return;
        }
        self.next_ticket += 1;
        let name = Arc::clone(&self.loads[load].name);
        let rate = self.loads[load].limit.limited_rate().unwrap_or(f64::MAX);
        let admission = state
            .quota
            .admit(self.now_us, &name, rate, self.next_ticket);
        match admission {
            Admission::Decided(verdict) => self.record_decision(load, node, verdict, self.now_us),
            Admission::Waiting => {
                state.waiting.insert(self.next_ticket, (load, self.now_us));
                self.poll(node);
            }
        }
    }

    pub(super) fn record_decisions(&mut self, node: usize, decided: Vec<(Ticket, Verdict)>) {
        for (ticket, verdict) in decided {
            if let Some((load, arrived_us)) = self.nodes[node].waiting.remove(&ticket) {
                self.record_decision(load, node, verdict, arrived_us);
            }
        }
    }

    fn record_decision(&mut self, load: usize, node: usize, verdict: Verdict, arrived_us: u64) {
        let decisions = &mut self.decisions[load];
        let wait_us = self.now_us - arrived_us;
        decisions.longest_wait_us = decisions.longest_wait_us.max(wait_us);
        match verdict {
            Verdict::Admitted if self.random.random_range(0..100) < self.not_run_percent => {
                let quota = &mut self.nodes[node].quota;
                quota.give_back(self.now_us, &self.loads[load].name);
            }
            Verdict::Admitted => decisions.admitted_us.push(self.now_us),
            Verdict::OverLimit { .. } => decisions.over_limit_us.push(self.now_us),
            Verdict::Unavailable { .. } => decisions.unavailable_us.push(self.now_us),
        }
    }
}
