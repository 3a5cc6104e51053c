//! Health: one running share of failures, for a worker as a whole and for each kind of traffic there.
//! Times in microseconds.
#![forbid(unsafe_code)]

mod record;
pub use record::Health;

const FAIL_GAIN: f64 = 0.2; // Health: weight of an outcome in the running share of failures.
const TRIP: f64 = 0.3; // That share takes a worker out: two failures in a row, or a third of all.
const CLOSE: f64 = 0.12; // That share lets it back.
const MOST_BACKOFF: u64 = 16; // The longest, in first ones.

impl Health {
    /// A sign of life that counts as a success.
    pub fn pass(&mut self, now: u64) {
        (self.heard, self.fails, self.backoff) = (now, self.fails * (1.0 - FAIL_GAIN), self.backoff / 2);
        self.tripped &= self.fails >= CLOSE;
    }

    /// A failure of weight 1, or 2 where unreachable or silent (longer pauses each time); true if it trips.
    pub fn fail(&mut self, weight: f64, now: u64, pause: u64) -> bool {
        let before = self.tripped;
        self.fails += FAIL_GAIN * weight * (1.0 - self.fails);
        if self.fails > TRIP || self.tripped {
            self.tripped = true;
            self.backoff = (self.backoff * 2).clamp(pause, pause * MOST_BACKOFF);
            self.retry_at = now + self.backoff;
        }
        self.tripped && !before
    }
}
