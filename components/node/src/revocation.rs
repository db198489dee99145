//! Whether this node may accept keys of customers under strict revocation.

use kernel::Clock;
use revocation::RevocationProof;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The proof of this node; empty if revocation is not strict.
pub(crate) struct RevocationState {
    bound_us: u64,
    proof: Option<Mutex<RevocationProof>>,
}

impl RevocationState {
    /// A node without a proof; `bound_ms` is the bound of the settings.
    pub(crate) fn new(bound_ms: Option<u64>) -> Self {
        let bound_us = bound_ms.unwrap_or(0) * 1_000;
        RevocationState {
            bound_us,
            proof: bound_ms.map(|_| Mutex::new(RevocationProof::new(bound_us))),
        }
    }

    pub(crate) fn is_strict(&self) -> bool {
        self.proof.is_some()
    }

    pub(crate) fn bound_us(&self) -> u64 {
        self.bound_us
    }

    /// Whether keys may be accepted by a table of customers that is read after this call.
    pub(crate) fn may_accept_keys(&self) -> bool {
        self.lock()
            .is_none_or(|proof| proof.is_fresh(Clock::boot_us()))
    }

    /// Age of the proof; `None` before the first one.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        let age_us = self.lock()?.age_us(Clock::boot_us())?;
        Some(age_us / 1_000)
    }

    /// The proof under its lock; `None` if revocation is not strict.
    pub(crate) fn lock(&self) -> Option<MutexGuard<'_, RevocationProof>> {
        let proof = self.proof.as_ref()?;
        Some(proof.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
