//! Reports that nodes send with their pulls.

use crate::latest_by_node::LatestByNode;
use model::{NodeId, ProfileName};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};
use wire::NodeReport;

/// Age of a report from which its node counts as stale, in milliseconds: three missed pulls.
pub(crate) const STALE_AFTER_MS: u64 = 3_500;
/// Age from which the report of a leaving node is not listed, in milliseconds.
const FORGET_LEAVING_MS: u64 = 2_000;

/// Latest reports of the nodes that pull from one replica.
#[derive(Default)]
pub(crate) struct NodeReports {
    latest: Mutex<LatestByNode<NodeReport>>,
}

impl NodeReports {
    pub(crate) fn record(&self, now_us: u64, report: NodeReport) {
        self.lock().record(now_us, report.node.mesh, report);
    }

    /// Drops old reports and returns the others with their ages.
    pub(crate) fn list(&self, now_us: u64) -> Vec<NodeReport> {
        let mut latest = self.lock();
        let reports = latest.list(now_us).map(|(_, age_ms, report)| NodeReport {
            age_ms,
            ..report.clone()
        });
        reports.collect()
    }

    fn lock(&self) -> MutexGuard<'_, LatestByNode<NodeReport>> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Merges the reports of several replicas and keeps the latest of each node. Replicas keep the
/// reports of leaving nodes, so that an older report at another replica does not bring such a node
/// back here.
pub(crate) fn merge_reports(lists: impl IntoIterator<Item = Vec<NodeReport>>) -> Vec<NodeReport> {
    let mut merged: BTreeMap<SocketAddr, NodeReport> = BTreeMap::new();
    for report in lists.into_iter().flatten() {
        let rank = |r: &NodeReport| (r.node.incarnation, std::cmp::Reverse(r.age_ms));
        match merged.get(&report.node.mesh) {
            Some(known) if rank(known) >= rank(&report) => (),
            _ => {
                merged.insert(report.node.mesh, report);
            }
        }
    }
    merged
        .into_values()
        .filter(|report| !report.leaving || report.age_ms < FORGET_LEAVING_MS)
        .collect()
}

/// Names of the profiles that reported instances use.
pub(crate) fn profiles_in_use(reports: &[NodeReport]) -> Vec<ProfileName> {
    let names: BTreeSet<ProfileName> = reports
        .iter()
        .filter_map(|report| report.instance.as_ref())
        .flat_map(|instance| instance.profiles.iter().cloned())
        .collect();
    names.into_iter().collect()
}

/// The nodes whose local instance has this name, and this service if one is given.
pub(crate) fn nodes_with_instance(
    reports: &[NodeReport],
    instance: &str,
    service: Option<&str>,
) -> Vec<NodeId> {
    reports
        .iter()
        .filter(|report| {
            report.instance.as_ref().is_some_and(|i| {
                i.name.as_str() == instance && service.is_none_or(|s| s == i.service.as_str())
            })
        })
        .map(|report| report.node)
        .collect()
}
