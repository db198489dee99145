//! Replicated log: elections, log, snapshots and replica identities.
