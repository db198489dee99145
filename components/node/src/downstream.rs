//! What this node knows of the capacity of the services that its instance calls. Used only with
//! `--downstream-admission`.

use limits::DownstreamCapacity;
use settings::NodeSettings;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The shared state of the entry, which sees the calls that the instance makes, and of the owner, which
/// admits the calls that the instance runs.
pub(crate) struct Downstream(Mutex<DownstreamCapacity>);

impl Downstream {
    /// State without knowledge, if the settings enable it and name the header by which calls of the
    /// instance are recognised.
    pub(crate) fn new(settings: &NodeSettings) -> Option<Self> {
        if !settings.downstream_admission {
            return None;
        }
        if settings.headers.request_id.is_none() {
            log::warn!(
                "owner: --downstream-admission has no effect, since no header with the id of a \
                 request is known here."
            );
            return None;
        }
        Some(Downstream(Mutex::default()))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, DownstreamCapacity> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
