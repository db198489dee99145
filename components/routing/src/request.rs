//! Inputs and results of the choice.

use model::{AvailabilityZone, ProbeMode, ZonePreference};
use serde::Serialize;
use slotmap::new_key_type;

new_key_type! {
    /// An upstream within one `Router`; a removed upstream's key is never reused.
    pub struct UpstreamKey;
}

/// Settings of one `Router`.
#[derive(Clone, Copy, Debug)]
pub struct RouterConfig {
    /// Most measuring messages in any one second; a probe and its reply count as two.
    pub probe_budget_per_s: u32,
}

/// One call, or one more attempt of it, that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Availability zone of the entry.
    pub zone: &'a AvailabilityZone,
    /// Upstreams that earlier attempts of the call used.
    pub exclude: &'a [UpstreamKey],
    /// Measuring that the call pays for.
    pub measure: ProbeMode,
    /// Whether the entry's own zone comes first.
    pub zone_preference: ZonePreference,
    /// Whether the call may run twice; such calls make the trials of ejected upstreams.
    pub idempotent: bool,
    /// Whether the attempt is a hedge, which only goes to an upstream with a free slot.
    pub hedge: bool,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoiceReason {
    /// It was the only one that accepts calls.
    Only,
    /// It had the lowest expected completion time.
    Expected,
    /// It was ejected, and the call tries whether it has recovered.
    Trial,
    /// Every candidate was ejected.
    Fallback,
}

/// The chosen upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// Wait at the owner after which the call probably starts sooner elsewhere; `None` if it
    /// should wait as long as its deadline allows. The entry uses it for the ticket's
    /// `start_by_us` only if another attempt is allowed and its retry is reserved.
    pub max_queue_wait_us: Option<u64>,
}

/// An upstream that a choice weighed, for the decision log.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// The upstream.
    #[serde(skip)]
    pub upstream: UpstreamKey,
    /// Expected time from the choice to the response.
    pub expected_us: u32,
    /// Estimated calls running and waiting there.
    pub load: f32,
    /// Whether it was ejected at the time.
    pub ejected: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptResult {
    /// The upstream answered.
    Ok,
    /// The owner refused it and did not run it.
    Refused,
    /// The upstream failed, or the connection to it or its owner.
    Failed,
    /// No response arrived before the deadline.
    TimedOut,
    /// The entry gave up the attempt for a reason of its own, such as a faster hedge.
    Cancelled,
}
