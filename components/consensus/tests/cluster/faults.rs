//! Faults of hosts, disks, clocks and the network.

use super::{Cluster, Host, STEP_US};
use consensus::{Input, ReplicaId, ReplicaNumber, Write};
use rand::RngExt;

/// Network and disk faults that are drawn at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay_us: u64,
    /// Chance, before each queued write, that the disk writes no more in this step.
    pub disk_lag_percent: u32,
    /// Time that each sync of a disk takes.
    pub disk_sync_us: u64,
    /// Replicas up to this number have disks that sync at once.
    pub last_fast_disk: ReplicaNumber,
}

impl Faults {
    /// Only delays of messages up to the length of a step.
    pub fn none() -> Self {
        Faults {
            max_delay_us: STEP_US,
            ..Faults::default()
        }
    }
}

impl Cluster {
    /// Stops a replica. Of the unconfirmed writes, a random prefix is on the disk.
    pub fn crash(&mut self, number: ReplicaNumber) {
        let rng = &mut self.rng;
        let host = self.hosts.get_mut(&number).unwrap();
        if host.replica.take().is_none() {
            return;
        }
        let done = rng.random_range(0..=host.queued_writes.len());
        for (_, write) in host.queued_writes.drain(..done) {
            host.image.write(&write);
        }
        if let Some((_, Write::Append(entries))) = host.queued_writes.pop_front() {
            let written = rng.random_range(0..=entries.len());
            if written > 0 {
                host.image
                    .write(&Write::Append(entries[..written].to_vec()));
            }
        }
        host.queued_writes.clear();
        self.log_event(format!("replica {number} crashes"));
    }

    pub fn lose_disk(&mut self, number: ReplicaNumber) {
        self.crash(number);
        self.new_disk(number);
        self.lost_disks += 1;
        self.log_event(format!("replica {number} loses its disk"));
    }

    /// Whether a disk can be lost without losing the quorum's data: all replicas must be voters
    /// with their current disks.
    pub fn can_lose_disk(&self) -> bool {
        if self.max_committed == 0 {
            return self.lost_disks == 0;
        }
        let id = |(number, host): (&u64, &Host)| ReplicaId {
            number: *number,
            disk_id: host.image.disk_id,
        };
        let voters = &self.committed_membership;
        voters.voters.len() == self.hosts.len() && self.hosts.iter().all(|h| voters.contains(id(h)))
    }

    pub fn isolate(&mut self, number: ReplicaNumber) {
        for other in self.numbers() {
            self.blocked.insert((number, other));
            self.blocked.insert((other, number));
        }
        self.log_event(format!("replica {number} is cut off"));
    }

    pub fn heal(&mut self) {
        self.blocked.clear();
        self.log_event("the network is whole");
    }

    pub fn drop_messages_in_flight(&mut self) {
        self.in_flight.clear();
    }

    /// Changes the speed of a local clock; its time continues without a jump.
    pub fn set_clock_speed(&mut self, number: ReplicaNumber, percent: u64) {
        let local_us = self.local_us(number);
        let now_us = self.now_us;
        let host = self.hosts.get_mut(&number).unwrap();
        host.clock_percent = percent;
        host.clock_base_us = (now_us, local_us);
    }

    /// Ends all faults and restarts stopped replicas.
    pub fn end_all_faults(&mut self) {
        self.heal();
        self.faults = Faults::none();
        for number in self.numbers() {
            self.hosts.get_mut(&number).unwrap().disk_is_stuck = false;
            if self.hosts[&number].replica.is_none() {
                self.restart(number);
            }
            self.input(number, Input::StorageFull(false));
        }
    }
}
