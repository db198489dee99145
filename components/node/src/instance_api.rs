//! Operations of the local instance, for plug-ins that offer them over another protocol than the
//! plug-in `platform` does.

use crate::{announce::Announcement, context::NodeContext};
use config::RouteTable;
use kernel::Kernel;
use model::{ServiceName, UpstreamName};
use std::sync::Arc;

/// Announces and withdraws the local instance, and answers its readiness check.
pub struct InstanceApi {
    context: Arc<NodeContext>,
}

impl InstanceApi {
    /// The operations on the node that runs in this kernel.
    pub fn new(kernel: &Arc<Kernel>) -> Self {
        InstanceApi {
            context: NodeContext::for_kernel(kernel),
        }
    }

    /// Applies a report; returns false if it is older than one that was applied before.
    pub fn report(&self, announcement: &Announcement) -> bool {
        self.context.local.report(announcement)
    }

    /// Withdraws an instance at its own request; returns whether it was the announced one.
    pub fn withdraw(&self, name: &UpstreamName) -> bool {
        self.context.local.withdraw_named(name)
    }

    /// Whether the configuration lists the service. While there is none, the service in the settings
    /// is the only known one; without such a setting each service is.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        let kernel = &self.context.kernel;
        match kernel.profiles.routes() {
            Some(table) => table.has_service(service),
            None => {
                let own = &kernel.node_settings().service;
                own.as_ref().is_none_or(|own| own == service)
            }
        }
    }

    /// Whether this node accepts calls: it has a configuration, it had a proof if it needs one to
    /// accept keys, and it is not stopping.
    pub fn is_ready(&self) -> bool {
        let kernel = &self.context.kernel;
        let revocation = &self.context.revocation;
        let accepts_keys = |table: &RouteTable| {
            table.customers().is_none() || !revocation.is_strict() || revocation.age_ms().is_some()
        };
        let routes = kernel.profiles.routes();
        !kernel.stop.is_raised() && routes.is_some_and(|table| accepts_keys(&table))
    }
}
