//! Stand-in upstream, load generator, demo and measurements.

pub mod policy;
