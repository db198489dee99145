//! Operations of the local instance, for plug-ins that offer them over another protocol than the
//! plug-in `platform` does.

use crate::{announce::Announcement, context::NodeContext};
use config::RouteTable;
use kernel::Kernel;
use model::UpstreamName;
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

    /// Whether the configuration lists the service; true while there is none.
    pub fn has_service(&self, service: &model::ServiceName) -> bool {
        let routes = self.context.kernel.profiles.routes();
        routes.is_none_or(|table| table.has_service(service))
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
