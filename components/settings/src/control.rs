//! Settings of `gyard-control`.

use crate::{
    logs::LogSettings,
    node::check_group,
    source::{MeshKey, SettingError, Source},
};
use gumdrop::Options;
use model::AvailabilityZone;
use std::{net::SocketAddr, path::PathBuf};

/// Flags of `gyard-control`; each has a variable `GYARD_<FLAG>`.
#[derive(Clone, Debug, Default, Options)]
pub struct ControlFlags {
    /// Print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Print the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Mesh address.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "listen address for other processes, TCP and UDP"
    )]
    pub listen: Option<String>,
    /// Address for operators.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "listen address for operators, HTTP/1.1"
    )]
    pub operator_listen: Option<String>,
    /// Data directory.
    #[options(no_short, meta = "DIR", help = "directory for log and snapshots")]
    pub data_dir: Option<String>,
    /// Number of this replica.
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
    /// Lowest level that is logged.
    #[options(
        no_short,
        meta = "LEVEL",
        help = "off, error, warn, info, debug or trace"
    )]
    pub log_level: Option<String>,
    /// Shape of log lines.
    #[options(no_short, meta = "FORMAT", help = "text or json")]
    pub log_format: Option<String>,
}

/// Checked settings of a control replica.
#[derive(Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// Mesh address.
    pub listen: SocketAddr,
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// Data directory.
    pub data_dir: PathBuf,
    /// Number of this replica, from 1.
    pub replica: u32,
    /// Mesh addresses of all replicas, in order of their numbers.
    pub group: Vec<SocketAddr>,
    /// Availability zone of the host.
    pub availability_zone: AvailabilityZone,
    /// Token that operators must send; without one only loopback is served.
    pub operator_token: Option<String>,
    /// Key of the deployment.
    pub mesh_key: MeshKey,
    /// Log level and shape.
    pub logs: LogSettings,
}

impl ControlSettings {
    /// Checks flags and variables.
    pub fn read<E: Fn(&str) -> Option<String>>(
        flags: &ControlFlags,
        source: &Source<E>,
    ) -> Result<Self, SettingError> {
        let listen = source.required("listen", flags.listen.as_deref(), "IP:PORT")?;
        let group = source.addresses("group", flags.group.as_deref())?;
        let replica = source.required(
            "replica",
            flags.replica.as_deref(),
            "1 to the number of addresses in --group",
        )?;
        check_group(replica, &group)?;
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
            availability_zone: source.required(
                "zone",
                flags.zone.as_deref(),
                "1 to 63 characters of a-z, 0-9, '-', '_' and '.'",
            )?,
            operator_token: source.text("operator-token", flags.operator_token.as_deref()),
            mesh_key: source.mesh_key(flags.mesh_key_file.as_deref(), listen)?,
            logs: LogSettings::read(
                source,
                flags.log_level.as_deref(),
                flags.log_format.as_deref(),
            )?,
        })
    }
}
