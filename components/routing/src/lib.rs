//! The entry's choice of upstream.
