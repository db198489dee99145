//! Inputs and results of the choice of an upstream.

use errors::ErrorKind;
use model::{AvailabilityZone, LoadSignal, ProbeMode, ZonePreference};
use serde::Serialize;
use slotmap::new_key_type;

new_key_type! {
    /// Identifies an upstream within one `Router`; the key of a removed upstream is never reused.
    pub struct UpstreamKey;
}

/// Settings of one `Router`.
#[derive(Clone, Copy, Debug)]
pub struct RouterConfig {
    /// Maximum number of probe messages in any one second; a probe and its reply count as two.
    pub probe_budget_per_s: u32,
}

/// An attempt of a call that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Availability zone of the entry.
    pub zone: &'a AvailabilityZone,
    /// Upstreams that must not be chosen, because earlier attempts of the call used them.
    pub exclude: &'a [UpstreamKey],
    /// Probe mode of the call's profile.
    pub measure: ProbeMode,
    /// Whether upstreams in the entry's zone are preferred.
    pub zone_preference: ZonePreference,
    /// Whether the call may run twice. Such calls are preferred as trials of ejected upstreams.
    pub idempotent: bool,
    /// Whether the attempt is a hedge; it is sent only to an upstream with a free slot.
    pub hedge: bool,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoiceReason {
    /// It is the only candidate.
    Only,
    /// It has the lowest expected time to a response.
    Expected,
    /// It is ejected, and the call is a trial that shows whether it has recovered.
    Trial,
    /// Every candidate is ejected.
    Fallback,
}

/// Result of [`Router::choose`](crate::Router::choose).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The router's key of the chosen upstream.
    pub upstream: UpstreamKey,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// Longest wait at the owner, after which the call probably starts sooner at another one;
    /// `None` if it should wait as long as its deadline allows. The entry uses it for `start_by_us`
    /// of the `AdmissionRequest` only if another attempt is allowed and its retry is reserved.
    pub max_queue_wait_us: Option<u64>,
}

/// An upstream that was considered for a choice, for the decision log.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// The router's key of the upstream; not serialized.
    #[serde(skip)]
    pub upstream: UpstreamKey,
    /// Expected time from the choice to the response in microseconds.
    pub expected_us: u32,
    /// Estimated number of calls running and waiting there.
    pub load: f32,
    /// Whether it was ejected at the time of the choice.
    pub ejected: bool,
}

/// Result of [`Router::preview`](crate::Router::preview).
#[derive(Clone, Debug, PartialEq)]
pub struct ChoicePreview {
    /// The choice, or why there is none.
    pub choice: Result<Choice, ErrorKind>,
    /// The upstreams that were considered.
    pub candidates: Vec<CandidateFigures>,
}

/// A considered upstream with the figures that its estimate is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateFigures {
    /// The estimate.
    pub candidate: Candidate,
    /// Whether another call seems to find a free slot there.
    pub has_free_slot: bool,
    /// Slots that calls can use, by what was announced and by the last load signal.
    pub usable_slots: f64,
    /// Attempts of this entry that have no result yet.
    pub outstanding: usize,
    /// The last load signal.
    pub signal: Option<LoadSignal>,
    /// Age of the last load signal in microseconds.
    pub signal_age_us: Option<u64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptResult {
    /// The upstream answered.
    Ok,
    /// The owner refused it and did not run it.
    Refused,
    /// The upstream failed, or the connection to it or to its owner was lost.
    Failed,
    /// No response arrived before the deadline.
    TimedOut,
    /// The entry cancelled the attempt, for example because a hedge was faster.
    Cancelled,
}
