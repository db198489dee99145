//! Readable descriptions of a run, for golden sessions and failed checks.

use super::Cluster;
use consensus::{Membership, ReplicaId};

impl Cluster {
    pub fn log_event(&mut self, event: impl Into<String>) {
        let at_ms = self.now_us / 1_000;
        self.events.push(format!("{at_ms:>6} ms  {}", event.into()));
    }

    pub fn report(&self) -> String {
        let tail = self.events.len().saturating_sub(60);
        let mut lines = self.events[tail..].to_vec();
        for (number, host) in &self.hosts {
            lines.push(match &host.replica {
                None => format!("replica {number} is down"),
                Some(r) => format!(
                    "replica {number} ({}): {:?} term {} commit {} members {:?}",
                    self.name(r.id()),
                    r.role(),
                    r.term(),
                    r.commit_index(),
                    self.member_names(r.membership()),
                ),
            });
        }
        lines.join("\n")
    }

    pub fn member_names(&self, membership: &Membership) -> Vec<String> {
        membership.voters.iter().map(|id| self.name(*id)).collect()
    }

    fn name(&self, id: ReplicaId) -> String {
        let name = self.identity_names.get(&id.disk_id).cloned();
        name.unwrap_or_else(|| id.to_string())
    }
}
