//! The registry of plug-ins. Each plug-in registers itself with `inventory::submit!`.

use crate::run::Kernel;
use snafu::Snafu;
use std::{sync::Arc, time::Instant};

/// Role of a process, which decides which plug-ins run in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// `gyard-node`.
    Node,
    /// `gyard-control`, or a node with an embedded control replica.
    Control,
}

/// A plug-in that could not start.
#[derive(Debug, Snafu)]
#[snafu(display("{plugin}: {reason}"))]
pub struct StartError {
    /// Name of the plug-in.
    pub plugin: &'static str,
    /// What failed and what to change.
    pub reason: String,
}

impl StartError {
    /// An error of the plug-in `plugin`.
    pub fn new(plugin: &'static str, reason: impl std::fmt::Display) -> Self {
        StartError {
            plugin,
            reason: reason.to_string(),
        }
    }
}

/// A started plug-in, with its two steps of stopping.
pub struct RunningPlugin {
    pub(crate) drain: Box<dyn FnOnce(Instant) + Send>,
    pub(crate) stop: Box<dyn FnOnce() + Send>,
}

impl RunningPlugin {
    /// `drain` waits for work in flight, at most until the given instant; `stop` ends the plug-in's
    /// threads.
    pub fn new(
        drain: impl FnOnce(Instant) + Send + 'static,
        stop: impl FnOnce() + Send + 'static,
    ) -> Self {
        RunningPlugin {
            drain: Box::new(drain),
            stop: Box::new(stop),
        }
    }

    /// The same plug-in, with a further step at the end of its stop.
    #[must_use]
    pub fn and_stop(self, then: impl FnOnce() + Send + 'static) -> Self {
        let stop = self.stop;
        RunningPlugin::new(self.drain, move || {
            stop();
            then();
        })
    }

    /// A plug-in that has no work in flight to drain.
    pub fn with_stop(stop: impl FnOnce() + Send + 'static) -> Self {
        RunningPlugin::new(|_| (), stop)
    }
}

/// A plug-in as it is registered.
pub struct PluginEntry {
    /// Name, which is also the prefix of its log lines.
    pub name: &'static str,
    /// Role of the processes that run it.
    pub role: Role,
    /// Plug-ins start in ascending order, and drain and stop in descending order.
    pub order: u32,
    /// Starts the plug-in; an error ends the start of the process.
    pub start: fn(&Arc<Kernel>) -> Result<RunningPlugin, StartError>,
}

inventory::collect!(PluginEntry);

/// The registered plug-ins of the given roles, in start order.
pub(crate) fn plugins_of(roles: &[Role]) -> Vec<&'static PluginEntry> {
    let mut entries: Vec<_> = inventory::iter::<PluginEntry>
        .into_iter()
        .filter(|entry| roles.contains(&entry.role))
        .collect();
    entries.sort_by_key(|entry| (entry.order, entry.name));
    entries
}
