//! Proposals and reads, and the replies to them.

use super::Cluster;
use consensus::{Input, ReplicaNumber, Reply};
use registry::{Change, ChangeResult};

impl Cluster {
    pub fn propose(&mut self, to: ReplicaNumber, token: u64, change: Change) {
        self.proposed.insert(token, change.clone());
        self.input(to, Input::Propose { token, change });
    }

    /// Proposes a change to the current leader, again after refusals, until it is applied.
    pub fn commit(&mut self, token: u64, change: &Change) -> Reply {
        for _ in 0..200 {
            let leader = self.wait_for_leader();
            self.answers.remove(&token);
            self.propose(leader, token, change.clone());
            self.run_for_or_until(2_000_000, |c| c.answers.contains_key(&token));
            if let Some(reply @ Reply::Committed(_)) = self.answers.get(&token) {
                return reply.clone();
            }
            self.run(100_000);
        }
        panic!("change {token} was never applied\n{}", self.report());
    }

    /// Requests a read, which must include every change accepted before.
    pub fn read(&mut self, to: ReplicaNumber, token: u64) {
        let newest = self.accepted.values().max().copied().unwrap_or_default();
        self.min_read_revisions.insert(token, newest);
        self.input(to, Input::ReadIndex { token });
    }

    pub(super) fn on_answer(&mut self, number: ReplicaNumber, token: u64, reply: Reply) {
        let change = self.proposed[&token].clone();
        if let Reply::Committed(ChangeResult::Accepted { revision }) = &reply {
            let first = *self.accepted.entry(change.change_id).or_insert(*revision);
            assert_eq!(first, *revision, "a resend was applied twice");
            self.accepted_at.push_back((self.now_us, *revision));
        }
        let text = match &reply {
            Reply::Committed(ChangeResult::Accepted { revision }) => {
                format!("accepted as {revision}")
            }
            Reply::Committed(ChangeResult::Rejected(kind, detail)) => format!("{kind}: {detail}"),
            Reply::Refused { kind, leader } => format!("{kind}, leader {leader:?}"),
        };
        self.log_event(format!("replica {number} answers {token}: {text}"));
        self.answers.insert(token, reply);
    }

    /// Checks that a read includes every change that was accepted before it.
    pub(super) fn on_read_ready(
        &mut self,
        number: ReplicaNumber,
        token: u64,
        result: Result<u64, Reply>,
    ) {
        if result.is_ok() {
            let read = self.replica(number).registry().revision();
            assert!(read >= self.min_read_revisions[&token], "an outdated read");
        }
        self.reads.insert(token, result);
    }
}
