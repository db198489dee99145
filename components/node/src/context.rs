//! What the plug-ins of one node share beside the kernel.

use crate::{
    announce::Announcement, generations::Generations, local::LocalInstance, newer::NewerOffers,
    probes::ProbeTable,
};
use calls::{Fingerprint, IncidentId};
use kernel::{Event, Kernel, KindLabels};
use mesh::Channel;
use model::LoadSignal;
use std::sync::{
    Arc, OnceLock,
    atomic::{AtomicU32, Ordering},
};

/// Part of the stop timeout in which calls may still start, in percent.
const LAST_START_PERCENT: u64 = 70;
/// Nodes that a budget is divided by at least.
const MIN_NODES: u32 = 8;

/// Shared by the plug-ins of one node, owned by the kernel.
pub(crate) struct NodeContext {
    pub(crate) kernel: Arc<Kernel>,
    pub(crate) local: LocalInstance,
    pub(crate) probes: ProbeTable,
    pub(crate) generations: Generations,
    pub(crate) newer: NewerOffers,
    /// When this node began to stop.
    pub(crate) stopped_us: OnceLock<u64>,
    /// Most live nodes known at any time.
    pub(crate) most_nodes: AtomicU32,
    /// Load of the local instance, as its owner counts it.
    pub(crate) own_load: OnceLock<OwnLoad>,
}

/// Reads the load of the local instance.
pub(crate) type OwnLoad = Box<dyn Fn() -> Option<LoadSignal> + Send + Sync>;

impl NodeContext {
    /// The context of this kernel's node.
    pub(crate) fn of(kernel: &Arc<Kernel>) -> Arc<NodeContext> {
        kernel.shared(|| NodeContext {
            kernel: Arc::clone(kernel),
            local: LocalInstance::new(kernel),
            probes: ProbeTable::new(kernel),
            generations: Generations::default(),
            newer: NewerOffers::new(),
            stopped_us: OnceLock::new(),
            most_nodes: AtomicU32::new(0),
            own_load: OnceLock::new(),
        })
    }

    /// Longest wait of a call that this node sends while it stops, so that it still ends before the
    /// node does.
    pub(crate) fn start_by_at_stop_us(&self, now_us: u64) -> Option<u64> {
        let stopped_us = self.stopped_us.get()?;
        let stop_timeout_us = self.kernel.node_settings().stop_timeout_ms * 1_000;
        let last_start_us = stopped_us + stop_timeout_us * LAST_START_PERCENT / 100;
        Some(last_start_us.saturating_sub(now_us))
    }

    /// Nodes that share budgets with this one. A node that has just started, or is cut off, knows
    /// few others and must not take their parts.
    pub(crate) fn live_nodes(&self) -> u32 {
        let known = self.kernel.metrics.members.get();
        let known = u32::try_from(known).unwrap_or(0);
        known
            .max(self.most_nodes.fetch_max(known, Ordering::Relaxed))
            .max(MIN_NODES)
    }

    /// Names of the announcement's profiles that are not in effect here.
    pub(crate) fn missing_profiles(&self, announcement: &Announcement) -> Vec<String> {
        let set = self.kernel.profiles.current();
        std::iter::once(&announcement.default_profile)
            .chain(announcement.rules.iter().map(|rule| &rule.profile))
            .filter(|name| set.resolve(name).is_none())
            .map(ToString::to_string)
            .collect()
    }

    /// Notes a cut-off call as a suspect and lets the other nodes know.
    pub(crate) fn note_crash(&self, now_us: u64, incident: IncidentId, fingerprint: &Fingerprint) {
        self.kernel.suspects.with(|suspects| {
            suspects.record_crash(now_us, incident, std::slice::from_ref(fingerprint));
        });
        self.kernel.events.publish(&Event::CrashSuspectsChanged);
    }

    /// Copies the figures that are kept elsewhere into the metrics.
    pub(crate) fn refresh_metrics(&self) {
        let metrics = &self.kernel.metrics;
        let revision = self.kernel.profiles.revision();
        metrics.revision.set(revision.number as i64);
        metrics
            .config_age_ms
            .set(self.kernel.profiles.age_ms(self.kernel.clock.now_us()) as i64);
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
