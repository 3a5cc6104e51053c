//! Health of a worker, or of a kind of traffic there, by a running failure rate. Times are in microseconds.
#![forbid(unsafe_code)]

mod record;
pub use record::Health;

const FAIL_GAIN: f64 = 0.2; // Weight of an outcome in the running failure rate.
const TRIP_ABOVE: f64 = 0.3; // Failure rate that trips: two failures in a row, or a third of all outcomes.
const CLOSE_BELOW: f64 = 0.12; // Failure rate that ends a trip.
const MAX_BACKOFF: u64 = 16; // Longest back-off, as a multiple of the first one.

impl Health {
    /// Records a success.
    pub fn succeed(&mut self, now: u64) {
        (self.last_seen, self.failure_rate, self.backoff) =
            (now, self.failure_rate * (1.0 - FAIL_GAIN), self.backoff / 2);
        self.tripped &= self.failure_rate >= CLOSE_BELOW;
    }

    /// Records a failure: weight 1, or 2 if unreachable or silent. Each doubles the pause. True if it trips.
    pub fn fail(&mut self, weight: f64, now: u64, pause: u64) -> bool {
        let before = self.tripped;
        self.failure_rate += FAIL_GAIN * weight * (1.0 - self.failure_rate);
        if self.failure_rate > TRIP_ABOVE || self.tripped {
            self.tripped = true;
            self.backoff = (self.backoff * 2).clamp(pause, pause * MAX_BACKOFF);
            self.retry_at = now + self.backoff;
        }
        self.tripped && !before
    }
}
