//! Configurations as operators submit them: virtual hosts, routes, weighted splits, customers and
//! limits for callers.

mod check;
mod customer;
mod customer_table;
mod decimal;
mod document;
mod quantity;
mod stored;
mod table;
mod weighted_round_robin;

pub use customer::{ApiKey, Customer, hash_key};
pub use customer_table::{CustomerTable, KnownCustomer};
pub use decimal::Decimal;
pub use document::{
    CallerLimits, ColdLimit, Configuration, Destination, Route, Service, VirtualHost,
    WeightedService,
};
pub use quantity::Quantity;
pub use stored::{FirstFormat, SecondFormat, StoredConfiguration};
pub use table::{MatchedRoute, RouteTable};
pub use weighted_round_robin::WeightedRoundRobin;
