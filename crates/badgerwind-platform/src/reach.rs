//! What is known of the way to one executor: whether a standing connection still leads to it, and whether it takes
//! another one. No I/O, no clock.
//!
//! Two troubles look alike from one call and want opposite answers. A machine that has vanished leaves its connections open
//! and silent, so that only a new one proves anything. One whose table of connections is full lets a new one come up,
//! turns away the first call on it and closes it, while standing ones go on to work. So a standing connection
//! is trusted until something handed over has had no word for a while, and a new one is not tried again at once where the
//! last was turned away.

use badgerwind::interface::{Span, Time};

/// Pauses before the next new connection, in patiences, at the most.
const MOST_PAUSES: u64 = 8;

/// The way to one executor.
#[derive(Clone, Debug)]
pub struct Reach {
    /// Something that answers was handed over then, and no sign of life has come since.
    unanswered: Option<Time>,
    /// So long may that last before a standing connection is no longer trusted, in microseconds.
    patience: Span,
    /// Before this no new connection is tried.
    shut_until: Time,
    pause: Span,
}

impl Reach {
    /// An executor just listed. `patience`: how long a sign of life may be missed, in microseconds.
    pub fn new(patience: Span) -> Reach {
        Reach { unanswered: None, patience, shut_until: 0, pause: 0 }
    }

    /// A byte came, or a connection came up: the machine is there.
    pub fn heard(&mut self) {
        self.unanswered = None;
    }

    /// Something that is owed an answer was handed over whole.
    pub fn asked(&mut self, now: Time) {
        self.unanswered.get_or_insert(now);
    }

    /// Whether a standing connection still counts as leading there.
    pub fn trusted(&self, now: Time) -> bool {
        self.unanswered.is_none_or(|at| now <= at + self.patience)
    }

    /// A new connection was turned away at the door: its table is full. The pause grows while that goes on; `part`, from 0
    /// to 1 and drawn anew, keeps front ends out of step.
    pub fn turned_away(&mut self, now: Time, part: f64) {
        if !self.opens(now) {
            return; // those that knocked beside the first tell nothing more
        }
        self.pause = (self.pause * 2).clamp(self.patience, self.patience * MOST_PAUSES);
        self.shut_until = now + (self.pause as f64 * (0.5 + 0.5 * part.clamp(0.0, 1.0))) as Span;
    }

    /// A call over a new connection was taken in.
    pub fn taken_in(&mut self) {
        (self.pause, self.shut_until) = (0, 0);
    }

    /// Whether a new connection may be tried.
    pub fn opens(&self, now: Time) -> bool {
        now >= self.shut_until
    }
}
