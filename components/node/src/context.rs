//! State that the plug-ins of one node share in addition to the kernel.

use crate::{
    announce::Announcement, downstream::Downstream, generations::ConnectionGenerations,
    local::LocalInstance, parents::Parents, probes::ProbeTable, revision_offers::RevisionOffers,
    revocation::RevocationState, start_wait::StartWait,
};
use api::{AdmissionInfo, RouteAnswer, RouteQuery};
use kernel::{Event, Kernel, KindLabels};
use mesh::Channel;
use model::{Fingerprint, LoadSignal, ServiceName, UpstreamName};
use std::{
    net::SocketAddr,
    sync::{
        Arc, OnceLock, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};
use suspects::{Evidence, IncidentId, Verdict};
use wire::RunCall;

/// Share of the stop timeout within which calls may still start, in percent.
const LAST_START_PERCENT: u64 = 70;
/// Smallest number of nodes that a shared budget is divided by.
const MIN_BUDGET_NODES: u32 = 8;

/// Shared state of the plug-ins of one node, owned by the kernel.
pub(crate) struct NodeContext {
    pub(crate) kernel: Arc<Kernel>,
    pub(crate) local: LocalInstance,
    pub(crate) probes: ProbeTable,
    pub(crate) generations: ConnectionGenerations,
    pub(crate) revision_offers: RevisionOffers,
    pub(crate) revocation: RevocationState,
    pub(crate) start_wait: StartWait,
    /// Whether this node knows the crash suspects of its peers; it runs no calls before.
    pub(crate) knows_suspects: AtomicBool,
    /// Mesh addresses of the control replicas.
    control_replicas: RwLock<Arc<[SocketAddr]>>,
    /// Mesh addresses of the other live nodes.
    peers: RwLock<Arc<[SocketAddr]>>,
    /// Time of the stop request; unset while the node is not stopping.
    pub(crate) stop_requested_us: OnceLock<u64>,
    /// Highest number of live nodes seen since the start.
    pub(crate) max_seen_nodes: AtomicU32,
    /// Reads the load of the local instance from the `owner` plug-in, which sets this at its start.
    pub(crate) local_load: OnceLock<LocalLoadReader>,
    /// Answers what the owner would decide, set by the `owner` plug-in at its start.
    pub(crate) owner_preview: OnceLock<Arc<dyn OwnerPreview>>,
    /// Answers route queries, set by the `entry` plug-in at its start.
    pub(crate) route_preview: OnceLock<RoutePreview>,
    /// Calls that run at the local instance and may make others.
    pub(crate) parents: Parents,
    /// Capacity of the services that the local instance calls; `None` without the setting.
    pub(crate) downstream: Option<Downstream>,
}

/// Returns the load of the local instance, if one is announced.
pub(crate) type LocalLoadReader = Box<dyn Fn() -> Option<LoadSignal> + Send + Sync>;

/// Tells where a call would go; `None` if the entry has ended.
pub(crate) type RoutePreview = Box<dyn Fn(&RouteQuery) -> Option<RouteAnswer> + Send + Sync>;

/// What the owner would decide, without an effect on its state.
pub(crate) trait OwnerPreview: Send + Sync {
    /// The load signal that the owner would give now, if an instance is announced.
    fn upcoming_load(&self) -> Option<LoadSignal>;

    /// What the owner would decide now about a call of a customer.
    fn admission(&self, call: &RunCall, customer: Option<&str>) -> AdmissionInfo;
}

impl NodeContext {
    /// The context of this kernel's node, created on first use.
    pub(crate) fn for_kernel(kernel: &Arc<Kernel>) -> Arc<NodeContext> {
        kernel.shared(|| NodeContext {
            kernel: Arc::clone(kernel),
            local: LocalInstance::new(kernel),
            probes: ProbeTable::new(kernel),
            generations: ConnectionGenerations::default(),
            revision_offers: RevisionOffers::new(),
            revocation: RevocationState::new(kernel.node_settings().revocation_ms),
            start_wait: StartWait::new(Duration::from_millis(kernel.node_settings().start_wait_ms)),
            knows_suspects: AtomicBool::new(false),
            control_replicas: RwLock::new(Arc::from(&kernel.node_settings().control[..])),
            peers: RwLock::new(Arc::from([])),
            stop_requested_us: OnceLock::new(),
            max_seen_nodes: AtomicU32::new(0),
            local_load: OnceLock::new(),
            owner_preview: OnceLock::new(),
            route_preview: OnceLock::new(),
            parents: Parents::default(),
            downstream: Downstream::new(kernel.node_settings()),
        })
    }

    /// Whether all calls can be routed and, if customers are configured, their keys be accepted.
    pub(crate) fn can_decide_about_calls(&self) -> bool {
        let routes = self.kernel.profiles.routes();
        routes.is_some_and(|table| table.customers().is_none() || self.revocation.may_accept_keys())
    }

    /// Longest time until a call sent by this stopping node must start at its owner, so that the
    /// call ends before this node exits. `None` if the node is not stopping.
    pub(crate) fn max_start_delay_at_stop_us(&self, now_us: u64) -> Option<u64> {
        let stop_requested_us = self.stop_requested_us.get()?;
        let stop_timeout_us = self.kernel.node_settings().stop_timeout_ms * 1_000;
        let last_start_us = stop_requested_us + stop_timeout_us * LAST_START_PERCENT / 100;
        Some(last_start_us.saturating_sub(now_us))
    }

    /// Number of nodes that cluster-wide budgets are divided by. A node that has just started, or
    /// is partitioned, knows few others and must not use up their shares, hence the minimum and the
    /// highest number seen.
    pub(crate) fn budget_node_count(&self) -> u32 {
        let known = self.kernel.metrics.members.get();
        let known = u32::try_from(known).unwrap_or(0);
        known
            .max(self.max_seen_nodes.fetch_max(known, Ordering::Relaxed))
            .max(MIN_BUDGET_NODES)
    }

    /// Names of the announcement's profiles that are not in effect here.
    pub(crate) fn unknown_profiles(&self, announcement: &Announcement) -> Vec<String> {
        let set = self.kernel.profiles.current();
        std::iter::once(&announcement.default_profile)
            .chain(announcement.rules.iter().map(|rule| &rule.profile))
            .filter(|name| set.resolve(name).is_none())
            .map(ToString::to_string)
            .collect()
    }

    /// Records a call that was cut off as a crash suspect and triggers its spread to other nodes.
    /// Returns what is known against the request now.
    pub(crate) fn record_crash(
        &self,
        now_us: u64,
        incident: IncidentId,
        fingerprint: &Fingerprint,
        is_trial: bool,
    ) -> Evidence {
        let evidence = self.kernel.suspects.with(|suspects| {
            if is_trial {
                suspects.record_trial_crash(now_us, incident, fingerprint);
            } else {
                suspects.record_crash(now_us, incident, std::slice::from_ref(fingerprint));
            }
            suspects.evidence(now_us, fingerprint)
        });
        self.count_suspects("recorded");
        self.kernel.events.publish(&Event::CrashSuspectsChanged);
        evidence
    }

    /// Counts a call that is refused as a crash suspect and describes the reason for the log.
    pub(crate) fn count_refused(&self, now_us: u64, fingerprint: &Fingerprint) -> String {
        self.count_suspects("refused");
        let evidence = self.evidence(now_us, fingerprint);
        format!("request {fingerprint}: {evidence}")
    }

    /// How a request is to be treated now.
    pub(crate) fn verdict(&self, now_us: u64, fingerprint: &Fingerprint) -> Verdict {
        self.kernel
            .suspects
            .with(|suspects| suspects.verdict(now_us, fingerprint))
    }

    /// The upstream of the service at which a request is tried.
    pub(crate) fn trial_upstream(
        &self,
        now_us: u64,
        service: &ServiceName,
        fingerprint: &Fingerprint,
    ) -> Option<UpstreamName> {
        let upstreams = self.kernel.directory.upstreams(service);
        let evacuated = self.kernel.profiles.evacuated_zones();
        let names = upstreams
            .iter()
            .filter(|upstream| upstream.state.accepts_calls())
            .filter(|upstream| !evacuated.contains(&upstream.availability_zone))
            .map(|upstream| &upstream.name);
        let trials = self.evidence(now_us, fingerprint).trials;
        suspects::trial_upstream(fingerprint, trials, names).cloned()
    }

    /// What is known against a request.
    pub(crate) fn evidence(&self, now_us: u64, fingerprint: &Fingerprint) -> Evidence {
        self.kernel
            .suspects
            .with(|suspects| suspects.evidence(now_us, fingerprint))
    }

    /// Mesh addresses of the other live nodes.
    pub(crate) fn peers(&self) -> Arc<[SocketAddr]> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&peers)
    }

    /// Mesh addresses of the control replicas: of the settings, or as the group named them last.
    pub(crate) fn control_replicas(&self) -> Arc<[SocketAddr]> {
        let replicas = self.control_replicas.read();
        Arc::clone(&replicas.unwrap_or_else(PoisonError::into_inner))
    }

    /// Records the control replicas that the group has named.
    pub(crate) fn set_control_replicas(&self, named: &[SocketAddr]) {
        let replicas = self.control_replicas.write();
        *replicas.unwrap_or_else(PoisonError::into_inner) = Arc::from(named);
    }

    /// Records the live nodes that gossip knows now; returns their number, with this one.
    pub(crate) fn set_live_nodes(&self, nodes: impl Iterator<Item = SocketAddr>) -> usize {
        let own = self.kernel.mesh.local_id().mesh;
        let peers: Arc<[SocketAddr]> = nodes.filter(|address| *address != own).collect();
        let live = peers.len() + 1;
        *self.peers.write().unwrap_or_else(PoisonError::into_inner) = peers;
        live
    }

    /// Counts an event of the crash suspects.
    pub(crate) fn count_suspects(&self, kind: &'static str) {
        let suspects = &self.kernel.metrics.crash_suspects;
        suspects.get_or_create(&KindLabels { kind }).inc();
    }

    /// Updates the metrics whose values are kept elsewhere.
    pub(crate) fn refresh_metrics(&self) {
        admin::refresh_memory_metrics(&self.kernel);
        let metrics = &self.kernel.metrics;
        let revision = self.kernel.profiles.revision();
        metrics.revision.set(revision.number as i64);
        metrics
            .config_age_ms
            .set(self.kernel.profiles.age_ms(self.kernel.clock.now_us()) as i64);
        let proof_age_ms = self.revocation.age_ms();
        metrics
            .revocation_proof_age_ms
            .set(proof_age_ms.map_or(-1, |age_ms| age_ms as i64));
        let stats = self.kernel.mesh.stats();
        for channel in Channel::ALL {
            let labels = KindLabels {
                kind: channel.name(),
            };
            let channel = stats.channel(channel);
            let messages = (channel.messages_in + channel.messages_out) as i64;
            metrics.mesh_messages.get_or_create(&labels).set(messages);
            metrics
                .mesh_bytes
                .get_or_create(&labels)
                .set((channel.bytes_in + channel.bytes_out) as i64);
        }
    }
}
