//! The entry's choice of upstream.

mod ejection;
mod latency;
mod member;
mod probes;
mod request;
mod router;
mod subset;

pub use request::{Candidate, Choice, Finish, Reason, RouteRequest, RouterConfig, UpstreamKey};
pub use router::Router;
pub use subset::{near_subset, subset};
