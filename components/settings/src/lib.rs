//! Flags, environment variables and log set-up.
