//! Evacuation of availability zones: commands of operators, and the state of the zones.

use crate::context::{ControlContext, Refusal};
use errors::ErrorKind;
use model::{AvailabilityZone, Revision};
use registry::{Change, ChangeId, Op};
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

/// A command to evacuate a zone, or to withdraw that.
pub(crate) struct ZoneCommand {
    pub(crate) zone: AvailabilityZone,
    pub(crate) is_evacuated: bool,
    /// Id that is the same when the command is resent; a random one if the operator sent none.
    pub(crate) change_id: Option<ChangeId>,
    /// Address that the command came from, for the log.
    pub(crate) source: SocketAddr,
}

/// Evacuated zones at a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuatedZones {
    /// Newest accepted revision.
    pub revision: Revision,
    /// Zones whose upstreams get no calls.
    pub zones: Arc<BTreeSet<AvailabilityZone>>,
}

/// Parses the name of a zone; the error is one of the operator.
pub(crate) fn parse_zone(text: &str) -> Result<AvailabilityZone, Refusal> {
    AvailabilityZone::parse(text).map_err(|error| (ErrorKind::MalformedRequest, error.to_string()))
}

impl ControlContext {
    /// Submits a command. When this returns a revision, the command is durable at a quorum.
    pub(crate) fn command_zone(&self, command: &ZoneCommand) -> Result<Revision, Refusal> {
        let zone = command.zone.clone();
        log::info!(
            "operator: {} commands {} of availability zone {zone}.",
            command.source,
            if command.is_evacuated {
                "the evacuation"
            } else {
                "the readmission"
            },
        );
        let op = if command.is_evacuated {
            Op::Evacuate(zone)
        } else {
            Op::Readmit(zone)
        };
        let random_id = || ChangeId::from_u128(rand::random());
        self.submit(&Change {
            change_id: command.change_id.unwrap_or_else(random_id),
            expect: None,
            op,
            in_use: Vec::new(),
        })
    }

    /// The evacuated zones, confirmed by a quorum.
    pub(crate) fn evacuated_zones(&self) -> Result<EvacuatedZones, Refusal> {
        let newest = self.newest_configuration()?;
        Ok(EvacuatedZones {
            revision: newest.to,
            zones: newest.settings.evacuated_zones,
        })
    }
}
