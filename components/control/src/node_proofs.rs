//! Ages of the nodes' proofs of strict revocation, as operators see them.

use crate::{context::ControlContext, operator::PEER_TIMEOUT, reports::STALE_AFTER_MS};
use api::NodeProof;
use std::{collections::BTreeMap, net::SocketAddr};
use wire::{ControlReply, ControlRequest, NodeReport};

impl ControlContext {
    /// The live nodes among `reports` with the ages of their proofs.
    pub(crate) fn node_proofs(
        &self,
        reports: &[NodeReport],
        peers: impl IntoIterator<Item = SocketAddr>,
    ) -> Vec<NodeProof> {
        let ages = self.all_proof_ages(peers);
        let live = reports
            .iter()
            .filter(|report| report.age_ms <= STALE_AFTER_MS);
        live.map(|report| NodeProof {
            node: report.node.mesh,
            host: report.host.clone(),
            proof_age_ms: ages.get(&report.node.mesh).copied(),
        })
        .collect()
    }

    /// Age of the newest proof of each node, from this replica and the others that answer.
    fn all_proof_ages(
        &self,
        peers: impl IntoIterator<Item = SocketAddr>,
    ) -> BTreeMap<SocketAddr, u64> {
        let mut lists = vec![self.confirmations.proof_ages(self.kernel.clock.now_us())];
        for peer in peers {
            if let Some(ControlReply::ProofAges(ages)) =
                self.request_peer(peer, &ControlRequest::ProofAges, PEER_TIMEOUT)
            {
                lists.push(ages);
            }
        }
        let mut newest = BTreeMap::new();
        for (node, age_ms) in lists.into_iter().flatten() {
            let known = newest.entry(node).or_insert(age_ms);
            *known = age_ms.min(*known);
        }
        newest
    }
}
