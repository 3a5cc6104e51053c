//! How far a front end runs behind its own clock, so that it can promise senders less of their time. No I/O.
//!
//! On a machine out of CPU timers fire late, batches take long and answers wait to be written. What was late by so
//! much is likely late by about as much again soon: the largest lateness counts, and fades by half each
//! [`Lag::HALF`].

use badgerwind::interface::{Span, Time};

/// Lateness of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    at: Time,
    late: f64,
}

impl Lag {
    /// The time in which what was seen fades to a half, in microseconds.
    pub const HALF: Span = 1_000_000;

    /// Something was late by so much, in microseconds.
    pub fn see(&mut self, now: Time, late: Span) {
        self.late = self.faded(now).max(late as f64);
        self.at = now.max(self.at);
    }

    fn faded(&self, now: Time) -> f64 {
        let halves = now.saturating_sub(self.at) as f64 / Self::HALF as f64;
        self.late * (-halves).exp2()
    }

    /// The lateness to count on, in microseconds.
    pub fn get(&self, now: Time) -> Span {
        self.faded(now) as Span
    }

    /// What of a sender's time can be promised: the lateness is kept back, up to half of it. A call that was given
    /// nothing would be refused, and the lag might be over by then.
    pub fn promise(&self, now: Time, waits: Span) -> Span {
        waits - self.get(now).min(waits / 2)
    }
}
