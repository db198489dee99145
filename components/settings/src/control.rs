//! Settings of `gyard-control`.

use crate::{
    caller_limits::CallerLimits,
    logs::LogSettings,
    node::validate_group,
    source::{MeshKey, SettingError, SettingSource, invalid_setting},
};
use gumdrop::Options;
use model::AvailabilityZone;
use std::{net::SocketAddr, path::PathBuf};

/// Window of the tolerance for quotas, in milliseconds.
const DEFAULT_QUOTA_WINDOW_MS: u64 = 5_000;
/// Maximum of voters of an open group; more voters only slow down each change.
const MAX_VOTERS: u64 = 9;

/// Flags of `gyard-control`; each has a variable `GYARD_<FLAG>`.
#[derive(Clone, Debug, Default, Options)]
pub struct ControlFlags {
    /// Print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Print the version instead of starting.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Listen address of the mesh, TCP and UDP.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "listen address for other processes, TCP and UDP"
    )]
    pub listen: Option<String>,
    /// Listen address for operators, HTTP/1.1.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "listen address for operators, HTTP/1.1"
    )]
    pub operator_listen: Option<String>,
    /// Directory of the replica's log and snapshots.
    #[options(no_short, meta = "DIR", help = "directory for log and snapshots")]
    pub data_dir: Option<String>,
    /// Number of this replica: its place in `group`, from 1.
    #[options(
        no_short,
        meta = "N",
        help = "number of this replica, its place in --group from 1"
    )]
    pub replica: Option<String>,
    /// Mesh addresses of all replicas.
    #[options(
        no_short,
        meta = "IP:PORT,...",
        help = "mesh addresses of all replicas, in order"
    )]
    pub group: Option<String>,
    /// Mesh addresses of the founders of an open group.
    #[options(
        no_short,
        meta = "IP:PORT,...",
        help = "mesh addresses of the founders of a group that others join, instead of --group"
    )]
    pub seeds: Option<String>,
    /// Voters of an open group.
    #[options(no_short, meta = "N", help = "voters that an open group grows to")]
    pub group_size: Option<String>,
    /// Whether a new open group may be formed.
    #[options(
        no_short,
        meta = "BOOL",
        help = "true only when the whole deployment starts for the first time"
    )]
    pub may_form: Option<String>,
    /// Availability zone of the host.
    #[options(no_short, meta = "NAME", help = "availability zone of this host")]
    pub zone: Option<String>,
    /// Token that operators must send.
    #[options(
        no_short,
        meta = "TOKEN",
        help = "operator token; prefer GYARD_OPERATOR_TOKEN"
    )]
    pub operator_token: Option<String>,
    /// File with the key of the deployment.
    #[options(
        no_short,
        meta = "FILE",
        help = "file with the mesh key of the deployment"
    )]
    pub mesh_key_file: Option<String>,
    /// Window in which customers may exceed their limits.
    #[options(
        no_short,
        meta = "MS",
        help = "window in which customers may exceed their limits; 5000 by default"
    )]
    pub quota_window_ms: Option<String>,
    /// Share of its limit by which a customer may exceed it.
    #[options(
        no_short,
        meta = "N",
        help = "percent of its limit by which a customer may exceed it in the window; 0 by default"
    )]
    pub quota_overage_percent: Option<String>,
    /// Calls by which a customer may exceed its limit in addition.
    #[options(
        no_short,
        meta = "N",
        help = "calls by which a customer may exceed its limit in the window; 0 by default"
    )]
    pub quota_slack: Option<String>,
    /// Memory for requests and unread responses.
    #[options(
        no_short,
        meta = "BYTES",
        help = "memory for requests and unread responses (default: a third of the host's)"
    )]
    pub memory_budget_bytes: Option<String>,
    /// Lowest level that is logged.
    #[options(
        no_short,
        meta = "LEVEL",
        help = "off, error, warn, info, debug or trace"
    )]
    pub log_level: Option<String>,
    /// Format of log lines, `text` or `json`.
    #[options(no_short, meta = "FORMAT", help = "text or json")]
    pub log_format: Option<String>,
}

/// Settings of an open group: a control group that is formed by its founders (`--seeds`) and that
/// other replicas join by themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenGroupSettings {
    /// Mesh addresses of the founders.
    pub seeds: Vec<SocketAddr>,
    /// Voters that the group grows to; at least as many as there are seeds.
    pub voters: usize,
    /// Whether this replica may take part in forming a new group.
    pub may_form: bool,
}

/// By how much customers may exceed their limits in any window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaToleranceSettings {
    /// Length of the window in milliseconds.
    pub window_ms: u64,
    /// Share of the calls that the limit allows in the window, in percent.
    pub overage_percent: u32,
    /// Additional calls.
    pub slack: u32,
}

impl Default for QuotaToleranceSettings {
    fn default() -> Self {
        QuotaToleranceSettings {
            window_ms: DEFAULT_QUOTA_WINDOW_MS,
            overage_percent: 0,
            slack: 0,
        }
    }
}

/// Validated settings of a control replica.
#[derive(Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// Listen address of the mesh, TCP and UDP.
    pub listen: SocketAddr,
    /// Listen address for requests of operators, HTTP/1.1.
    pub operator_listen: SocketAddr,
    /// Directory of the replica's log and snapshots.
    pub data_dir: PathBuf,
    /// Number of this replica, from 1; 0 in an open group.
    pub replica: u32,
    /// Mesh addresses of all replicas, in order of their numbers; empty in an open group.
    pub group: Vec<SocketAddr>,
    /// Settings of an open group, which replace `replica` and `group`.
    pub open: Option<OpenGroupSettings>,
    /// Availability zone of the host.
    pub availability_zone: AvailabilityZone,
    /// Token that operators must send; without one only loopback is served.
    pub operator_token: Option<String>,
    /// Key derived from the configured text; all zeros if none is given, on loopback only.
    pub mesh_key: MeshKey,
    /// Tolerance for the quotas of customers.
    pub quota_tolerance: QuotaToleranceSettings,
    /// Limits on what callers can make this process hold.
    pub caller_limits: CallerLimits,
    /// Log level and format.
    pub logs: LogSettings,
}

impl ControlSettings {
    /// Reads and validates flags and variables.
    pub fn read<E: Fn(&str) -> Option<String>>(
        flags: &ControlFlags,
        source: &SettingSource<E>,
    ) -> Result<Self, SettingError> {
        let listen = source.required("listen", flags.listen.as_deref(), "IP:PORT")?;
        let group = source.addresses("group", flags.group.as_deref())?;
        let open = read_open_group(flags, source)?;
        let replica = match open {
            Some(_) => 0,
            None => source.required(
                "replica",
                flags.replica.as_deref(),
                "1 to the number of addresses in --group",
            )?,
        };
        if open.is_none() {
            validate_group(replica, &group)?;
        }
        Ok(ControlSettings {
            listen,
            operator_listen: source.required(
                "operator-listen",
                flags.operator_listen.as_deref(),
                "IP:PORT",
            )?,
            data_dir: source.required("data-dir", flags.data_dir.as_deref(), "a directory")?,
            replica,
            group,
            open,
            availability_zone: source.required(
                "zone",
                flags.zone.as_deref(),
                "1 to 63 characters of a-z, 0-9, '-', '_' and '.'",
            )?,
            operator_token: source.text("operator-token", flags.operator_token.as_deref()),
            mesh_key: source.mesh_key(flags.mesh_key_file.as_deref(), listen)?,
            quota_tolerance: read_quota_tolerance(flags, source)?,
            caller_limits: CallerLimits::read(flags.memory_budget_bytes.as_deref(), None, source)?,
            logs: LogSettings::read(
                source,
                flags.log_level.as_deref(),
                flags.log_format.as_deref(),
            )?,
        })
    }
}

fn read_quota_tolerance<E: Fn(&str) -> Option<String>>(
    flags: &ControlFlags,
    source: &SettingSource<E>,
) -> Result<QuotaToleranceSettings, SettingError> {
    let window = flags.quota_window_ms.as_deref();
    let overage = flags.quota_overage_percent.as_deref();
    let slack = flags.quota_slack.as_deref();
    Ok(QuotaToleranceSettings {
        window_ms: source.number(
            "quota-window-ms",
            window,
            DEFAULT_QUOTA_WINDOW_MS,
            100,
            600_000,
        )?,
        overage_percent: source.number("quota-overage-percent", overage, 0, 0, 1_000)? as u32,
        slack: source.number("quota-slack", slack, 0, 0, 1_000_000)? as u32,
    })
}

fn read_open_group<E: Fn(&str) -> Option<String>>(
    flags: &ControlFlags,
    source: &SettingSource<E>,
) -> Result<Option<OpenGroupSettings>, SettingError> {
    let seeds = source.addresses("seeds", flags.seeds.as_deref())?;
    if seeds.is_empty() {
        return Ok(None);
    }
    if let Some(other) = seeds.iter().find(|address| !address.is_ipv4()) {
        return Err(invalid_setting(
            "seeds",
            &other.to_string(),
            "IPv4 addresses",
        ));
    }
    let voters = source.number(
        "group-size",
        flags.group_size.as_deref(),
        seeds.len() as u64,
        1,
        MAX_VOTERS,
    )?;
    Ok(Some(OpenGroupSettings {
        voters: (voters as usize).max(seeds.len()),
        seeds,
        may_form: source
            .optional("may-form", flags.may_form.as_deref(), "true or false")?
            .unwrap_or(false),
    }))
}
