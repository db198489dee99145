//! The body with which an instance announces itself and reports its state and load.

use model::{ProfileName, ProfileRule, ServiceName, UpstreamName, UpstreamState};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Most slots that an instance may announce.
const MAX_SLOTS: u32 = 10_000;
/// Most rules of one instance, so that its record stays small enough to be gossiped.
const MAX_RULES: usize = 16;
/// Latest start that an instance may announce: the end of the year 9999, in milliseconds since the
/// Unix epoch.
const MAX_STARTED_MS: u64 = 253_402_300_799_999;
/// Longest path prefix of a rule in bytes.
const MAX_PREFIX_BYTES: usize = 64;

/// Body of `PUT /v1/instance`; plug-ins for other protocols convert their messages to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the instance belongs to.
    pub service: ServiceName,
    /// Name of the instance, unique in its service; the host's name if left out.
    #[serde(default)]
    pub name: Option<UpstreamName>,
    /// Address on which it serves HTTP/1.1.
    pub address: SocketAddr,
    /// Maximum of concurrently running calls.
    pub slots: u32,
    /// Maximum of open connections.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Life-cycle state.
    #[serde(default = "default_state")]
    pub state: UpstreamState,
    /// Profile of the calls that no rule matches.
    pub default_profile: ProfileName,
    /// Rules from method and path to profile.
    #[serde(default)]
    pub rules: Vec<ProfileRule>,
    /// When the instance process started, in milliseconds since the Unix epoch; orders the reports
    /// of processes that used the same name one after the other.
    #[serde(default)]
    pub started_ms: Option<u64>,
    /// Number of the report since the instance started; identifies reports that arrive late.
    #[serde(default)]
    pub sequence: Option<u64>,
    /// Calls running, as the instance counts them.
    #[serde(default)]
    pub in_flight: Option<u32>,
    /// Calls waiting inside the instance.
    #[serde(default)]
    pub queue: Option<u32>,
    /// Load from 0 to 1, as the instance sees it.
    #[serde(default)]
    pub load: Option<f32>,
    /// Time for which the instance stays cold, in milliseconds.
    #[serde(default)]
    pub cold_ms: Option<u64>,
}

fn default_connections() -> u32 {
    260
}

fn default_state() -> UpstreamState {
    UpstreamState::Serving
}

impl Announcement {
    /// Parses and validates a body; the error names the invalid field.
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        let announcement: Announcement =
            serde_json::from_slice(body).map_err(|error| format!("body: {error}"))?;
        announcement.validate()?;
        Ok(announcement)
    }

    /// Checks the values that the types allow but no instance may announce; the error names the
    /// field.
    pub fn validate(&self) -> Result<(), String> {
        let ip = self.address.ip();
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(format!(
                "address: {} can't be connected to; give the port and address of the instance",
                self.address
            ));
        }
        if let Some(started_ms) = self
            .started_ms
            .filter(|started_ms| *started_ms > MAX_STARTED_MS)
        {
            return Err(format!(
                "started_ms: {started_ms} is out of range; allowed are 0 to {MAX_STARTED_MS}"
            ));
        }
        if self.slots == 0 || self.slots > MAX_SLOTS {
            return Err(format!(
                "slots: {} is out of range; allowed are 1 to {MAX_SLOTS}",
                self.slots
            ));
        }
        if self.connections < self.slots {
            return Err(format!(
                "connections: {} is below slots {}; each running call needs a connection",
                self.connections, self.slots
            ));
        }
        if self.rules.len() > MAX_RULES {
            return Err(format!(
                "rules: {} given; allowed are {MAX_RULES}",
                self.rules.len()
            ));
        }
        for rule in &self.rules {
            if !rule.path_prefix.starts_with('/') || rule.path_prefix.len() > MAX_PREFIX_BYTES {
                return Err(format!(
                    "rules: path_prefix {:?} must start with '/' and have at most \
                     {MAX_PREFIX_BYTES} bytes",
                    rule.path_prefix
                ));
            }
        }
        Ok(())
    }
}
