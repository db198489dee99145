//! Random numbers, seeded by the operating system.

use std::{
    collections::hash_map::RandomState,
    hash::{BuildHasher, Hasher},
    sync::atomic::{AtomicU64, Ordering},
};

static COUNTER: AtomicU64 = AtomicU64::new(0);

pub fn number() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u64(COUNTER.fetch_add(1, Ordering::Relaxed));
    hasher.finish()
}

/// A fraction from 0 to 1.
pub fn fraction() -> f64 {
    (number() >> 11) as f64 / (1u64 << 53) as f64
}

/// The id of a client attempt.
pub fn request_id() -> String {
    format!("{:016x}", number())
}
