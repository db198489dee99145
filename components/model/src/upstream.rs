//! Upstreams and what they announce about themselves.

use crate::{AvailabilityZone, HostName, NodeId, ProfileName, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr, sync::Arc};

/// State in the life cycle of an upstream; only `Starting` and `Serving` accept new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Starting up; gets a growing share of the calls.
    Starting,
    /// Gets calls.
    Serving,
    /// Finishes its calls and gets no new ones.
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

/// A rule that sets the profile of calls by method and path.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProfileRule {
    /// Method that the rule applies to; all methods if absent.
    #[serde(default)]
    pub method: Option<Arc<str>>,
    /// Prefix of the paths that the rule applies to.
    pub path_prefix: Arc<str>,
    /// Profile of the matching calls.
    pub profile: ProfileName,
}

impl ProfileRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let matches_method = self.method.as_deref().is_none_or(|m| m == method);
        matches_method && path.starts_with(self.path_prefix.as_ref())
    }
}

/// One upstream: a running process that answers calls of a service, on the host of one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the upstream, unique in its service.
    pub name: UpstreamName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Availability zone of its host.
    pub availability_zone: AvailabilityZone,
    /// Host that it runs on.
    pub host: HostName,
    /// Node on its host, which owns it: no other node opens connections to it.
    pub node: NodeId,
    /// Address at which it serves HTTP/1.1.
    pub address: SocketAddr,
    /// Calls that it can run at once.
    pub slots: u32,
    /// Maximum number of connections that it accepts at once.
    pub connections: u32,
    /// State in its life cycle.
    pub state: UpstreamState,
    /// Time of the first announcement in milliseconds since the Unix epoch. A new value means that
    /// the upstream has restarted, and entries begin a new cold-start ramp.
    pub announced_ms: u64,
    /// Profile of the calls that no rule matches.
    pub default_profile: ProfileName,
    /// Rules from method and path to profile.
    pub rules: Arc<[ProfileRule]>,
    /// Counter of the changes of this record at its node.
    pub version: u64,
}

impl Upstream {
    /// The profile for a call. The rule with the longest matching prefix applies; of equal
    /// prefixes, one with a method is chosen over one without.
    pub fn profile_for(&self, method: &str, path: &str) -> &ProfileName {
        self.rules
            .iter()
            .filter(|rule| rule.matches(method, path))
            .max_by_key(|rule| (rule.path_prefix.len(), rule.method.is_some()))
            .map_or(&self.default_profile, |rule| &rule.profile)
    }
}
