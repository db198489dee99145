//! Collects the use of the quotas of customers from all nodes, for operators.

use crate::context::ControlContext;
use api::{CustomerList, CustomerShare, CustomerStatus};
use config::{Customer, Quantity};
use mesh::Channel;
use registry::Delta;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};
use wire::{CustomerQuotaUse, NodeReport, SyncReply, SyncRequest};

/// Longest wait for the nodes.
const NODES_TIMEOUT: Duration = Duration::from_millis(700);

/// The customers of the newest configuration, with their use at the nodes that answer.
pub(crate) fn list(
    control: &ControlContext,
    newest: &Delta,
    reports: &[NodeReport],
    peers: impl IntoIterator<Item = SocketAddr>,
) -> CustomerList {
    let configured = newest.settings.configuration.as_ref();
    let configured = configured.and_then(|configuration| configuration.customers.as_deref());
    let mut customers: BTreeMap<String, CustomerStatus> = configured
        .unwrap_or_default()
        .iter()
        .map(|customer| (customer.name.to_string(), status_without_use(customer)))
        .collect();
    let mut silent: BTreeSet<SocketAddr> = match customers.is_empty() {
        true => BTreeSet::new(),
        false => reports.iter().map(|report| report.node.mesh).collect(),
    };
    for (node, usage) in usage_by_node(control, &silent) {
        silent.remove(&node);
        for used in usage {
            if let Some(status) = customers.get_mut(&*used.customer) {
                add(status, node, &used);
            }
        }
    }
    let mut customers: Vec<CustomerStatus> = customers.into_values().collect();
    for customer in &mut customers {
        customer.shares.sort_by_key(|share| share.node);
    }
    CustomerList {
        revision: newest.to,
        customers,
        silent_nodes: silent.into_iter().collect(),
        nodes: control.node_proofs(reports, peers),
    }
}

fn usage_by_node(
    control: &ControlContext,
    nodes: &BTreeSet<SocketAddr>,
) -> Vec<(SocketAddr, Vec<CustomerQuotaUse>)> {
    let until = Instant::now() + NODES_TIMEOUT;
    let replies = control.kernel.request_each(
        nodes.iter().copied(),
        Channel::Sync,
        &SyncRequest::QuotaUse,
        NODES_TIMEOUT,
    );
    let mut usage = Vec::new();
    while let Ok((node, reply)) = replies.recv_deadline(until) {
        if let Some(SyncReply::QuotaUse(used)) = reply {
            usage.push((node, used));
        }
    }
    usage
}

fn status_without_use(customer: &Customer) -> CustomerStatus {
    CustomerStatus {
        name: customer.name.to_string(),
        keys: customer.keys.len(),
        rank: customer.rank.as_ref().map(Quantity::to_f64),
        rate_per_s: customer.limited_rate_per_s(),
        burst: customer.burst_calls(),
        admitted: 0,
        over_limit: 0,
        unconfirmed: 0,
        shares: Vec::new(),
    }
}

fn add(status: &mut CustomerStatus, node: SocketAddr, used: &CustomerQuotaUse) {
    status.admitted += used.admitted;
    status.over_limit += used.over_limit;
    status.unconfirmed += used.unconfirmed;
    if used.share_milli_per_s > 0 {
        status.shares.push(CustomerShare {
            node,
            calls_per_s: used.share_milli_per_s as f64 / 1_000.0,
        });
    }
}
