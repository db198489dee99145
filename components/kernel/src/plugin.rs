//! The registry that plug-ins add themselves to.

use crate::run::Kernel;
use snafu::Snafu;
use std::{sync::Arc, time::Instant};

/// Kind of process that a plug-in belongs to.
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

/// A started plug-in, with what it does at a stop.
pub struct RunningPlugin {
    pub(crate) drain: Box<dyn FnOnce(Instant) + Send>,
    pub(crate) stop: Box<dyn FnOnce() + Send>,
}

impl RunningPlugin {
    /// `drain` finishes work in flight until the given instant; `stop` ends the plug-in.
    pub fn new(
        drain: impl FnOnce(Instant) + Send + 'static,
        stop: impl FnOnce() + Send + 'static,
    ) -> Self {
        RunningPlugin {
            drain: Box::new(drain),
            stop: Box::new(stop),
        }
    }

    /// A plug-in without work in flight.
    pub fn with_stop(stop: impl FnOnce() + Send + 'static) -> Self {
        RunningPlugin::new(|_| (), stop)
    }
}

/// Entry of the registry; a plug-in submits one with `inventory::submit!`.
pub struct PluginEntry {
    /// Name, also the prefix of its log lines.
    pub name: &'static str,
    /// Kind of process that runs it.
    pub role: Role,
    /// Plug-ins start in rising order and drain and stop in falling order.
    pub order: u32,
    /// Starts the plug-in.
    pub start: fn(&Arc<Kernel>) -> Result<RunningPlugin, StartError>,
}

inventory::collect!(PluginEntry);

/// The registered plug-ins of a role, in the order of their start.
pub(crate) fn plugins_of(roles: &[Role]) -> Vec<&'static PluginEntry> {
    let mut entries: Vec<_> = inventory::iter::<PluginEntry>
        .into_iter()
        .filter(|entry| roles.contains(&entry.role))
        .collect();
    entries.sort_by_key(|entry| (entry.order, entry.name));
    entries
}
