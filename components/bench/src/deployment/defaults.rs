//! Settings that the processes of a deployment have unless a test changes them.

use log::LevelFilter;
use model::{AvailabilityZone, HostName, Region};
use settings::{
    CallHeaders, CallerLimits, ControlSettings, LogFormat, LogSettings, MeshKey, NodeSettings,
    QuotaToleranceSettings,
};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
};

/// Loopback with a port that the operating system chooses. A port that is looked up beforehand can
/// be taken by an outgoing connection of another test before it is used.
pub(super) const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Key of the mesh connections of all processes.
const MESH_KEY: MeshKey = MeshKey([7; 32]);

pub(super) fn control_settings(
    number: usize,
    group: &[SocketAddr],
    data_dir: PathBuf,
) -> ControlSettings {
    ControlSettings {
        open: None,
        listen: group[number - 1],
        operator_listen: ANY_PORT,
        data_dir,
        replica: number as u32,
        group: group.to_vec(),
        availability_zone: zone_name(&format!("zone-{number}")),
        operator_token: None,
        mesh_key: MESH_KEY,
        quota_tolerance: QuotaToleranceSettings::default(),
        logs: warnings_only(),
        caller_limits: CallerLimits::default(),
    }
}

pub(super) fn node_settings(
    index: usize,
    zone: &str,
    mesh: SocketAddr,
    first_peer: SocketAddr,
    group: &[SocketAddr],
) -> NodeSettings {
    NodeSettings {
        revocation_ms: None,
        require_configuration: false,
        stop_notice_ms: 0,
        shared_retries: None,
        route_zone_preference: model::ZonePreference::Prefer,
        moves: 0,
        usable_slots_percent: 100,
        health_checks_per_s: 0,
        headers: CallHeaders::default(),
        service: None,
        cold_overage_percent: 25,
        cold_slack: 4,
        count_lost_work: false,
        give_up_percent: 0,
        downstream_admission: false,
        start_wait_ms: 0,
        admission: limits::AdmissionOrder::default(),
        call_listen: ANY_PORT,
        mesh_listen: mesh,
        platform_listen: ANY_PORT,
        availability_zone: zone_name(zone),
        region: Region::parse("default").expect("a valid name"),
        host: HostName::parse(format!("host-{}", index + 1)).expect("a valid name"),
        control: group.to_vec(),
        peers: vec![first_peer],
        mesh_key: MESH_KEY,
        logs: warnings_only(),
        caller_limits: CallerLimits::default(),
        decision_log_percent: 100,
        max_body_bytes: 4 << 20,
        max_response_bytes: 8 << 20,
        max_connections: 1024,
        probe_budget_per_s: 200,
        probe_budget_bytes_per_s: 20_000,
        lease_ms: 3_000,
        stop_timeout_ms: 10_000,
        control_replica: None,
    }
}

fn warnings_only() -> LogSettings {
    LogSettings {
        level: LevelFilter::Warn,
        format: LogFormat::Text,
    }
}

fn zone_name(text: &str) -> AvailabilityZone {
    AvailabilityZone::parse(text).expect("a valid name")
}
