//! Operations for operators, for plug-ins that offer them over another protocol than the plug-in
//! `operator` does.

use crate::{
    context::{ControlContext, Refusal},
    zones::{EvacuatedZones, ZoneCommand, parse_zone},
};
use config::Configuration;
use errors::ErrorKind;
use kernel::Kernel;
use model::{FieldError, Revision};
use registry::{Change, ChangeId, Op};
use std::{net::SocketAddr, sync::Arc};

/// Submits and reads whole configurations and evacuations of zones, at any replica.
pub struct OperatorApi {
    control: Arc<ControlContext>,
}

impl OperatorApi {
    /// The operations of the control replica in this process.
    pub fn new(kernel: &Arc<Kernel>) -> Self {
        OperatorApi {
            control: ControlContext::for_kernel(kernel),
        }
    }

    /// Submits a configuration. When this returns a revision, the configuration is durable at a
    /// quorum; one whose version is not the highest is accepted without effect.
    ///
    /// # Errors
    ///
    /// `InvalidProfile` with every invalid field, or the reason why the group did not confirm it.
    pub fn configure(&self, configuration: Configuration) -> Result<Revision, Refusal> {
        let version = configuration.version;
        if let Err(errors) = configuration.check() {
            let lines: Vec<String> = errors.iter().map(FieldError::to_string).collect();
            let detail = lines.join("; ");
            log::info!("operator: configuration version {version} refused, {detail}.");
            return Err((ErrorKind::InvalidProfile, detail));
        }
        let change = Change {
            change_id: ChangeId::from_u128(rand::random()),
            expect: None,
            op: Op::Configure(Arc::new(configuration)),
            in_use: Vec::new(),
        };
        self.control.submit(&change)
    }

    /// The newest configuration, confirmed by a quorum; `None` if none was submitted yet.
    ///
    /// # Errors
    ///
    /// The reason why no quorum confirmed it.
    pub fn configuration(&self) -> Result<Option<Arc<Configuration>>, Refusal> {
        Ok(self.control.newest_configuration()?.settings.configuration)
    }

    /// Evacuates an availability zone: nothing more is sent to its upstreams until `readmit`. When
    /// this returns a revision, the command is durable at a quorum.
    ///
    /// # Errors
    ///
    /// `MalformedRequest` for a name that no zone can have, or the reason why the group did not
    /// confirm the command.
    pub fn evacuate(&self, zone: &str, source: SocketAddr) -> Result<Revision, Refusal> {
        self.command_zone(zone, true, source)
    }

    /// Ends the evacuation of an availability zone, if there is one.
    ///
    /// # Errors
    ///
    /// As for `evacuate`.
    pub fn readmit(&self, zone: &str, source: SocketAddr) -> Result<Revision, Refusal> {
        self.command_zone(zone, false, source)
    }

    /// The evacuated zones, confirmed by a quorum.
    ///
    /// # Errors
    ///
    /// The reason why no quorum confirmed them.
    pub fn zones(&self) -> Result<EvacuatedZones, Refusal> {
        self.control.evacuated_zones()
    }

    fn command_zone(
        &self,
        zone: &str,
        is_evacuated: bool,
        source: SocketAddr,
    ) -> Result<Revision, Refusal> {
        self.control.command_zone(&ZoneCommand {
            zone: parse_zone(zone)?,
            is_evacuated,
            change_id: None,
            source,
        })
    }
}
