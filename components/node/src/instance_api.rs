//! What the instance beside a node may tell it, for plug-ins that speak another protocol to it.

use crate::{announce::Announcement, context::NodeContext};
use kernel::Kernel;
use model::UpstreamName;
use std::sync::Arc;

/// Reports of the instance beside this node.
pub struct InstanceApi {
    context: Arc<NodeContext>,
}

impl InstanceApi {
    /// The instances of this process.
    pub fn new(kernel: &Arc<Kernel>) -> Self {
        InstanceApi {
            context: NodeContext::of(kernel),
        }
    }

    /// Takes in a report; false if a newer one was taken in before.
    pub fn report(&self, announcement: &Announcement) -> bool {
        self.context.local.report(announcement)
    }

    /// Removes an instance at its own request; tells whether it was the announced one.
    pub fn withdraw(&self, name: &UpstreamName) -> bool {
        self.context.local.withdraw_named(name)
    }

    /// Whether the configuration lists the service; true while there is none.
    pub fn has_service(&self, service: &model::ServiceName) -> bool {
        let routes = self.context.kernel.profiles.routes();
        routes.is_none_or(|table| table.has_service(service))
    }

    /// Whether callers should send new calls here.
    pub fn is_ready(&self) -> bool {
        let kernel = &self.context.kernel;
        !kernel.stop.is_raised() && kernel.profiles.routes().is_some()
    }
}
