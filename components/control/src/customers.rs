//! Customers and proofs of strict revocation, as operators see them.

use crate::{
    context::{ControlContext, Refusal},
    operator::PEER_TIMEOUT,
    reports::STALE_AFTER_MS,
};
use api::{CustomerEntry, CustomerList, NodeProof};
use config::Customer;
use std::{collections::BTreeMap, net::SocketAddr};
use wire::{ControlReply, ControlRequest, NodeReport};

impl ControlContext {
    /// The customers of the newest configuration without their keys, and the ages of the proofs of
    /// the live nodes among `reports`.
    pub(crate) fn customer_list(
        &self,
        reports: &[NodeReport],
        peers: impl IntoIterator<Item = SocketAddr>,
    ) -> Result<CustomerList, Refusal> {
        let configuration = self.newest_configuration()?.settings.configuration;
        let ages = self.all_proof_ages(peers);
        let live = reports
            .iter()
            .filter(|report| report.age_ms <= STALE_AFTER_MS);
        Ok(CustomerList {
            version: configuration.as_ref().map_or(0, |known| known.version),
            customers: configuration.and_then(|known| {
                let customers = known.customers.as_ref()?;
                Some(customers.iter().map(customer_entry).collect())
            }),
            nodes: live
                .map(|report| NodeProof {
                    node: report.node.mesh,
                    host: report.host.clone(),
                    proof_age_ms: ages.get(&report.node.mesh).copied(),
                })
                .collect(),
        })
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

fn customer_entry(customer: &Customer) -> CustomerEntry {
    CustomerEntry {
        name: customer.name.to_string(),
        keys: customer.keys.len(),
        rank: customer.rank,
        rate_per_s: customer.rate_per_s.map(config::Quantity::as_f64),
        burst: customer.burst.map(config::Quantity::as_f64),
    }
}
