//! JSON bodies of the operator port and of route queries, shared by the processes that answer and the
//! operators' client.

mod number;
mod route;

pub use route::{
    AdmissionInfo, ColdLimitInfo, ColdState, LeftOut, MatchedRouteInfo, QuotaInfo, RouteAnswer,
    RouteCandidate, RouteOutcome, RouteQuery, SplitPart, SuspectInfo,
};

use model::{
    AvailabilityZone, HostName, Profile, ProfileName, Revision, ServiceName, UpstreamName,
    UpstreamState,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Response to `GET /v1/profiles`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileList {
    /// Newest accepted revision.
    pub revision: Revision,
    /// Profiles that are not retired.
    pub profiles: Vec<ProfileEntry>,
}

/// Response to `GET /v1/profiles/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileEntry {
    /// All settings of the profile, its name included.
    pub profile: Profile,
    /// Revision of its last change.
    pub revision: u64,
    /// Grows each time a retired name is added again.
    pub generation: u64,
}

/// Body of `POST /v1/changes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Id of the change. A resend carries the same id, so that the change is made only once.
    pub change_id: String,
    /// Revision that the profile must have for the change to be accepted.
    pub expect_revision: Option<u64>,
    /// What to do with which profile.
    pub op: ChangeOp,
}

/// What a [`ChangeRequest`] does to the set of profiles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeOp {
    /// Adds a profile. No live profile may have its name.
    Add(Profile),
    /// Replaces the live profile with the same name.
    Update(Profile),
    /// Retires a live profile; calls that use its name then use the successor's profile.
    Retire {
        /// Name of the live profile to retire.
        name: ProfileName,
        /// Profile that takes over its calls.
        successor: Option<ProfileName>,
    },
}

/// Response to an accepted `POST /v1/changes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// Revision that the change produced.
    pub revision: Revision,
    /// Revision of the profile, for `--expect-revision`.
    pub profile_revision: u64,
    /// Id of the change, as given in the request.
    pub change_id: String,
}

/// Body of `POST /v1/drain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Name of the instance to drain.
    pub instance: UpstreamName,
    /// Its service, needed if several services have an instance of that name.
    pub service: Option<ServiceName>,
}

/// Body of `POST` and `DELETE /v1/zones/ZONE/evacuation`; it may be left out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneCommandRequest {
    /// Id of the command. A resend carries the same id, so that it has no effect after a later
    /// command.
    pub change_id: String,
}

/// Response to an accepted `POST` or `DELETE /v1/zones/ZONE/evacuation`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneCommandResponse {
    /// Zone in the command.
    pub zone: AvailabilityZone,
    /// Whether the command evacuates the zone.
    pub evacuated: bool,
    /// Revision from which the command is in effect.
    pub revision: Revision,
}

/// Response to `GET /v1/zones`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneList {
    /// Newest accepted revision.
    pub revision: Revision,
    /// Nodes whose last report shows an older revision.
    pub lagging_nodes: u32,
    /// Zones of known nodes, and evacuated ones.
    pub zones: Vec<ZoneEntry>,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEntry {
    /// Name of the zone.
    pub zone: AvailabilityZone,
    /// Whether its upstreams get no calls.
    pub evacuated: bool,
    /// Known nodes in the zone.
    pub nodes: u32,
}

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Number of the replica that is the leader.
    pub leader: Option<u32>,
    /// Newest accepted revision.
    pub revision: Revision,
    /// Replicas of the control group.
    pub replicas: Vec<ReplicaStatus>,
    /// Nodes that have reported to the control group.
    pub nodes: Vec<NodeStatus>,
}

/// One replica of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Number of the replica in its group.
    pub replica: u32,
    /// Its mesh address.
    pub address: SocketAddr,
    /// Its role in the consensus group, such as leader or follower.
    pub role: String,
    /// Identity of its data directory, if the responding replica knows it.
    pub disk_id: Option<String>,
    /// Last log index that it is known to hold, if any.
    pub matched: Option<u64>,
    /// Whether it is reachable from the responding replica.
    pub reachable: bool,
}

/// State of one node, with the upstreams beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its mesh address.
    pub node: SocketAddr,
    /// Name of the host that it runs on.
    pub host: HostName,
    /// Availability zone of its host.
    pub availability_zone: AvailabilityZone,
    /// Revision in effect on it.
    pub revision: Revision,
    /// Whether that is the newest one.
    pub in_effect: bool,
    /// Age of its report in milliseconds.
    pub age_ms: u64,
    /// Whether the report is too old to count the node as live.
    pub stale: bool,
    /// Upstreams beside it.
    pub instances: Vec<InstanceStatus>,
}

/// State of one upstream and where it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance, unique in its service.
    pub name: UpstreamName,
    /// Service whose calls it answers.
    pub service: ServiceName,
    /// Its life cycle.
    pub state: UpstreamState,
    /// Address where it serves.
    pub address: SocketAddr,
}

/// Response to `GET /v1/customers`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerList {
    /// Revision of the configuration with the limits.
    pub revision: Revision,
    /// Customers by name.
    pub customers: Vec<CustomerStatus>,
    /// Nodes whose figures are missing, because they did not answer in time.
    pub silent_nodes: Vec<SocketAddr>,
    /// Live nodes, and when each was last confirmed for strict revocation.
    pub nodes: Vec<NodeProof>,
}

/// When a node was last confirmed for strict revocation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeProof {
    /// Its mesh address.
    pub node: SocketAddr,
    /// Name of the host that it runs on.
    pub host: HostName,
    /// Age of its last proof, as the replicas that answer know it; `None` if none of them gave it one
    /// in the last minute.
    pub proof_age_ms: Option<u64>,
}

/// Limit of a customer and its use, summed over all nodes that answered. Nodes count since their
/// start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerStatus {
    /// Name of the customer.
    pub name: String,
    /// Number of its keys. The keys themselves are never sent.
    pub keys: usize,
    /// Rank of its calls, if it has one.
    #[serde(serialize_with = "number::serialize_option")]
    pub rank: Option<f64>,
    /// Calls per second over all nodes; no limit if absent.
    pub rate_per_s: Option<f64>,
    /// Calls beyond the rate that may come at once.
    pub burst: f64,
    /// Calls admitted, without those that have not run.
    pub admitted: u64,
    /// Calls refused because the customer was over its limit.
    pub over_limit: u64,
    /// Calls refused because their node had no share of the rate.
    pub unconfirmed: u64,
    /// Shares of the rate by node.
    pub shares: Vec<CustomerShare>,
}

/// Share of a customer's rate that a node holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerShare {
    /// Mesh address of the node.
    pub node: SocketAddr,
    /// Calls per second.
    pub calls_per_s: f64,
}

/// Body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Code from the error table.
    pub error: String,
    /// What happened.
    pub message: String,
    /// What the error refers to, such as a name or a revision.
    #[serde(default)]
    pub detail: String,
    /// What to do next.
    #[serde(default)]
    pub advice: String,
}
