//! Whole configurations: virtual hosts, routes, weighted splits and limits for callers.

mod check;
mod document;
mod split;
mod table;

pub use document::{
    CallerLimits, Configuration, Destination, Route, Service, VirtualHost, Weight, WeightedService,
};
pub use split::Split;
pub use table::{MatchedRoute, RouteTable};
