//! One clock for the whole daemon: monotonic, in microseconds, counted from the Unix epoch as it stood at the start.
//! A wall clock that is set back or forth moves nothing but the judgement of webhook timestamps.

use badgerwind::interface::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock; copies agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    base: Time,
}

impl Clock {
    pub fn start() -> Self {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Time);
        Clock { start: Instant::now(), base }
    }
    pub fn now(&self) -> Time {
        self.base + self.start.elapsed().as_micros() as Time
    }
    /// The moment of a time, for timers.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.base))
    }
}

/// Wall time in microseconds since the Unix epoch, for webhook timestamps alone.
pub(crate) fn unix_micros() -> i64 {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since) => since.as_micros() as i64,
        Err(before) => -(before.duration().as_micros() as i64),
    }
}

/// The same in whole seconds.
pub(crate) fn unix_seconds() -> i64 {
    unix_micros().div_euclid(1_000_000)
}
