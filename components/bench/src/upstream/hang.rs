//! Calls that the test upstream never answers, and the load that it reports meanwhile.

use super::{Shared, Switches, lock};
use rand::RngExt;
use std::sync::atomic::Ordering;

/// Pace that is reported: work takes its usual time.
const USUAL_PACE_PERCENT: u32 = 100;

/// Whether a request that has arrived is never answered. Health checks always are.
pub(super) fn must_hang(shared: &Shared, switches: &Switches, is_health_check: bool) -> bool {
    let (running, _) = shared.slots.running_and_waiting();
    if is_health_check {
        return false;
    }
    if switches.hang_full && running >= shared.config.slots {
        shared.hung_full.fetch_add(1, Ordering::AcqRel);
        return true;
    }
    switches.hang_percent > 0 && lock(&shared.rng).random_range(0..100) < switches.hang_percent
}

/// Value of the load header.
pub(super) fn load_header(shared: &Shared) -> String {
    let (running, waiting) = shared.slots.running_and_waiting();
    let slots = shared.config.slots;
    format!("{running},{waiting},{slots},{USUAL_PACE_PERCENT}")
}
