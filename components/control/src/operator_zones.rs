//! Requests to the operator port that concern availability zones.

use crate::{
    context::{ControlContext, Refusal},
    zones::{ZoneCommand, parse_zone},
};
use api::{ZoneCommandRequest, ZoneCommandResponse, ZoneEntry, ZoneList};
use errors::ErrorKind;
use http::Request;
use model::AvailabilityZone;
use registry::ChangeId;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use wire::NodeReport;

/// Path of the commands: `/v1/zones/ZONE/evacuation`.
const PREFIX: &str = "/v1/zones/";
const SUFFIX: &str = "/evacuation";

/// The zone in the path of a command; `None` for another path.
pub(crate) fn zone_in_path(path: &str) -> Option<&str> {
    path.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)
}

/// Handles `POST` and `DELETE /v1/zones/ZONE/evacuation`.
pub(crate) fn command_zone(
    control: &ControlContext,
    request: &Request,
    zone: &str,
) -> Result<Value, Refusal> {
    let is_evacuated = match request.method.as_str() {
        "POST" => true,
        "DELETE" => false,
        _ => return Err((ErrorKind::NotFound, request.target.clone())),
    };
    let command = ZoneCommand {
        zone: parse_zone(zone)?,
        is_evacuated,
        change_id: read_change_id(request)?,
        source: request.peer,
    };
    let revision = control.command_zone(&command)?;
    Ok(json!(ZoneCommandResponse {
        zone: command.zone,
        evacuated: is_evacuated,
        revision,
    }))
}

/// The change id in the body, which may be empty.
fn read_change_id(request: &Request) -> Result<Option<ChangeId>, Refusal> {
    let body = &request.body;
    if body.is_empty() {
        return Ok(None);
    }
    let malformed = |reason: String| (ErrorKind::MalformedRequest, reason);
    let request: ZoneCommandRequest =
        serde_json::from_slice(body).map_err(|error| malformed(format!("body: {error}")))?;
    let change_id = ChangeId::parse(&request.change_id);
    change_id
        .map(Some)
        .map_err(|error| malformed(error.to_string()))
}

/// Handles `GET /v1/zones`: the zones of live nodes, and the evacuated ones.
pub(crate) fn list_zones(
    control: &ControlContext,
    reports: &[NodeReport],
) -> Result<Value, Refusal> {
    let evacuated = control.evacuated_zones()?;
    let mut nodes: BTreeMap<&AvailabilityZone, u32> =
        evacuated.zones.iter().map(|zone| (zone, 0)).collect();
    for report in reports {
        *nodes.entry(&report.availability_zone).or_default() += 1;
    }
    let lagging = reports
        .iter()
        .filter(|report| report.revision < evacuated.revision);
    Ok(json!(ZoneList {
        revision: evacuated.revision,
        lagging_nodes: u32::try_from(lagging.count()).unwrap_or(u32::MAX),
        zones: nodes
            .into_iter()
            .map(|(zone, nodes)| ZoneEntry {
                zone: zone.clone(),
                evacuated: evacuated.zones.contains(zone),
                nodes,
            })
            .collect(),
    }))
}
