//! The only clock of a process; decision code is handed its readings.

use std::time::{Duration, Instant, SystemTime};

/// Monotonic time since the start of the process, and wall-clock time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts at zero now.
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Microseconds since the start, monotonic.
    pub fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// The instant of a reading of `now_us`.
    pub fn instant(&self, at_us: u64) -> Instant {
        self.start + Duration::from_micros(at_us)
    }

    /// Microseconds since the Unix epoch, from the system's wall clock.
    pub fn unix_us() -> u64 {
        SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_micros() as u64)
    }
}
