//! Stand-in upstream, load generator, demo and measurements.

pub mod demo;
pub mod deployment;
pub mod load;
mod options;
pub mod policy;
pub mod upstream;
