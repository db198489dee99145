//! Commands on availability zones.

use crate::{
    change::random_id,
    failure::Failure,
    operator_client::{OperatorClient, RequestError},
    options::{ZoneCommandFlags, single_argument},
};
use api::{ZoneCommandRequest, ZoneCommandResponse, ZoneList};
use model::AvailabilityZone;
use registry::ChangeId;

/// Evacuates the zone in the flags, or readmits it. A resend carries the same change id, so that it
/// can't undo the command that another operator sent in between.
pub(crate) fn command(
    client: &OperatorClient,
    flags: &ZoneCommandFlags,
    is_evacuated: bool,
) -> Result<ZoneCommandResponse, Failure> {
    let usage = |reason: String| Failure::usage(reason);
    let zone = AvailabilityZone::parse(single_argument(&flags.zone, "availability zone")?)
        .map_err(|error| usage(error.to_string()))?;
    let change_id = match &flags.change_id {
        Some(text) => ChangeId::parse(text).map_err(|error| usage(error.to_string()))?,
        None => random_id(),
    };
    let request = ZoneCommandRequest {
        change_id: change_id.to_string(),
    };
    let path = format!("/v1/zones/{zone}/evacuation");
    let result = if is_evacuated {
        client.post(&path, &request)
    } else {
        client.delete(&path, &request)
    };
    result.map_err(|error| match error {
        RequestError::NoAnswer {
            attempts,
            is_unsent: false,
        } => Failure::Unconfirmed {
            attempts,
            resend: format!("--change-id {change_id}"),
        },
        other => other.into_failure(),
    })
}

/// All known zones.
pub(crate) fn list(client: &OperatorClient) -> Result<ZoneList, Failure> {
    client.get("/v1/zones").map_err(RequestError::into_failure)
}
