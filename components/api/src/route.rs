//! JSON body of `GET /v1/route` on the platform port of a node: where a call would go now, and why.

use crate::number;
use model::{
    AvailabilityZone, LoadSignal, Priority, Revision, ServiceName, UpstreamName, UpstreamState,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Call that the answer is about.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteQuery {
    /// Value of the `Host` header.
    pub host: String,
    /// Path of the request; a query may follow.
    pub path: String,
    /// Method of the request.
    pub method: String,
    /// Name of the customer that the call is sent for.
    pub customer: Option<String>,
    /// Rank in place of the customer's and the route's.
    pub rank: Option<u32>,
}

/// Response to `GET /v1/route`. The parts that the decision did not come to are absent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteAnswer {
    /// Mesh address of the node that answers.
    pub node: SocketAddr,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Revision in effect on it.
    pub revision: Revision,
    /// Time since a control replica confirmed that revision, in milliseconds.
    pub revision_age_ms: u64,
    /// Version of the configuration, if there is one.
    pub configuration: Option<u64>,
    /// The call in question.
    pub call: RouteQuery,
    /// What happens to the call.
    pub outcome: RouteOutcome,
    /// Circumstances of the decision that the other parts don't show.
    pub notes: Vec<String>,
    /// The matching route.
    pub route: Option<MatchedRouteInfo>,
    /// Parts of the route's split; empty without one.
    pub split: Vec<SplitPart>,
    /// Service that the call goes to.
    pub service: Option<ServiceName>,
    /// Priority of the call.
    pub priority: Option<Priority>,
    /// What is known against the request.
    pub suspect: Option<SuspectInfo>,
    /// Quota of the customer, if it has a rate.
    pub quota: Option<QuotaInfo>,
    /// Evacuated availability zones.
    pub evacuated_zones: Vec<AvailabilityZone>,
    /// Limit on calls to cold upstreams of the service, if it has one.
    pub cold_limit: Option<ColdLimitInfo>,
    /// Upstreams that were weighed, those with the shortest expected time first.
    pub candidates: Vec<RouteCandidate>,
    /// Upstreams of the service that can't be chosen.
    pub left_out: Vec<LeftOut>,
    /// Admission at the chosen upstream.
    pub admission: Option<AdmissionInfo>,
}

/// What happens to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteOutcome {
    /// It is sent to the owner of an upstream.
    Sent {
        /// The upstream.
        upstream: UpstreamName,
        /// Rule by which it was chosen.
        reason: String,
    },
    /// It is refused and not run.
    Refused {
        /// Code from the error table.
        error: String,
        /// Status of the response.
        status: u16,
        /// What the refusal refers to.
        detail: String,
        /// Time after which the caller is told to repeat the call, if that is known in advance.
        retry_after_ms: Option<u64>,
    },
}

/// The route that matches a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MatchedRouteInfo {
    /// Its name.
    pub name: String,
    /// Prefix of its paths.
    pub path_prefix: String,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether its calls may run more than once.
    pub idempotent: bool,
    /// Most upstreams that one call is sent to.
    pub attempts: u16,
    /// Longest time for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is fully useful, in milliseconds.
    pub latency_target_ms: u64,
    /// Its rank.
    #[serde(serialize_with = "number::serialize")]
    pub rank: f64,
}

/// Part of a split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SplitPart {
    /// Service of the part.
    pub service: ServiceName,
    /// Its weight.
    pub weight: f64,
    /// Whether the next call goes to it.
    pub is_next: bool,
}

/// What is known against a request with this method and path, without a body and without identity
/// headers apart from the customer's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectInfo {
    /// How it is treated.
    pub verdict: String,
    /// Crashes that it was in flight at and that count.
    pub crashes: usize,
    /// Those of them in a trial.
    pub trials: usize,
    /// Age of the newest of them.
    pub newest_age_ms: Option<u32>,
    /// Requests of all kinds that this node holds back now.
    pub held_requests: usize,
    /// Requests of all kinds that this node refuses now.
    pub refused_requests: usize,
}

/// Quota of a customer at the node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaInfo {
    /// Rate over all nodes.
    pub rate_per_s: f64,
    /// Calls beyond the rate that may come at once, over all nodes.
    pub burst: f64,
    /// `admitted`, `over-limit`, `unavailable`, or `asks-coordinator` if the node has no token and
    /// lets the call wait for one.
    pub verdict: String,
    /// Time until the customer's next token is expected, if the call is refused.
    pub retry_after_ms: Option<u64>,
    /// Share of the node in calls per second.
    pub share_per_s: f64,
    /// Tokens that the node holds.
    pub tokens: f64,
    /// Calls of the customer that wait for a token.
    pub waiting: usize,
    /// Time for which the share may be used.
    pub lease_ms: u64,
    /// Whether the node can't reach the coordinator.
    pub is_cut_off: bool,
}

/// Limit on calls to cold upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdLimitInfo {
    /// Time for which an upstream is cold after its start.
    pub duration_s: Option<f64>,
    /// Calls per second that it can handle meanwhile.
    pub calls_per_s: Option<f64>,
}

/// An upstream that was weighed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteCandidate {
    /// Its name.
    pub upstream: UpstreamName,
    /// Mesh address of its node.
    pub node: SocketAddr,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Its state; `starting` includes cold ones.
    pub state: UpstreamState,
    /// Whether it was chosen.
    pub is_chosen: bool,
    /// Whether it is avoided after failures.
    pub is_ejected: bool,
    /// Expected time to a response in microseconds.
    pub expected_us: u32,
    /// Estimated number of calls there, running and waiting.
    pub load: f64,
    /// Slots that calls can use.
    pub usable_slots: f64,
    /// Attempts of this node that have no result yet.
    pub outstanding: usize,
    /// Last load signal of its owner.
    pub signal: Option<LoadSignal>,
    /// Age of that signal in milliseconds.
    pub signal_age_ms: Option<u64>,
}

/// Upstreams that can't be chosen for the same reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeftOut {
    /// `evacuated`, the state of upstreams that accept no calls, or `not-in-subset` for those that
    /// this node doesn't use.
    pub reason: String,
    /// Their availability zone.
    pub availability_zone: AvailabilityZone,
    /// Their number.
    pub upstreams: usize,
}

/// Admission at the chosen upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionInfo {
    /// `start`, `wait` or `refuse`.
    pub verdict: String,
    /// Code from the error table, if the call is refused.
    pub error: Option<String>,
    /// Rule of admission by the capacity downstream, if it refuses the call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub downstream: Option<String>,
    /// `owner` if the upstream is beside the node that answers and its owner decided; `load-signal`
    /// if the verdict is the node's estimate by the last load signal of another owner.
    pub source: String,
    /// Calls that run there.
    pub running: u32,
    /// Calls that wait there.
    pub waiting: u32,
    /// Calls that it can run at once.
    pub slots: u32,
    /// Age of these figures in milliseconds; absent if there are none.
    pub age_ms: Option<u64>,
    /// The limit on calls while it is cold, if the owner is the node that answers.
    pub cold: Option<ColdState>,
}

/// State of the limit on calls to a cold upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdState {
    /// Rest of the cold period.
    pub cold_left_ms: u64,
    /// Calls that it may get in any second; no limit if absent.
    pub max_per_s: Option<usize>,
    /// Time until it may get another call.
    pub room_in_ms: u64,
}
