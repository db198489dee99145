//! Runs a process until it is asked to stop.

use crate::{
    plugin::StartError,
    run::{Kernel, KernelHandle, Settings},
    stop::StopSignal,
};
use std::time::{Duration, Instant};

/// Pause before another attempt to start again; the ports of the stopped kernel may still be in
/// use.
const RESTART_PAUSE: Duration = Duration::from_millis(100);
/// Time after which a kernel that can't start again is given up.
const RESTART_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs a process until `stop` is raised.
///
/// An incarnation is the start time by the wall clock. If that clock went back, other members
/// know the previous process by a higher incarnation and ignore this one; the process then starts
/// again above it.
///
/// # Errors
///
/// Fails if a plug-in can't start.
pub fn run_until_stopped(settings: &Settings, stop: &StopSignal) -> Result<(), StartError> {
    let mut handle = Kernel::start_above(settings.clone(), stop.child(), 0)?;
    loop {
        handle.wait_for_stop();
        log::info!("kernel: stopping.");
        handle.stop();
        match handle.kernel().superseded_by() {
            Some(incarnation) if !stop.is_raised() => {
                handle = restart_above(settings, stop, incarnation)?;
            }
            _ => return Ok(()),
        }
    }
}

fn restart_above(
    settings: &Settings,
    stop: &StopSignal,
    incarnation: u64,
) -> Result<KernelHandle, StartError> {
    let until = Instant::now() + RESTART_TIMEOUT;
    loop {
        match Kernel::start_above(settings.clone(), stop.child(), incarnation) {
            Err(error) if Instant::now() < until => {
                log::warn!("kernel: {error}; trying again.");
                stop.wait(RESTART_PAUSE);
            }
            result => return result,
        }
    }
}
