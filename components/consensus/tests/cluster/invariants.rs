//! Safety properties of the protocol, checked after each input and at the end of a run.

use super::{Cluster, Host};
use consensus::{Body, Message, Replica, ReplicaId, ReplicaNumber, Role};
use rand::RngExt;
use registry::ChangeResult;
use std::collections::BTreeSet;

/// Age from which on an accepted change must be applied at every replica that counts as current: a
/// leader steps down and a follower gives its leader up within the longest election timeout each,
/// on clocks that run at 70 %.
const MAX_CURRENT_LAG_US: u64 = 4_000_000;

impl Cluster {
    /// A replica that counts as current has applied every change that was accepted some time ago.
    pub(super) fn check_current_replicas(&mut self) {
        while let Some((at_us, revision)) = self.accepted_at.front().copied() {
            if at_us + MAX_CURRENT_LAG_US > self.now_us {
                break;
            }
            self.accepted_at.pop_front();
            self.settled_revision = self.settled_revision.max(revision);
        }
        for number in self.numbers() {
            let now_us = self.local_us(number);
            let Some(replica) = self.hosts[&number].replica.as_ref() else {
                continue;
            };
            assert!(
                !replica.is_current(now_us)
                    || replica.registry().revision() >= self.settled_revision,
                "replica {number} counts as current but is behind\n{}",
                self.report()
            );
        }
    }

    /// Checks that at most one replica considers itself the only leader.
    pub(super) fn check_sole_leaders(&self) {
        let is_sole = |(number, host): &(&ReplicaNumber, &Host)| {
            let now_us = self.local_us(**number);
            let until_us = host.replica.as_ref()?.sole_leader_until_us(now_us);
            (now_us < until_us?).then_some(**number)
        };
        let sole: Vec<_> = self
            .hosts
            .iter()
            .filter_map(|host| is_sole(&host))
            .collect();
        assert!(
            sole.len() <= 1,
            "replicas {sole:?} take themselves for the only leader\n{}",
            self.report()
        );
    }

    /// A vote, formation acceptance or acknowledgement may be sent only after the state that it
    /// reports is on the disk.
    pub(super) fn check_saved_before_send(&self, from: ReplicaNumber, message: &Message) {
        let image = &self.hosts[&from].image;
        let on_disk = match &message.body {
            Body::AppendAccepted { matched, .. } => image.last_index() >= *matched,
            Body::VoteReply { granted: true } => {
                let saved = &image.hard_state;
                let voted_for = saved.voted_for.map(|id| id.disk_id);
                saved.term > message.term
                    || (saved.term == message.term && voted_for == message.to_disk_id)
            }
            Body::FormationAccepted { ballot } => {
                let formation = image.hard_state.formation.as_ref();
                formation.is_some_and(|formation| formation.ballot >= *ballot)
            }
            _ => true,
        };
        assert!(on_disk, "sent before fsync: {message:?}");
    }

    /// A committed entry must be on the disks of a quorum. Disks that were lost count, because they
    /// had the entry.
    pub(super) fn check_quorum(&self, replica: &Replica) {
        let membership = replica.membership();
        let index = replica.commit_index();
        let holds = |id: &&ReplicaId| {
            let image = &self.hosts[&id.number].image;
            image.disk_id != id.disk_id || image.last_index() >= index
        };
        let holders = membership.voters.iter().filter(holds).count();
        assert!(
            holders >= membership.quorum(),
            "committed on only {holders} disks"
        );
    }

    /// Each term has at most one leader, and commits are on a quorum of disks.
    pub(super) fn check_replica(&mut self, number: ReplicaNumber) {
        let Some(replica) = self.hosts[&number].replica.as_ref() else {
            return;
        };
        if replica.role() == Role::Leader {
            let id = replica.id();
            let first = *self.leader_by_term.entry(replica.term()).or_insert(id);
            assert_eq!(first, id, "two leaders in term {}", replica.term());
        }
        if replica.commit_index() > self.max_committed {
            self.check_quorum(replica);
            self.max_committed = replica.commit_index();
            let membership = replica.committed_membership().clone();
            if membership != self.committed_membership {
                let names = self.member_names(&membership);
                self.committed_membership = membership;
                self.log_event(format!("voters are {}", names.join(", ")));
            }
        }
    }

    /// All replicas have the same profiles at the same index and revision.
    pub(super) fn check_applied(&mut self, number: ReplicaNumber, index: u64) {
        let replica = self.replica(number);
        if replica.applied_index() != index {
            return;
        }
        let revision = replica.registry().revision();
        let digest = replica.registry().profiles().digest();
        let first = *self.digest_by_index.entry(index).or_insert(digest);
        assert_eq!(first, digest, "replica {number} differs at index {index}");
        let first = *self.digest_by_revision.entry(revision).or_insert(digest);
        assert_eq!(
            first, digest,
            "revision {revision} has two different contents"
        );
    }

    /// Pulls a delta for a node from a random replica. The node's revision must never decrease, and
    /// its profiles must equal those of the replicas at that revision.
    pub(super) fn sync_node(&mut self, index: usize) {
        let numbers = self.numbers();
        let number = numbers[self.rng.random_range(0..numbers.len())];
        let Some(replica) = self.hosts[&number].replica.as_ref() else {
            return;
        };
        let node = &mut self.node_profiles[index];
        let before = node.revision();
        let has_changed = node.apply(replica.registry().delta_since(before));
        assert!(node.revision() >= before, "a node's revision decreased");
        assert_eq!(has_changed, node.revision() > before);
        assert!(!node.needs_full_delta(), "a node diverged");
        if let Some(digest) = self.digest_by_revision.get(&node.revision()) {
            assert_eq!(*digest, node.digest(), "a node's profiles differ");
        }
    }

    /// Whether all replicas are running, are voters, and have committed the same entries.
    pub fn is_settled(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let leader = self.replica(leader);
        leader.commit_index() >= self.max_committed
            && leader.membership().voters.len() == self.hosts.len()
            && self.hosts.values().all(|host| {
                host.replica.as_ref().is_some_and(|r| {
                    r.commit_index() == leader.commit_index()
                        && r.leader() == Some(leader.id())
                        && leader.committed_membership().contains(r.id())
                })
            })
    }

    /// Waits until the group has settled. Then no accepted change may be lost, no change may have
    /// been applied twice, and all replicas must be equal.
    pub fn check_final_state(&mut self) {
        self.run_until(
            "all replicas equal and voting",
            60_000_000,
            Cluster::is_settled,
        );
        let leader = self.leader().unwrap();
        let registry = self.replica(leader).registry().clone();
        for number in self.numbers() {
            assert!(
                *self.replica(number).registry() == registry,
                "replica {number} differs"
            );
        }
        let mut applied = BTreeSet::new();
        for change in self.proposed.values() {
            let answer = registry.kept_answer(change);
            if let Some(ChangeResult::Accepted { .. }) = answer {
                applied.insert(change.change_id);
            }
            if let Some(revision) = self.accepted.get(&change.change_id) {
                let expected = Some(ChangeResult::Accepted {
                    revision: *revision,
                });
                assert_eq!(answer, expected, "an accepted change was lost");
            }
        }
        assert_eq!(registry.revision().number, applied.len() as u64);
    }
}
