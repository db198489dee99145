//! Settings of `gyard-node`.

use crate::{
    caller_limits::CallerLimits,
    control::ControlSettings,
    control::QuotaToleranceSettings,
    headers::CallHeaders,
    logs::LogSettings,
    node_flags::NodeFlags,
    source::{MeshKey, SettingError, SettingSource, invalid_setting},
};
use limits::{AdmissionOrder, SharedRetryLimits};
use model::{AvailabilityZone, HostName, Region, ServiceName, ZonePreference};
use std::{fmt, net::SocketAddr, path::PathBuf};

/// Default limit of a request body.
const DEFAULT_MAX_BODY_BYTES: u64 = 4 << 20;
/// Default limit of a response body.
const DEFAULT_MAX_RESPONSE_BYTES: u64 = 8 << 20;
/// Highest limit of a request or response body.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Default limit of open connections from callers.
const DEFAULT_MAX_CONNECTIONS: u64 = 1024;
/// Default budget of probe messages per second of one node.
const DEFAULT_PROBE_BUDGET_PER_S: u64 = 200;
/// Default budget of probe bytes per second of one node.
const DEFAULT_PROBE_BUDGET_BYTES_PER_S: u64 = 20_000;
/// Default time that a stopping node waits for calls in flight.
const DEFAULT_STOP_TIMEOUT_MS: u64 = 30_000;
/// Default window of the retry budget of services.
const DEFAULT_RETRY_WINDOW_MS: u64 = 10_000;
/// Default share of calls beyond the rate of a cold instance, in percent. It is half of what a cold
/// instance can handle, since calls take some time to arrive.
const DEFAULT_COLD_OVERAGE_PERCENT: u64 = 25;
/// Default number of additional calls to a cold instance in each second, half of what it can handle.
const DEFAULT_COLD_SLACK: u64 = 4;
/// Default lease of an announced instance.
const DEFAULT_LEASE_MS: u64 = 3_000;

const ADDRESS_FORMAT: &str = "IP:PORT";
const NAME_FORMAT: &str = "1 to 63 characters of a-z, 0-9, '-', '_' and '.'";

/// Settings of a control replica that runs inside a node.
#[derive(Clone, PartialEq, Eq)]
pub struct EmbeddedControl {
    /// Directory of the replica's log and snapshots.
    pub data_dir: PathBuf,
    /// Listen address for requests of operators, HTTP/1.1.
    pub operator_listen: SocketAddr,
    /// Number of the replica in the group.
    pub replica: u32,
    /// Token that operators must send.
    pub operator_token: Option<String>,
}

/// Omits the operator token, so that no log or panic message can contain it.
impl fmt::Debug for EmbeddedControl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EmbeddedControl")
            .field("data_dir", &self.data_dir)
            .field("operator_listen", &self.operator_listen)
            .field("replica", &self.replica)
            .finish_non_exhaustive()
    }
}

/// Validated settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Listen address for callers, HTTP/1.1.
    pub call_listen: SocketAddr,
    /// Listen address for other processes of the system, TCP and UDP.
    pub mesh_listen: SocketAddr,
    /// Address for the local instance, and for metrics and the state of the node.
    pub platform_listen: SocketAddr,
    /// Availability zone of the host.
    pub availability_zone: AvailabilityZone,
    /// Region of the host.
    pub region: Region,
    /// Name of the host; derived from `mesh_listen` if none is given.
    pub host: HostName,
    /// Mesh addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Mesh addresses of the nodes that gossip contacts first.
    pub peers: Vec<SocketAddr>,
    /// Key derived from the configured text; all zeros if none is given, on loopback only.
    pub mesh_key: MeshKey,
    /// Log level and format.
    pub logs: LogSettings,
    /// Share of routing decisions that are logged, in percent.
    pub decision_log_percent: u8,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Largest response body in bytes that is accepted from the local instance.
    pub max_response_bytes: usize,
    /// Most connections from callers at once.
    pub max_connections: usize,
    /// Limits on what callers can make this process hold.
    pub caller_limits: CallerLimits,
    /// Most probe messages per second.
    pub probe_budget_per_s: u32,
    /// Most probe bytes per second.
    pub probe_budget_bytes_per_s: u32,
    /// Lease of the local instance's announcement in milliseconds.
    pub lease_ms: u64,
    /// Longest wait for calls in flight at a stop, in milliseconds.
    pub stop_timeout_ms: u64,
    /// Control replica that runs inside this node, if any.
    pub control_replica: Option<EmbeddedControl>,
    /// Whether calls are refused until operators have submitted a configuration.
    pub require_configuration: bool,
    /// Time for which a stopping node still accepts calls, so that callers can switch to other
    /// nodes first.
    pub stop_notice_ms: u64,
    /// Retry budget of whole services, which replaces the retry budgets of the profiles.
    pub shared_retries: Option<SharedRetryLimits>,
    /// Limit of moves of a call. A move sends the call to another owner after one refused it for
    /// lack of a free slot; it does not count as an attempt.
    pub moves: u16,
    /// Share of the announced slots that may be used at once, in percent; instances work more
    /// slowly when nearly all slots are in use.
    pub usable_slots_percent: u8,
    /// Most health checks of the local instance per second; they read its host's pace.
    pub health_checks_per_s: u32,
    /// Zone preference of the calls that a route of the configuration matches.
    pub route_zone_preference: ZonePreference,
    /// Time after its revocation from which on no key is accepted, in milliseconds; `None` if the
    /// newest known configuration decides.
    pub revocation_ms: Option<u64>,
    /// Names of the header fields of calls.
    pub headers: CallHeaders,
    /// Service of the instance beside this node, until an instance announces itself.
    pub service: Option<ServiceName>,
    /// Calls that a cold instance may get in any second beyond its rate, in percent of that rate.
    pub cold_overage_percent: u32,
    /// Additional calls that a cold instance may get in any second.
    pub cold_slack: u32,
    /// Whether work that may still run at the local instance takes slots although its answer won't
    /// come.
    pub count_lost_work: bool,
    /// Share of the answered calls that may be given up when the local instance is silent, in
    /// percent; 0 to give up none.
    pub give_up_percent: u8,
    /// Order of the calls that wait for the local instance.
    pub admission: AdmissionOrder,
    /// Whether calls are refused before they run if the local instance would call a service that is
    /// short of capacity for them.
    pub downstream_admission: bool,
    /// Time after the start in which calls wait for the configuration, in milliseconds; 0 to refuse
    /// them at once.
    pub start_wait_ms: u64,
}

impl NodeSettings {
    /// Reads and validates flags and variables.
    pub fn read<E: Fn(&str) -> Option<String>>(
        flags: &NodeFlags,
        source: &SettingSource<E>,
    ) -> Result<Self, SettingError> {
        let mesh_listen =
            source.required("mesh-listen", flags.mesh_listen.as_deref(), ADDRESS_FORMAT)?;
        let control = source.addresses("control", flags.control.as_deref())?;
        let number = |flag, value: &Option<String>, default, min, max| {
            source.number(flag, value.as_deref(), default, min, max)
        };
        Ok(NodeSettings {
            call_listen: source.required(
                "call-listen",
                flags.call_listen.as_deref(),
                ADDRESS_FORMAT,
            )?,
            mesh_listen,
            platform_listen: source.required(
                "platform-listen",
                flags.platform_listen.as_deref(),
                ADDRESS_FORMAT,
            )?,
            availability_zone: source.required("zone", flags.zone.as_deref(), NAME_FORMAT)?,
            region: source
                .optional("region", flags.region.as_deref(), NAME_FORMAT)?
                .unwrap_or_else(default_region),
            host: source
                .optional("host-name", flags.host_name.as_deref(), NAME_FORMAT)?
                .unwrap_or_else(|| default_host_name(mesh_listen)),
            control_replica: read_embedded_control(flags, source, &control)?,
            control,
            peers: source.addresses("peers", flags.peers.as_deref())?,
            mesh_key: source.mesh_key(flags.mesh_key_file.as_deref(), mesh_listen)?,
            logs: LogSettings::read(
                source,
                flags.log_level.as_deref(),
                flags.log_format.as_deref(),
            )?,
            decision_log_percent: number(
                "decision-log-percent",
                &flags.decision_log_percent,
                100,
                0,
                100,
            )? as u8,
            max_body_bytes: number(
                "max-body-bytes",
                &flags.max_body_bytes,
                DEFAULT_MAX_BODY_BYTES,
                1,
                MAX_BODY_BYTES,
            )? as usize,
            max_response_bytes: number(
                "max-response-bytes",
                &flags.max_response_bytes,
                DEFAULT_MAX_RESPONSE_BYTES,
                1,
                MAX_BODY_BYTES,
            )? as usize,
            max_connections: number(
                "max-connections",
                &flags.max_connections,
                DEFAULT_MAX_CONNECTIONS,
                1,
                100_000,
            )? as usize,
            caller_limits: CallerLimits::read(
                flags.memory_budget_bytes.as_deref(),
                flags.max_connections_per_address.as_deref(),
                source,
            )?,
            probe_budget_per_s: number(
                "probe-budget-per-s",
                &flags.probe_budget_per_s,
                DEFAULT_PROBE_BUDGET_PER_S,
                0,
                100_000,
            )? as u32,
            probe_budget_bytes_per_s: number(
                "probe-budget-bytes-per-s",
                &flags.probe_budget_bytes_per_s,
                DEFAULT_PROBE_BUDGET_BYTES_PER_S,
                0,
                10_000_000,
            )? as u32,
            lease_ms: number("lease-ms", &flags.lease_ms, DEFAULT_LEASE_MS, 500, 60_000)?,
            require_configuration: source
                .optional(
                    "require-configuration",
                    flags.require_configuration.as_deref(),
                    "true or false",
                )?
                .unwrap_or(false),
            stop_notice_ms: number("stop-notice-ms", &flags.stop_notice_ms, 0, 0, 60_000)?,
            shared_retries: read_shared_retries(flags, source)?,
            moves: number("moves", &flags.moves, 0, 0, 16)? as u16,
            usable_slots_percent: number(
                "usable-slots-percent",
                &flags.usable_slots_percent,
                100,
                1,
                100,
            )? as u8,
            health_checks_per_s: number(
                "health-checks-per-s",
                &flags.health_checks_per_s,
                0,
                0,
                1_000,
            )? as u32,
            route_zone_preference: source
                .optional(
                    "route-zone-preference",
                    flags.route_zone_preference.as_deref(),
                    "none, prefer or local",
                )?
                .unwrap_or_default(),
            revocation_ms: read_revocation_ms(flags, source)?,
            headers: CallHeaders::default(),
            service: source.optional("service", flags.service.as_deref(), NAME_FORMAT)?,
            count_lost_work: source
                .optional(
                    "count-lost-work",
                    flags.count_lost_work.as_deref(),
                    "true or false",
                )?
                .unwrap_or(false),
            admission: source
                .optional("admission", flags.admission.as_deref(), "deadline or cost")?
                .unwrap_or_default(),
            downstream_admission: source
                .optional(
                    "downstream-admission",
                    flags.downstream_admission.as_deref(),
                    "true or false",
                )?
                .unwrap_or(false),
            start_wait_ms: number("start-wait-ms", &flags.start_wait_ms, 0, 0, 60_000)?,
            give_up_percent: number("give-up-percent", &flags.give_up_percent, 0, 0, 100)? as u8,
            stop_timeout_ms: number(
                "stop-timeout-ms",
                &flags.stop_timeout_ms,
                DEFAULT_STOP_TIMEOUT_MS,
                0,
                3_600_000,
            )?,
            cold_overage_percent: number(
                "cold-overage-percent",
                &flags.cold_overage_percent,
                DEFAULT_COLD_OVERAGE_PERCENT,
                0,
                1_000,
            )? as u32,
            cold_slack: number(
                "cold-slack",
                &flags.cold_slack,
                DEFAULT_COLD_SLACK,
                0,
                1_000_000,
            )? as u32,
        })
    }
}

impl NodeSettings {
    /// Settings of the embedded control replica, as those of a separate replica process.
    pub fn embedded_control(&self) -> Option<ControlSettings> {
        let embedded = self.control_replica.as_ref()?;
        Some(ControlSettings {
            listen: self.mesh_listen,
            operator_listen: embedded.operator_listen,
            data_dir: embedded.data_dir.clone(),
            replica: embedded.replica,
            group: self.control.clone(),
            open: None,
            availability_zone: self.availability_zone.clone(),
            operator_token: embedded.operator_token.clone(),
            mesh_key: self.mesh_key.clone(),
            quota_tolerance: QuotaToleranceSettings::default(),
            caller_limits: self.caller_limits,
            logs: self.logs,
        })
    }
}

fn read_revocation_ms<E: Fn(&str) -> Option<String>>(
    flags: &NodeFlags,
    source: &SettingSource<E>,
) -> Result<Option<u64>, SettingError> {
    let value = flags.revocation_ms.as_deref();
    if source.text("revocation-ms", value).is_none() {
        return Ok(None);
    }
    let bound_ms = source.number("revocation-ms", value, 0, 100, 600_000)?;
    Ok(Some(bound_ms))
}

fn read_shared_retries<E: Fn(&str) -> Option<String>>(
    flags: &NodeFlags,
    source: &SettingSource<E>,
) -> Result<Option<SharedRetryLimits>, SettingError> {
    let per_mille = flags.service_retries_per_mille.as_deref();
    if source
        .text("service-retries-per-mille", per_mille)
        .is_none()
    {
        return Ok(None);
    }
    let number = |flag, value: &Option<String>, default, max| {
        source.number(flag, value.as_deref(), default, 0, max)
    };
    Ok(Some(SharedRetryLimits {
        per_mille: source.number("service-retries-per-mille", per_mille, 0, 0, 1_000)? as u32,
        slack: number(
            "service-retry-slack",
            &flags.service_retry_slack,
            0,
            1_000_000,
        )? as u32,
        window_us: 1_000
            * number(
                "service-retry-window-ms",
                &flags.service_retry_window_ms,
                DEFAULT_RETRY_WINDOW_MS,
                3_600_000,
            )?
            .max(1),
    }))
}

fn read_embedded_control<E: Fn(&str) -> Option<String>>(
    flags: &NodeFlags,
    source: &SettingSource<E>,
    group: &[SocketAddr],
) -> Result<Option<EmbeddedControl>, SettingError> {
    let Some(data_dir) = source.text("control-data-dir", flags.control_data_dir.as_deref()) else {
        return Ok(None);
    };
    let replica = source.required(
        "control-replica",
        flags.control_replica.as_deref(),
        "the replica's number",
    )?;
    validate_group(replica, group)?;
    Ok(Some(EmbeddedControl {
        data_dir: PathBuf::from(data_dir),
        operator_listen: source.required(
            "control-operator-listen",
            flags.control_operator_listen.as_deref(),
            ADDRESS_FORMAT,
        )?,
        replica,
        operator_token: source.text("operator-token", None),
    }))
}

fn default_region() -> Region {
    Region::parse("default").expect("the default region is a valid name")
}

/// A host name made from the mesh address, used if the settings have none.
fn default_host_name(mesh_listen: SocketAddr) -> HostName {
    let text = mesh_listen.to_string().replace([':', '[', ']'], "-");
    HostName::parse(text.trim_matches('-')).unwrap_or_else(|_| {
        HostName::parse(format!("port-{}", mesh_listen.port())).expect("a valid name")
    })
}

/// Rejects a group that does not have 1, 3 or 5 addresses, and a replica number outside it. Such a
/// replica could never form a group.
pub(crate) fn validate_group(replica: u32, group: &[SocketAddr]) -> Result<(), SettingError> {
    if group.len() != 3 && group.len() != 5 && group.len() != 1 {
        let text: Vec<String> = group.iter().map(ToString::to_string).collect();
        return Err(invalid_setting(
            "group",
            &text.join(","),
            "the mesh addresses of 1, 3 or 5 replicas",
        ));
    }
    if replica == 0 || replica as usize > group.len() {
        return Err(invalid_setting(
            "replica",
            &replica.to_string(),
            "1 to the number of addresses in --group",
        ));
    }
    Ok(())
}
