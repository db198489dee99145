//! Starts and stops the plug-ins of a process, and holds the state that they share: settings,
//! clock, event bus, directory of upstreams, profiles and metrics.

mod clock;
mod directory;
mod events;
mod known_services;
mod metrics;
mod plugin;
mod process;
mod profiles;
mod run;
mod stop;
mod suspects;

pub use clock::Clock;
pub use directory::Directory;
pub use events::{Event, Events, InstanceStart};
pub use metrics::{CallLabels, ErrorLabels, KindLabels, Metrics};
pub use plugin::{PluginEntry, Role, RunningPlugin, StartError};
pub use process::run_until_stopped;
pub use profiles::ProfileTable;
pub use run::{Kernel, KernelHandle, Settings};
pub use stop::StopSignal;
pub use suspects::SuspectTable;
