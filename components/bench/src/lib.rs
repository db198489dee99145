//! Stand-in upstream, load generator, demo and measurements.
