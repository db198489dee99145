//! The entry's choice of an upstream for each attempt: latency estimates from load signals and
//! results, probes, outlier ejection, and the subset of upstreams that an entry uses.

mod ejection;
mod latency;
mod probes;
mod request;
mod router;
mod subset;
mod tracked_upstream;

pub use request::{
    AttemptResult, Candidate, CandidateFigures, Choice, ChoicePreview, ChoiceReason, RouteRequest,
    RouterConfig, UpstreamKey,
};
pub use router::Router;
pub use subset::{subset, zone_first_subset};
