//! The daemon's clock: monotonic, in microseconds, starting from the wall time at the start of the process.
//! Changes of the wall clock affect only the check of webhook timestamps.

use badgerwind::interface::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock; all copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    base: Time,
}

impl Clock {
    /// Starts a clock at the current wall time.
    pub fn start() -> Self {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Time);
        Clock { start: Instant::now(), base }
    }

    /// Microseconds since the Unix epoch, by this clock.
    pub fn now(&self) -> Time {
        self.base + self.start.elapsed().as_micros() as Time
    }

    /// Converts a time of this clock for timers.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.base))
    }
}

/// Wall time in microseconds since the Unix epoch; for webhook timestamps only.
pub(crate) fn unix_micros() -> i64 {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since) => since.as_micros() as i64,
        Err(before_epoch) => -(before_epoch.duration().as_micros() as i64),
    }
}

/// Wall time in whole seconds since the Unix epoch.
pub(crate) fn unix_seconds() -> i64 {
    unix_micros().div_euclid(1_000_000)
}
