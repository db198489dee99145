//! What an upstream announces about itself.

use crate::{AvailabilityZone, HostName, NodeId, ProfileName, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr, sync::Arc};

/// Life cycle of an upstream; only `Serving` and `Starting` accept new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Warming up; takes calls at a rising share.
    Starting,
    /// Takes calls.
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// About to exit.
    Stopping,
}

impl UpstreamState {
    /// Whether new calls may be sent.
    pub fn accepts_calls(self) -> bool {
        matches!(self, UpstreamState::Starting | UpstreamState::Serving)
    }
}

impl fmt::Display for UpstreamState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UpstreamState::Starting => "starting",
            UpstreamState::Serving => "serving",
            UpstreamState::Draining => "draining",
            UpstreamState::Stopping => "stopping",
        })
    }
}

/// Maps calls by method and path to a profile.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProfileRule {
    /// Method that the rule is for; all methods if absent.
    #[serde(default)]
    pub method: Option<Arc<str>>,
    /// Start of the paths that the rule is for.
    pub path_prefix: Arc<str>,
    /// Profile of the matching calls.
    pub profile: ProfileName,
}

impl ProfileRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method.as_deref().is_none_or(|m| m == method);
        method_matches && path.starts_with(self.path_prefix.as_ref())
    }
}

/// One instance of a service, beside one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the instance, unique in its service.
    pub name: UpstreamName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Availability zone of its host.
    pub availability_zone: AvailabilityZone,
    /// Host that it runs on.
    pub host: HostName,
    /// Node beside it, the only one that opens connections to it.
    pub node: NodeId,
    /// Address where it serves HTTP/1.1.
    pub address: SocketAddr,
    /// Calls that it can run at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
    /// Life cycle.
    pub state: UpstreamState,
    /// Time of the first announcement in milliseconds since the Unix epoch; starts the ramp.
    pub announced_ms: u64,
    /// Profile of the calls that no rule matches.
    pub default_profile: ProfileName,
    /// Rules from method and path to profile.
    pub rules: Arc<[ProfileRule]>,
    /// Grows with each change of this record at its node.
    pub version: u64,
}

impl Upstream {
    /// The profile for a call: longest prefix first, then a rule with a method before one without.
    pub fn profile_for(&self, method: &str, path: &str) -> &ProfileName {
        self.rules
            .iter()
            .filter(|rule| rule.matches(method, path))
            .max_by_key(|rule| (rule.path_prefix.len(), rule.method.is_some()))
            .map_or(&self.default_profile, |rule| &rule.profile)
    }
}
