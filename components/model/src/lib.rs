//! Types that all parts of the system share: names, identifiers, upstreams, load signals and
//! profiles.

mod fingerprint;
mod ids;
mod load;
mod names;
mod profile;
mod upstream;

pub use fingerprint::Fingerprint;
pub use ids::{AttemptId, CallId, NodeId, Revision};
pub use load::LoadSignal;
pub use names::{
    AvailabilityZone, HostName, NameError, ProfileName, Region, ServiceName, UpstreamName,
};
pub use profile::{
    FieldError, Hedge, Priority, ProbeMode, Profile, ProfileFileError, ZonePreference,
};
pub use upstream::{ProfileRule, Upstream, UpstreamState};
