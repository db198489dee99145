//! Metrics of a process, in Prometheus text.

use crate::stop::lock;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use std::sync::{Arc, Mutex};

/// Labels of the metrics that count or time calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Service that was called.
    pub service: String,
    /// Name of the profile that the call used.
    pub profile: String,
}

/// Labels of an error response that the system generated itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ErrorLabels {
    /// Service that was called, empty if it is not known.
    pub service: String,
    /// Code of the error kind.
    pub code: String,
}

/// A single label with a fixed set of values.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabels {
    /// Value from the set.
    pub kind: &'static str,
}

/// All metrics of a process.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
    /// Calls accepted from callers.
    pub calls: Family<CallLabels, Counter>,
    /// Error responses that the system generated itself.
    pub errors: Family<ErrorLabels, Counter>,
    /// Time from a call's head to its answer, in seconds.
    pub call_seconds: Family<CallLabels, Histogram>,
    /// Attempts beyond the first, by kind: retry or hedge.
    pub extra_attempts: Family<KindLabels, Counter>,
    /// Load probes, by kind: sent, received.
    pub probes: Family<KindLabels, Counter>,
    /// Bytes that the load probes sent were charged for.
    pub probe_bytes: Counter,
    /// Probes that were not sent because a budget was spent.
    pub probes_held_back: Counter,
    /// Health checks of the local instance.
    pub health_checks: Counter,
    /// Crash suspects, by kind: recorded, learned from another node, confirmed, cleared, tried, and
    /// refused calls.
    pub crash_suspects: Family<KindLabels, Counter>,
    /// Incidents whose news this node still sends to others.
    pub crash_reports_waiting: Gauge,
    /// Bytes that may be sent about crash suspects at once; nothing is while this is not above 0.
    pub crash_report_budget_bytes: Gauge,
    /// Calls of customers with a rate, by decision; and those whose token was given back.
    pub quota_calls: Family<KindLabels, Counter>,
    /// Customers of which this node holds a share.
    pub quota_customers: Gauge,
    /// Whether the shares of this node may be used: 1 or 0.
    pub quota_lease: Gauge,
    /// Calls running at the local upstream.
    pub in_flight: Gauge,
    /// Calls waiting at this owner.
    pub queued: Gauge,
    /// Calls started at the local upstream.
    pub started: Counter,
    /// Revision number of the configuration in effect.
    pub revision: Gauge,
    /// Milliseconds since this node last confirmed its configuration.
    pub config_age_ms: Gauge,
    /// Milliseconds since the question of the proof by which keys are accepted; -1 without one.
    pub revocation_proof_age_ms: Gauge,
    /// Whether a control replica has applied all that it can know to be committed: 1 or 0.
    pub replica_current: Gauge,
    /// Last log index that a control replica has applied.
    pub replica_applied_index: Gauge,
    /// Voters of the control group, as known to a replica.
    pub replica_voters: Gauge,
    /// Live members known to this node.
    pub members: Gauge,
    /// Messages to and from other processes, by channel and direction.
    pub mesh_messages: Family<KindLabels, Gauge>,
    /// Bytes to and from other processes, by channel and direction.
    pub mesh_bytes: Family<KindLabels, Gauge>,
    /// Calls that an owner refused because its instance is cold.
    pub cold_refused: Counter,
    /// Availability zones that are evacuated, as known to this node.
    pub evacuated_zones: Gauge,
    /// Calls that an owner refused because its availability zone is evacuated.
    pub evacuation_refused: Counter,
    /// Bytes of the long responses that wait for slow connections to their entries.
    pub delayed_reply_bytes: Gauge,
    /// Calls that an owner refused because such responses take all their memory.
    pub congestion_refused: Counter,
    /// Calls that an owner refused because they would call a service that is short of capacity.
    pub downstream_refused: Counter,
    /// Calls that the local upstream left unanswered and that were given up early.
    pub given_up: Counter,
    /// Calls that count as running at the local upstream although no answer will come.
    pub lost_work: Gauge,
    /// Memory in use at the HTTP ports, by kind: requests, replies, and port-requests, port-replies
    /// for the part that only the ports of the instance and the operators have.
    pub server_memory_bytes: Family<KindLabels, Gauge>,
    /// Refusals at the HTTP ports since the start, by kind.
    pub server_refusals: Family<KindLabels, Gauge>,
}

/// Upper bound of the first bucket of `call_seconds`, in seconds.
const FIRST_BUCKET_S: f64 = 0.000_25;

fn call_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, 16))
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let metrics = Metrics {
            registry: Arc::default(),
            calls: Family::default(),
            errors: Family::default(),
            call_seconds: Family::new_with_constructor(call_histogram),
            extra_attempts: Family::default(),
            probes: Family::default(),
            probe_bytes: Counter::default(),
            probes_held_back: Counter::default(),
            health_checks: Counter::default(),
            crash_suspects: Family::default(),
            crash_reports_waiting: Gauge::default(),
            crash_report_budget_bytes: Gauge::default(),
            quota_calls: Family::default(),
            quota_customers: Gauge::default(),
            quota_lease: Gauge::default(),
            in_flight: Gauge::default(),
            queued: Gauge::default(),
            started: Counter::default(),
            revision: Gauge::default(),
            config_age_ms: Gauge::default(),
            revocation_proof_age_ms: Gauge::default(),
            replica_current: Gauge::default(),
            replica_applied_index: Gauge::default(),
            replica_voters: Gauge::default(),
            members: Gauge::default(),
            mesh_messages: Family::default(),
            mesh_bytes: Family::default(),
            cold_refused: Counter::default(),
            evacuated_zones: Gauge::default(),
            evacuation_refused: Counter::default(),
            delayed_reply_bytes: Gauge::default(),
            congestion_refused: Counter::default(),
            downstream_refused: Counter::default(),
            given_up: Counter::default(),
            lost_work: Gauge::default(),
            server_memory_bytes: Family::default(),
            server_refusals: Family::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut guard = lock(&self.registry);
        let registry = guard.sub_registry_with_prefix("gyard");
        registry.register("calls", "Calls taken from callers", self.calls.clone());
        registry.register("errors", "Answers made by the system", self.errors.clone());
        registry.register("call_seconds", "Time of a call", self.call_seconds.clone());
        registry.register(
            "extra_attempts",
            "Attempts beyond the first",
            self.extra_attempts.clone(),
        );
        registry.register("probes", "Measuring messages", self.probes.clone());
        registry.register(
            "probe_bytes",
            "Bytes of measuring messages",
            self.probe_bytes.clone(),
        );
        registry.register(
            "probes_held_back",
            "Probes that the budget held back",
            self.probes_held_back.clone(),
        );
        registry.register(
            "health_checks",
            "Health checks of the local instance",
            self.health_checks.clone(),
        );
        registry.register(
            "crash_suspects",
            "Requests suspected of crashing upstreams",
            self.crash_suspects.clone(),
        );
        registry.register(
            "crash_reports_waiting",
            "Crash reports still to be sent",
            self.crash_reports_waiting.clone(),
        );
        registry.register(
            "crash_report_budget_bytes",
            "Bytes that may be sent about crash suspects at once",
            self.crash_report_budget_bytes.clone(),
        );
        registry.register(
            "quota_calls",
            "Calls of customers with a rate",
            self.quota_calls.clone(),
        );
        registry.register(
            "quota_customers",
            "Customers with a share at this node",
            self.quota_customers.clone(),
        );
        registry.register(
            "quota_lease",
            "Whether the shares may be used",
            self.quota_lease.clone(),
        );
        registry.register(
            "in_flight",
            "Calls running at the upstream",
            self.in_flight.clone(),
        );
        registry.register("queued", "Calls waiting at this owner", self.queued.clone());
        registry.register(
            "started",
            "Calls started at the upstream",
            self.started.clone(),
        );
        registry.register("revision", "Configuration in effect", self.revision.clone());
        registry.register(
            "config_age_ms",
            "Time since the configuration was confirmed",
            self.config_age_ms.clone(),
        );
        registry.register(
            "revocation_proof_age_ms",
            "Age of the proof by which keys are accepted, -1 without one",
            self.revocation_proof_age_ms.clone(),
        );
        registry.register(
            "replica_current",
            "Whether the replica has applied all that it knows to be committed",
            self.replica_current.clone(),
        );
        registry.register(
            "replica_applied_index",
            "Last applied log index",
            self.replica_applied_index.clone(),
        );
        registry.register(
            "replica_voters",
            "Voters of the control group",
            self.replica_voters.clone(),
        );
        registry.register("members", "Live members", self.members.clone());
        registry.register(
            "mesh_messages",
            "Messages on the mesh",
            self.mesh_messages.clone(),
        );
        registry.register("mesh_bytes", "Bytes on the mesh", self.mesh_bytes.clone());
        registry.register(
            "cold_refused",
            "Calls refused because the instance is cold",
            self.cold_refused.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Evacuated availability zones",
            self.evacuated_zones.clone(),
        );
        registry.register(
            "evacuation_refused",
            "Calls refused because the availability zone is evacuated",
            self.evacuation_refused.clone(),
        );
        registry.register(
            "delayed_reply_bytes",
            "Long responses that wait for slow connections to entries",
            self.delayed_reply_bytes.clone(),
        );
        registry.register(
            "congestion_refused",
            "Calls refused because responses wait for slow connections to entries",
            self.congestion_refused.clone(),
        );
        registry.register(
            "downstream_refused",
            "Calls refused because they would call a service that is short of capacity",
            self.downstream_refused.clone(),
        );
        registry.register(
            "given_up",
            "Calls without an answer that were given up early",
            self.given_up.clone(),
        );
        registry.register(
            "lost_work",
            "Calls that take a slot although no answer will come",
            self.lost_work.clone(),
        );
        registry.register(
            "server_memory_bytes",
            "Memory in use at the HTTP ports",
            self.server_memory_bytes.clone(),
        );
        registry.register(
            "server_refusals",
            "Refusals at the HTTP ports since the start",
            self.server_refusals.clone(),
        );
    }

    /// All metrics as Prometheus text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail, and an empty page would be a harmless reply if it did.
        let _ = encode(&mut text, &lock(&self.registry));
        text
    }
}
