//! The profile state machine that the replicated log drives.
