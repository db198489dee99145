//! The network between the replicas.

use super::Cluster;
use consensus::{Input, Message, ReplicaNumber};
use rand::RngExt;

#[derive(Debug)]
pub(super) struct InFlightMessage {
    due_us: u64,
    from: ReplicaNumber,
    to: ReplicaNumber,
    message: Message,
}

impl Cluster {
    pub(super) fn send_message(
        &mut self,
        from: ReplicaNumber,
        to: ReplicaNumber,
        message: &Message,
    ) {
        self.messages += 1;
        self.check_saved_before_send(from, message);
        let faults = self.faults;
        if self.rng.random_range(0..100) < faults.loss_percent {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < faults.duplicate_percent);
        for _ in 0..copies {
            let due_us = self.now_us + self.rng.random_range(0..=faults.max_delay_us);
            self.in_flight.push(InFlightMessage {
                due_us,
                from,
                to,
                message: message.clone(),
            });
        }
    }

    /// Delivers the messages that are due.
    pub(super) fn deliver_due(&mut self) {
        let now_us = self.now_us;
        let due;
        (due, self.in_flight) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|flight| flight.due_us <= now_us);
        for flight in due {
            if !self.blocked.contains(&(flight.from, flight.to)) {
                self.input(flight.to, Input::Message(flight.message));
            }
        }
    }
}
