//! The entry's choice of upstream.

mod ejection;
mod latency;
mod member;
mod probes;
mod request;
mod router;
mod subset;

pub use request::{
    AttemptResult, Candidate, Choice, ChoiceReason, RouteRequest, RouterConfig, UpstreamKey,
};
pub use router::Router;
pub use subset::{subset, zone_first_subset};
