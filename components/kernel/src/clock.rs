//! The only clock of a process. Code that makes decisions gets its readings as arguments, so that
//! tests can supply others.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant, SystemTime};

/// Monotonic time since the process started, and wall-clock time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Microseconds since the clock started; monotonic.
    pub fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Converts a reading of `now_us` to an `Instant`.
    pub fn instant(&self, at_us: u64) -> Instant {
        self.start + Duration::from_micros(at_us)
    }

    /// Microseconds since the host started, with the time for which it was suspended, which the other
    /// clocks of a process leave out.
    pub fn boot_us() -> u64 {
        let time = clock_gettime(ClockId::Boottime);
        time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
    }

    /// Microseconds since the Unix epoch, from the system's wall clock.
    pub fn unix_us() -> u64 {
        SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_micros() as u64)
    }
}
