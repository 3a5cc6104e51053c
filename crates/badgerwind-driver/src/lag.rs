//! Estimates how far a front end runs behind its own clock, so that it reserves that much of each sender's
//! waiting time. No I/O.
//!
//! On a machine short of CPU time, timers fire late, batches take long and answers wait to be written. Recent
//! lateness predicts the lateness to come: the estimate is the largest lateness observed, halved each
//! [`Lag::HALF_LIFE`].

use badgerwind::interface::{Micros, Time};

/// A decaying maximum of observed lateness.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    observed_at: Time,
    late: f64,
}

impl Lag {
    /// The time in which an observation decays to a half, in microseconds.
    pub const HALF_LIFE: Micros = 1_000_000;

    /// Records that something was late by `late` microseconds.
    pub fn observe(&mut self, now: Time, late: Micros) {
        self.late = self.decayed(now).max(late as f64);
        self.observed_at = now.max(self.observed_at);
    }

    fn decayed(&self, now: Time) -> f64 {
        let half_lives = now.saturating_sub(self.observed_at) as f64 / Self::HALF_LIFE as f64;
        self.late * (-half_lives).exp2()
    }

    /// The lateness to expect at `now`, in microseconds.
    pub fn current(&self, now: Time) -> Micros {
        self.decayed(now) as Micros
    }

    /// The part of a sender's waiting time that may be spent on its call: the expected lateness is
    /// subtracted, but never more than half of the waiting time. A call left without any time would be
    /// refused, although the lag may be over by the time it is answered.
    pub fn usable_wait(&self, now: Time, wait: Micros) -> Micros {
        wait - self.current(now).min(wait / 2)
    }
}
