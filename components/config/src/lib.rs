//! Configurations as operators submit them: virtual hosts, routes, weighted splits and limits for
//! callers.

mod check;
mod document;
mod table;
mod weighted_round_robin;

pub use document::{
    CallerLimits, Configuration, Destination, Route, Service, VirtualHost, Weight, WeightedService,
};
pub use table::{MatchedRoute, RouteTable};
pub use weighted_round_robin::WeightedRoundRobin;
