//! Commands of `gyard-bench`: test upstream, load generator, demo and measurements.

pub mod cost;
pub mod demo;
pub mod deployment;
pub mod load;
mod options;
pub mod policy;
pub mod upstream;
